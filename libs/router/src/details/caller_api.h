// Parses callers' requests.
#pragma once

#include <variant>

#include "details/replies.h"
#include "details/state.h"

namespace balsambay::router {

// POST /v1/chat/completions and POST /v1/services/NAME.
void HandleCallerRequest(router_state& state, const net::exchange_ptr& exchange);

}  // namespace balsambay::router
