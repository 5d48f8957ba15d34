// Registry of endpoints: applies the platform's list, reports of engines and observed failures, and
// derives which endpoints are usable.
#include "details/fleet.h"

#include <algorithm>
#include <cmath>

#include "details/containment.h"
#include "details/monitor.h"
#include "details/replacement.h"
#include "log/log.h"

namespace balsambay::gateway {
namespace {

using std::chrono_literals::operator""ms;

// Maximum age of a report from which the load of an engine is estimated; most requests that it
// counted have ended by then.
constexpr duration kReportLifetime = 12'000ms;
// Delay from marking an endpoint down to the first probe of it.
constexpr duration kFirstProbeDelay = 300ms;
// Entries that expired while the list could not be followed reappear within this time after the
// connection to the list is restored, if their endpoints are alive.
constexpr duration kMissingEntryGrace = 2200ms;
// Entries of departed endpoints may reappear in the list as stale data for at most this long.
constexpr duration kDepartedLifetime = std::chrono::minutes(10);
// An endpoint that was removed from the list without notice may go on serving for many seconds; its
// requests have ended by then.
constexpr duration kUnlistedLifetime = std::chrono::seconds(30);
// Weight of the newest request in the moving mean of failures.
constexpr double kFailureWeight = 0.2;
// Half-life of the failure rate without requests, in seconds; short, so that an endpoint that gets
// no requests because of its rate is tried again soon.
constexpr double kFailureHalfLifeS = 3.0;

void UpdateEndpoint(gateway_state& state, endpoint& target, const listed_endpoint& listed) {
  const bool restarted = target.listed.incarnation != listed.incarnation;
  if (restarted && !target.listed.id.empty() && !target.listed.leaving) {
    if (!target.down) OnEndpointLost(state, target);
    MarkEnded(state, target);
  }
  const bool now_leaving = listed.leaving && !target.listed.leaving;
  // Within one incarnation, the leaving state is final.
  const bool leaving = listed.leaving || (!restarted && target.listed.leaving);
  if (target.listed.address != listed.address) state.id_by_address.erase(target.listed.address);
  const bool held_changed = restarted || target.listed.held != listed.held;
  target.listed = listed;
  target.listed.leaving = leaving;
  target.listed_leaving = listed.leaving;
  state.id_by_address[listed.address] = listed.id;
  state.endpoint_names[exchange::IdHash(listed.id)] = listed.id;
  if (held_changed) {
    target.held = listed.held;
    target.held_updated_at = MonotonicNow();
  }
  if (restarted) {
    target.listed_at = MonotonicNow();
    target.accepted_orders = 0;
    target.busy = false;
    target.down = target.found_down = target.ended = false;
    target.failure_rate = 0;
    target.backoff_until = {};
    target.reported = {};
  }
  if (now_leaving) {
    log::Log(log::level::kInfo, "endpoint is listed as leaving",
             {{"endpoint", listed.id}, {"list_version", EndpointListVersion(state)}});
    MoveRequestsOff(state, listed.id, false);
  }
}

void RemoveEndpoint(gateway_state& state, const std::string& id) {
  const auto found = state.endpoints.find(id);
  if (found->second.listed.leaving) {
    state.departed[id] = {found->second.listed.incarnation, MonotonicNow()};
  }
  if (!found->second.listed_leaving && !found->second.down) {
    state.unlisted[id] = {found->second.listed.incarnation, MonotonicNow()};
  }
  log::Log(log::level::kInfo, "endpoint left the list", {{"endpoint", id}});
  const auto by_address = state.id_by_address.find(found->second.listed.address);
  if (by_address != state.id_by_address.end() && by_address->second == id) {
    state.id_by_address.erase(by_address);
  }
  state.endpoint_names.erase(exchange::IdHash(id));
  state.endpoints.erase(found);
  MoveRequestsOff(state, id, false);
}

// Load by requests of other gateways: the load that the engine reported, less the share of this
// gateway.
load ReportedLoad(const pipeline::model_spec& model, const endpoint& target, time_point now) {
  if (!target.held || now - target.reported.at > kReportLifetime) return {};
  // KV memory of a request grows until it ends, so on average half of its answer is still to be
  // generated.
  const double so_far = model.typical_prompt_tokens + model.typical_output_tokens / 2;
  const double growth = 1 + (so_far > 0 ? model.typical_output_tokens / 2 / so_far : 0);
  const reported_load& report = target.reported;
  load others;
  others.committed = std::max(0.0, report.committed * growth - report.own.committed);
  others.sequences = std::max(0, report.sequences - report.own.sequences);
  // The engine that holds the first layers is the head of each path through it.
  if (target.held->begin == 0) others.head_requests = others.sequences;
  return others;
}

// Estimated load that the other gateways of the zone have added since the last report: each as much
// as this gateway, since all choose endpoints in the same way and by the same report.
load UnreportedLoad(const gateway_state& state, const endpoint& target) {
  if (state.topology.exact) return {};
  const auto peer_count = static_cast<double>(state.zone_peers);
  return {peer_count * (target.sent.committed - target.reported.sent.committed),
          static_cast<int>(peer_count) * (target.sent.sequences - target.reported.sent.sequences),
          0};
}

// Prepares a new registry entry for UpdateEndpoint(). A list entry that reappears after its
// endpoint departed with the same incarnation stays leaving; any other one counts as a restart.
void InitializeEndpoint(gateway_state& state, endpoint& target, const listed_endpoint& listed) {
  const auto departed = state.departed.find(listed.id);
  const bool has_departed =
      departed != state.departed.end() && departed->second.incarnation == listed.incarnation;
  // Differs from that of the entry, so that UpdateEndpoint() finds a restart.
  target.listed.incarnation = has_departed ? listed.incarnation : listed.incarnation + 1;
  target.listed.leaving = has_departed;
}

// The entry of a crashed endpoint expires. Reports the loss when it is back.
void ReportLossIfRestarted(gateway_state& state, const listed_endpoint& added) {
  const auto removed = state.unlisted.find(added.id);
  if (removed == state.unlisted.end()) return;
  const uint64_t incarnation = removed->second.incarnation;
  if (incarnation < added.incarnation) OnRemovedEndpointLost(state, added.id, incarnation);
}

// Incarnation of an endpoint that was removed from the list lately; 0: none is known.
uint64_t RemovedIncarnation(const gateway_state& state, const std::string& id) {
  const auto departed = state.departed.find(id);
  const auto unlisted = state.unlisted.find(id);
  return std::max(departed == state.departed.end() ? 0 : departed->second.incarnation,
                  unlisted == state.unlisted.end() ? 0 : unlisted->second.incarnation);
}

// Whether the entry changes nothing: it is unreadable, or of an earlier incarnation than the known
// one, as when an old entry is written again.
bool IsIgnored(gateway_state& state, const listed_endpoint& entry) {
  endpoint* known = FindEndpoint(state, entry.id);
  const bool is_old = known != nullptr && entry.incarnation < known->listed.incarnation;
  const bool readable_again = !entry.unreadable && !is_old;
  if (known != nullptr && known->unreadable != entry.unreadable &&
      (entry.unreadable || readable_again)) {
    known->unreadable = entry.unreadable;
    state.endpoints_changed = MonotonicNow();
    log::Log(log::level::kInfo,
             entry.unreadable ? "endpoint not used, its entry is unreadable"
                              : "endpoint has a readable entry again",
             {{"endpoint", entry.id}});
  }
  if (entry.unreadable) return true;
  if (known == nullptr) return entry.incarnation < RemovedIncarnation(state, entry.id);
  if (entry.incarnation >= known->listed.incarnation) return false;
  if (std::exchange(known->ignored_incarnation, entry.incarnation) != entry.incarnation) {
    log::Log(log::level::kWarning, "ignoring an endpoint row of an earlier incarnation",
             {{"endpoint", entry.id},
              {"incarnation", entry.incarnation},
              {"known", known->listed.incarnation}});
  }
  return true;
}

// Marks the endpoint as ended when it has been down for kMaxSilence.
void ScheduleEndCheck(gateway_state& state, const endpoint& target) {
  Subscribe(state.loop.Timers(), target.down_since + kMaxSilence,
            [&state, id = target.listed.id, incarnation = target.listed.incarnation,
             since = target.down_since](time_point) {
              endpoint* found = FindEndpoint(state, id);
              const bool still_down = found != nullptr &&
                                      found->listed.incarnation == incarnation && found->down &&
                                      found->down_since == since;
              if (still_down) MarkEnded(state, *found);
            });
}

// Removes entries of `departed` and `unlisted` that have reached their lifetime.
void PurgeDeparted(gateway_state& state, time_point now) {
  std::erase_if(state.departed,
                [&](const auto& entry) { return now - entry.second.left_at > kDepartedLifetime; });
  std::erase_if(state.unlisted,
                [&](const auto& entry) { return now - entry.second.left_at > kUnlistedLifetime; });
}

}  // namespace

uint64_t EndpointListVersion(const gateway_state& state) {
  return state.feeds.at(static_cast<size_t>(feed::kEndpoints)).complete;
}

duration EndpointListAge(const gateway_state& state, time_point now) {
  return Age(state.feeds.at(static_cast<size_t>(feed::kEndpoints)), state.store_clock, now);
}

bool IsEndpointListStale(const gateway_state& state, time_point now) {
  const freshness& list_feed = state.feeds.at(static_cast<size_t>(feed::kEndpoints));
  return list_feed.confirmed_ms != 0 &&
         EndpointListAge(state, now) >= state.config.change_propagation_limit;
}

bool MayHaveMissedLeaving(const gateway_state& state, const endpoint& target, time_point now) {
  return target.last_not_leaving_at == time_point() ||
         now - target.last_not_leaving_at >= state.config.change_propagation_limit;
}

size_t KindIndex(const pipeline::model_spec& model, std::string_view name) {
  const auto it = std::ranges::find(model.kinds, name, &pipeline::accelerator_kind::name);
  return static_cast<size_t>(it - model.kinds.begin());
}

endpoint* FindEndpoint(gateway_state& state, std::string_view id) {
  const auto found = state.endpoints.find(std::string(id));
  return found == state.endpoints.end() ? nullptr : &found->second;
}

endpoint* FindByAddress(gateway_state& state, std::string_view address) {
  const auto found = state.id_by_address.find(std::string(address));
  return found == state.id_by_address.end() ? nullptr : FindEndpoint(state, found->second);
}

endpoint* FindByName(gateway_state& state, uint32_t name) {
  const auto found = state.endpoint_names.find(name);
  return found == state.endpoint_names.end() ? nullptr : FindEndpoint(state, found->second);
}

bool IsUsable(const gateway_state& state, const endpoint& target, time_point now) {
  if (target.listed.leaving || target.unreadable || target.down) return false;
  if (now < target.backoff_until) return false;
  const auto zone = state.zone_down_until.find(target.listed.zone);
  return zone == state.zone_down_until.end() || zone->second <= now;
}

std::vector<pipeline::engine> ViewEngines(const gateway_state& state,
                                          const catalog::service& service, time_point now) {
  const pipeline::model_spec& model = *service.pipelined;
  std::vector<pipeline::engine> engines;
  engines.reserve(state.endpoints.size());
  for (const auto& [id, target] : state.endpoints) {
    if (target.listed.service != service.name) continue;
    const size_t kind = KindIndex(model, target.listed.accelerator);
    if (kind == model.kinds.size()) continue;
    const load peer_load = state.topology.exact ? target.peers : ReportedLoad(model, target, now);
    const load unreported = UnreportedLoad(state, target);
    engines.push_back(
        {.id = id,
         .address = target.listed.address,
         .zone = target.listed.zone,
         .kind = kind,
         .held = target.held.value_or(pipeline::layer_range{}),
         .usable = IsUsable(state, target, now),
         .slowdown = target.slowdown,
         .committed = target.own.committed + peer_load.committed,
         .sequences = static_cast<double>(target.own.sequences + peer_load.sequences),
         .head_requests = static_cast<double>(target.own.head_requests + peer_load.head_requests),
         .assumed_committed = unreported.committed,
         .assumed_sequences = static_cast<double>(unreported.sequences)});
  }
  return engines;
}

void ReplaceEndpoints(gateway_state& state, std::span<const listed_endpoint> listed) {
  state.endpoints_known = true;
  PurgeDeparted(state, MonotonicNow());
  std::vector<std::string> removed_ids;
  for (const auto& [id, target] : state.endpoints) {
    if (std::ranges::find(listed, id, &listed_endpoint::id) == listed.end())
      removed_ids.push_back(id);
  }
  for (const listed_endpoint& entry : listed) {
    // An endpoint that is listed is not removed, whatever its entry says.
    state.pending_removals.erase(entry.id);
    if (IsIgnored(state, entry)) continue;
    const auto [found, added] = state.endpoints.try_emplace(entry.id);
    if (added) InitializeEndpoint(state, found->second, entry);
    if (added) ReportLossIfRestarted(state, entry);
    if (added) state.unlisted.erase(entry.id);
    if (added || found->second.listed != entry) {
      state.endpoints_changed = MonotonicNow();
      UpdateEndpoint(state, found->second, entry);
    }
    // The endpoint may have announced in a reply that it is leaving before the list says so.
    found->second.listed_leaving = entry.leaving;
  }
  if (removed_ids.empty()) return;
  const time_point now = MonotonicNow();
  state.endpoints_changed = now;
  const bool may_reappear =
      state.list_recovered_at != time_point() && now - state.list_recovered_at < kMissingEntryGrace;
  if (!may_reappear) {
    std::ranges::for_each(removed_ids, [&](const std::string& id) { RemoveEndpoint(state, id); });
    return;
  }
  for (const std::string& id : removed_ids) {
    if (!state.pending_removals.insert(id).second) continue;
    Subscribe(state.loop.Timers(), state.list_recovered_at + kMissingEntryGrace,
              [&state, id](time_point) {
                if (state.pending_removals.erase(id) > 0 && state.endpoints.contains(id))
                  RemoveEndpoint(state, id);
              });
  }
}

void MarkUp(gateway_state& state, endpoint& target, std::string_view reason) {
  if (!target.down) return;
  target.down = target.found_down = target.ended = false;
  target.missed_reports = 0;
  state.endpoints_changed = MonotonicNow();
  log::Log(log::level::kInfo, "endpoint back in use",
           {{"endpoint", target.listed.id}, {"reason", reason}});
}

void RecordReportedLoad(endpoint& target, double committed, int sequences, time_point at) {
  target.last_not_leaving_at = std::max(target.last_not_leaving_at, at);
  target.reported = {committed, sequences, at, target.own, target.sent, report_forwarding::kNone};
}

void RecordHeldLayers(gateway_state& state, endpoint& target,
                      std::optional<pipeline::layer_range> held, time_point at) {
  if (at < target.held_updated_at) return;
  target.held_updated_at = at;
  if (target.held == held) return;
  target.held = held;
  state.endpoints_changed = MonotonicNow();
}

void MarkEnded(gateway_state& state, endpoint& target) {
  if (!target.down || std::exchange(target.ended, true)) return;
  log::Log(log::level::kInfo, "endpoint considered ended",
           {{"endpoint", target.listed.id},
            {"incarnation", target.listed.incarnation},
            {"out_of_use_ms", WholeMilliseconds(MonotonicNow() - target.down_since)}});
  OnEndpointLost(state, target, target.silent_since);
  MoveRequestsOff(state, target.listed.id, true);
}

bool MayServeUnlisted(const gateway_state& state, const std::string& id, uint64_t incarnation,
                      time_point now) {
  const auto left = state.unlisted.find(id);
  return left != state.unlisted.end() && left->second.incarnation == incarnation &&
         now - left->second.left_at < kUnlistedLifetime;
}

bool HasEnded(const endpoint& target, uint64_t incarnation, time_point now) {
  if (target.listed.incarnation != incarnation) return true;
  return target.down && (target.ended || now - target.down_since >= kMaxSilence);
}

void MarkDown(gateway_state& state, endpoint& target, std::string_view reason,
              loss_evidence evidence, time_point silent_since) {
  if (target.down) return;
  target.down = true;
  target.ended = evidence == loss_evidence::kProof;
  target.down_since = MonotonicNow();
  target.next_probe = target.down_since + kFirstProbeDelay;
  log::Log(log::level::kWarning, "endpoint out of use",
           {{"endpoint", target.listed.id},
            {"address", target.listed.address},
            {"reason", reason},
            {"proved", target.ended}});
  target.silent_since = silent_since;
  if (target.ended) {
    OnEndpointLost(state, target, silent_since);
  } else {
    OnEndpointSilent(state, target, silent_since);
    ScheduleEndCheck(state, target);
  }
  MoveRequestsOff(state, target.listed.id, true);
}

void MarkLeaving(gateway_state& state, endpoint& target, std::string_view told_by) {
  if (target.listed.leaving) return;
  target.listed.leaving = true;
  state.endpoints_changed = MonotonicNow();
  log::Log(log::level::kInfo, "endpoint announced that it is leaving",
           {{"endpoint", target.listed.id},
            {"address", target.listed.address},
            {"told_by", told_by},
            {"list_version", EndpointListVersion(state)},
            {"list_age_ms", WholeMilliseconds(EndpointListAge(state, MonotonicNow()))}});
  AnnounceEndpointUpdate(state, exchange::endpoint_event_kind::kLeaving, target);
  MoveRequestsOff(state, target.listed.id, false);
}

void ApplyReplyMetadata(gateway_state& state, endpoint& target, const reply_metadata& facts) {
  if (facts.leaving) {
    MarkLeaving(state, target, "its reply");
  } else if (facts.authentic || facts.not_executed) {
    target.last_not_leaving_at = MonotonicNow();
  }
  if (facts.retry_after <= duration::zero()) return;
  target.backoff_until = std::max(target.backoff_until, MonotonicNow() + facts.retry_after);
  log::Log(log::level::kInfo, "endpoint asks for no new requests until its retry delay is over",
           {{"endpoint", target.listed.id}, {"ms", WholeMilliseconds(facts.retry_after)}});
}

std::optional<time_point> EarliestRetryTime(const gateway_state& state, std::string_view service,
                                            time_point now) {
  std::optional<time_point> earliest;
  for (const auto& [id, target] : state.endpoints) {
    const bool backing_off = target.listed.service == service && now < target.backoff_until;
    if (!backing_off || !IsUsable(state, target, target.backoff_until)) continue;
    earliest = std::min(earliest.value_or(target.backoff_until), target.backoff_until);
  }
  return earliest;
}

void ApplyReport(gateway_state& state, endpoint& target, const engine_report& report) {
  if (report.incarnation != 0 && report.incarnation < target.listed.incarnation) return;
  const time_point now = MonotonicNow();
  if (target.down) {
    MarkUp(state, target, "answers");
    AnnounceEndpointUpdate(state, exchange::endpoint_event_kind::kRecovered, target);
  }
  target.missed_reports = 0;
  target.answered_at = now;
  target.accepted_orders = report.accepted_orders;
  target.busy = report.busy;
  target.slowdown = std::max(1.0, report.slowdown);
  RecordReportedLoad(target, report.kv_used, report.running + report.waiting, now);
  target.reported.forwarding = report_forwarding::kOwnReport;
  RecordHeldLayers(state, target, report.held, now);
}

double FailureRate(const endpoint& target, time_point now) {
  const double seconds = Seconds(now - target.failure_at);
  return target.failure_rate * std::exp2(-seconds / kFailureHalfLifeS);
}

void RecordOutcome(endpoint& target, bool failed, time_point now) {
  const double rate = FailureRate(target, now);
  target.failure_rate = rate + kFailureWeight * ((failed ? 1.0 : 0.0) - rate);
  target.failure_at = now;
}

void AttachLoad(gateway_state& state, const attempt& current, int sign) {
  for (size_t i = 0; i < current.path.size(); ++i) {
    endpoint* target = FindEndpoint(state, current.path[i].endpoint_id);
    if (target == nullptr) continue;
    target->own.committed += sign * current.committed_tokens * current.path[i].range.Size();
    target->own.sequences += sign;
    if (i == 0) target->own.head_requests += sign;
    if (sign < 0) continue;
    target->sent.committed += current.committed_tokens * current.path[i].range.Size();
    ++target->sent.sequences;
  }
}

}  // namespace balsambay::gateway
