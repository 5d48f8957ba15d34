// Greedy choice: the least loaded endpoint that holds the next layer.
#include "details/route_choice.h"

#include <algorithm>

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
             (use_excluded || !item.excluded.contains(candidate.id));
    });
    if (chosen == nullptr) return {};
    route.push_back({chosen->id, chosen->address, next, chosen->layers.end});
    next = chosen->layers.end;
  }
  return route;
}

}  // namespace

std::vector<net::run_stage> ChooseRoute(router_state& state, const request& item) {
  auto route = Cover(state, item, false);
  return route.empty() ? Cover(state, item, true) : route;
}

const inventory::endpoint* ChooseServiceEndpoint(router_state& state, const request& item) {
  const auto choose = [&](bool use_excluded) {
    return LeastLoaded(state, [&](const inventory::endpoint& candidate) {
      return candidate.kind == inventory::endpoint_kind::kService &&
             candidate.service == item.service &&
             (use_excluded || !item.excluded.contains(candidate.id));
    });
  };
  const auto* fresh = choose(false);
  return fresh != nullptr ? fresh : choose(true);
}

}  // namespace balsambay::router
