// Starts attempts and handles their failures.
#pragma once

#include "admission/reason.h"
#include "details/state.h"

namespace balsambay::router {

// Starts the next attempt. Precondition: phase kReady.
void Dispatch(router_state& state, const request_ptr& request);

// Opens the next attempt on `route`, beside those that are open. Null when a non-repeatable request
// may no longer be dispatched; then it has been given up.
open_attempt* BeginDispatch(router_state& state, const request_ptr& request,
                            std::vector<net::run_stage> route);

struct attempt_error {
  attempts::attempt_failure failure;
  admission::retry_reason reason;
  std::string endpoint = {};  // the one that failed; empty when not known
  std::string detail = {};
  bool endpoint_lost = false;  // `endpoint` does not answer at all
};

// Closes an attempt that has ended. Retries or gives up when no other one is open.
void HandleAttemptFailure(router_state& state, const request_ptr& request, uint32_t attempt,
                          const attempt_error& error);

// Opens a successor beside the silent attempts when the endpoints, the quarantine and the retry
// budget allow one. What is open goes on in any case, because a sound endpoint may fall silent for
// a while, and whether the successor is accepted is not known yet.
void HandleSilentAttempt(router_state& state, const request_ptr& request,
                         const attempt_error& error);

// The open attempt with this number, or null.
open_attempt* FindOpenAttempt(caller_request& request, uint32_t attempt);

// Closes all attempts but this one, which has delivered a token.
void CloseOtherAttempts(router_state& state, caller_request& request, uint32_t attempt);

// Cancels all that runs for the request, and frees its places on the endpoints.
void CloseAllAttempts(router_state& state, caller_request& request);

}  // namespace balsambay::router
