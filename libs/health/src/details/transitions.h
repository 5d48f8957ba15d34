// Moves of single records along the chart, and the probe schedule.
#pragma once

#include "health/health.h"

namespace balsambay::health::details {

// Chart events; the order matches the names in transitions.cc.
enum class event : uint8_t { kSuspected, kRecovered, kLeft, kVanished, kRenewed };

bool IsUsable(const record& item);

// Whether the endpoint was seen to leave in its current incarnation.
bool HasLeft(const record& item);

// Each returns whether the state changed.
bool Suspect(record& item, bool refused, change_cause cause, time_point now);
bool Recover(const settings& config, record& item, time_point now);
bool Leave(record& item, uint64_t incarnation, change_cause cause);
bool Vanish(record& item, change_cause cause);

// Starts a new incarnation in state live.
void Renew(record& item, uint64_t incarnation, change_cause cause, time_point now);

void ScheduleProbe(registry& health, record& item, time_point at);

// When the next probe is due after one at `now`, by state and probe duty; kNever without duty.
time_point ProbeAfter(const registry& health, const record& item, time_point now);

}  // namespace balsambay::health::details
