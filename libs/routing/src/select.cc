// Selection of a stage by each of the four policies.
#include "details/select.h"

#include <algorithm>
#include <limits>

namespace balsambay::routing::details {
namespace {

// Returned when there is no candidate.
constexpr uint32_t kNoIndex = UINT32_MAX;

// Number of weighted draws, of which the cheapest stage is taken. Two are enough to avoid
// overloaded endpoints; with more, all daemons would choose the same endpoint while its reports
// lag.
constexpr int kWeightedDraws = 2;

// Whether the endpoint is usable and the rest of the model can be reached after the stage.
bool IsCandidate(const route_search& search, const graph_stage& s) {
  return search.r.load[s.stage.endpoint].weight > 0 && search.r.reaches_end[s.end_boundary] != 0;
}

// Whether the endpoint already runs a stage of this route; no endpoint may run two.
bool IsEndpointOnRoute(const route_search& search, const graph_stage& s) {
  return std::ranges::any_of(
      search.stages, [&](const planner::stage& t) { return t.endpoint == s.stage.endpoint; });
}

uint32_t SelectRoundRobin(route_search& search, uint32_t boundary) {
  const route_graph::boundary& b = search.r.graph.boundaries[boundary];
  const uint32_t count = b.end_stage - b.first_stage;
  for (uint32_t attempt = 0; attempt < count; ++attempt) {
    const uint32_t index = b.first_stage + search.r.next_round_robin[boundary]++ % count;
    const graph_stage& s = search.r.graph.stages[index];
    if (IsCandidate(search, s) && !IsEndpointOnRoute(search, s)) return index;
  }
  return kNoIndex;
}

// Ties are broken at random, so that daemons that start at the same time do not all select the same
// endpoints.
uint32_t SelectLeastInFlight(route_search& search, uint32_t boundary) {
  const route_graph::boundary& b = search.r.graph.boundaries[boundary];
  uint32_t best = kNoIndex;
  int min_in_flight = std::numeric_limits<int>::max();
  uint64_t ties = 0;
  for (uint32_t i = b.first_stage; i < b.end_stage; ++i) {
    const graph_stage& s = search.r.graph.stages[i];
    if (!IsCandidate(search, s) || IsEndpointOnRoute(search, s)) continue;
    const int own = search.views[s.stage.endpoint].own_requests;
    if (own > min_in_flight) continue;
    ties = own < min_in_flight ? 1 : ties + 1;
    if (own < min_in_flight || UniformBelow(search.rng, ties) == 0) best = i;
    min_in_flight = own;
  }
  return best;
}

// Estimated requests in flight divided by the number of batch slots.
double EstimatedSlotUse(const route_search& search, uint32_t index) {
  const endpoint_index endpoint = search.r.graph.stages[index].stage.endpoint;
  return search.r.load[endpoint].in_flight / std::max(1, search.views[endpoint].max_runs);
}

// The n-th candidate of the boundary, counted from 0.
uint32_t FindNthCandidate(const route_search& search, const route_graph::boundary& b, uint64_t n) {
  for (uint32_t i = b.first_stage; i < b.end_stage; ++i) {
    const graph_stage& s = search.r.graph.stages[i];
    if (!IsCandidate(search, s) || IsEndpointOnRoute(search, s)) continue;
    if (n-- == 0) return i;
  }
  return kNoIndex;
}

uint32_t SelectPowerOfTwo(route_search& search, uint32_t boundary) {
  const route_graph::boundary& b = search.r.graph.boundaries[boundary];
  uint64_t count = 0;
  for (uint32_t i = b.first_stage; i < b.end_stage; ++i) {
    const graph_stage& s = search.r.graph.stages[i];
    if (IsCandidate(search, s) && !IsEndpointOnRoute(search, s)) ++count;
  }
  if (count == 0) return kNoIndex;
  const uint32_t first = FindNthCandidate(search, b, UniformBelow(search.rng, count));
  const uint32_t second = FindNthCandidate(search, b, UniformBelow(search.rng, count));
  return EstimatedSlotUse(search, second) < EstimatedSlotUse(search, first) ? second : first;
}

// Fills r.weights with the weights of the boundary's stages and returns their sum. With
// `use_inflow_shares`, a stage is also weighted by the planned flow from the zone of the previous
// stage to its own zone.
float ComputeStageWeights(route_search& search, const route_graph::boundary& b,
                          bool use_inflow_shares) {
  const size_t zones = search.r.graph.topo->zones.size();
  const float* zone_shares = nullptr;
  if (use_inflow_shares && !search.stages.empty() && !b.inflow_share.empty()) {
    zone_shares =
        &b.inflow_share[search.r.graph.topo->endpoints[search.stages.back().endpoint].zone * zones];
  }
  float sum = 0;
  for (uint32_t i = b.first_stage; i < b.end_stage; ++i) {
    const graph_stage& s = search.r.graph.stages[i];
    float weight = 0;
    if (IsCandidate(search, s) && !IsEndpointOnRoute(search, s)) {
      weight = s.planned_flow * search.r.load[s.stage.endpoint].weight;
      if (zone_shares != nullptr) weight *= zone_shares[s.zone];
    }
    search.r.weights[i - b.first_stage] = weight;
    sum += weight;
  }
  return sum;
}

// Draws an index below `count` with probabilities in proportion to r.weights, whose sum is `sum`.
// Rounding errors never select an index of weight zero.
uint32_t DrawByWeight(route_search& search, uint32_t count, float sum) {
  float point = static_cast<float>(UniformUnit(search.rng)) * sum;
  uint32_t last = kNoIndex;
  for (uint32_t i = 0; i < count; ++i) {
    if (search.r.weights[i] <= 0) continue;
    last = i;
    point -= search.r.weights[i];
    if (point < 0) break;
  }
  return last;
}

// Length of the prefix that is cached on the whole route when `endpoint` is appended to it.
int CachedTokensThrough(const route_search& search, endpoint_index endpoint) {
  const int held = search.r.cached_tokens[endpoint];
  return search.stages.empty() ? held : std::min(held, search.cached_tokens);
}

// Seconds that the stage adds to the time of the complete reply when it has no cached prefix.
float StageSeconds(const route_search& search, const graph_stage& s) {
  const stage_cost cost = EstimateStage({.decode_seconds_per_token = s.decode_seconds_per_token,
                                         .prefill_seconds_per_token = s.prefill_seconds_per_token,
                                         .layer_fraction = s.layer_fraction,
                                         .uncached_tokens = search.request.prompt_tokens,
                                         .output_tokens = search.request.output_tokens},
                                        search.r.load[s.stage.endpoint]);
  return cost.wait + cost.prefill + static_cast<float>(search.request.output_tokens) * cost.step;
}

// Seconds that the transfer to the stage adds to the time of the complete reply: from the previous
// stage or, for the first stage, between the daemon and the endpoint in both directions.
double HopSeconds(const route_search& search, const graph_stage& s, int uncached_tokens) {
  const planner::topology& topo = *search.r.graph.topo;
  if (!search.stages.empty()) {
    const endpoint_index previous = search.stages.back().endpoint;
    const double seconds_per_output_token = LinkSeconds(topo, previous, s.stage.endpoint, 1);
    return LinkSeconds(topo, previous, s.stage.endpoint, uncached_tokens) +
           seconds_per_output_token * search.request.output_tokens;
  }
  if (search.r.graph.entry_zone == planner::kNoZone) return 0;
  // Tokens are streamed back while later ones are generated, so that only the first one is delayed
  // by this link.
  return 2 * search.r.graph.zone_latency[search.r.graph.entry_zone * topo.zones.size() + s.zone];
}

// Expected seconds that the stages after this one add.
float RemainingSeconds(const route_search& search, const graph_stage& s) {
  return search.r.remaining_seconds[s.end_boundary * search.r.graph.topo->zones.size() + s.zone];
}

// Expected seconds that this stage and those after it add to the time of the complete reply.
double CompletionSeconds(const route_search& search, uint32_t index) {
  const graph_stage& s = search.r.graph.stages[index];
  const int cached =
      std::min(CachedTokensThrough(search, s.stage.endpoint), search.request.prompt_tokens);
  const double saved = cached * s.prefill_seconds_per_token;
  return search.r.stage_seconds[index] - saved + RemainingSeconds(search, s) +
         HopSeconds(search, s, search.request.prompt_tokens - cached);
}

// Draws a stage among the holders of the prompt's prefix in proportion to r.weights and to the
// length of the prefix; kNoIndex when there is no holder. Always taking the longest prefix would
// prefer the first of an endpoint's stages, whatever their planned flow. Overwrites r.weights.
uint32_t DrawPrefixHolder(route_search& search, const route_graph::boundary& b) {
  if (search.request.prefix_hits.empty()) return kNoIndex;
  float sum = 0;
  for (uint32_t i = b.first_stage; i < b.end_stage; ++i) {
    const int held = CachedTokensThrough(search, search.r.graph.stages[i].stage.endpoint);
    float& weight = search.r.weights[i - b.first_stage];
    weight *= static_cast<float>(held);
    sum += weight;
  }
  if (sum <= 0) return kNoIndex;
  return b.first_stage + DrawByWeight(search, b.end_stage - b.first_stage, sum);
}

// The stage with the lower cost; either index may be kNoIndex.
uint32_t CheaperStage(const route_search& search, uint32_t first, uint32_t second) {
  if (first == kNoIndex || second == kNoIndex) return first == kNoIndex ? second : first;
  return CompletionSeconds(search, second) < CompletionSeconds(search, first) ? second : first;
}

// Draws one stage without regard to the planned hops and returns it instead of `best` when it is
// much cheaper. A smaller advantage does not suffice, because hops outside the plan can load a link
// beyond its planned flow.
uint32_t ConsiderUnplannedHop(route_search& search, const route_graph::boundary& b, uint32_t best) {
  constexpr double kMaxCostRatio = 0.5;
  const float sum = ComputeStageWeights(search, b, false);
  const uint32_t candidate = b.first_stage + DrawByWeight(search, b.end_stage - b.first_stage, sum);
  return CompletionSeconds(search, candidate) < kMaxCostRatio * CompletionSeconds(search, best)
             ? candidate
             : best;
}

uint32_t SelectWeighted(route_search& search, uint32_t boundary) {
  const route_graph::boundary& b = search.r.graph.boundaries[boundary];
  float sum = ComputeStageWeights(search, b, true);
  const bool has_planned_hop = sum > 0;
  if (!has_planned_hop) sum = ComputeStageWeights(search, b, false);
  if (sum <= 0) return kNoIndex;
  uint32_t best = kNoIndex;
  for (int i = 0; i < kWeightedDraws; ++i) {
    best = CheaperStage(search, best,
                        b.first_stage + DrawByWeight(search, b.end_stage - b.first_stage, sum));
  }
  best = CheaperStage(search, best, DrawPrefixHolder(search, b));
  // Zones to which the plan has no hop are only considered when the best stage has no free batch
  // slot.
  const bool best_is_full =
      search.r.load[search.r.graph.stages[best].stage.endpoint].slot_excess > 0;
  return has_planned_hop && best_is_full && !search.stages.empty()
             ? ConsiderUnplannedHop(search, b, best)
             : best;
}

// Totals over the candidates of one zone at a boundary.
struct zone_cost {
  float weight = 0;
  float weighted_seconds = 0;  // sum of weight * seconds
};

// Fills `by_zone`, and r.stage_seconds of the boundary's stages.
void SumCostsByZone(route_search& search, const route_graph::boundary& b,
                    std::vector<zone_cost>& by_zone) {
  std::ranges::fill(by_zone, zone_cost{});
  for (uint32_t i = b.first_stage; i < b.end_stage; ++i) {
    const graph_stage& s = search.r.graph.stages[i];
    if (!IsCandidate(search, s)) continue;
    search.r.stage_seconds[i] = StageSeconds(search, s);
    const float weight = s.planned_flow * search.r.load[s.stage.endpoint].weight;
    by_zone[s.zone].weight += weight;
    by_zone[s.zone].weighted_seconds +=
        weight * (search.r.stage_seconds[i] + RemainingSeconds(search, s));
  }
}

// Mean cost of the remaining route from `from_zone`, over the zones to which the plan has hops from
// there. When those have no candidates, the mean is taken over all zones.
float MeanCost(const route_graph::boundary& b, const std::vector<zone_cost>& by_zone,
               size_t from_zone) {
  const size_t zones = by_zone.size();
  zone_cost planned;
  zone_cost all;
  for (size_t to_zone = 0; to_zone < zones; ++to_zone) {
    const float share = b.inflow_share.empty() ? 1 : b.inflow_share[from_zone * zones + to_zone];
    planned.weight += share * by_zone[to_zone].weight;
    planned.weighted_seconds += share * by_zone[to_zone].weighted_seconds;
    all.weight += by_zone[to_zone].weight;
    all.weighted_seconds += by_zone[to_zone].weighted_seconds;
  }
  if (planned.weight > 0) return planned.weighted_seconds / planned.weight;
  return all.weight > 0 ? all.weighted_seconds / all.weight : 0;
}

}  // namespace

void EstimateCosts(route_search& search) {
  const size_t boundaries = search.r.graph.boundaries.size();
  const size_t zones = search.r.graph.topo->zones.size();
  std::fill(search.r.remaining_seconds.end() - static_cast<std::ptrdiff_t>(zones),
            search.r.remaining_seconds.end(), 0);
  std::vector<zone_cost> by_zone(zones);
  for (size_t b = boundaries - 1; b-- > 0;) {
    SumCostsByZone(search, search.r.graph.boundaries[b], by_zone);
    for (size_t zone = 0; zone < zones; ++zone) {
      search.r.remaining_seconds[b * zones + zone] =
          MeanCost(search.r.graph.boundaries[b], by_zone, zone);
    }
  }
}

uint32_t SelectStage(route_search& search, uint32_t boundary, routing_policy selection_policy) {
  switch (selection_policy) {
    case routing_policy::kRoundRobin:
      return SelectRoundRobin(search, boundary);
    case routing_policy::kLeastInFlight:
      return SelectLeastInFlight(search, boundary);
    case routing_policy::kPowerOfTwo:
      return SelectPowerOfTwo(search, boundary);
    case routing_policy::kWeighted:
      return SelectWeighted(search, boundary);
  }
  return kNoIndex;
}

uint32_t SelectByRange(route_search& search, int layer) {
  const auto& endpoints = search.r.graph.topo->endpoints;
  float sum = 0;
  for (size_t i = 0; i < endpoints.size(); ++i) {
    const planner::topology_endpoint& e = endpoints[i];
    const bool holds = e.layers.first <= layer && layer < e.layers.end;
    const auto rate = static_cast<float>(e.tokens_per_second);
    search.r.weights[i] = holds ? rate * search.r.load[i].weight : 0;
    sum += search.r.weights[i];
  }
  return sum > 0 ? DrawByWeight(search, static_cast<uint32_t>(endpoints.size()), sum) : kNoIndex;
}

}  // namespace balsambay::routing::details
