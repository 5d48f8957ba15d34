// One attempt of a model request: route, run, tokens, end.
#pragma once

#include "details/state.h"

namespace balsambay::router {

// Starts the next attempt of a model request.
void DispatchModelRequest(router_state& state, const request_ptr& item);

}  // namespace balsambay::router
