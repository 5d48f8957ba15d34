// Life of a request: acceptance, attempts, retries and the final answer.
#pragma once

#include <string>
#include <string_view>

#include "details/attempt.h"
#include "details/state.h"

namespace balsambay::gateway {

void AcceptCall(gateway_state& state, const net::exchange_ptr& exchange);

// What attempts of requests report to.
const attempt_callbacks& CallEvents();

// Passes events of the open attempt on to the caller.
void PassOn(gateway_state& state, const call_ptr& item, std::string_view events);

// Ends the open requests with this fingerprint, but for those that go well.
void EndQuarantined(gateway_state& state, const quarantine::fingerprint& key);

// Requests that were held because of what was looked into go on.
void ResumeHeld(gateway_state& state, const quarantine::fingerprint& key);

// Ends all requests that are still open; returns how many.
int CutCalls(gateway_state& state);

// Runs `on_stopped` when a stop is under way and no request is open.
void CheckStopped(gateway_state& state);

}  // namespace balsambay::gateway
