// Moves of single records along the chart, and the probe schedule.
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

bool Raise(record& item, event signal) {
  static const chart::table endpoint_chart =
      chart::ParseEmbedded(charts::endpoint_state, kStates, kEvents);
  const endpoint_state before = item.state;
  return chart::Step(endpoint_chart, item.state, signal) && item.state != before;
}

void ClearStatistics(record& item) {
  item.failures = 0;
  item.probe_failures = 0;
  item.good_probes = 0;
  item.samples = 0;
  item.failure_rate = 0;
  item.latency_us = 0;
}

bool HasProbeDuty(const registry& health, const record& item) {
  const uint64_t members = health.duty_members;
  const uint64_t first = Hash64(item.spec.id) % members;
  const uint64_t distance = (health.duty_rank + members - first) % members;
  return distance < static_cast<uint64_t>(health.config.probers_per_endpoint);
}

duration SuspectProbeDelay(const settings& config, const record& item) {
  const int doublings = std::min(item.probe_failures, 10);
  return std::min(config.suspect_probe_min * (1 << doublings), config.suspect_probe_max);
}

}  // namespace

bool IsUsable(const record& item) {
  if (item.state == endpoint_state::kLive) return true;
  return item.state == endpoint_state::kSuspect && !item.ejected;
}

bool HasLeft(const record& item) {
  return item.left_incarnation && *item.left_incarnation >= item.incarnation;
}

bool Suspect(record& item, bool refused, change_cause cause, time_point now) {
  if (!Raise(item, event::kSuspected)) return false;
  item.refused = refused;
  item.cause = cause;
  item.good_probes = 0;
  item.suspect_since = now;
  item.hold_until = now;
  return true;
}

bool Recover(const settings& config, record& item, time_point now) {
  const bool was_unused = item.ejected || item.state == endpoint_state::kGone;
  if (!Raise(item, event::kRecovered)) return false;
  ClearStatistics(item);
  item.ejected = false;
  item.cause = change_cause::kRecovered;
  if (was_unused) item.ramp_from = now;
  // A long healthy time ends the row of ejections that lengthens the hold time.
  if (now - item.suspect_since > 12 * config.outlier_hold) item.ejections = 0;
  return true;
}

bool Leave(record& item, uint64_t incarnation, change_cause cause) {
  item.incarnation = std::max(item.incarnation, incarnation);
  item.left_incarnation = std::max(item.left_incarnation.value_or(0), incarnation);
  if (!HasLeft(item) || !Raise(item, event::kLeft)) return false;
  item.ejected = false;
  item.cause = cause;
  return true;
}

bool Vanish(record& item, change_cause cause) {
  if (!Raise(item, event::kVanished)) return false;
  item.ejected = false;
  item.cause = cause;
  return true;
}

void Renew(record& item, uint64_t incarnation, change_cause cause, time_point now) {
  item.incarnation = incarnation;
  ClearStatistics(item);
  item.ejections = 0;
  item.ejected = false;
  item.cause = cause;
  item.ramp_from = now;
  Raise(item, event::kRenewed);
}

void ScheduleProbe(registry& health, record& item, time_point at) {
  const auto entry = health.records.find(item.spec.id);
  if (item.next_probe != kNever) health.probes.erase({item.next_probe, entry->first});
  item.next_probe = at;
  if (at != kNever) health.probes.emplace(at, entry->first);
}

time_point ProbeAfter(const registry& health, const record& item, time_point now) {
  const settings& config = health.config;
  switch (item.state) {
    case endpoint_state::kSuspect:
      return now + SuspectProbeDelay(config, item);
    case endpoint_state::kGone:
      return now + config.gone_probe;
    case endpoint_state::kLive:
    case endpoint_state::kLeaving:
      return HasProbeDuty(health, item) ? now + config.probe_interval : kNever;
  }
  return kNever;
}

}  // namespace balsambay::health::details
