// Admin API for operators. Shares the port of callers and requires the admin token.
#pragma once

#include "details/state.h"

namespace balsambay::router {

// Handles paths under /admin/v1/.
void HandleAdminRequest(router_state& state, const net::exchange_ptr& exchange);

// Handles GET /metrics, which needs no token.
void HandleMetrics(router_state& state, const net::exchange_ptr& exchange);

}  // namespace balsambay::router
