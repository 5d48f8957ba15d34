// Entry points: each applies one input to the records, recomputes ejections when a state changed
// and reports what differs from the last published state.
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

constexpr double kSampleWeight = 0.2;  // of one answer in the moving averages

std::vector<change> Publish(registry& health) {
  details::RecomputeEjections(health);
  std::vector<change> out;
  for (auto& [id, item] : health.records) {
    const bool usable = details::IsUsable(item);
    const bool same_state = item.state == item.published_state;
    const bool renewed = item.incarnation != item.published_incarnation;
    if (same_state && usable == item.published_usable && !renewed) continue;
    const bool ejection_only = same_state && !renewed && item.cause != change_cause::kAdded;
    const change_cause cause = ejection_only ? change_cause::kEjection : item.cause;
    out.push_back({id, item.incarnation, item.published_state, item.state, usable, cause});
    item.published_state = item.state;
    item.published_usable = usable;
    item.published_incarnation = item.incarnation;
  }
  return out;
}

std::vector<change> PublishIf(registry& health, bool changed) {
  return changed ? Publish(health) : std::vector<change>{};
}

void Reschedule(registry& health, record& item, time_point now) {
  ScheduleProbe(health, item, details::ProbeAfter(health, item, now));
}

// The first known incarnation. An endpoint that left before it was known has left in it, because
// the statement may be as old as the departure.
bool AdoptIncarnation(record& item, uint64_t incarnation) {
  if (HasLeft(item)) item.left_incarnation = incarnation;
  item.incarnation = incarnation;
  item.published_incarnation = incarnation;
  return false;
}

// A live statement about `incarnation` from any source.
bool ApplyLive(const registry& health, record& item, uint64_t incarnation, change_cause cause,
               time_point now) {
  if (item.incarnation == 0) return AdoptIncarnation(item, incarnation);
  const bool revive =
      health.config.test_faults.stale_live_revives && incarnation == item.incarnation;
  if (revive && HasLeft(item)) item.left_incarnation.reset();
  if (incarnation > item.incarnation || (revive && item.state == endpoint_state::kLeaving)) {
    details::Renew(item, incarnation, cause, now);
    return true;
  }
  return false;
}

bool ApplyLeaving(record& item, uint64_t incarnation, change_cause cause) {
  return incarnation >= item.incarnation && details::Leave(item, incarnation, cause);
}

bool ApplyVmEntry(const registry& health, record& item, const vm_entry& entry, time_point now) {
  item.listed = true;
  if (entry.leaving) return ApplyLeaving(item, entry.incarnation, change_cause::kPlatform);
  return ApplyLive(health, item, entry.incarnation, change_cause::kPlatform, now);
}

bool ApplyMissing(record& item, time_point now) {
  if (!std::exchange(item.listed, false)) return false;
  if (item.state == endpoint_state::kLeaving) {
    return details::Vanish(item, change_cause::kMissing);
  }
  return details::Suspect(item, false, change_cause::kMissing, now);
}

void AddEndpoint(registry& health, const endpoint_spec& spec, time_point now) {
  const auto [entry, added] = health.records.try_emplace(spec.id);
  record& item = entry->second;
  const bool moved = !added && item.spec.vm != spec.vm;
  if (moved) {
    // Another VM counts incarnations on its own, so nothing known about the old one applies.
    ScheduleProbe(health, item, kNever);
    item = record{};
  }
  item.spec = spec;
  if (!added && !moved) return;
  item.last_good = now;
  const bool established = !health.filled;
  item.ramp_from = established ? now - health.config.slow_start : now;
  const auto vm = health.vms.find(spec.vm);
  if (vm != health.vms.end()) ApplyVmEntry(health, item, vm->second, now);
  if (vm != health.vms.end() && established) item.ramp_from = now - health.config.slow_start;
  // Spreads the first probes over one interval.
  const duration offset = health.config.probe_interval * (Hash64(spec.id, 1) % 1000) / 1000;
  const bool on_duty = details::ProbeAfter(health, item, now) != kNever;
  ScheduleProbe(health, item, on_duty ? now + offset : kNever);
}

std::vector<change> RemoveAbsent(registry& health, std::span<const endpoint_spec> endpoints) {
  std::set<std::string_view> wanted;
  for (const endpoint_spec& spec : endpoints) wanted.insert(spec.id);
  std::vector<change> out;
  for (auto it = health.records.begin(); it != health.records.end();) {
    if (wanted.contains(it->first)) {
      ++it;
      continue;
    }
    record& item = it->second;
    ScheduleProbe(health, item, kNever);
    out.push_back({it->first, item.incarnation, item.published_state, endpoint_state::kGone, false,
                   change_cause::kRemoved});
    it = health.records.erase(it);
  }
  return out;
}

void AddSample(record& item, bool failed, duration latency) {
  ++item.samples;
  item.failure_rate += kSampleWeight * ((failed ? 1.0 : 0.0) - item.failure_rate);
  if (latency.count() <= 0) return;
  const auto value = static_cast<double>(latency.count());
  const bool first = item.latency_us == 0;
  item.latency_us = first ? value : item.latency_us + kSampleWeight * (value - item.latency_us);
}

