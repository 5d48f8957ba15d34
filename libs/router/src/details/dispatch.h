// Starts attempts of requests and handles their failures and stalls.
#pragma once

#include "admission/reason.h"
#include "details/state.h"

namespace balsambay::router {

// Starts the next attempt. Precondition: the request is in phase kReady.
void Dispatch(router_state& state, const request_ptr& request);

// Adds an attempt on `route` to the open ones. Returns null when the ledger grant of a
// non-repeatable request has expired; the request has then been failed.
open_attempt* BeginDispatch(router_state& state, const request_ptr& request,
                            std::vector<net::run_stage> route);

struct attempt_error {
  attempts::attempt_failure failure;
  admission::retry_reason reason;
  std::string endpoint = {};  // the endpoint that failed; empty when not known
  std::string detail = {};
  bool endpoint_lost = false;  // `endpoint` does not respond to status requests either
};

// Closes a failed attempt. When no other attempt is open, schedules a retry or fails the request.
void HandleAttemptFailure(router_state& state, const request_ptr& request, uint32_t attempt,
                          const attempt_error& error);

// Handles an attempt that has delivered no token in time. Opens a successor when another route, the
// quarantine and the retry budget allow one. The open attempts continue in any case, because a
// healthy endpoint can stall for a while and the endpoints may still refuse the successor.
void HandleSilentAttempt(router_state& state, const request_ptr& request,
                         const attempt_error& error);

// Returns the open attempt with this number, or null.
open_attempt* FindOpenAttempt(caller_request& request, uint32_t attempt);

// Closes all open attempts except `attempt`, which has delivered a token or the end of the
// response.
void CloseOtherAttempts(router_state& state, caller_request& request, uint32_t attempt);

// Cancels all open attempts of the request and releases their in-flight counts.
void CloseAllAttempts(router_state& state, caller_request& request);

}  // namespace balsambay::router
