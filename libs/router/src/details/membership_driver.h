// Connects the membership library to the peer links and to the components that use its facts.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include "details/state.h"

namespace balsambay::router {

// Call before StartPeers.
void StartMembership(router_state& state);

// Call when a peer link has come up or gone down.
void HandleMemberLink(router_state& state, std::string_view peer, bool up);

// Publishes an endpoint's health change to the daemons of the zone.
void PublishHealth(router_state& state, const health::peer_evidence& evidence);

// Announces the departure of this daemon, for a graceful shutdown.
void LeaveZone(router_state& state);

void HandleMembershipMessage(router_state& state, std::string_view peer,
                             const nlohmann::json& message);

}  // namespace balsambay::router