bool OnGood(const settings& config, record& item, time_point now) {
  item.last_good = now;
  item.failures = 0;
  item.probe_failures = 0;
  if (item.state == endpoint_state::kGone && !HasLeft(item)) {
    return details::Recover(config, item, now);
  }
  if (item.state != endpoint_state::kSuspect) return false;
  ++item.good_probes;
  if (item.good_probes < config.probes_to_recover || now < item.hold_until) return false;
  return details::Recover(config, item, now);
}

bool OnConnectionLoss(record& item, time_point now) {
  item.good_probes = 0;
  // A leaving endpoint that refuses connections has finished.
  if (item.state == endpoint_state::kLeaving) {
    return details::Vanish(item, change_cause::kRefused);
  }
  // A connection failure moves a suspect endpoint ahead in the order of ejection.
  if (item.state == endpoint_state::kSuspect) return !std::exchange(item.refused, true);
  return details::Suspect(item, true, change_cause::kRefused, now);
}

bool OnRowOfFailures(record& item, int count, int limit, time_point now) {
  item.good_probes = 0;
  return count >= limit && details::Suspect(item, false, change_cause::kFailures, now);
}

bool Apply(registry& health, record& item, const evidence& seen, time_point now) {
  const settings& config = health.config;
  switch (seen.kind) {
    case evidence_kind::kSuccess:
      AddSample(item, false, seen.latency);
      return OnGood(config, item, now);
    case evidence_kind::kProbeOk:
      return OnGood(config, item, now);
    case evidence_kind::kFailure:
      AddSample(item, true, duration(0));
      return OnRowOfFailures(item, ++item.failures, config.failures_to_suspect, now);
    case evidence_kind::kProbeFailed:
      return OnRowOfFailures(item, ++item.probe_failures, config.probe_failures_to_suspect, now);
    case evidence_kind::kConnectRefused:
      return OnConnectionLoss(item, now);
    case evidence_kind::kLost:
      // A broken connection alone does not show that a leaving endpoint has finished.
      return item.state != endpoint_state::kLeaving && OnConnectionLoss(item, now);
    case evidence_kind::kReportedLeaving:
      if (config.test_faults.ignore_reports) return false;
      return ApplyLeaving(item, seen.incarnation.value_or(item.incarnation), change_cause::kReport);
  }
  return false;
}

// A failed probe is repeated soon, so that a leaving endpoint is found within 2 s although one
// probe was lost.
void ScheduleAfterEvidence(registry& health, record& item, evidence_kind kind, bool changed,
                           time_point now, random_generator& rng) {
  const bool failed_probe = kind == evidence_kind::kProbeFailed;
  const bool probing =
      item.state == endpoint_state::kSuspect && (failed_probe || kind == evidence_kind::kProbeOk);
  if (failed_probe && item.state == endpoint_state::kLive) {
    ScheduleProbe(health, item, now + health.config.suspect_probe_min);
  } else if (changed || probing) {
    const time_point due = details::ProbeAfter(health, item, now);
    const duration wait = due == kNever ? duration(0) : due - now;
    ScheduleProbe(health, item, due == kNever ? kNever : now + Jitter(rng, wait, 0.1));
  }
}

// Ends suspect endpoints that the platform does not list and that stayed silent.
bool EndSilent(registry& health, time_point now) {
  bool changed = false;
  for (auto& [id, item] : health.records) {
    const bool silent =
        now - std::max(item.last_good, item.suspect_since) >= health.config.gone_after;
    if (item.state != endpoint_state::kSuspect || item.listed || !silent) continue;
    changed |= details::Vanish(item, change_cause::kMissing);
    Reschedule(health, item, now);
  }
  return changed;
}

std::vector<std::string> TakeDueProbes(registry& health, time_point now, random_generator& rng) {
  std::vector<std::string> due;
  while (!health.probes.empty() && health.probes.begin()->first <= now) {
    record& item = health.records.find(health.probes.begin()->second)->second;
    due.push_back(item.spec.id);
    const time_point next = details::ProbeAfter(health, item, now);
    // Only shorter than the interval, because the 2 s bound rests on it.
    const duration early = next == kNever ? duration(0) : (next - now) / 10;
    ScheduleProbe(health, item,
                  next == kNever ? kNever : next - duration(UniformBelow(rng, early.count() + 1)));
  }
  return due;
}

