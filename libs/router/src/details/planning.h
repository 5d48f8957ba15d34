// Plans of the models in force and the choice of endpoints for an attempt.
#pragma once

#include <nlohmann/json.hpp>
#include <span>

#include "details/state.h"

namespace balsambay::router {

// Plans all models of a new configuration.
void ConfigurePlans(router_state& state);

// The set of usable endpoints has changed: plans are made again soon, and until then avoid what is
// not usable.
void InvalidatePlans(router_state& state);

// An attempt on the endpoint has begun (1) or ended (-1).
void AddInFlight(router_state& state, std::string_view endpoint, int delta);

// The endpoint has reported its own load.
void RecordReportedLoad(router_state& state, std::string_view endpoint, int active);

// Stages that cover all layers of the model once, or empty when no usable endpoints do. Endpoints
// in item.excluded are used only when there is no other way.
std::vector<net::run_stage> ChooseRoute(router_state& state, const caller_request& request);

// As ChooseRoute, on endpoints that are not in item.excluded. Empty when there are none.
std::vector<net::run_stage> ChooseRouteWithoutExcluded(router_state& state,
                                                       const caller_request& request);

// A usable endpoint of the service, or nullptr.
const inventory::endpoint* ChooseServiceEndpoint(router_state& state,
                                                 const caller_request& request);

// What usable endpoints of one model or service can take in all, over all entry daemons.
struct pool_limit {
  std::string pool;
  int max_runs = 0;
  double tokens_per_second = 0;  // 0: unknown
};

std::vector<pool_limit> PoolLimits(const router_state& state);

// Expected time from dispatch to the end of the answer.
duration EstimateServiceTime(const router_state& state, const caller_request& request);

// Which layers of the model nobody holds, for an error message.
std::string DescribeUncovered(const router_state& state, const std::string& model);

// Bound, limiting cut and routes of a model for operators; null when the model does not exist.
nlohmann::json DescribePlan(const router_state& state, const std::string& model);

// The route has answered the request: its endpoints now hold the prompt in their caches.
void OnRouteSucceeded(router_state& state, const caller_request& request,
                      std::span<const net::run_stage> route);

}  // namespace balsambay::router
