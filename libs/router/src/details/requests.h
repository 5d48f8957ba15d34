// The life of one request.
#pragma once

#include "details/replies.h"
#include "details/state.h"

namespace balsambay::router {

// Takes over a parsed request and starts its way to an answer.
void AcceptRequest(router_state& state, const request_ptr& request);

// Admission has let the request pass.
void OnAdmitted(router_state& state, const request_ptr& request);

// The whole answer has been handed to the caller. `stored_result` is kept for repeats of a
// non-repeatable request.
void CompleteRequest(router_state& state, const request_ptr& request, std::string stored_result);

// Ends a request with an error, at once.
void FailRequest(router_state& state, const request_ptr& request, std::string_view reason,
                 std::string detail, std::optional<duration> retry_after = std::nullopt);

// Cancels what runs for the request and forgets it. The reply has been sent, or nobody reads it.
// Takes the pointer by value, because the caller's may be the entry of state.requests that is
// erased here.
void RemoveRequest(router_state& state, request_ptr request);

// Reports the stop when it was asked for and the last request has ended.
void CheckStopped(router_state& state);

}  // namespace balsambay::router
