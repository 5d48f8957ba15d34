// Life cycle of a request, from acceptance to removal.
#pragma once

#include "details/replies.h"
#include "details/state.h"

namespace balsambay::router {

// Registers a parsed request, starts its deadline timer and offers it for admission.
void AcceptRequest(router_state& state, const request_ptr& request);

// Call when the gate has admitted the request.
void OnAdmitted(router_state& state, const request_ptr& request);

// Sets the bytes of the answer that the request holds. Returns false if the common limit of all
// requests leaves no room; the request has then failed, or fails in the next turn of the loop.
bool HoldAnswer(router_state& state, const request_ptr& request, size_t bytes);

// Ends a request whose memory was needed for smaller requests.
void FailForMemory(router_state& state, const request_ptr& request);

// Call when the whole response has been passed to the HTTP server. `stored_result` is stored for
// duplicates of a non-repeatable request.
void CompleteRequest(router_state& state, const request_ptr& request, std::string stored_result);

// Ends a request with an error reply or, on a started stream, an error event.
void FailRequest(router_state& state, const request_ptr& request, std::string_view reason,
                 std::string detail, std::optional<duration> retry_after = std::nullopt);

// Cancels the attempts and timers of the request and removes it from the state. The reply has been
// sent, or the caller has disconnected. Takes the pointer by value, because the argument may be the
// element of state.requests that is erased here.
void RemoveRequest(router_state& state, request_ptr request);

// During shutdown: hands over the ledger shards when the last request has ended, and calls
// on_stopped when they are handed over.
void CheckStopped(router_state& state);

}  // namespace balsambay::router
