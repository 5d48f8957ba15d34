// State transitions of single endpoints along the state chart, and the probe schedule.
#include "details/transitions.h"

#include <algorithm>
#include <array>

#include "base/hash.h"
#include "chart/chart.h"
#include "endpoint_state_chart.h"

namespace balsambay::health::details {
namespace {

constexpr std::array<std::string_view, 4> kStates = {"live", "suspect", "leaving", "gone"};
constexpr std::array<std::string_view, 5> kEvents = {"suspected", "recovered", "left", "vanished",
                                                     "renewed"};

// Returns whether the event changed the state.
bool RaiseEvent(endpoint_record& record, endpoint_event event) {
  static const chart::table endpoint_chart =
      chart::ParseEmbedded(charts::endpoint_state, kStates, kEvents);
  const endpoint_state old_state = record.state;
  return chart::Step(endpoint_chart, record.state, event) && record.state != old_state;
}

void ClearStatistics(endpoint_record& record) {
  record.consecutive_failures = 0;
  record.consecutive_probe_failures = 0;
  record.consecutive_successes = 0;
  record.samples = 0;
  record.failure_rate = 0;
  record.latency_us = 0;
}

// Each endpoint is probed by probers_per_endpoint daemons of consecutive ranks, from a rank that
// the hash of its id gives.
bool IsAssignedProber(const registry& health, const endpoint_record& record) {
  const uint64_t prober_count = health.prober_count;
  const uint64_t first_rank = Hash64(record.spec.id) % prober_count;
  const uint64_t distance = (health.prober_rank + prober_count - first_rank) % prober_count;
  return distance < static_cast<uint64_t>(health.config.probers_per_endpoint);
}

duration SuspectProbeInterval(const settings& config, const endpoint_record& record) {
  const int doublings = std::min(record.consecutive_probe_failures, 10);
  return std::min(config.min_suspect_probe_interval * (1 << doublings),
                  config.max_suspect_probe_interval);
}

}  // namespace

bool IsUsable(const endpoint_record& record) {
  if (record.state == endpoint_state::kLive) return true;
  return record.state == endpoint_state::kSuspect && !record.ejected;
}

bool HasLeft(const endpoint_record& record) {
  return record.left_incarnation && *record.left_incarnation >= record.incarnation;
}

bool MarkSuspect(endpoint_record& record, bool connection_failed, change_cause cause,
                 time_point now) {
  if (!RaiseEvent(record, endpoint_event::kSuspected)) return false;
  record.connection_failed = connection_failed;
  record.cause = cause;
  record.consecutive_successes = 0;
  record.suspect_since = now;
  record.earliest_recovery = now;
  return true;
}

bool MarkRecovered(const settings& config, endpoint_record& record, time_point now) {
  const bool was_out_of_use = record.ejected || record.state == endpoint_state::kGone;
  if (!RaiseEvent(record, endpoint_event::kRecovered)) return false;
  ClearStatistics(record);
  record.ejected = false;
  record.cause = change_cause::kRecovered;
  if (was_out_of_use) record.slow_start_begin = now;
  // A long time since the endpoint became suspect resets the number of consecutive ejections, which
  // lengthens the hold time.
  if (now - record.suspect_since > 12 * config.outlier_hold_time) record.consecutive_ejections = 0;
  return true;
}

bool MarkLeaving(endpoint_record& record, uint64_t incarnation, change_cause cause) {
  record.incarnation = std::max(record.incarnation, incarnation);
  record.left_incarnation = std::max(record.left_incarnation.value_or(0), incarnation);
  if (!HasLeft(record) || !RaiseEvent(record, endpoint_event::kLeft)) return false;
  record.ejected = false;
  record.cause = cause;
  return true;
}

bool MarkGone(endpoint_record& record, change_cause cause) {
  if (!RaiseEvent(record, endpoint_event::kVanished)) return false;
  record.ejected = false;
  record.cause = cause;
  return true;
}

void StartIncarnation(endpoint_record& record, uint64_t incarnation, change_cause cause,
                      time_point now) {
  record.incarnation = incarnation;
  ClearStatistics(record);
  record.consecutive_ejections = 0;
  record.ejected = false;
  record.cause = cause;
  record.slow_start_begin = now;
  RaiseEvent(record, endpoint_event::kRenewed);
}

void ScheduleProbe(registry& health, endpoint_record& record, time_point due) {
  const auto entry = health.records.find(record.spec.id);
  if (record.next_probe != kNever) health.probes.erase({record.next_probe, entry->first});
  record.next_probe = due;
  if (due != kNever) health.probes.emplace(due, entry->first);
}

time_point NextProbeTime(const registry& health, const endpoint_record& record, time_point now) {
  const settings& config = health.config;
  switch (record.state) {
    case endpoint_state::kSuspect:
      return now + SuspectProbeInterval(config, record);
    case endpoint_state::kGone:
      return now + config.gone_probe_interval;
    case endpoint_state::kLive:
    case endpoint_state::kLeaving:
      return IsAssignedProber(health, record) ? now + config.probe_interval : kNever;
  }
  return kNever;
}

}  // namespace balsambay::health::details
