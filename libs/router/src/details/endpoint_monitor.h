// Keeps endpoint health up to date from probes, the platform's VM list and evidence from traffic.
#pragma once

#include "details/state.h"

namespace balsambay::router {

// Largest reply of an endpoint to a status request.
inline constexpr size_t kMaxStatusBytes = size_t{64} << 10;

// Starts polling of the VM list if a platform is configured. Call once.
void StartMonitor(router_state& state);

// Passes the endpoints of the active configuration to the health library.
void MonitorConfiguration(router_state& state);

// Reports evidence from an attempt or a service call.
void ReportEvidence(router_state& state, std::string_view endpoint, health::evidence_kind kind,
                    duration latency = duration::zero());

// Reports evidence that another daemon of the zone has published.
void ReportPeerEvidence(router_state& state, const health::peer_evidence& evidence);

// Whether new attempts may be sent to the endpoint: it is configured, healthy and not drained.
bool IsUsable(const router_state& state, std::string_view endpoint);

// Applies health changes reported by the health library: logs them, publishes them to the zone and
// updates the plans.
void HandleHealthChanges(router_state& state, std::span<const health::state_change> changes);

}  // namespace balsambay::router
