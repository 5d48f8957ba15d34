// Links to other entry daemons and dispatch of their messages.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "details/state.h"

namespace balsambay::router {

// Listens for peers and connects to the addresses in the settings. Errors: as peer_node::Create.
result<void> StartPeers(router_state& state);

// Returns false when there is no link to `peer`.
bool SendToPeer(router_state& state, std::string_view peer, const nlohmann::json& message);
void SendToAllPeers(router_state& state, const nlohmann::json& message);

// Sorted instance ids of all connected daemons, this daemon included.
std::vector<std::string> LiveDaemons(const router_state& state);

}  // namespace balsambay::router
