// Links to the other entry daemons and the messages on them.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "details/state.h"

namespace balsambay::router {

// Listens for peers and dials those of the settings. Errors: as peer_node::Create.
result<void> StartPeers(router_state& state);

bool SendToPeer(router_state& state, std::string_view peer, const nlohmann::json& message);
void SendToAllPeers(router_state& state, const nlohmann::json& message);

// Instance ids of all daemons that can be reached, this one included.
std::vector<std::string> LiveDaemons(const router_state& state);

}  // namespace balsambay::router
