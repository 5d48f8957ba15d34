// Replacement of running attempts whose endpoints are leaving, lost or slow. A successor is sent
// while the open attempt continues, and replaces it with its first output. Until then the open
// attempt is not ended, so a successor that is refused or may not be sent costs the caller nothing.
// To be used on the main loop only.
#pragma once

#include <string>

#include "details/state.h"

namespace balsambay::gateway {

// Makes the successor the open attempt, after its first output, and ends the former one.
void PromoteSuccessor(gateway_state& state, const call_ptr& request);

// Ends the successor. The open attempt continues, and its withheld output is passed on. `reason` is
// for the log.
void DropSuccessor(gateway_state& state, const call_ptr& request, std::string_view reason);

// Continues the open attempt without a successor, and passes its withheld output on. No other
// successor is sent within `delay`.
void ContinueOpenAttempt(gateway_state& state, const call_ptr& request, duration delay);

// Registers the request with the quarantine for its next attempt, or again for the one that
// continues, since the quarantine keeps only one run of each request. Returns whether it may run.
bool RegisterRun(gateway_state& state, const call_ptr& request);

// Whether output of the open attempt has to be withheld until the outcome of its successor. False:
// the first of the two to make output continues.
bool MustWithhold(const call& request, time_point now);

// Schedules a hedged request: if the open attempt of an idempotent request at a plain endpoint has
// not answered within the route's latency goal, another endpoint is tried as well.
void StartHedgeTimer(gateway_state& state, const call_ptr& request);

// Call when the order to reroute the open attempt behind its head was refused.
void OnRerouteFailed(gateway_state& state, const call_ptr& request);

// Moves requests of pipelined services off an endpoint. `lost`: it does not answer, and requests
// move at once. Otherwise it is about to leave, and most requests end before it does; the others
// move later.
void MoveRequestsOff(gateway_state& state, const std::string& endpoint_id, bool lost);

// Finds engines through which most attempts have stalled, and requests their reports. Call
// periodically.
void CheckProgress(gateway_state& state);

}  // namespace balsambay::gateway
