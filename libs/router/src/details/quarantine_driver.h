// Connects the quarantine of crash-causing requests to attempts, probes and peers.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include "details/dispatch.h"
#include "details/state.h"

namespace balsambay::router {

// Starts the periodic work. Call once.
void StartQuarantine(router_state& state);

enum class run_permission { kAllowed, kAllowedIsolated, kNotNow };

// Asks before an attempt. On kNotNow the request waits and is dispatched again later, or was given
// up. On kAllowedAlone it must avoid endpoints with HasSuspectRun. A permitted attempt ends with
// OnRunEnded or OnRunBroken.
run_permission AdmitAttempt(router_state& state, const request_ptr& request);

// Whether a successor may be opened beside the open attempts now. A fingerprint that came under
// suspicion after they were placed gets no second endpoint.
bool MayOpenSuccessor(const router_state& state, const caller_request& request);

// Whether a request that may crash endpoints runs on this one.
bool HasSuspectRun(const router_state& state, std::string_view endpoint);

// The open attempts have changed. They are one run, on the endpoints of all of them.
void OnRunEndpointsChanged(router_state& state, const caller_request& request);
void OnRunProgress(router_state& state, const caller_request& request);
void OnRunEnded(router_state& state, const caller_request& request, bool completed);

// The attempt ended because `endpoint` broke its connection or another stage reported its loss.
void OnRunBroken(router_state& state, const caller_request& request, std::string_view endpoint);

// The same for one of several attempts. The others go on, and are registered again if the
// fingerprint may still run.
void OnAttemptBroken(router_state& state, caller_request& request, std::string_view endpoint);

// The endpoint refuses connections.
void OnEndpointRefused(router_state& state, std::string_view endpoint);

// The endpoint has answered a probe; `started` is new after each start of its process.
void OnEndpointAlive(router_state& state, const std::string& endpoint, uint64_t started);

void HandleQuarantineLink(router_state& state, std::string_view peer, bool up);
void HandleQuarantineMessage(router_state& state, std::string_view peer,
                             const nlohmann::json& message);

}  // namespace balsambay::router
