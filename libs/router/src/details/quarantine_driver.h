// Connects the quarantine of requests that crash endpoints to attempts, probes and peers.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include "details/dispatch.h"
#include "details/state.h"

namespace balsambay::router {

// Starts the periodic tick of the quarantine. Call once.
void StartQuarantine(router_state& state);

enum class run_permission { kAllowed, kAllowedIsolated, kNotNow };

// Asks the quarantine for permission to start an attempt. On kNotNow the request is held and
// dispatched again later, or it was failed. On kAllowedIsolated it must avoid endpoints for which
// HasSuspectRun() is true. After a permission, OnRunEnded() or OnRunBroken() must be called.
run_permission AdmitAttempt(router_state& state, const request_ptr& request);

// Whether a successor may be opened in parallel with the open attempts now. A fingerprint that
// became suspected after these were placed gets no second endpoint.
bool MayOpenSuccessor(const router_state& state, const caller_request& request);

// Whether a suspected request runs on the endpoint.
bool HasSuspectRun(const router_state& state, std::string_view endpoint);

// Call when the open attempts have changed. The quarantine sees them as one run on the endpoints of
// all of them.
void OnRunEndpointsChanged(router_state& state, const caller_request& request);
void OnRunProgress(router_state& state, const caller_request& request);
void OnRunEnded(router_state& state, const caller_request& request, bool completed);

// Call when the last open attempt ended because `endpoint` broke its connection or another stage
// reported the loss of `endpoint`.
void OnRunBroken(router_state& state, const caller_request& request, std::string_view endpoint);

// As OnRunBroken(), for one of several open attempts. The other attempts continue and are
// registered again if the fingerprint may still run.
void OnAttemptBroken(router_state& state, caller_request& request, std::string_view endpoint);

// Call when the endpoint has refused a connection.
void OnEndpointRefused(router_state& state, std::string_view endpoint);

// Call when the endpoint has answered a probe. `started` changes with each start of its process.
void OnEndpointAlive(router_state& state, const std::string& endpoint, uint64_t started);

// Sends a snapshot to a peer whose link has come up; removes the state of a peer whose link has
// gone down.
void HandleQuarantineLink(router_state& state, std::string_view peer, bool up);
void HandleQuarantineMessage(router_state& state, std::string_view peer,
                             const nlohmann::json& message);

}  // namespace balsambay::router
