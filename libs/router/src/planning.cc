// Keeps one plan, router and endpoint view per model. Views are updated in place by each event, so
// that a route choice reads no maps: at 500 endpoints, looking each one up would cost more than the
// choice.
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

// Health changes that come together (a rack, a zone) lead to one new plan.
constexpr duration kReplanDelay = std::chrono::milliseconds(50);
// Added to the load of endpoints that are taken only when there is no other.
constexpr int kAvoidedLoad = 1'000'000;
constexpr duration kSlowStartRefresh = std::chrono::milliseconds(500);

uint32_t ZoneIndex(const planner::topology& topo, std::string_view zone) {
  const auto it = std::ranges::find(topo.zones, zone);
  return it == topo.zones.end() ? planner::kNoZone : static_cast<uint32_t>(it - topo.zones.begin());
}

std::vector<uint8_t> UsableFlags(const model_plan& planned) {
  std::vector<uint8_t> out;
  std::ranges::transform(planned.views, std::back_inserter(out),
                         [](const routing::endpoint_view& view) { return view.usable ? 1 : 0; });
  return out;
}

void RefreshView(router_state& state, model_plan& planned, planner::endpoint_index index) {
  const std::string& id = planned.topo.endpoints[index].id;
  routing::endpoint_view& view = planned.views[index];
  view.usable = IsUsable(state, id);
  view.slow_start =
      std::max(0.01, health::GetEndpointHealth(state.health, id, MonotonicNow()).slow_start);
  view.max_runs = planned.topo.endpoints[index].max_runs;
}

void RefreshViews(router_state& state, model_plan& planned) {
  for (planner::endpoint_index i = 0; i < planned.views.size(); ++i) RefreshView(state, planned, i);
}

void MakePlan(router_state& state, model_plan& planned) {
  auto made = planner::MakePlan(planned.topo, UsableFlags(planned));
  if (made.has_error()) {
    log::Log(log::level::kError, "no plan",
             {{"model", planned.topo.model_id}, {"detail", made.error().detail}});
    return;
  }
  planned.plan = std::move(made).value();
  planned.router =
      routing::MakeRouter(planned.topo, planned.plan, ZoneIndex(planned.topo, state.config.zone));
  log::Log(log::level::kInfo, "planned",
           {{"model", planned.topo.model_id},
            {"bound_tokens_per_second", planned.plan.bound},
            {"limited_by", planner::FormatCut(planned.topo, planned.plan.cut)},
            {"uncovered", planner::FormatLayerRanges(planned.plan.uncovered_layers)}});
}

void PublishBound(router_state& state) {
  double bound = 0;
  for (const auto& [id, planned] : state.plans) bound += planned->plan.bound;
  metrics::Set(state.metrics.registry, state.metrics.bound, bound);
}

void Replan(router_state& state) {
  for (auto& [id, planned] : state.plans) MakePlan(state, *planned);
  PublishBound(state);
  UpdateCapacity(state);
}

void RefreshSlowStart(router_state& state) {
  for (auto& [id, planned] : state.plans) RefreshViews(state, *planned);
  state.view_timer = Subscribe(state.loop.Timers(), MonotonicNow() + kSlowStartRefresh,
                               [&state](time_point) { RefreshSlowStart(state); });
}

std::unique_ptr<model_plan> MakeModelPlan(router_state& state, const std::string& model) {
  auto topo = planner::BuildTopology(state.inventory, model);
  if (topo.has_error()) {
    log::Log(log::level::kError, "no topology",
             {{"model", model}, {"detail", topo.error().detail}});
    return nullptr;
  }
  auto planned = std::make_unique<model_plan>();
  planned->topo = std::move(topo).value();
  planned->views.resize(planned->topo.endpoints.size());
  for (planner::endpoint_index i = 0; i < planned->views.size(); ++i) {
    const std::string& id = planned->topo.endpoints[i].id;
    state.plan_index[id] = {planned.get(), i};
    const auto mine = state.in_flight.find(id);
    if (mine != state.in_flight.end()) planned->views[i].own_requests = mine->second;
  }
  RefreshViews(state, *planned);
  MakePlan(state, *planned);
  return planned;
}

const model_plan* PlanOf(const router_state& state, std::string_view model) {
  const auto it = state.plans.find(model);
  return it == state.plans.end() ? nullptr : it->second.get();
}

bool IsOnRoute(const request& item, std::string_view endpoint) {
  return std::ranges::any_of(item.open, [&](const open_attempt& attempt) {
    return std::ranges::find(attempt.route, endpoint, &net::run_stage::endpoint) !=
           attempt.route.end();
  });
}

