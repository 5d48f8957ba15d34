// Lifecycle of requests: acceptance, attempts, retries and the final reply.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "details/attempt.h"
#include "details/state.h"

namespace balsambay::gateway {

// Accepts a request of a caller, or refuses it.
void AcceptCall(gateway_state& state, const net::exchange_ptr& exchange);

// Reply to a request that was rejected before its body had arrived, and its headers.
std::string RejectCall(gateway_state& state, net::rejection why, std::vector<net::header>& headers);

// Logs and counts a reply whose connection was closed with `bytes` bytes not taken by the caller.
void LogCutReply(gateway_state& state, net::cut_reason why, size_t bytes);

// Logs and counts a connection that the server refused or closed.
void LogClosed(gateway_state& state, net::close_reason why, std::string_view field);

// Callbacks for the attempts of all requests.
const attempt_callbacks& CallAttemptCallbacks();

// Forwards events of the open attempt to the caller.
void ForwardToCaller(gateway_state& state, const call_ptr& request, std::string_view events);

// Ends the open requests with this fingerprint after it was quarantined. Requests whose open
// attempt has shown progress go on.
void EndQuarantinedCalls(gateway_state& state, const quarantine::fingerprint& key);

// Resumes the requests with this fingerprint that were held until the quarantine had decided on it.
void ResumeHeldCalls(gateway_state& state, const quarantine::fingerprint& key);

// During a stop: refuses the waiting requests that can no longer end before the gateway does.
void RefuseWaitingCalls(gateway_state& state);

// Ends all requests that are still open and returns their number.
int AbortCalls(gateway_state& state);

// Refuses the requests that have not arrived whole.
void RefuseUnreadRequests(gateway_state& state);

// If the gateway is draining and no request is open: stops listening once the replies are written,
// and schedules `gateway_state::on_stopped`.
void FinishStopIfIdle(gateway_state& state);

}  // namespace balsambay::gateway
