// Quarantine of the gateway.
#include "details/containment.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "details/attempt.h"
#include "details/calls.h"
#include "details/fleet.h"
#include "details/monitor.h"
#include "log/log.h"

namespace balsambay::gateway {
namespace {

using nlohmann::json;
using std::chrono_literals::operator""ms;

constexpr duration kTick = 200ms;
// A process that crashed refuses the next connection; one that went silent is missed by two
// questions.
constexpr duration kConfirmWithin = 500ms;
// Of a peer that dies while it runs a suspect; its first output comes within a second or two.
constexpr duration kPeerClaim = 5000ms;
// A request that completed longer ago may crash endpoints that have come since. Shorter than the
// 3 s or more in which gateways have to contain a request.
constexpr duration kProofLifetime = 2000ms;
// A request has shown that its engines bear it when it has passed this many outputs on: an engine
// may still send the first ones while it breaks down.
constexpr int kProofOutputs = 3;
// A loss is not noticed sooner, except by connections that break, which are held against the
// requests on them in another way. So requests that were sent to the endpoint after that met it
// dead.
constexpr duration kLeastNotice = 100ms;
// Outputs that are older than this say nothing about when an endpoint was lost.
constexpr duration kSignLifetime = 1000ms;
// From the end of the longest silence of a sound endpoint until its loss is noted.
constexpr duration kSilenceGrace = 200ms;
// Gateways that learn of a refusal from others leave its record to them for this long.
constexpr duration kRecordGrace = 1500ms;
constexpr duration kRecordRetry = 1000ms;
constexpr double kRecordSpread = 0.5;
// Records that have expired are removed after this time, when no gateway's clock counts them any
// more.
constexpr std::chrono::milliseconds kRecordLeftover = std::chrono::minutes(1);

quarantine::endpoint_life LifeOf(const endpoint& item) {
  return {item.listed.id, item.listed.incarnation};
}

std::string RecordKey(const quarantine::fingerprint& key) {
  return std::string(kQuarantinePrefix) + quarantine::ToString(key);
}

bool IsRefused(const gateway_state& state, const quarantine::fingerprint& key) {
  return quarantine::StateOf(state.quarantine, key) == quarantine::fingerprint_state::kQuarantined;
}

// --- Records in the shared table.

void WriteRecord(gateway_state& state, const quarantine::fingerprint& key);

void WriteLater(gateway_state& state, const quarantine::fingerprint& key, duration pause) {
  Subscribe(state.loop.Timers(), MonotonicNow() + Jitter(state.rng, pause, kRecordSpread),
            [&state, key](time_point) { WriteRecord(state, key); });
}

void CallTable(gateway_state& state, table::write write, std::function<void(bool)> done) {
  lease::table_call call;
  call.request = table::transaction{.conditions = {}, .writes = {std::move(write)}};
  state.store.call(call, [done = std::move(done)](const lease::table_outcome& outcome) {
    const auto* reply = std::get_if<table::commit_reply>(&outcome);
    done(reply != nullptr && reply->committed);
  });
}

// The write is idempotent.
void WriteRecord(gateway_state& state, const quarantine::fingerprint& key) {
  const auto entry = state.quarantine.entries.find(key);
  const std::string name = RecordKey(key);
  if (!IsRefused(state, key) || state.quarantine_records.contains(name)) return;
  json losses = json::array();
  for (const auto& life : entry->second.losses) losses.push_back(life.endpoint);
  const duration left = entry->second.loss_expires - MonotonicNow();
  const json value = {{"until_ms", WallClockMs() + WholeMilliseconds(left)}, {"losses", losses}};
  CallTable(state, {name, value.dump()}, [&state, key](bool done) {
    if (done) return;
    log::Log(log::level::kWarning, "quarantine is not recorded yet",
             {{"fingerprint", quarantine::ToString(key)}});
    WriteLater(state, key, kRecordRetry);
  });
}

void RemoveRecord(gateway_state& state, const std::string& name) {
  if (state.quarantine_records.erase(name) == 0) return;
  // If it fails, the record expires.
  CallTable(state, {name, std::nullopt}, [](bool) {});
}

void RemoveExpired(gateway_state& state) {
  if (!lease::MayAct(state.lease, MonotonicNow())) return;
  const int64_t oldest = WallClockMs() - kRecordLeftover.count();
  std::vector<std::string> expired;
  for (const auto& [name, until_ms] : state.quarantine_records) {
    if (until_ms < oldest) expired.push_back(name);
  }
  for (const std::string& name : expired) RemoveRecord(state, name);
}

// --- What the quarantine decides.

// Who is to write the record of a request that is refused from now on.
enum class recorder : uint8_t { kThis, kPeer, kNobody };

void Process(gateway_state& state, const quarantine::outputs& out, recorder recorder) {
  TellSuspects(state, out.publish);
  for (const quarantine::fingerprint& key : out.condemned) {
    const auto update = quarantine::UpdateOf(state.quarantine, key);
    log::Log(log::level::kWarning, "request quarantined",
             {{"fingerprint", quarantine::ToString(key)},
              {"losses", update ? update->losses.size() : 0},
              {"half_losses", update ? update->half.size() : 0},
              {"told", recorder != recorder::kThis}});
    if (recorder == recorder::kThis) WriteRecord(state, key);
    if (recorder == recorder::kPeer) WriteLater(state, key, kRecordGrace);
  }
  for (const quarantine::fingerprint& key : out.released) {
    log::Log(log::level::kWarning, "quarantine lifted",
             {{"fingerprint", quarantine::ToString(key)}});
    if (recorder == recorder::kThis) RemoveRecord(state, RecordKey(key));
  }
  if (out.condemned.empty() && out.wake.empty()) return;
  // Deferred: a request that goes on or ends calls the quarantine again.
  Subscribe(state.loop.Timers(), MonotonicNow(),
            [&state, condemned = out.condemned, wake = out.wake](time_point) {
              for (const auto& key : condemned) EndQuarantined(state, key);
              for (const auto& key : wake) ResumeHeld(state, key);
            });
}

void Tick(gateway_state& state, time_point now) {
  quarantine::outputs out;
  quarantine::Tick(state.quarantine, now, out);
  Process(state, out, recorder::kNobody);
  RemoveExpired(state);
  Subscribe(state.loop.Timers(), now + kTick, [&state](time_point at) { Tick(state, at); });
}

// Until when the endpoint is known to have served: the last output that passed through it, if one
// did lately. Requests that were sent there later may have met it dead.
time_point AliveUntil(const gateway_state& state, const endpoint& item, time_point now) {
  time_point last{};
  for (const auto& [number, active] : state.calls) {
    const attempt_ptr& open = active->open;
    const bool served = open && open->outputs > 0 && HasPart(*open, item.listed.id);
    if (served) last = std::max(last, open->last_progress);
  }
  return now - last < kSignLifetime ? std::max(last, item.answered_at) : kNever;
}

// Requests that were sent to the endpoint later met it dead, if it is.
time_point LastSign(const gateway_state& state, const endpoint& item, time_point silent_since,
                    time_point now) {
  return std::min({AliveUntil(state, item, now), silent_since, now - kLeastNotice});
}

void LogRequestOn(gateway_state& state, const call& active, const attempt& sent,
                  const endpoint& item) {
  const auto part = std::ranges::find(sent.path, item.listed.id, &call_hop::endpoint_id);
  if (part == sent.path.end()) return;
  metrics::Increment(state.metrics.registry, state.metrics.on_lost);
  log::Log(log::level::kInfo, "request was on a lost endpoint",
           {{"request", active.incoming.id},
            {"fingerprint", quarantine::ToString(active.fingerprint)},
            {"endpoint", item.listed.id},
            {"incarnation", item.listed.incarnation},
            {"part", part - sent.path.begin()},
            {"parts", sent.path.size()},
            {"attempt", sent.number},
            {"outputs", sent.outputs},
            {"age_ms", WholeMilliseconds(MonotonicNow() - active.arrived)}});
}

void LogRequestsOn(gateway_state& state, const endpoint& item) {
  for (const auto& [number, active] : state.calls) {
    if (active->open) LogRequestOn(state, *active, *active->open, item);
    if (active->successor) LogRequestOn(state, *active, *active->successor, item);
  }
}

struct decoded_record {
  quarantine::fingerprint key;
  int64_t until_ms = 0;  // Unix time
};

std::optional<decoded_record> DecodeRecord(const quarantine_record& record) {
  const std::string_view name = record.key;
  if (!name.starts_with(kQuarantinePrefix)) return std::nullopt;
  const auto key = quarantine::ParseFingerprint(name.substr(kQuarantinePrefix.size()));
  const json body = json::parse(record.value, nullptr, false);
  const json until = body.is_object() ? body.value("until_ms", json()) : json();
  if (!key || !until.is_number_integer()) return std::nullopt;
  return decoded_record{*key, until.get<int64_t>()};
}

}  // namespace

quarantine::fingerprint FingerprintOf(const call& item) {
  const std::string& caller = item.workspace.empty() ? item.incoming.key : item.workspace;
  return quarantine::MakeFingerprint(caller, item.incoming.target + "\n" + item.body);
}

quarantine::settings QuarantineSettings(const settings& values) {
  return {.daemon = values.id,
          .trial = quarantine::trial::kShared,
          .max_unproven_runs = 0,
          .peer_claim = kPeerClaim,
          .confirm_within = kConfirmWithin,
          .proof_lifetime = kProofLifetime};
}

void StartContainment(gateway_state& state) { Tick(state, MonotonicNow()); }

quarantine::decision AskToRun(gateway_state& state, const call& item) {
  quarantine::outputs out;
  const quarantine::decision decided =
      quarantine::Start(state.quarantine, item.number, item.fingerprint, MonotonicNow(), out);
  Process(state, out, recorder::kThis);
  return decided;
}

quarantine::verdict WouldRun(const gateway_state& state, const call& item) {
  return quarantine::Foresee(state.quarantine, item.fingerprint, MonotonicNow());
}

bool IsQuarantined(const gateway_state& state, const call& item) {
  return IsRefused(state, item.fingerprint);
}

time_point QuarantinedUntil(const gateway_state& state, const call& item) {
  const auto found = state.quarantine.entries.find(item.fingerprint);
  return found == state.quarantine.entries.end() ? time_point() : found->second.loss_expires;
}

bool HasShownProgress(const call& item) { return item.open && item.open->outputs >= kProofOutputs; }

bool HasSuspect(const gateway_state& state, std::string_view endpoint_id) {
  return quarantine::HasSuspect(state.quarantine, endpoint_id);
}

void PlaceAttempt(gateway_state& state, const call& item, std::span<const call_hop> path) {
  if (!state.quarantine.runs.contains(item.number)) return;
  std::vector<quarantine::endpoint_life> route;
  for (const call_hop& part : path) {
    if (const endpoint* engine = FindEndpoint(state, part.endpoint_id)) {
      route.push_back(LifeOf(*engine));
    }
  }
  quarantine::outputs out;
  quarantine::Place(state.quarantine, item.number, route, out, MonotonicNow());
  Process(state, out, recorder::kThis);
}

void NoteOutput(gateway_state& state, const call& item) {
  if (!item.open || item.open->outputs != kProofOutputs) return;
  quarantine::outputs out;
  quarantine::Progress(state.quarantine, item.number, MonotonicNow(), out);
  Process(state, out, recorder::kThis);
}

void NoteBroken(gateway_state& state, const call& item, endpoint& target) {
  quarantine::outputs out;
  quarantine::End(state.quarantine, item.number, quarantine::run_end::kBroken, LifeOf(target),
                  MonotonicNow(), out);
  Process(state, out, recorder::kThis);
  ConfirmLoss(state, target);
}

void EndAttempt(gateway_state& state, const call& item, attempt_end how) {
  const auto end = how == attempt_end::kAnswered ? quarantine::run_end::kCompleted
                                                 : quarantine::run_end::kFailed;
  quarantine::outputs out;
  quarantine::End(state.quarantine, item.number, end, std::nullopt, MonotonicNow(), out);
  Process(state, out, recorder::kThis);
}

void NoteSilent(gateway_state& state, const endpoint& item, time_point silent_since) {
  const time_point now = MonotonicNow();
  quarantine::outputs out;
  quarantine::Silent(state.quarantine, LifeOf(item), now, now + kLongestSilence + kSilenceGrace,
                     out, LastSign(state, item, silent_since, now));
  Process(state, out, recorder::kThis);
}

void NoteLost(gateway_state& state, const endpoint& item, time_point silent_since) {
  LogRequestsOn(state, item);
  const time_point now = MonotonicNow();
  const time_point alive_until = LastSign(state, item, silent_since, now);
  quarantine::outputs out;
  quarantine::Lost(state.quarantine, LifeOf(item), now, out, alive_until);
  Process(state, out, recorder::kThis);
}

void NoteAlive(gateway_state& state, const endpoint& item, uint64_t incarnation, time_point asked) {
  if (state.quarantine.marked.empty()) return;
  const bool named = incarnation != 0;
  quarantine::outputs out;
  quarantine::Alive(state.quarantine,
                    {item.listed.id, named ? incarnation : item.listed.incarnation},
                    named ? asked : time_point::min(), out);
  Process(state, out, recorder::kThis);
}

std::vector<quarantine::fingerprint> MergeSuspects(gateway_state& state, const std::string& peer,
                                                   std::span<const quarantine::update> updates) {
  std::vector<quarantine::fingerprint> changed;
  const time_point now = MonotonicNow();
  for (quarantine::update item : updates) {
    item.daemon = peer;
    quarantine::outputs out;
    if (quarantine::Merge(state.quarantine, item, now, out)) changed.push_back(item.key);
    Process(state, out, recorder::kPeer);
  }
  return changed;
}

void ReplaceQuarantine(gateway_state& state, std::span<const quarantine_record> records) {
  const auto before = std::exchange(state.quarantine_records, {});
  const time_point now = MonotonicNow();
  quarantine::outputs out;
  for (const quarantine_record& record : records) {
    const auto decoded = DecodeRecord(record);
    if (!decoded) {
      log::Log(log::level::kWarning, "quarantine record cannot be used", {{"key", record.key}});
      continue;
    }
    state.quarantine_records[record.key] = decoded->until_ms;
    const duration left = std::chrono::milliseconds(decoded->until_ms - WallClockMs());
    if (left <= duration::zero()) continue;
    const duration most = state.quarantine.config.loss_lifetime;
    quarantine::Restore(state.quarantine, decoded->key, now + std::min(left, most), out);
  }
  // An operator, or the gateway that found the request harmless, has removed the record.
  for (const auto& [name, until_ms] : before) {
    const auto key = quarantine::ParseFingerprint(name.substr(kQuarantinePrefix.size()));
    if (!state.quarantine_records.contains(name)) quarantine::Lift(state.quarantine, *key, out);
  }
  Process(state, out, recorder::kNobody);
}

}  // namespace balsambay::gateway
