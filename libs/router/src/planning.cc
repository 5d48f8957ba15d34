// Greedy choice: the least loaded endpoint that holds the next layer.
#include "details/planning.h"

#include <algorithm>

#include "details/admission_driver.h"
#include "details/endpoint_monitor.h"

namespace balsambay::router {
namespace {

int LoadOf(const router_state& state, std::string_view endpoint) {
  const auto it = state.in_flight.find(endpoint);
  return it == state.in_flight.end() ? 0 : it->second;
}

template <class Matches>
const inventory::endpoint* LeastLoaded(router_state& state, Matches matches) {
  const inventory::endpoint* best = nullptr;
  int ties = 1;
  for (const auto& [id, candidate] : state.inventory.endpoints) {
    if (!matches(candidate)) continue;
    const int difference = best == nullptr ? -1 : LoadOf(state, id) - LoadOf(state, best->id);
    ties = difference == 0 ? ties + 1 : 1;
    // Among equals each is taken with the same probability.
    if (difference < 0 || (difference == 0 && UniformBelow(state.rng, ties) == 0))
      best = &candidate;
  }
  return best;
}

std::vector<net::run_stage> Cover(router_state& state, const request& item, bool use_excluded) {
  std::vector<net::run_stage> route;
  const int layers = state.inventory.models.find(item.model)->second.layers;
  for (int next = 0; next < layers;) {
    const auto* chosen = LeastLoaded(state, [&](const inventory::endpoint& candidate) {
      return candidate.kind == inventory::endpoint_kind::kEngine && candidate.model == item.model &&
             candidate.layers.first <= next && candidate.layers.end > next &&
             IsUsable(state, candidate.id) &&
             (use_excluded || !item.excluded.contains(candidate.id));
    });
    if (chosen == nullptr) return {};
    route.push_back({chosen->id, chosen->address, next, chosen->layers.end});
    next = chosen->layers.end;
  }
  return route;
}

int RunsAtLayer(const router_state& state, const std::string& model, int layer) {
  int runs = 0;
  for (const auto& [id, endpoint] : state.inventory.endpoints) {
    const bool holds = endpoint.kind == inventory::endpoint_kind::kEngine &&
                       endpoint.model == model && endpoint.layers.first <= layer &&
                       endpoint.layers.end > layer;
    if (holds && IsUsable(state, id)) runs += endpoint.max_runs;
  }
  return runs;
}

pool_limit ModelLimit(const router_state& state, const std::string& id,
                      const inventory::model& model) {
  int narrowest = INT_MAX;
  for (int layer = 0; layer < model.layers; ++layer) {
    narrowest = std::min(narrowest, RunsAtLayer(state, id, layer));
  }
  return {"model/" + id, narrowest, 0};
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

void InvalidatePlans(router_state& state) { UpdateCapacity(state); }

std::vector<net::run_stage> ChooseRoute(router_state& state, const request& item) {
  auto route = Cover(state, item, false);
  return route.empty() ? Cover(state, item, true) : route;
}

const inventory::endpoint* ChooseServiceEndpoint(router_state& state, const request& item) {
  const auto choose = [&](bool use_excluded) {
    return LeastLoaded(state, [&](const inventory::endpoint& candidate) {
      return candidate.kind == inventory::endpoint_kind::kService &&
             candidate.service == item.service && IsUsable(state, candidate.id) &&
             (use_excluded || !item.excluded.contains(candidate.id));
    });
  };
  const auto* fresh = choose(false);
  return fresh != nullptr ? fresh : choose(true);
}

std::vector<pool_limit> PoolLimits(const router_state& state) {
  std::vector<pool_limit> out;
  for (const auto& [id, model] : state.inventory.models)
    out.push_back(ModelLimit(state, id, model));
  for (const auto& [id, service] : state.inventory.services) out.push_back(ServiceLimit(state, id));
  return out;
}

duration EstimateServiceTime(const router_state&, const request&) { return duration::zero(); }

std::string DescribeUncovered(const router_state&, const std::string& model) {
  return "no usable endpoints hold all layers of " + model;
}

void OnRouteSucceeded(router_state&, const request&) {}

}  // namespace balsambay::router
