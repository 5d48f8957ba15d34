// Reports events of the gateway to the quarantine and carries out its decisions.
#include "details/containment.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/hash.h"
#include "details/attempt.h"
#include "details/calls.h"
#include "details/fleet.h"
#include "details/monitor.h"
#include "details/silence.h"
#include "log/log.h"
#include "quarantine/message.h"

namespace balsambay::gateway {
namespace {

using nlohmann::json;
using std::chrono_literals::operator""ms;

constexpr duration kTick = 200ms;
// A crashed process refuses the next connection; a silent one is detected by two unanswered probes.
constexpr duration kConfirmWithin = 500ms;
// Lifetime of a peer's claim on a suspect, in case the peer dies while it runs the suspect. The
// first output of a run usually arrives within one or two seconds.
constexpr duration kPeerClaim = 5000ms;
// How long a completed run clears its request: after that, the request may crash endpoints that
// were added since. Shorter than the 3 s or more within which gateways have to contain a request.
constexpr duration kProofLifetime = 2000ms;
// How long a request that was not answered is a possible cause of the loss of its plain endpoint:
// the time in which a crashed endpoint is back, some seconds, and its new entry is known.
constexpr duration kUnansweredLifetime = 15'000ms;
// Number of passed-on outputs that show that a request does not crash its engines. More than one,
// because a crashing engine may still send the first outputs.
constexpr int kProofOutputs = 3;
// Shortest time in which a loss is detected, except by broken connections, which
// OnConnectionBroken() reports. Requests that were sent to the endpoint within this time before the
// detection reached it when it was already dead.
constexpr duration kMinDetectionTime = 100ms;
// Outputs older than this do not show when an endpoint was lost.
constexpr duration kEvidenceLifetime = 1000ms;
// From the end of the longest silence of a healthy endpoint until its loss is reported.
constexpr duration kSilenceGrace = 200ms;
// More prompt parts than are usually on the endpoints that are lost within some minutes.
constexpr size_t kMaxPartIds = 1024;
// Time that a gateway gives the peer from which it learned of a quarantine to write the record.
constexpr duration kRecordGrace = 1500ms;
constexpr duration kRecordRetryDelay = 1000ms;
constexpr double kRecordJitter = 0.5;
// Time from the expiry of a record until its removal, after which it has expired by the clocks of
// all gateways.
constexpr std::chrono::milliseconds kExpiredRecordRetention = std::chrono::minutes(1);

// Keeps the keys of prompt parts apart from those of contents, whose scope is a workspace.
constexpr std::string_view kPartScope = "prompt part\n";

quarantine::run_identity IdentityOf(const call& request) {
  return {request.fingerprint, request.features, request.streaming};
}

quarantine::endpoint_instance LifeOf(const endpoint& target) {
  return {target.listed.id, target.listed.incarnation};
}

std::string RecordKey(const quarantine::fingerprint& fingerprint) {
  return std::string(kQuarantineKeyPrefix) + quarantine::ToString(fingerprint);
}

bool IsFingerprintQuarantined(const gateway_state& state,
                              const quarantine::fingerprint& fingerprint) {
  return quarantine::StateOf(state.quarantine, fingerprint) ==
         quarantine::fingerprint_state::kQuarantined;
}

// Remembers the ids of the parts of the request's prompt, which may be quarantined after it has
// ended.
void RememberParts(gateway_state& state, const call& request) {
  if (state.part_ids.size() + request.features.size() > kMaxPartIds) state.part_ids.clear();
  for (size_t i = 0; i < request.features.size(); ++i) {
    state.part_ids[request.features[i].key] = request.incoming.shared_prompt_parts.at(i);
  }
}

// Empty if no request with the part was on a lost endpoint here, and no record tells the id.
std::string PartId(const gateway_state& state, const quarantine::fingerprint& key) {
  const auto found = state.part_ids.find(key);
  return found == state.part_ids.end() ? std::string() : found->second;
}

// --- Records in the shared table.

void WriteRecord(gateway_state& state, const quarantine::fingerprint& fingerprint);

void ScheduleWrite(gateway_state& state, const quarantine::fingerprint& fingerprint,
                   duration delay) {
  Subscribe(state.loop.Timers(), MonotonicNow() + Jitter(state.rng, delay, kRecordJitter),
            [&state, fingerprint](time_point) { WriteRecord(state, fingerprint); });
}

void WriteTable(gateway_state& state, table::write write, std::function<void(bool)> done) {
  lease::table_call call;
  call.request = table::transaction{.conditions = {}, .writes = {std::move(write)}};
  state.store.call(call, [done = std::move(done)](const lease::table_outcome& outcome) {
    const auto* reply = std::get_if<table::commit_reply>(&outcome);
    done(reply != nullptr && reply->committed);
  });
}

// A failure is ignored, since the record expires anyway.
void DeleteRecord(gateway_state& state, const std::string& key) {
  WriteTable(state, {key, std::nullopt}, [](bool) {});
}

// Writes the record of a quarantined fingerprint, also over an existing one. Retries until a record
// is in the table or the quarantine ends. The write is idempotent.
void PutRecord(gateway_state& state, const quarantine::fingerprint& fingerprint) {
  const auto entry = state.quarantine.entries.find(fingerprint);
  const std::string key = RecordKey(fingerprint);
  json losses = json::array();
  for (const auto& life : entry->second.losses) losses.push_back(life.endpoint);
  const duration remaining = entry->second.loss_expires - MonotonicNow();
  json value = {{"until_ms", WallClockMs() + WholeMilliseconds(remaining)}, {"losses", losses}};
  if (entry->second.is_feature) {
    value["part"] = PartId(state, fingerprint);
    value["sources"] = quarantine::ToJson(entry->second.sources);
    if (entry->second.confined) value["confined"] = true;
  }
  state.written_records.insert(key);
  WriteTable(state, {key, value.dump()}, [&state, fingerprint, key](bool committed) {
    // The quarantine has ended meanwhile. A write without an answer may have been performed.
    if (!IsFingerprintQuarantined(state, fingerprint)) return DeleteRecord(state, key);
    if (committed) return;
    log::Log(log::level::kWarning, "quarantine record was not written; will retry",
             {{"fingerprint", quarantine::ToString(fingerprint)}});
    // Not ScheduleWrite(), which keeps an older record of the quarantine.
    const time_point retry_at =
        MonotonicNow() + Jitter(state.rng, kRecordRetryDelay, kRecordJitter);
    Subscribe(state.loop.Timers(), retry_at, [&state, fingerprint](time_point) {
      if (IsFingerprintQuarantined(state, fingerprint)) PutRecord(state, fingerprint);
    });
  });
}

// Writes the record unless there is one.
void WriteRecord(gateway_state& state, const quarantine::fingerprint& fingerprint) {
  const bool exists = state.quarantine_records.contains(RecordKey(fingerprint));
  if (IsFingerprintQuarantined(state, fingerprint) && !exists) PutRecord(state, fingerprint);
}

void RemoveRecord(gateway_state& state, const std::string& key) {
  // The followed copy of the table may not show an own record yet.
  const bool written = state.written_records.erase(key) > 0;
  if (state.quarantine_records.erase(key) > 0 || written) DeleteRecord(state, key);
}

void RemoveExpired(gateway_state& state) {
  if (!lease::MayAct(state.lease, MonotonicNow())) return;
  const int64_t remove_before = WallClockMs() - kExpiredRecordRetention.count();
  std::vector<std::string> expired;
  for (const auto& [key, until_ms] : state.quarantine_records) {
    if (until_ms < remove_before) expired.push_back(key);
  }
  for (const std::string& key : expired) RemoveRecord(state, key);
}

// --- Decisions of the quarantine.

// "ID@INCARNATION ..." of the endpoints.
std::string InstancesText(std::span<const quarantine::endpoint_instance> instances) {
  std::string text;
  for (const quarantine::endpoint_instance& instance : instances) {
    if (!text.empty()) text += ' ';
    text += instance.endpoint + "@" + std::to_string(instance.incarnation);
  }
  return text;
}

// Which gateway writes the record of a request that enters quarantine.
enum class record_writer : uint8_t { kSelf, kPeer, kNone };

// Removes the record of a quarantine that has ended, unless the gateway that found out does so in
// time.
void ScheduleRemoval(gateway_state& state, const quarantine::fingerprint& fingerprint) {
  Subscribe(state.loop.Timers(), MonotonicNow() + Jitter(state.rng, kRecordGrace, kRecordJitter),
            [&state, fingerprint](time_point) {
              if (!IsFingerprintQuarantined(state, fingerprint))
                RemoveRecord(state, RecordKey(fingerprint));
            });
}

void LogQuarantined(gateway_state& state, const quarantine::fingerprint& fingerprint,
                    record_writer writer) {
  const auto update = quarantine::UpdateOf(state.quarantine, fingerprint);
  if (!update) return;
  if (quarantine::IsFeature(state.quarantine, fingerprint)) {
    metrics::Increment(state.metrics.registry, state.metrics.quarantined_parts);
    log::Log(log::level::kWarning, "prompt part quarantined",
             {{"fingerprint", quarantine::ToString(fingerprint)},
              {"part", PartId(state, fingerprint)},
              {"rounds", update->loss_rounds},
              {"requests", update->sources.size()},
              {"lost", InstancesText(update->losses)},
              {"told", writer != record_writer::kSelf}});
    return;
  }
  log::Log(log::level::kWarning, "request quarantined",
           {{"fingerprint", quarantine::ToString(fingerprint)},
            {"losses", update->losses.size()},
            {"half_losses", update->half_losses.size()},
            {"lost", InstancesText(update->losses)},
            {"lost_half", InstancesText(update->half_losses)},
            {"told", writer != record_writer::kSelf}});
}

void LogAssessed(const gateway_state& state, const quarantine::feature_assessment& assessment) {
  log::Log(log::level::kInfo, "prompt part not quarantined",
           {{"fingerprint", quarantine::ToString(assessment.key)},
            {"part", PartId(state, assessment.key)},
            {"finding", quarantine::ToString(assessment.finding)},
            {"losses", assessment.losses},
            {"executing", assessment.executing},
            {"rounds", assessment.rounds},
            {"required_rounds", assessment.required_rounds},
            {"runs", assessment.runs},
            {"other_part", assessment.other ? PartId(state, *assessment.other) : ""}});
}

void Process(gateway_state& state, const quarantine::side_effects& outputs, record_writer writer) {
  for (const auto& assessment : outputs.assessed) LogAssessed(state, assessment);
  for (const quarantine::fingerprint& fingerprint : outputs.confined) {
    log::Log(log::level::kWarning, "quarantine of a prompt part confined to one workspace",
             {{"fingerprint", quarantine::ToString(fingerprint)},
              {"part", PartId(state, fingerprint)},
              {"told", writer != record_writer::kSelf}});
    if (writer == record_writer::kSelf) PutRecord(state, fingerprint);
  }
  AnnounceSuspects(state, outputs.publish);
  for (const quarantine::fingerprint& fingerprint : outputs.quarantined) {
    LogQuarantined(state, fingerprint, writer);
    if (writer == record_writer::kSelf) WriteRecord(state, fingerprint);
    if (writer == record_writer::kPeer) ScheduleWrite(state, fingerprint, kRecordGrace);
  }
  for (const quarantine::fingerprint& fingerprint : outputs.released) {
    log::Log(log::level::kWarning, "quarantine lifted",
             {{"fingerprint", quarantine::ToString(fingerprint)},
              {"told", writer != record_writer::kSelf}});
    if (writer == record_writer::kSelf) RemoveRecord(state, RecordKey(fingerprint));
    if (writer == record_writer::kPeer) ScheduleRemoval(state, fingerprint);
    if (writer == record_writer::kNone) state.written_records.erase(RecordKey(fingerprint));
  }
  if (outputs.quarantined.empty() && outputs.wake.empty()) return;
  // Deferred, because requests that resume or end call the quarantine again.
  Subscribe(state.loop.Timers(), MonotonicNow(),
            [&state, condemned = outputs.quarantined, wake = outputs.wake](time_point) {
              for (const auto& fingerprint : condemned) EndQuarantinedCalls(state, fingerprint);
              for (const auto& fingerprint : wake) ResumeHeldCalls(state, fingerprint);
            });
}

// The holder of the placement lease runs trials.
void UpdateMayRunTrials(gateway_state& state) {
  quarantine::SetMayRunTrials(state.quarantine, lease::MayAct(state.lease, MonotonicNow()));
}

void Tick(gateway_state& state, time_point now) {
  quarantine::side_effects outputs;
  UpdateMayRunTrials(state);
  quarantine::Tick(state.quarantine, now, outputs);
  // Records of quarantines that have expired are removed by RemoveExpired().
  quarantine::side_effects released;
  std::swap(released.released, outputs.released);
  Process(state, outputs, record_writer::kSelf);
  Process(state, released, record_writer::kNone);
  RemoveExpired(state);
  Subscribe(state.loop.Timers(), now + kTick, [&state](time_point at) { Tick(state, at); });
}

// Last time at which the endpoint is known to have been alive: its last answer, or the last output
// that passed through it. kNever if no output did within kEvidenceLifetime.
time_point AliveUntil(const gateway_state& state, const endpoint& target, time_point now) {
  time_point last{};
  for (const auto& [number, active] : state.calls) {
    const attempt_ptr& open = active->open;
    const bool served = open && open->outputs > 0 && UsesEndpoint(*open, target.listed.id);
    if (served) last = std::max(last, open->last_progress);
  }
  return now - last < kEvidenceLifetime ? std::max(last, target.answered_at) : kNever;
}

// Time of the endpoint's last sign of life. If it is lost, requests that were sent to it later
// reached it when it was already dead.
time_point LastSignOfLife(const gateway_state& state, const endpoint& target,
                          time_point silent_since, time_point now) {
  return std::min({AliveUntil(state, target, now), silent_since, now - kMinDetectionTime,
                   SilentSince(state, target.listed.id, target.listed.incarnation)});
}

void LogRequestOn(gateway_state& state, const call& active, const attempt& sent,
                  const endpoint& target) {
  const auto hop = std::ranges::find(sent.path, target.listed.id, &call_hop::endpoint_id);
  if (hop == sent.path.end()) return;
  RememberParts(state, active);
  metrics::Increment(state.metrics.registry, state.metrics.on_lost_endpoints);
  log::Log(log::level::kInfo, "request was on a lost endpoint",
           {{"request", active.incoming.id},
            {"fingerprint", quarantine::ToString(active.fingerprint)},
            {"prompt_parts", PromptPartsText(active)},
            {"endpoint", target.listed.id},
            {"incarnation", target.listed.incarnation},
            {"part", hop - sent.path.begin()},
            {"parts", sent.path.size()},
            {"attempt", sent.number},
            {"outputs", sent.outputs},
            {"age_ms", WholeMilliseconds(MonotonicNow() - active.arrived)}});
}

void LogRequestsOn(gateway_state& state, const endpoint& target) {
  for (const auto& [number, active] : state.calls) {
    if (active->open) LogRequestOn(state, *active, *active->open, target);
    if (active->successor) LogRequestOn(state, *active, *active->successor, target);
  }
}

void LogUnansweredOn(const gateway_state& state, const quarantine::endpoint_instance& instance) {
  for (const quarantine::unanswered_run& ended : state.quarantine.unanswered) {
    if (ended.instance != instance) continue;
    log::Log(log::level::kInfo, "unanswered request was on a lost endpoint",
             {{"fingerprint", quarantine::ToString(ended.key)},
              {"endpoint", instance.endpoint},
              {"incarnation", instance.incarnation},
              {"ended_ms_ago", WholeMilliseconds(MonotonicNow() - ended.ended_at)}});
  }
}

struct decoded_record {
  quarantine::fingerprint fingerprint;
  int64_t until_ms = 0;                             // Unix time
  std::vector<quarantine::feature_source> sources;  // empty: the record is that of a content
  std::string part;                                 // id of the prompt part
  bool confined = false;                            // see quarantine::table_entry
};

std::optional<decoded_record> DecodeRecord(const quarantine_record& record) {
  const std::string_view key = record.key;
  if (!key.starts_with(kQuarantineKeyPrefix)) return std::nullopt;
  const auto fingerprint = quarantine::ParseFingerprint(key.substr(kQuarantineKeyPrefix.size()));
  const json body = json::parse(record.value, nullptr, false);
  const json until = body.is_object() ? body.value("until_ms", json()) : json();
  if (!fingerprint || !until.is_number_integer()) return std::nullopt;
  const json part = body.value("part", json());
  return decoded_record{*fingerprint, until.get<int64_t>(),
                        quarantine::ParseSources(body.value("sources", json::array()))
                            .value_or(std::vector<quarantine::feature_source>()),
                        part.is_string() ? part.get<std::string>() : std::string(),
                        body.value("confined", json()) == json(true)};
}

}  // namespace

std::string PromptPartsText(const call& request) {
  std::string text;
  for (const std::string& part : request.incoming.shared_prompt_parts) {
    if (!text.empty()) text += ' ';
    text += part;
  }
  return text;
}

quarantine::fingerprint ComputeFingerprint(const call& request) {
  const std::string& caller = request.workspace.empty() ? request.incoming.key : request.workspace;
  std::string content = request.incoming.target + "\n";
  content += request.body;
  return quarantine::MakeFingerprint(caller, content);
}

std::vector<quarantine::shared_feature> ComputeFeatures(const call& request) {
  const std::string& caller = request.workspace.empty() ? request.incoming.key : request.workspace;
  const quarantine::feature_source source{static_cast<uint32_t>(Hash64(caller)),
                                          static_cast<uint32_t>(request.fingerprint.low)};
  const std::string scope = std::string(kPartScope) + request.service;
  std::vector<quarantine::shared_feature> features;
  for (const std::string& part : request.incoming.shared_prompt_parts) {
    features.push_back({quarantine::MakeFingerprint(scope, part), source});
  }
  return features;
}

bool HasKey(const call& request, const quarantine::fingerprint& key) {
  return request.fingerprint == key ||
         std::ranges::find(request.features, key, &quarantine::shared_feature::key) !=
             request.features.end();
}

quarantine::settings QuarantineSettings(const settings& values) {
  return {.daemon = values.id,
          .suspect_policy = quarantine::suspect_policy::kConcurrent,
          .max_unproven_runs = 0,
          .peer_claim_lifetime = kPeerClaim,
          .confirmation_timeout = kConfirmWithin,
          .proof_lifetime = kProofLifetime};
}

void StartContainment(gateway_state& state) { Tick(state, MonotonicNow()); }

quarantine::decision AdmitAttempt(gateway_state& state, const call& request) {
  quarantine::side_effects outputs;
  UpdateMayRunTrials(state);
  const quarantine::decision decision = quarantine::Start(
      state.quarantine, request.number, IdentityOf(request), MonotonicNow(), outputs);
  Process(state, outputs, record_writer::kSelf);
  return decision;
}

quarantine::verdict PredictAdmission(const gateway_state& state, const call& request) {
  return quarantine::PreviewStart(state.quarantine, IdentityOf(request), MonotonicNow());
}

bool IsQuarantined(const gateway_state& state, const call& request) {
  return quarantine::QuarantinedKey(state.quarantine, request.fingerprint, request.features)
      .has_value();
}

time_point QuarantinedUntil(const gateway_state& state, const call& request) {
  const auto key =
      quarantine::QuarantinedKey(state.quarantine, request.fingerprint, request.features);
  return key ? state.quarantine.entries.find(*key)->second.loss_expires : time_point();
}

std::string_view QuarantinedPart(const gateway_state& state, const call& request) {
  const auto key =
      quarantine::QuarantinedKey(state.quarantine, request.fingerprint, request.features);
  if (!key) return {};
  const auto found = std::ranges::find(request.features, *key, &quarantine::shared_feature::key);
  if (found == request.features.end()) return {};
  return request.incoming.shared_prompt_parts.at(
      static_cast<size_t>(found - request.features.begin()));
}

bool HasShownProgress(const call& request) {
  return request.open && request.open->outputs >= kProofOutputs;
}

bool HasSuspect(const gateway_state& state, std::string_view endpoint_id) {
  return quarantine::HasSuspect(state.quarantine, endpoint_id);
}

void RecordAttemptPath(gateway_state& state, const call& request, std::span<const call_hop> path) {
  if (!state.quarantine.runs.contains(request.number)) return;
  std::vector<quarantine::endpoint_instance> route;
  for (const call_hop& hop : path) {
    if (const endpoint* engine = FindEndpoint(state, hop.endpoint_id)) {
      route.push_back(LifeOf(*engine));
    }
  }
  quarantine::side_effects outputs;
  quarantine::SetRoute(state.quarantine, request.number, route, outputs, MonotonicNow());
  Process(state, outputs, record_writer::kSelf);
}

void RecordExecuting(gateway_state& state, const call& request) {
  quarantine::ReportExecuting(state.quarantine, request.number);
}

void RecordProgress(gateway_state& state, const call& request) {
  if (!request.open || request.open->outputs != kProofOutputs) return;
  quarantine::side_effects outputs;
  quarantine::Progress(state.quarantine, request.number, MonotonicNow(), outputs);
  Process(state, outputs, record_writer::kSelf);
}

void OnConnectionBroken(gateway_state& state, const call& request, endpoint& target) {
  RememberParts(state, request);
  quarantine::side_effects outputs;
  quarantine::End(state.quarantine, request.number, quarantine::run_end::kBroken, LifeOf(target),
                  MonotonicNow(), outputs);
  Process(state, outputs, record_writer::kSelf);
  ConfirmLoss(state, target);
}

void RecordUnanswered(gateway_state& state, const call& request, const attempt& ended) {
  if (IsPipelined(ended) || ended.head.status != 0 || ended.no_socket) return;
  const std::string& id = ended.path.front().endpoint_id;
  const auto reached = request.reached.find(id);
  if (reached == request.reached.end()) return;
  // The endpoint may have been lost before the request was sent to it.
  if (ended.last_progress > SilentSince(state, id, reached->second)) return;
  const time_point now = MonotonicNow();
  quarantine::ReportUnanswered(state.quarantine, request.number, {id, reached->second}, now,
                               now + kUnansweredLifetime);
  CheckSilence(state, request, ended);
}

void OnEndpointAnswered(gateway_state& state, const endpoint& target) {
  EndSilence(state, target);
  if (state.quarantine.unanswered.empty()) return;
  quarantine::ReportAnswer(state.quarantine, LifeOf(target),
                           MonotonicNow() + state.config.change_propagation_limit);
}

void OnRemovedEndpointLost(gateway_state& state, const std::string& id, uint64_t incarnation,
                           time_point alive_until) {
  const quarantine::endpoint_instance instance{id, incarnation};
  LogUnansweredOn(state, instance);
  quarantine::side_effects outputs;
  quarantine::ReportLost(state.quarantine, instance, MonotonicNow(), outputs, alive_until);
  Process(state, outputs, record_writer::kSelf);
}

void EndAttempt(gateway_state& state, const call& request, attempt_end how) {
  const auto end = how == attempt_end::kCompleted ? quarantine::run_end::kCompleted
                                                  : quarantine::run_end::kFailed;
  quarantine::side_effects outputs;
  quarantine::End(state.quarantine, request.number, end, std::nullopt, MonotonicNow(), outputs);
  Process(state, outputs, record_writer::kSelf);
}

void OnEndpointSilent(gateway_state& state, const endpoint& target, time_point silent_since) {
  const time_point now = MonotonicNow();
  quarantine::side_effects outputs;
  quarantine::ReportSilent(state.quarantine, LifeOf(target), now, now + kMaxSilence + kSilenceGrace,
                           outputs, LastSignOfLife(state, target, silent_since, now));
  Process(state, outputs, record_writer::kSelf);
}

void OnEndpointLost(gateway_state& state, const endpoint& target, time_point silent_since) {
  LogRequestsOn(state, target);
  LogUnansweredOn(state, LifeOf(target));
  const time_point now = MonotonicNow();
  const time_point alive_until = LastSignOfLife(state, target, silent_since, now);
  quarantine::side_effects outputs;
  quarantine::ReportLost(state.quarantine, LifeOf(target), now, outputs, alive_until);
  Process(state, outputs, record_writer::kSelf);
}

void OnEndpointAlive(gateway_state& state, const endpoint& target, uint64_t incarnation,
                     time_point asked) {
  if (state.quarantine.flagged.empty()) return;
  const bool has_incarnation = incarnation != 0;
  quarantine::side_effects outputs;
  quarantine::ReportAlive(
      state.quarantine,
      {target.listed.id, has_incarnation ? incarnation : target.listed.incarnation},
      has_incarnation ? asked : time_point::min(), outputs);
  Process(state, outputs, record_writer::kSelf);
}

std::vector<quarantine::fingerprint> MergeQuarantineUpdates(
    gateway_state& state, const std::string& peer, std::span<const quarantine::update> updates) {
  std::vector<quarantine::fingerprint> changed;
  const time_point now = MonotonicNow();
  UpdateMayRunTrials(state);
  for (quarantine::update update : updates) {
    update.daemon = peer;
    quarantine::side_effects outputs;
    if (quarantine::Merge(state.quarantine, update, now, outputs)) changed.push_back(update.key);
    Process(state, outputs, record_writer::kPeer);
  }
  return changed;
}

void ApplyQuarantineRecords(gateway_state& state, std::span<const quarantine_record> records) {
  const auto previous = std::exchange(state.quarantine_records, {});
  const time_point now = MonotonicNow();
  quarantine::side_effects outputs;
  for (const quarantine_record& record : records) {
    const auto decoded = DecodeRecord(record);
    if (!decoded) {
      log::Log(log::level::kWarning, "quarantine record is malformed; ignored",
               {{"key", record.key}});
      continue;
    }
    state.quarantine_records[record.key] = decoded->until_ms;
    const duration remaining = std::chrono::milliseconds(decoded->until_ms - WallClockMs());
    if (remaining <= duration::zero()) continue;
    const duration max_remaining = state.quarantine.config.loss_lifetime;
    if (!decoded->part.empty()) state.part_ids[decoded->fingerprint] = decoded->part;
    quarantine::Restore(state.quarantine, decoded->fingerprint,
                        now + std::min(remaining, max_remaining), outputs, decoded->sources,
                        decoded->confined);
  }
  // A record that is gone was removed by an operator, or by the gateway that cleared the request.
  for (const auto& [key, until_ms] : previous) {
    const auto fingerprint = quarantine::ParseFingerprint(key.substr(kQuarantineKeyPrefix.size()));
    if (!state.quarantine_records.contains(key)) {
      quarantine::Lift(state.quarantine, *fingerprint, outputs);
    }
  }
  Process(state, outputs, record_writer::kNone);
}

}  // namespace balsambay::gateway
