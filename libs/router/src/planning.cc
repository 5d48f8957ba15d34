// Keeps one plan, one router and the endpoint views per model. Events update the views in place, so
// that a route choice needs no map look-ups: with 500 endpoints these would cost more than the
// choice itself.
#include "details/planning.h"

#include <algorithm>

#include "base/hash.h"
#include "details/admission_driver.h"
#include "details/endpoint_monitor.h"
#include "details/logging.h"
#include "details/quarantine_driver.h"

namespace balsambay::router {
namespace {

using nlohmann::json;

// Combines simultaneous health changes (of a rack or a zone) into one replanning.
constexpr duration kReplanDelay = std::chrono::milliseconds(50);
// Added to the load of endpoints that are used only when there is no other.
constexpr int kAvoidedEndpointPenalty = 1'000'000;
constexpr duration kSlowStartRefreshInterval = std::chrono::milliseconds(500);

uint32_t ZoneIndex(const planner::topology& topology, std::string_view zone) {
  const auto it = std::ranges::find(topology.zones, zone);
  return it == topology.zones.end() ? planner::kNoZone
                                    : static_cast<uint32_t>(it - topology.zones.begin());
}

std::vector<uint8_t> UsableFlags(const model_plan& planned_model) {
  std::vector<uint8_t> flags;
  std::ranges::transform(planned_model.views, std::back_inserter(flags),
                         [](const routing::endpoint_view& view) { return view.usable ? 1 : 0; });
  return flags;
}

void RefreshView(router_state& state, model_plan& planned_model, planner::endpoint_index index) {
  const std::string& id = planned_model.topology.endpoints[index].id;
  routing::endpoint_view& view = planned_model.views[index];
  view.usable = IsUsable(state, id);
  view.slow_start =
      std::max(0.01, health::GetEndpointHealth(state.health, id, MonotonicNow()).slow_start);
  view.max_runs = planned_model.topology.endpoints[index].max_runs;
}

void RefreshViews(router_state& state, model_plan& planned_model) {
  for (planner::endpoint_index i = 0; i < planned_model.views.size(); ++i)
    RefreshView(state, planned_model, i);
}

void MakePlan(router_state& state, model_plan& planned_model) {
  auto new_plan = planner::MakePlan(planned_model.topology, UsableFlags(planned_model));
  if (new_plan.has_error()) {
    log::Log(log::level::kError, "model cannot be planned",
             {{"model", planned_model.topology.model_id}, {"detail", new_plan.error().detail}});
    return;
  }
  planned_model.plan = std::move(new_plan).value();
  planned_model.router = routing::MakeRouter(planned_model.topology, planned_model.plan,
                                             ZoneIndex(planned_model.topology, state.config.zone));
  log::Log(log::level::kInfo, "model plan rebuilt",
           {{"model", planned_model.topology.model_id},
            {"bound_tokens_per_second", planned_model.plan.bound},
            {"limited_by", planner::FormatCut(planned_model.topology, planned_model.plan.cut)},
            {"uncovered", planner::FormatLayerRanges(planned_model.plan.uncovered_layers)}});
}

void PublishBound(router_state& state) {
  double bound = 0;
  for (const auto& [id, planned_model] : state.plans) bound += planned_model->plan.bound;
  metrics::Set(state.metrics.registry, state.metrics.throughput_bound, bound);
}

void Replan(router_state& state) {
  for (auto& [id, planned_model] : state.plans) MakePlan(state, *planned_model);
  PublishBound(state);
  UpdateCapacity(state);
}

void RefreshSlowStart(router_state& state) {
  for (auto& [id, planned_model] : state.plans) RefreshViews(state, *planned_model);
  state.view_timer = Subscribe(state.loop.Timers(), MonotonicNow() + kSlowStartRefreshInterval,
                               [&state](time_point) { RefreshSlowStart(state); });
}

std::unique_ptr<model_plan> MakeModelPlan(router_state& state, const std::string& model) {
  auto topology = planner::BuildTopology(state.inventory, model);
  if (topology.has_error()) {
    log::Log(log::level::kError, "topology of the model cannot be built",
             {{"model", model}, {"detail", topology.error().detail}});
    return nullptr;
  }
  auto planned_model = std::make_unique<model_plan>();
  planned_model->topology = std::move(topology).value();
  planned_model->views.resize(planned_model->topology.endpoints.size());
  for (planner::endpoint_index i = 0; i < planned_model->views.size(); ++i) {
    const std::string& id = planned_model->topology.endpoints[i].id;
    state.plan_index[id] = {planned_model.get(), i};
    const auto in_flight = state.in_flight.find(id);
    if (in_flight != state.in_flight.end())
      planned_model->views[i].own_requests = in_flight->second;
  }
  RefreshViews(state, *planned_model);
  MakePlan(state, *planned_model);
  return planned_model;
}

const model_plan* FindPlan(const router_state& state, std::string_view model) {
  const auto it = state.plans.find(model);
  return it == state.plans.end() ? nullptr : it->second.get();
}

bool IsOnRoute(const caller_request& request, std::string_view endpoint) {
  return std::ranges::any_of(request.open_attempts, [&](const open_attempt& attempt) {
    return std::ranges::find(attempt.route, endpoint, &net::run_stage::endpoint) !=
           attempt.route.end();
  });
}

std::vector<planner::endpoint_index> ExcludedIndices(const router_state& state,
                                                     const caller_request& request) {
  std::vector<planner::endpoint_index> indices;
  for (const std::string& id : request.excluded_endpoints) {
    const auto it = state.plan_index.find(id);
    if (it != state.plan_index.end()) indices.push_back(it->second.index);
  }
  if (!request.isolated) return indices;
  for (const auto& [id, position] : state.plan_index) {
    // On a route of this request, the suspected run is the request itself.
    if (HasSuspectRun(state, id) && !IsOnRoute(request, id)) indices.push_back(position.index);
  }
  return indices;
}

uint64_t PrefixSalt(std::string_view model) { return Hash64(model); }

routing::route_request DescribeRequest(const caller_request& request) {
  routing::route_request description;
  description.prompt_tokens =
      static_cast<int>(static_cast<double>(request.prompt.size()) / routing::kBytesPerToken);
  description.output_tokens = static_cast<int>(request.max_tokens);
  return description;
}

std::vector<net::run_stage> ToStages(const router_state& state, const model_plan& planned_model,
                                     const planner::route& route) {
  std::vector<net::run_stage> stages;
  for (const planner::stage& stage : route) {
    const auto& endpoint = planned_model.topology.endpoints[stage.endpoint];
    const auto configured = state.inventory.endpoints.find(endpoint.id);
    stages.push_back(
        {endpoint.id, configured->second.address, stage.layers.first, stage.layers.end});
  }
  return stages;
}

// Minimum over the layers of the requests that usable engines can hold concurrently.
int MinRunsOverLayers(const model_plan& planned_model) {
  const auto layers = static_cast<size_t>(planned_model.topology.model.layers);
  std::vector<int> capacity_change(layers + 1);
  for (size_t i = 0; i < planned_model.views.size(); ++i) {
    if (!planned_model.views[i].usable) continue;
    const auto& endpoint = planned_model.topology.endpoints[i];
    capacity_change[static_cast<size_t>(endpoint.layers.first)] += endpoint.max_runs;
    capacity_change[static_cast<size_t>(endpoint.layers.end)] -= endpoint.max_runs;
  }
  int capacity = 0;
  int min_runs = INT_MAX;
  for (size_t layer = 0; layer < layers; ++layer) {
    capacity += capacity_change[layer];
    min_runs = std::min(min_runs, capacity);
  }
  return min_runs;
}

pool_limit ServiceLimit(const router_state& state, const std::string& service) {
  pool_limit limit{"service/" + service, 0, 0};
  for (const auto& [id, endpoint] : state.inventory.endpoints) {
    const bool serves =
        endpoint.kind == inventory::endpoint_kind::kService && endpoint.service == service;
    if (serves && IsUsable(state, id)) limit.max_runs += endpoint.max_runs;
  }
  return limit;
}

}  // namespace

void ConfigurePlans(router_state& state) {
  auto old_plans = std::exchange(state.plans, {});
  state.plan_index.clear();
  for (const auto& [id, model] : state.inventory.models) {
    auto planned_model = MakeModelPlan(state, id);
    if (planned_model) state.plans[id] = std::move(planned_model);
  }
  if (state.view_timer == 0) RefreshSlowStart(state);
  PublishBound(state);
  UpdateCapacity(state);
}

void InvalidatePlans(router_state& state) {
  for (auto& [id, planned_model] : state.plans) RefreshViews(state, *planned_model);
  if (state.replan_timer != 0) return;
  state.replan_timer =
      Subscribe(state.loop.Timers(), MonotonicNow() + kReplanDelay, [&state](time_point) {
        state.replan_timer = 0;
        Replan(state);
      });
}

void AddInFlight(router_state& state, std::string_view endpoint, int delta) {
  const auto it = state.plan_index.find(endpoint);
  if (it != state.plan_index.end()) it->second.plan->views[it->second.index].own_requests += delta;
}

void RecordReportedLoad(router_state& state, std::string_view endpoint, int active) {
  const auto it = state.plan_index.find(endpoint);
  if (it == state.plan_index.end()) return;
  routing::endpoint_view& view = it->second.plan->views[it->second.index];
  view.reported_requests = active;
  view.report_age = duration::zero();
}

namespace {

// With `forbid_excluded`, excluded endpoints are not used even when there is no other route.
std::vector<net::run_stage> ChooseModelRoute(router_state& state, const caller_request& request,
                                             bool forbid_excluded) {
  const auto it = state.plans.find(request.model);
  if (it == state.plans.end()) return {};
  model_plan& planned_model = *it->second;
  const auto hashes = routing::HashPrefixBlocks(request.prompt, PrefixSalt(request.model));
  const auto hits = routing::FindPrefixHolders(state.prefix_table, hashes, MonotonicNow());
  const auto excluded = ExcludedIndices(state, request);
  routing::route_request route_request = DescribeRequest(request);
  route_request.prefix_hits = hits;
  route_request.excluded = excluded;
  constexpr auto kPolicy = routing::routing_policy::kWeighted;
  auto choice = routing::ChooseRoute(planned_model.router, route_request, planned_model.views,
                                     kPolicy, state.rng);
  if (choice.has_error() && !excluded.empty() && !forbid_excluded) {
    route_request.excluded = {};
    choice = routing::ChooseRoute(planned_model.router, route_request, planned_model.views, kPolicy,
                                  state.rng);
  }
  if (choice.has_error()) return {};
  const auto valid = planner::ValidateRoute(choice.value().stages, planned_model.topology.model);
  CheckInvariant(valid.has_value(), "a chosen route covers each layer once");
  return ToStages(state, planned_model, choice.value().stages);
}

}  // namespace

std::vector<net::run_stage> ChooseRoute(router_state& state, const caller_request& request) {
  return ChooseModelRoute(state, request, false);
}

std::vector<net::run_stage> ChooseRouteWithoutExcluded(router_state& state,
                                                       const caller_request& request) {
  return ChooseModelRoute(state, request, true);
}

const inventory::endpoint* ChooseServiceEndpoint(router_state& state,
                                                 const caller_request& request) {
  const inventory::endpoint* best = nullptr;
  int best_load = 0;
  uint64_t ties = 1;
  for (const auto& [id, candidate] : state.inventory.endpoints) {
    const bool serves = candidate.kind == inventory::endpoint_kind::kService &&
                        candidate.service == request.service;
    if (!serves || !IsUsable(state, id)) continue;
    const auto in_flight = state.in_flight.find(id);
    const bool avoid =
        request.excluded_endpoints.contains(id) || (request.isolated && HasSuspectRun(state, id));
    const int load = (in_flight == state.in_flight.end() ? 0 : in_flight->second) +
                     (avoid ? kAvoidedEndpointPenalty : 0);
    const bool tie = best != nullptr && load == best_load;
    ties = tie ? ties + 1 : 1;
    // Reservoir sampling: each endpoint with the least load is chosen with the same probability.
    if (best != nullptr && load > best_load) continue;
    if (tie && UniformBelow(state.rng, ties) != 0) continue;
    best = &candidate;
    best_load = load;
  }
  return best;
}

std::vector<pool_limit> PoolLimits(const router_state& state) {
  std::vector<pool_limit> limits;
  for (const auto& [id, planned_model] : state.plans) {
    limits.push_back({"model/" + id, MinRunsOverLayers(*planned_model), planned_model->plan.bound});
  }
  for (const auto& [id, service] : state.inventory.services)
    limits.push_back(ServiceLimit(state, id));
  return limits;
}

duration EstimateServiceTime(const router_state& state, const caller_request& request) {
  const model_plan* planned_model =
      request.service.empty() ? FindPlan(state, request.model) : nullptr;
  if (planned_model == nullptr || planned_model->plan.routes.empty()) return duration::zero();
  const auto estimate = routing::EstimateRouteLatency(
      planned_model->router.graph, planned_model->plan.routes.front().stages,
      DescribeRequest(request), 0, planned_model->views);
  return estimate.time_to_first_token + estimate.time_per_token * request.max_tokens;
}

std::string DescribeUncovered(const router_state& state, const std::string& model) {
  const model_plan* planned_model = FindPlan(state, model);
  if (planned_model == nullptr) return "model \"" + model + "\" has no plan";
  if (planned_model->plan.uncovered_layers.empty())
    return "no usable endpoints hold all layers of " + model;
  return "no usable endpoint holds " +
         planner::FormatLayerRanges(planned_model->plan.uncovered_layers) + " of " + model;
}

json DescribePlan(const router_state& state, const std::string& model) {
  const model_plan* planned_model = FindPlan(state, model);
  if (planned_model == nullptr) return nullptr;
  json routes = json::array();
  for (const planner::weighted_route& route : planned_model->plan.routes) {
    json stages = json::array();
    for (const planner::stage& stage : route.stages) {
      stages.push_back({{"endpoint", planned_model->topology.endpoints[stage.endpoint].id},
                        {"first", stage.layers.first},
                        {"end", stage.layers.end}});
    }
    routes.push_back({{"weight", route.weight}, {"stages", stages}});
  }
  return {{"bound_tokens_per_second", planned_model->plan.bound},
          {"limiting",
           json::array({planner::FormatCut(planned_model->topology, planned_model->plan.cut)})},
          {"uncovered", planner::FormatLayerRanges(planned_model->plan.uncovered_layers)},
          {"routes", routes}};
}

void OnRouteSucceeded(router_state& state, const caller_request& request,
                      std::span<const net::run_stage> route) {
  const auto hashes = routing::HashPrefixBlocks(request.prompt, PrefixSalt(request.model));
  const time_point now = MonotonicNow();
  for (const net::run_stage& stage : route) {
    const auto it = state.plan_index.find(stage.endpoint);
    if (it == state.plan_index.end()) continue;
    for (const uint64_t hash : hashes)
      routing::RecordCachedPrefix(state.prefix_table, hash, it->second.index, now);
  }
}

}  // namespace balsambay::router
