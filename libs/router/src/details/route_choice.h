// Chooses endpoints for an attempt.
#pragma once

#include "details/state.h"

namespace balsambay::router {

// Stages that cover all layers of the model once, or empty when no usable endpoints do. Endpoints
// in item.excluded are used only when there is no other way.
std::vector<net::run_stage> ChooseRoute(router_state& state, const request& item);

// A usable endpoint of the service, or nullptr.
const inventory::endpoint* ChooseServiceEndpoint(router_state& state, const request& item);

}  // namespace balsambay::router
