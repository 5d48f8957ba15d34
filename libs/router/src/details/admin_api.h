// The operators' API on the same port, guarded by the admin token.
#pragma once

#include "details/state.h"

namespace balsambay::router {

// Paths under /admin/v1/.
void HandleAdminRequest(router_state& state, const net::exchange_ptr& exchange);

// GET /metrics.
void HandleMetrics(router_state& state, const net::exchange_ptr& exchange);

}  // namespace balsambay::router
