// HTTP API of callers: authentication and parsing.
#pragma once

#include <string>
#include <vector>

#include "details/replies.h"
#include "details/state.h"

namespace balsambay::router {

// Headers that a request of a caller may have once only.
std::vector<std::string> SingleHeaders();

// Handles POST /v1/chat/completions and POST /v1/services/NAME.
void HandleCallerRequest(router_state& state, const net::exchange_ptr& exchange);

}  // namespace balsambay::router
