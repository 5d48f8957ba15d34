// One attempt of a model request: route, run, tokens, end.
#pragma once

#include "details/state.h"

namespace balsambay::router {

// Starts the next attempt of a model request.
void DispatchModelRequest(router_state& state, const request_ptr& request);

// Starts an attempt of a model request on `route`.
void StartModelAttempt(router_state& state, const request_ptr& request,
                       std::vector<net::run_stage> route);

}  // namespace balsambay::router