record* FindRecord(registry& health, std::string_view endpoint) {
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

std::vector<change> SetEndpoints(registry& health, std::span<const endpoint_spec> endpoints,
                                 time_point now) {
  std::vector<change> out = RemoveAbsent(health, endpoints);
  for (const endpoint_spec& spec : endpoints) AddEndpoint(health, spec, now);
  health.filled = true;
  if (health.next_sweep == kNever) health.next_sweep = now + health.config.outlier_sweep;
  std::ranges::move(Publish(health), std::back_inserter(out));
  return out;
}

void SetProbeDuty(registry& health, uint32_t rank, uint32_t members, time_point now) {
  CheckInvariant(rank < members, "probe duty: rank must be below the number of members");
  if (health.duty_rank == rank && health.duty_members == members) return;
  health.duty_rank = rank;
  health.duty_members = members;
  for (auto& [id, item] : health.records) {
    const time_point due = details::ProbeAfter(health, item, now);
    // A change of duty never delays a probe: frequent changes must not keep it from running.
    ScheduleProbe(health, item, due == kNever ? kNever : std::min(due, item.next_probe));
  }
}

std::vector<change> OnVmList(registry& health, std::span<const vm_entry> list, time_point now) {
  health.vms.clear();
  for (const vm_entry& entry : list) health.vms[entry.vm] = entry;
  bool changed = false;
  for (auto& [id, item] : health.records) {
    const auto vm = health.vms.find(item.spec.vm);
    const bool moved = vm == health.vms.end() ? ApplyMissing(item, now)
                                              : ApplyVmEntry(health, item, vm->second, now);
    if (moved) Reschedule(health, item, now);
    changed |= moved;
  }
  return PublishIf(health, changed);
}

std::vector<change> OnEvidence(registry& health, const evidence& seen, time_point now,
                               random_generator& rng) {
  record* item = FindRecord(health, seen.endpoint);
  if (item == nullptr || seen.incarnation.value_or(item->incarnation) < item->incarnation) {
    return {};
  }
  bool changed = false;
  const bool live_report =
      seen.kind == evidence_kind::kProbeOk || seen.kind == evidence_kind::kSuccess;
  if (seen.incarnation && live_report) {
    changed = ApplyLive(health, *item, *seen.incarnation, change_cause::kReport, now);
  }
  changed |= Apply(health, *item, seen, now);
  ScheduleAfterEvidence(health, *item, seen.kind, changed, now, rng);
  return PublishIf(health, changed);
}

std::vector<change> OnPeerEvidence(registry& health, const peer_evidence& seen, time_point now,
                                   random_generator& rng) {
  record* item = FindRecord(health, seen.endpoint);
  if (item == nullptr || seen.incarnation < item->incarnation) return {};
  bool changed = false;
  if (seen.state == endpoint_state::kLeaving || seen.state == endpoint_state::kGone) {
    changed = ApplyLeaving(*item, seen.incarnation, change_cause::kPeer);
  } else {
    changed = ApplyLive(health, *item, seen.incarnation, change_cause::kPeer, now);
  }
  // A peer's suspicion alone ejects nothing, because the fault may be the peer's own; this daemon
  // probes for itself, spread out over 100 ms.
  if (seen.state == endpoint_state::kSuspect && item->state == endpoint_state::kLive) {
    const duration wait = Jitter(rng, health.config.suspect_probe_min / 2, 1.0);
    ScheduleProbe(health, *item, std::min(item->next_probe, now + wait));
  } else if (changed) {
    Reschedule(health, *item, now);
  }
  return PublishIf(health, changed);
}

tick_result Tick(registry& health, time_point now, random_generator& rng) {
  tick_result out;
  out.probes = TakeDueProbes(health, now, rng);
  if (now < health.next_sweep) return out;
  health.next_sweep = now + health.config.outlier_sweep;
  bool changed = EndSilent(health, now);
  if (details::SweepOutliers(health, now)) {
    changed = true;
    for (auto& [id, item] : health.records) {
      if (item.published_state == item.state) continue;
      if (item.state == endpoint_state::kSuspect) Reschedule(health, item, now);
    }
  }
  out.changes = PublishIf(health, changed);
  return out;
}

time_point NextDeadline(const registry& health) {
  const time_point probe = health.probes.empty() ? kNever : health.probes.begin()->first;
  return std::min(probe, health.next_sweep);
}

view View(const registry& health, std::string_view endpoint, time_point now) {
  const auto it = health.records.find(endpoint);
  if (it == health.records.end()) return {};
  const record& item = it->second;
  const settings& config = health.config;
  const double ramp = static_cast<double>((now - item.ramp_from).count()) /
                      static_cast<double>(config.slow_start.count());
  const double factor = std::clamp(ramp, config.slow_start_floor, 1.0);
  return {item.state, details::IsUsable(item), factor, item.incarnation};
}

std::vector<peer_evidence> Snapshot(const registry& health) {
  std::vector<peer_evidence> out;
  for (const auto& [id, item] : health.records) {
    if (!HasLeft(item)) continue;
    out.push_back({id, item.incarnation, endpoint_state::kLeaving});
  }
  return out;
}

std::optional<peer_evidence> ToPeerEvidence(const change& item) {
  const bool direct = item.cause == change_cause::kReport ||
                      item.cause == change_cause::kPlatform || item.cause == change_cause::kRefused;
  if (!direct || item.to == endpoint_state::kGone) return std::nullopt;
  return peer_evidence{item.endpoint, item.incarnation, item.to};
}

}  // namespace balsambay::health
