// Public functions of the library. Each applies one input to the records, recomputes ejections when
// a state changed, and returns the differences from the last published states.
#include "health/health.h"

#include <algorithm>
#include <array>

#include "base/hash.h"
#include "base/result.h"
#include "details/ejection.h"
#include "details/transitions.h"

namespace balsambay::health {
namespace {

using details::HasLeft;
using details::ScheduleProbe;

// Weight of one reply in the moving averages of failure rate and latency.
constexpr double kSampleWeight = 0.2;

// Recomputes ejections and returns the changes since the previous call.
std::vector<state_change> Publish(registry& health) {
  details::RecomputeEjections(health);
  std::vector<state_change> changes;
  for (auto& [id, record] : health.records) {
    const bool usable = details::IsUsable(record);
    const bool same_state = record.state == record.published_state;
    const bool renewed = record.incarnation != record.published_incarnation;
    if (same_state && usable == record.published_usable && !renewed) continue;
    const bool ejection_only = same_state && !renewed && record.cause != change_cause::kAdded;
    const change_cause cause = ejection_only ? change_cause::kEjection : record.cause;
    changes.push_back(
        {id, record.incarnation, record.published_state, record.state, usable, cause});
    record.published_state = record.state;
    record.published_usable = usable;
    record.published_incarnation = record.incarnation;
  }
  return changes;
}

std::vector<state_change> PublishIfChanged(registry& health, bool changed) {
  return changed ? Publish(health) : std::vector<state_change>{};
}

void RescheduleProbe(registry& health, endpoint_record& record, time_point now) {
  ScheduleProbe(health, record, details::NextProbeTime(health, record, now));
}

// Sets the first known incarnation. An endpoint that was seen leaving before its incarnation was
// known counts as having left in this one, because the live evidence may be as old as the
// departure.
bool SetFirstIncarnation(endpoint_record& record, uint64_t incarnation) {
  if (HasLeft(record)) record.left_incarnation = incarnation;
  record.incarnation = incarnation;
  record.published_incarnation = incarnation;
  return false;
}

// Applies evidence from any source that the endpoint is live in `incarnation`.
bool ApplyLive(const registry& health, endpoint_record& record, uint64_t incarnation,
               change_cause cause, time_point now) {
  if (record.incarnation == 0) return SetFirstIncarnation(record, incarnation);
  const bool injected_revival =
      health.config.test_faults.stale_live_revives && incarnation == record.incarnation;
  if (injected_revival && HasLeft(record)) record.left_incarnation.reset();
  if (incarnation > record.incarnation ||
      (injected_revival && record.state == endpoint_state::kLeaving)) {
    details::StartIncarnation(record, incarnation, cause, now);
    return true;
  }
  return false;
}

bool ApplyLeaving(endpoint_record& record, uint64_t incarnation, change_cause cause) {
  return incarnation >= record.incarnation && details::MarkLeaving(record, incarnation, cause);
}

bool ApplyVmEntry(const registry& health, endpoint_record& record, const vm_entry& entry,
                  time_point now) {
  record.in_vm_list = true;
  if (entry.leaving) return ApplyLeaving(record, entry.incarnation, change_cause::kPlatform);
  return ApplyLive(health, record, entry.incarnation, change_cause::kPlatform, now);
}

// Applies a VM list that does not have the VM. Has no effect unless the previous list had it.
bool ApplyMissing(endpoint_record& record, time_point now) {
  if (!std::exchange(record.in_vm_list, false)) return false;
  if (record.state == endpoint_state::kLeaving) {
    return details::MarkGone(record, change_cause::kMissing);
  }
  return details::MarkSuspect(record, false, change_cause::kMissing, now);
}

// Adds the endpoint, or updates its specification.
void AddEndpoint(registry& health, const endpoint_spec& spec, time_point now) {
  const auto [entry, added] = health.records.try_emplace(spec.id);
  endpoint_record& record = entry->second;
  const bool vm_changed = !added && record.spec.vm != spec.vm;
  if (vm_changed) {
    // Incarnations are counted for each VM, so that the state on the old VM says nothing about the
    // new one.
    ScheduleProbe(health, record, kNever);
    record = endpoint_record{};
  }
  record.spec = spec;
  if (!added && !vm_changed) return;
  record.last_success = now;
  const bool is_initial = !health.initialized;
  record.slow_start_begin = is_initial ? now - health.config.slow_start_duration : now;
  const auto vm = health.vms.find(spec.vm);
  if (vm != health.vms.end()) ApplyVmEntry(health, record, vm->second, now);
  if (vm != health.vms.end() && is_initial) {
    record.slow_start_begin = now - health.config.slow_start_duration;
  }
  // Spreads the first probes of the endpoints over one interval.
  const duration offset = health.config.probe_interval * (Hash64(spec.id, 1) % 1000) / 1000;
  const bool is_prober = details::NextProbeTime(health, record, now) != kNever;
  ScheduleProbe(health, record, is_prober ? now + offset : kNever);
}

// Removes the endpoints that are not in `endpoints`.
std::vector<state_change> RemoveAbsent(registry& health, std::span<const endpoint_spec> endpoints) {
  std::set<std::string_view> configured_ids;
  for (const endpoint_spec& spec : endpoints) configured_ids.insert(spec.id);
  std::vector<state_change> changes;
  for (auto it = health.records.begin(); it != health.records.end();) {
    if (configured_ids.contains(it->first)) {
      ++it;
      continue;
    }
    endpoint_record& record = it->second;
    ScheduleProbe(health, record, kNever);
    changes.push_back({it->first, record.incarnation, record.published_state, endpoint_state::kGone,
                       false, change_cause::kRemoved});
    it = health.records.erase(it);
  }
  return changes;
}

void AddSample(endpoint_record& record, bool failed, duration latency) {
  ++record.samples;
  record.failure_rate += kSampleWeight * ((failed ? 1.0 : 0.0) - record.failure_rate);
  if (latency.count() <= 0) return;
  const auto value = static_cast<double>(latency.count());
  const bool is_first = record.latency_us == 0;
  record.latency_us =
      is_first ? value : record.latency_us + kSampleWeight * (value - record.latency_us);
}

bool OnSuccess(const settings& config, endpoint_record& record, time_point now) {
  record.last_success = now;
  record.consecutive_failures = 0;
  record.consecutive_probe_failures = 0;
  if (record.state == endpoint_state::kGone && !HasLeft(record)) {
    return details::MarkRecovered(config, record, now);
  }
  if (record.state != endpoint_state::kSuspect) return false;
  ++record.consecutive_successes;
  if (record.consecutive_successes < config.probes_to_recover || now < record.earliest_recovery) {
    return false;
  }
  return details::MarkRecovered(config, record, now);
}

bool OnConnectionLoss(endpoint_record& record, time_point now) {
  record.consecutive_successes = 0;
  // A leaving endpoint that refuses connections has terminated.
  if (record.state == endpoint_state::kLeaving) {
    return details::MarkGone(record, change_cause::kRefused);
  }
  // Suspect endpoints with connection failures are ejected before others.
  if (record.state == endpoint_state::kSuspect) {
    return !std::exchange(record.connection_failed, true);
  }
  return details::MarkSuspect(record, true, change_cause::kRefused, now);
}

bool OnRepeatedFailure(endpoint_record& record, int count, int limit, time_point now) {
  record.consecutive_successes = 0;
  return count >= limit && details::MarkSuspect(record, false, change_cause::kFailures, now);
}

bool Apply(registry& health, endpoint_record& record, const evidence& new_evidence,
           time_point now) {
  const settings& config = health.config;
  switch (new_evidence.kind) {
    case evidence_kind::kSuccess:
      AddSample(record, false, new_evidence.latency);
      return OnSuccess(config, record, now);
    case evidence_kind::kProbeOk:
      return OnSuccess(config, record, now);
    case evidence_kind::kFailure:
      AddSample(record, true, duration(0));
      return OnRepeatedFailure(record, ++record.consecutive_failures, config.failures_to_suspect,
                               now);
    case evidence_kind::kProbeFailed:
      return OnRepeatedFailure(record, ++record.consecutive_probe_failures,
                               config.probe_failures_to_suspect, now);
    case evidence_kind::kConnectionRefused:
      return OnConnectionLoss(record, now);
    case evidence_kind::kConnectionLost:
      // A broken connection alone does not show that a leaving endpoint has terminated.
      return record.state != endpoint_state::kLeaving && OnConnectionLoss(record, now);
    case evidence_kind::kReportedLeaving:
      if (config.test_faults.ignore_leaving_reports) return false;
      return ApplyLeaving(record, new_evidence.incarnation.value_or(record.incarnation),
                          change_cause::kReport);
  }
  return false;
}

// Schedules the next probe after evidence. A failed probe of a live endpoint is repeated after
// min_suspect_probe_interval, so that a leaving endpoint is detected within 2 s although one probe
// was lost.
void ScheduleAfterEvidence(registry& health, endpoint_record& record, evidence_kind kind,
                           bool changed, time_point now, random_generator& rng) {
  const bool failed_probe = kind == evidence_kind::kProbeFailed;
  const bool probing =
      record.state == endpoint_state::kSuspect && (failed_probe || kind == evidence_kind::kProbeOk);
  if (failed_probe && record.state == endpoint_state::kLive) {
    ScheduleProbe(health, record, now + health.config.min_suspect_probe_interval);
  } else if (changed || probing) {
    const time_point due = details::NextProbeTime(health, record, now);
    const duration delay = due == kNever ? duration(0) : due - now;
    ScheduleProbe(health, record, due == kNever ? kNever : now + Jitter(rng, delay, 0.1));
  }
}

// Makes suspect endpoints gone that are not in the VM list and gave no sign of life for gone_after.
bool MarkSilentEndpointsGone(registry& health, time_point now) {
  bool changed = false;
  for (auto& [id, record] : health.records) {
    const bool silent =
        now - std::max(record.last_success, record.suspect_since) >= health.config.gone_after;
    if (record.state != endpoint_state::kSuspect || record.in_vm_list || !silent) continue;
    changed |= details::MarkGone(record, change_cause::kMissing);
    RescheduleProbe(health, record, now);
  }
  return changed;
}

// Returns the endpoints with a due probe and schedules the next probe of each.
std::vector<std::string> TakeDueProbes(registry& health, time_point now, random_generator& rng) {
  std::vector<std::string> due;
  while (!health.probes.empty() && health.probes.begin()->first <= now) {
    endpoint_record& record = health.records.find(health.probes.begin()->second)->second;
    due.push_back(record.spec.id);
    const time_point next = details::NextProbeTime(health, record, now);
    // The jitter only shortens the interval, because the 2 s limit for detection depends on it.
    const duration advance = next == kNever ? duration(0) : (next - now) / 10;
    ScheduleProbe(
        health, record,
        next == kNever ? kNever : next - duration(UniformBelow(rng, advance.count() + 1)));
  }
  return due;
}

endpoint_record* FindRecord(registry& health, std::string_view endpoint) {
  const auto it = health.records.find(endpoint);
  return it == health.records.end() ? nullptr : &it->second;
}

}  // namespace

std::string_view ToString(endpoint_state state) {
  constexpr std::array<std::string_view, 4> kNames = {"live", "suspect", "leaving", "gone"};
  return kNames[static_cast<size_t>(state)];
}

std::string_view ToString(change_cause cause) {
  constexpr std::array<std::string_view, 11> kNames = {
      "added",    "removed", "platform", "report",    "peer",    "refused",
      "failures", "outlier", "missing",  "recovered", "ejection"};
  return kNames[static_cast<size_t>(cause)];
}

std::vector<state_change> SetEndpoints(registry& health, std::span<const endpoint_spec> endpoints,
                                       time_point now) {
  std::vector<state_change> changes = RemoveAbsent(health, endpoints);
  for (const endpoint_spec& spec : endpoints) AddEndpoint(health, spec, now);
  health.initialized = true;
  if (health.next_sweep == kNever) health.next_sweep = now + health.config.outlier_sweep_interval;
  std::ranges::move(Publish(health), std::back_inserter(changes));
  return changes;
}

void SetProberRank(registry& health, uint32_t rank, uint32_t prober_count, time_point now) {
  CheckInvariant(rank < prober_count, "prober rank must be below the number of probers");
  if (health.prober_rank == rank && health.prober_count == prober_count) return;
  health.prober_rank = rank;
  health.prober_count = prober_count;
  for (auto& [id, record] : health.records) {
    const time_point due = details::NextProbeTime(health, record, now);
    // A change of rank never delays a probe; otherwise frequent changes could postpone it forever.
    ScheduleProbe(health, record, due == kNever ? kNever : std::min(due, record.next_probe));
  }
}

std::vector<state_change> OnVmList(registry& health, std::span<const vm_entry> list,
                                   time_point now) {
  health.vms.clear();
  for (const vm_entry& entry : list) health.vms[entry.vm] = entry;
  bool changed = false;
  for (auto& [id, record] : health.records) {
    const auto vm = health.vms.find(record.spec.vm);
    const bool record_changed = vm == health.vms.end()
                                    ? ApplyMissing(record, now)
                                    : ApplyVmEntry(health, record, vm->second, now);
    if (record_changed) RescheduleProbe(health, record, now);
    changed |= record_changed;
  }
  return PublishIfChanged(health, changed);
}

std::vector<state_change> OnEvidence(registry& health, const evidence& new_evidence, time_point now,
                                     random_generator& rng) {
  endpoint_record* record = FindRecord(health, new_evidence.endpoint);
  if (record == nullptr ||
      new_evidence.incarnation.value_or(record->incarnation) < record->incarnation) {
    return {};
  }
  bool changed = false;
  const bool live_report =
      new_evidence.kind == evidence_kind::kProbeOk || new_evidence.kind == evidence_kind::kSuccess;
  if (new_evidence.incarnation && live_report) {
    changed = ApplyLive(health, *record, *new_evidence.incarnation, change_cause::kReport, now);
  }
  changed |= Apply(health, *record, new_evidence, now);
  ScheduleAfterEvidence(health, *record, new_evidence.kind, changed, now, rng);
  return PublishIfChanged(health, changed);
}

std::vector<state_change> OnPeerEvidence(registry& health, const peer_evidence& new_evidence,
                                         time_point now, random_generator& rng) {
  endpoint_record* record = FindRecord(health, new_evidence.endpoint);
  if (record == nullptr || new_evidence.incarnation < record->incarnation) return {};
  bool changed = false;
  if (new_evidence.state == endpoint_state::kLeaving ||
      new_evidence.state == endpoint_state::kGone) {
    changed = ApplyLeaving(*record, new_evidence.incarnation, change_cause::kPeer);
  } else {
    changed = ApplyLive(health, *record, new_evidence.incarnation, change_cause::kPeer, now);
  }
  // An endpoint that a peer suspects is not ejected on that evidence alone, because the fault may
  // be the peer's own. This daemon probes the endpoint itself, after a random delay of up to 100
  // ms.
  if (new_evidence.state == endpoint_state::kSuspect && record->state == endpoint_state::kLive) {
    const duration delay = Jitter(rng, health.config.min_suspect_probe_interval / 2, 1.0);
    ScheduleProbe(health, *record, std::min(record->next_probe, now + delay));
  } else if (changed) {
    RescheduleProbe(health, *record, now);
  }
  return PublishIfChanged(health, changed);
}

tick_result Tick(registry& health, time_point now, random_generator& rng) {
  tick_result due_work;
  due_work.probes = TakeDueProbes(health, now, rng);
  if (now < health.next_sweep) return due_work;
  health.next_sweep = now + health.config.outlier_sweep_interval;
  bool changed = MarkSilentEndpointsGone(health, now);
  if (details::SweepOutliers(health, now)) {
    changed = true;
    for (auto& [id, record] : health.records) {
      if (record.published_state == record.state) continue;
      if (record.state == endpoint_state::kSuspect) RescheduleProbe(health, record, now);
    }
  }
  due_work.changes = PublishIfChanged(health, changed);
  return due_work;
}

time_point NextDeadline(const registry& health) {
  const time_point probe = health.probes.empty() ? kNever : health.probes.begin()->first;
  return std::min(probe, health.next_sweep);
}

endpoint_health GetEndpointHealth(const registry& health, std::string_view endpoint,
                                  time_point now) {
  const auto it = health.records.find(endpoint);
  if (it == health.records.end()) return {};
  const endpoint_record& record = it->second;
  const settings& config = health.config;
  const double ramp = static_cast<double>((now - record.slow_start_begin).count()) /
                      static_cast<double>(config.slow_start_duration.count());
  const double factor = std::clamp(ramp, config.min_slow_start_factor, 1.0);
  return {record.state, details::IsUsable(record), factor, record.incarnation};
}

std::vector<peer_evidence> CollectLeavingEvidence(const registry& health) {
  std::vector<peer_evidence> leaving;
  for (const auto& [id, record] : health.records) {
    if (!HasLeft(record)) continue;
    leaving.push_back({id, record.incarnation, endpoint_state::kLeaving});
  }
  return leaving;
}

std::optional<peer_evidence> ToPeerEvidence(const state_change& published) {
  const bool is_direct = published.cause == change_cause::kReport ||
                         published.cause == change_cause::kPlatform ||
                         published.cause == change_cause::kRefused;
  if (!is_direct || published.new_state == endpoint_state::kGone) return std::nullopt;
  return peer_evidence{published.endpoint, published.incarnation, published.new_state};
}

}  // namespace balsambay::health
