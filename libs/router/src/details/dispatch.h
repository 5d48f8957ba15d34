// Starts attempts and handles their failures.
#pragma once

#include "admission/reason.h"
#include "details/state.h"

namespace balsambay::router {

// Starts the next attempt. Precondition: phase kReady.
void Dispatch(router_state& state, const request_ptr& item);

// Marks the attempt as open on item->route and returns its number. False when a non-repeatable
// request may no longer be dispatched; then it has been given up.
bool BeginDispatch(router_state& state, const request_ptr& item);

struct attempt_error {
  attempts::attempt_failure failure;
  admission::retry_reason reason;
  std::string endpoint = {};  // the one that failed; empty when not known
  std::string detail = {};
  bool endpoint_lost = false;  // `endpoint` does not answer at all
};

// Closes the attempt and retries or gives up.
void HandleAttemptFailure(router_state& state, const request_ptr& item, uint32_t attempt,
                          const attempt_error& error);

// Cancels what runs for the open attempt, if any, and frees its places on the endpoints.
void CloseAttempt(router_state& state, request& item);

// Counts the attempt on the endpoints of its route; `delta` is 1 or -1.
void CountInFlight(router_state& state, const request& item, int delta);

}  // namespace balsambay::router
