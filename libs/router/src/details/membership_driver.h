// Connects the membership library to the peer links.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include "details/state.h"

namespace balsambay::router {

void HandleMembershipMessage(router_state& state, std::string_view peer,
                             const nlohmann::json& message);

}  // namespace balsambay::router
