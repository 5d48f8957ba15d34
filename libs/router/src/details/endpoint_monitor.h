// Keeps the health of endpoints up to date: probes, the platform's VM list and evidence from
// traffic.
#pragma once

#include "details/state.h"

namespace balsambay::router {

// Starts the periodic work. Call once.
void StartMonitor(router_state& state);

// Takes over the endpoints of the configuration in force.
void MonitorConfiguration(router_state& state);

// Evidence from an attempt or a service call.
void ReportEvidence(router_state& state, std::string_view endpoint, health::evidence_kind kind,
                    duration latency = duration::zero());

// Evidence that another daemon of the zone has published.
void ReportPeerEvidence(router_state& state, const health::peer_evidence& evidence);

// Whether new work may go to the endpoint now.
bool IsUsable(const router_state& state, std::string_view endpoint);

// Applies changes that came out of the health library: logs, metrics, and what peers must hear.
void HandleHealthChanges(router_state& state, std::span<const health::state_change> changes);

}  // namespace balsambay::router