std::vector<planner::endpoint_index> ExcludedIndices(const router_state& state,
                                                     const request& item) {
  std::vector<planner::endpoint_index> out;
  for (const std::string& id : item.excluded) {
    const auto it = state.plan_index.find(id);
    if (it != state.plan_index.end()) out.push_back(it->second.index);
  }
  if (!item.alone) return out;
  for (const auto& [id, position] : state.plan_index) {
    // Where the request itself runs, the suspect is the request.
    if (HasSuspectRun(state, id) && !IsOnRoute(item, id)) out.push_back(position.index);
  }
  return out;
}

uint64_t PrefixSalt(std::string_view model) { return Hash64(model); }

routing::route_request DescribeRequest(const request& item) {
  routing::route_request out;
  out.prompt_tokens =
      static_cast<int>(static_cast<double>(item.prompt.size()) / routing::kBytesPerToken);
  out.output_tokens = static_cast<int>(item.max_tokens);
  return out;
}

std::vector<net::run_stage> ToStages(const router_state& state, const model_plan& planned,
                                     const planner::route& route) {
  std::vector<net::run_stage> out;
  for (const planner::stage& stage : route) {
    const auto& endpoint = planned.topo.endpoints[stage.endpoint];
    const auto known = state.inventory.endpoints.find(endpoint.id);
    out.push_back({endpoint.id, known->second.address, stage.layers.first, stage.layers.end});
  }
  return out;
}

// Requests that usable engines can hold at the layer where they can hold the fewest.
int NarrowestRuns(const model_plan& planned) {
  const auto layers = static_cast<size_t>(planned.topo.model.layers);
  std::vector<int> change(layers + 1);
  for (size_t i = 0; i < planned.views.size(); ++i) {
    if (!planned.views[i].usable) continue;
    const auto& endpoint = planned.topo.endpoints[i];
    change[static_cast<size_t>(endpoint.layers.first)] += endpoint.max_runs;
    change[static_cast<size_t>(endpoint.layers.end)] -= endpoint.max_runs;
  }
  int here = 0;
  int narrowest = INT_MAX;
  for (size_t layer = 0; layer < layers; ++layer) {
    here += change[layer];
    narrowest = std::min(narrowest, here);
  }
  return narrowest;
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
    auto planned = MakeModelPlan(state, id);
    if (planned) state.plans[id] = std::move(planned);
  }
  if (state.view_timer == 0) RefreshSlowStart(state);
  PublishBound(state);
  UpdateCapacity(state);
}

void InvalidatePlans(router_state& state) {
  for (auto& [id, planned] : state.plans) RefreshViews(state, *planned);
  if (state.replan_timer != 0) return;
  state.replan_timer =
      Subscribe(state.loop.Timers(), MonotonicNow() + kReplanDelay, [&state](time_point) {
        state.replan_timer = 0;
        Replan(state);
      });
}

void NoteInFlight(router_state& state, std::string_view endpoint, int delta) {
  const auto it = state.plan_index.find(endpoint);
  if (it != state.plan_index.end()) it->second.plan->views[it->second.index].own_requests += delta;
}

void NoteReportedLoad(router_state& state, std::string_view endpoint, int active) {
  const auto it = state.plan_index.find(endpoint);
  if (it == state.plan_index.end()) return;
  routing::endpoint_view& view = it->second.plan->views[it->second.index];
  view.reported_requests = active;
  view.report_age = duration::zero();
}

namespace {

// With `must_avoid`, excluded endpoints are not used even when there is no other way.
std::vector<net::run_stage> Choose(router_state& state, const request& item, bool must_avoid) {
  const auto it = state.plans.find(item.model);
  if (it == state.plans.end()) return {};
  model_plan& planned = *it->second;
  const auto hashes = routing::HashPrefixBlocks(item.prompt, PrefixSalt(item.model));
  const auto hits = routing::FindPrefixHolders(state.prefixes, hashes, MonotonicNow());
  const auto excluded = ExcludedIndices(state, item);
  routing::route_request wanted = DescribeRequest(item);
  wanted.prefix_hits = hits;
  wanted.excluded = excluded;
  constexpr auto kPolicy = routing::routing_policy::kWeighted;
  auto choice = routing::ChooseRoute(planned.router, wanted, planned.views, kPolicy, state.rng);
  if (choice.has_error() && !excluded.empty() && !must_avoid) {
    wanted.excluded = {};
    choice = routing::ChooseRoute(planned.router, wanted, planned.views, kPolicy, state.rng);
  }
  if (choice.has_error()) return {};
  const auto valid = planner::ValidateRoute(choice.value().stages, planned.topo.model);
  CheckInvariant(valid.has_value(), "a chosen route covers each layer once");
  return ToStages(state, planned, choice.value().stages);
}

}  // namespace

