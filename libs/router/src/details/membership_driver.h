// Connects the membership library to the peer links.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include "details/state.h"

namespace balsambay::router {

// Call before StartPeers.
void StartMembership(router_state& state);

// A link has come up or gone down.
void HandleMemberLink(router_state& state, std::string_view peer, bool up);

// Publishes a change of an endpoint's health to the zone.
void PublishHealth(router_state& state, const health::peer_evidence& evidence);

// Graceful stop.
void LeaveZone(router_state& state);

void HandleMembershipMessage(router_state& state, std::string_view peer,
                             const nlohmann::json& message);

}  // namespace balsambay::router
