// Attempts of model requests: choice of a route, run on the engines, tokens and the end mark.
#pragma once

#include "details/state.h"

namespace balsambay::router {

// Chooses a route and starts the next attempt of a model request on it; fails the request when
// there is no route.
void DispatchModelRequest(router_state& state, const request_ptr& request);

// Starts an attempt of a model request on `route`.
void StartModelAttempt(router_state& state, const request_ptr& request,
                       std::vector<net::run_stage> route);

}  // namespace balsambay::router
