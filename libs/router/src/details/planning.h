// Plans of the configured models and the choice of endpoints for an attempt.
#pragma once

#include <nlohmann/json.hpp>
#include <span>

#include "details/state.h"

namespace balsambay::router {

// Plans all models of a new configuration.
void ConfigurePlans(router_state& state);

// Call when the set of usable endpoints has changed. The plans are rebuilt after a short delay;
// until then route choices avoid unusable endpoints.
void InvalidatePlans(router_state& state);

// Adds `delta` to the attempts in flight on the endpoint: 1 for a start, -1 for an end.
void AddInFlight(router_state& state, std::string_view endpoint, int delta);

// Records the load that the endpoint reported: `active` is its number of active requests.
void RecordReportedLoad(router_state& state, std::string_view endpoint, int active);

// Returns stages that cover all layers of the model once; empty when the usable endpoints do not
// cover them. Endpoints in request.excluded_endpoints are used only when there is no route without
// them.
std::vector<net::run_stage> ChooseRoute(router_state& state, const caller_request& request);

// As ChooseRoute(), but never uses endpoints in request.excluded_endpoints. Empty when there is no
// such route.
std::vector<net::run_stage> ChooseRouteWithoutExcluded(router_state& state,
                                                       const caller_request& request);

// Returns the usable endpoint of the service with the fewest attempts of this daemon in flight, or
// nullptr.
const inventory::endpoint* ChooseServiceEndpoint(router_state& state,
                                                 const caller_request& request);

// Total capacity of the usable endpoints of one model or service, shared by all entry daemons.
struct pool_limit {
  std::string pool;  // "model/NAME" or "service/NAME"
  int max_runs = 0;
  double tokens_per_second = 0;  // 0: unknown
};

std::vector<pool_limit> PoolLimits(const router_state& state);

// Expected time from dispatch to the end of the response; zero when there is no estimate.
duration EstimateServiceTime(const router_state& state, const caller_request& request);

// Describes, for an error message, the layers of the model that no usable endpoint holds.
std::string DescribeUncovered(const router_state& state, const std::string& model);

// Throughput bound, limiting cut and routes of a model, for operators; null when the model has no
// plan.
nlohmann::json DescribePlan(const router_state& state, const std::string& model);

// Records that the endpoints of a completed route hold the prompt in their prefix caches.
void OnRouteSucceeded(router_state& state, const caller_request& request,
                      std::span<const net::run_stage> route);

}  // namespace balsambay::router
