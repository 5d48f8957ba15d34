// Life of a request: acceptance, attempts, retries and the final answer.
#pragma once

#include <string>
#include <string_view>

#include "details/state.h"

namespace balsambay::gateway {

void AcceptCall(gateway_state& state, const net::exchange_ptr& exchange);

// Moves requests off an endpoint. `lost`: it does not answer, so requests that entered there start
// again elsewhere; otherwise it finishes those and only the rest of their paths changes.
void MoveCallsOff(gateway_state& state, const std::string& endpoint_id, bool lost);

// Ends the open requests with this fingerprint, but for those that go well.
void EndQuarantined(gateway_state& state, const quarantine::fingerprint& key);

// Requests that were held because of what was looked into go on.
void ResumeHeld(gateway_state& state, const quarantine::fingerprint& key);

// Looks for requests without progress and asks their heads for the reason.
void CheckProgress(gateway_state& state);

// Ends all requests that are still open; returns how many.
int CutCalls(gateway_state& state);

// Runs `on_stopped` when a stop is under way and no request is open.
void CheckStopped(gateway_state& state);

}  // namespace balsambay::gateway