std::vector<net::run_stage> ChooseRoute(router_state& state, const request& item) {
  return Choose(state, item, false);
}

std::vector<net::run_stage> ChooseOtherRoute(router_state& state, const request& item) {
  return Choose(state, item, true);
}

const inventory::endpoint* ChooseServiceEndpoint(router_state& state, const request& item) {
  const inventory::endpoint* best = nullptr;
  int best_load = 0;
  uint64_t ties = 1;
  for (const auto& [id, candidate] : state.inventory.endpoints) {
    const bool serves =
        candidate.kind == inventory::endpoint_kind::kService && candidate.service == item.service;
    if (!serves || !IsUsable(state, id)) continue;
    const auto mine = state.in_flight.find(id);
    const bool avoid = item.excluded.contains(id) || (item.alone && HasSuspectRun(state, id));
    const int load =
        (mine == state.in_flight.end() ? 0 : mine->second) + (avoid ? kAvoidedLoad : 0);
    const bool tie = best != nullptr && load == best_load;
    ties = tie ? ties + 1 : 1;
    // Among equals each is taken with the same probability.
    if (best != nullptr && load > best_load) continue;
    if (tie && UniformBelow(state.rng, ties) != 0) continue;
    best = &candidate;
    best_load = load;
  }
  return best;
}

std::vector<pool_limit> PoolLimits(const router_state& state) {
  std::vector<pool_limit> out;
  for (const auto& [id, planned] : state.plans) {
    out.push_back({"model/" + id, NarrowestRuns(*planned), planned->plan.bound});
  }
  for (const auto& [id, service] : state.inventory.services) out.push_back(ServiceLimit(state, id));
  return out;
}

duration EstimateServiceTime(const router_state& state, const request& item) {
  const model_plan* planned = item.service.empty() ? PlanOf(state, item.model) : nullptr;
  if (planned == nullptr || planned->plan.routes.empty()) return duration::zero();
  const auto estimate =
      routing::EstimateRouteLatency(planned->router.graph, planned->plan.routes.front().stages,
                                    DescribeRequest(item), 0, planned->views);
  return estimate.time_to_first_token + estimate.time_per_token * item.max_tokens;
}

std::string DescribeUncovered(const router_state& state, const std::string& model) {
  const model_plan* planned = PlanOf(state, model);
  if (planned == nullptr) return "model \"" + model + "\" has no plan";
  if (planned->plan.uncovered_layers.empty())
    return "no usable endpoints hold all layers of " + model;
  return "no usable endpoint holds " + planner::FormatLayerRanges(planned->plan.uncovered_layers) +
         " of " + model;
}

json DescribePlan(const router_state& state, const std::string& model) {
  const model_plan* planned = PlanOf(state, model);
  if (planned == nullptr) return nullptr;
  json routes = json::array();
  for (const planner::weighted_route& route : planned->plan.routes) {
    json stages = json::array();
    for (const planner::stage& stage : route.stages) {
      stages.push_back({{"endpoint", planned->topo.endpoints[stage.endpoint].id},
                        {"first", stage.layers.first},
                        {"end", stage.layers.end}});
    }
    routes.push_back({{"weight", route.weight}, {"stages", stages}});
  }
  return {{"bound_tokens_per_second", planned->plan.bound},
          {"limiting", json::array({planner::FormatCut(planned->topo, planned->plan.cut)})},
          {"uncovered", planner::FormatLayerRanges(planned->plan.uncovered_layers)},
          {"routes", routes}};
}

void OnRouteSucceeded(router_state& state, const request& item,
                      std::span<const net::run_stage> route) {
  const auto hashes = routing::HashPrefixBlocks(item.prompt, PrefixSalt(item.model));
  const time_point now = MonotonicNow();
  for (const net::run_stage& stage : route) {
    const auto it = state.plan_index.find(stage.endpoint);
    if (it == state.plan_index.end()) continue;
    for (const uint64_t hash : hashes)
      routing::RecordCachedPrefix(state.prefixes, hash, it->second.index, now);
  }
}

}  // namespace balsambay::router
