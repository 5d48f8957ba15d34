// State transitions of single endpoints along the state chart, and the probe schedule.
#pragma once

#include "health/health.h"

namespace balsambay::health::details {

// Events of endpoint_state.scxml, in the order of the event names in transitions.cc.
enum class endpoint_event : uint8_t { kSuspected, kRecovered, kLeft, kVanished, kRenewed };

// Whether requests may be sent to the endpoint.
bool IsUsable(const endpoint_record& record);

// Whether the endpoint was seen leaving in its current incarnation.
bool HasLeft(const endpoint_record& record);

// Each raises one event of the chart and returns whether the state changed.
bool MarkSuspect(endpoint_record& record, bool connection_failed, change_cause cause,
                 time_point now);
bool MarkRecovered(const settings& config, endpoint_record& record, time_point now);
bool MarkLeaving(endpoint_record& record, uint64_t incarnation, change_cause cause);
bool MarkGone(endpoint_record& record, change_cause cause);

// Starts a new incarnation in state live, with empty statistics and slow start.
void StartIncarnation(endpoint_record& record, uint64_t incarnation, change_cause cause,
                      time_point now);

// Replaces the scheduled probe; kNever cancels it.
void ScheduleProbe(registry& health, endpoint_record& record, time_point due);

// Time of the probe after one at `now`, by state. kNever for a live or leaving endpoint that other
// daemons of the zone probe.
time_point NextProbeTime(const registry& health, const endpoint_record& record, time_point now);

}  // namespace balsambay::health::details
