// The four ways to select a stage.
#include "details/select.h"

#include <algorithm>
#include <limits>

namespace balsambay::routing::details {
namespace {

constexpr uint32_t kNone = UINT32_MAX;

// Draws by weight before the cheapest is taken. Two are enough to avoid overloaded endpoints; more
// would send all daemons to the same endpoint while reports lag.
constexpr int kDraws = 2;

bool IsCandidate(const walk& w, const graph_stage& s) {
  return w.r.load[s.stage.endpoint].weight > 0 && w.r.completes[s.end_boundary] != 0;
}

bool IsOnRoute(const walk& w, const graph_stage& s) {
  return std::ranges::any_of(
      w.stages, [&](const planner::stage& t) { return t.endpoint == s.stage.endpoint; });
}

uint32_t TakeInTurn(walk& w, uint32_t boundary) {
  const route_graph::boundary& b = w.r.graph.boundaries[boundary];
  const uint32_t count = b.last_stage - b.first_stage;
  for (uint32_t tries = 0; tries < count; ++tries) {
    const uint32_t index = b.first_stage + w.r.next_in_turn[boundary]++ % count;
    const graph_stage& s = w.r.graph.stages[index];
    if (IsCandidate(w, s) && !IsOnRoute(w, s)) return index;
  }
  return kNone;
}

// Ties go to a random candidate, so that daemons that start together do not move in step.
uint32_t TakeLeastInFlight(walk& w, uint32_t boundary) {
  const route_graph::boundary& b = w.r.graph.boundaries[boundary];
  uint32_t best = kNone;
  int fewest = std::numeric_limits<int>::max();
  uint64_t ties = 0;
  for (uint32_t i = b.first_stage; i < b.last_stage; ++i) {
    const graph_stage& s = w.r.graph.stages[i];
    if (!IsCandidate(w, s) || IsOnRoute(w, s)) continue;
    const int own = w.views[s.stage.endpoint].own_requests;
    if (own > fewest) continue;
    ties = own < fewest ? 1 : ties + 1;
    if (own < fewest || UniformBelow(w.rng, ties) == 0) best = i;
    fewest = own;
  }
  return best;
}

double ReportedLoad(const walk& w, uint32_t index) {
  const endpoint_index endpoint = w.r.graph.stages[index].stage.endpoint;
  return w.r.load[endpoint].in_flight / std::max(1, w.views[endpoint].max_runs);
}

// The n-th candidate of the boundary.
uint32_t FindNth(const walk& w, const route_graph::boundary& b, uint64_t n) {
  for (uint32_t i = b.first_stage; i < b.last_stage; ++i) {
    const graph_stage& s = w.r.graph.stages[i];
    if (!IsCandidate(w, s) || IsOnRoute(w, s)) continue;
    if (n-- == 0) return i;
  }
  return kNone;
}

uint32_t TakeLessLoadedOfTwo(walk& w, uint32_t boundary) {
  const route_graph::boundary& b = w.r.graph.boundaries[boundary];
  uint64_t count = 0;
  for (uint32_t i = b.first_stage; i < b.last_stage; ++i) {
    const graph_stage& s = w.r.graph.stages[i];
    if (IsCandidate(w, s) && !IsOnRoute(w, s)) ++count;
  }
  if (count == 0) return kNone;
  const uint32_t one = FindNth(w, b, UniformBelow(w.rng, count));
  const uint32_t two = FindNth(w, b, UniformBelow(w.rng, count));
  return ReportedLoad(w, two) < ReportedLoad(w, one) ? two : one;
}

// Fills w.r.weights for the boundary and returns their sum.
float WeighStages(walk& w, const route_graph::boundary& b, bool use_hops) {
  const size_t zones = w.r.graph.topo->zones.size();
  const float* hops = nullptr;
  if (use_hops && !w.stages.empty() && !b.hop_share.empty()) {
    hops = &b.hop_share[w.r.graph.topo->endpoints[w.stages.back().endpoint].zone * zones];
  }
  float sum = 0;
  for (uint32_t i = b.first_stage; i < b.last_stage; ++i) {
    const graph_stage& s = w.r.graph.stages[i];
    float weight = 0;
    if (IsCandidate(w, s) && !IsOnRoute(w, s)) {
      weight = s.flow * w.r.load[s.stage.endpoint].weight;
      if (hops != nullptr) weight *= hops[s.zone];
    }
    w.r.weights[i - b.first_stage] = weight;
    sum += weight;
  }
  return sum;
}

// Position of a draw by w.r.weights; rounding can only end at a position with weight.
uint32_t Draw(walk& w, uint32_t count, float sum) {
  float point = static_cast<float>(UniformUnit(w.rng)) * sum;
  uint32_t last = kNone;
  for (uint32_t i = 0; i < count; ++i) {
    if (w.r.weights[i] <= 0) continue;
    last = i;
    point -= w.r.weights[i];
    if (point < 0) break;
  }
  return last;
}

int CachedWith(const walk& w, endpoint_index endpoint) {
  const int held = w.r.cached[endpoint];
  return w.stages.empty() ? held : std::min(held, w.cached_tokens);
}

// Seconds that the stage adds to the answer when nothing is cached.
float StageSeconds(const walk& w, const graph_stage& s) {
  const stage_cost cost = EstimateStage({.seconds_per_token = s.seconds_per_token,
                                         .seconds_per_prefill = s.seconds_per_prefill,
                                         .model_share = s.model_share,
                                         .uncached_tokens = w.request.prompt_tokens,
                                         .output_tokens = w.request.output_tokens},
                                        w.r.load[s.stage.endpoint]);
  return cost.wait + cost.prefill + static_cast<float>(w.request.output_tokens) * cost.step;
}

double HopSeconds(const walk& w, const graph_stage& s, int uncached) {
  const planner::topology& topo = *w.r.graph.topo;
  if (!w.stages.empty()) {
    const endpoint_index from = w.stages.back().endpoint;
    const double each = LinkSeconds(topo, from, s.stage.endpoint, 1);
    return LinkSeconds(topo, from, s.stage.endpoint, uncached) + each * w.request.output_tokens;
  }
  if (w.r.graph.entry_zone == planner::kNoZone) return 0;
  // Tokens stream back while the next ones are made, so only the first one waits for this link.
  return 2 * w.r.graph.zone_latency[w.r.graph.entry_zone * topo.zones.size() + s.zone];
}

// Expected seconds after the stage.
float RestSeconds(const walk& w, const graph_stage& s) {
  return w.r.rest_seconds[s.end_boundary * w.r.graph.topo->zones.size() + s.zone];
}

// Expected seconds until the whole answer, from this stage on.
double CostOf(const walk& w, uint32_t index) {
  const graph_stage& s = w.r.graph.stages[index];
  const int cached = std::min(CachedWith(w, s.stage.endpoint), w.request.prompt_tokens);
  const double saved = cached * s.seconds_per_prefill;
  return w.r.stage_seconds[index] - saved + RestSeconds(w, s) +
         HopSeconds(w, s, w.request.prompt_tokens - cached);
}

// Draws among the holders of the prefix by weight and length of the prefix; kNone when there are
// none. Taking the longest would always prefer the first of an endpoint's stages, whatever their
// planned flow.
uint32_t DrawHolder(walk& w, const route_graph::boundary& b) {
  if (w.request.prefix_hits.empty()) return kNone;
  float sum = 0;
  for (uint32_t i = b.first_stage; i < b.last_stage; ++i) {
    const int held = CachedWith(w, w.r.graph.stages[i].stage.endpoint);
    float& weight = w.r.weights[i - b.first_stage];
    weight *= static_cast<float>(held);
    sum += weight;
  }
  if (sum <= 0) return kNone;
  return b.first_stage + Draw(w, b.last_stage - b.first_stage, sum);
}

uint32_t Cheaper(const walk& w, uint32_t one, uint32_t two) {
  if (one == kNone || two == kNone) return one == kNone ? two : one;
  return CostOf(w, two) < CostOf(w, one) ? two : one;
}

// A stage in a zone that the plan does not continue in. It must be much cheaper, because such hops
// can load a link beyond the plan.
uint32_t OfferUnplannedHop(walk& w, const route_graph::boundary& b, uint32_t best) {
  constexpr double kMuchCheaper = 0.5;
  const float sum = WeighStages(w, b, false);
  const uint32_t other = b.first_stage + Draw(w, b.last_stage - b.first_stage, sum);
  return CostOf(w, other) < kMuchCheaper * CostOf(w, best) ? other : best;
}

uint32_t TakeWeighted(walk& w, uint32_t boundary) {
  const route_graph::boundary& b = w.r.graph.boundaries[boundary];
  float sum = WeighStages(w, b, true);
  const bool planned = sum > 0;
  if (!planned) sum = WeighStages(w, b, false);
  if (sum <= 0) return kNone;
  uint32_t best = kNone;
  for (int i = 0; i < kDraws; ++i) {
    best = Cheaper(w, best, b.first_stage + Draw(w, b.last_stage - b.first_stage, sum));
  }
  best = Cheaper(w, best, DrawHolder(w, b));
  // Other zones are of use only when the planned ones have no free batch slot.
  const bool full = w.r.load[w.r.graph.stages[best].stage.endpoint].excess > 0;
  return planned && full && !w.stages.empty() ? OfferUnplannedHop(w, b, best) : best;
}

// Candidates of one zone at a boundary.
struct zone_cost {
  float weight = 0;
  float seconds = 0;  // sum, weighted
};

void SumByZone(walk& w, const route_graph::boundary& b, std::vector<zone_cost>& by_zone) {
  std::ranges::fill(by_zone, zone_cost{});
  for (uint32_t i = b.first_stage; i < b.last_stage; ++i) {
    const graph_stage& s = w.r.graph.stages[i];
    if (!IsCandidate(w, s)) continue;
    w.r.stage_seconds[i] = StageSeconds(w, s);
    const float weight = s.flow * w.r.load[s.stage.endpoint].weight;
    by_zone[s.zone].weight += weight;
    by_zone[s.zone].seconds += weight * (w.r.stage_seconds[i] + RestSeconds(w, s));
  }
}

// Mean over the zones that the plan continues in; over all zones when nothing is left in those.
float MeanCost(const route_graph::boundary& b, const std::vector<zone_cost>& by_zone, size_t from) {
  const size_t zones = by_zone.size();
  zone_cost planned;
  zone_cost all;
  for (size_t to = 0; to < zones; ++to) {
    const float share = b.hop_share.empty() ? 1 : b.hop_share[from * zones + to];
    planned.weight += share * by_zone[to].weight;
    planned.seconds += share * by_zone[to].seconds;
    all.weight += by_zone[to].weight;
    all.seconds += by_zone[to].seconds;
  }
  if (planned.weight > 0) return planned.seconds / planned.weight;
  return all.weight > 0 ? all.seconds / all.weight : 0;
}

}  // namespace

void EstimateCosts(walk& w) {
  const size_t boundaries = w.r.graph.boundaries.size();
  const size_t zones = w.r.graph.topo->zones.size();
  std::fill(w.r.rest_seconds.end() - static_cast<std::ptrdiff_t>(zones), w.r.rest_seconds.end(), 0);
  std::vector<zone_cost> by_zone(zones);
  for (size_t b = boundaries - 1; b-- > 0;) {
    SumByZone(w, w.r.graph.boundaries[b], by_zone);
    for (size_t zone = 0; zone < zones; ++zone) {
      w.r.rest_seconds[b * zones + zone] = MeanCost(w.r.graph.boundaries[b], by_zone, zone);
    }
  }
}

uint32_t SelectStage(walk& w, uint32_t boundary, policy how) {
  switch (how) {
    case policy::kRoundRobin:
      return TakeInTurn(w, boundary);
    case policy::kLeastInFlight:
      return TakeLeastInFlight(w, boundary);
    case policy::kPowerOfTwo:
      return TakeLessLoadedOfTwo(w, boundary);
    case policy::kWeighted:
      return TakeWeighted(w, boundary);
  }
  return kNone;
}

uint32_t SelectByRange(walk& w, int layer) {
  const auto& endpoints = w.r.graph.topo->endpoints;
  float sum = 0;
  for (size_t i = 0; i < endpoints.size(); ++i) {
    const planner::planned_endpoint& e = endpoints[i];
    const bool holds = e.layers.first <= layer && layer < e.layers.end;
    const auto rate = static_cast<float>(e.tokens_per_second);
    w.r.weights[i] = holds ? rate * w.r.load[i].weight : 0;
    sum += w.r.weights[i];
  }
  return sum > 0 ? Draw(w, static_cast<uint32_t>(endpoints.size()), sum) : kNone;
}

}  // namespace balsambay::routing::details
