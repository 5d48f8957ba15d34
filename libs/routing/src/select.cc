// The four ways to select a stage.
#include "details/select.h"

#include <algorithm>
#include <limits>

namespace balsambay::routing::details {
namespace {

constexpr uint32_t kNone = UINT32_MAX;

// A full endpoint keeps this part of its weight, so that it is drawn seldom but is not lost when
// all are full.
constexpr float kFullEndpointWeight = 0.1F;

// Draws by weight before the cheapest is taken. Two are enough to avoid overloaded endpoints; more
// would send all daemons to the same endpoint while reports lag.
constexpr int kDraws = 2;

bool IsCandidate(const walk& w, const graph_stage& s) {
  return w.r.allowed[s.stage.endpoint] != 0 && w.r.completes[s.end_boundary] != 0;
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
  const endpoint_view& view = w.views[w.r.graph.stages[index].stage.endpoint];
  return EstimateInFlight(view) / std::max(1, view.max_runs);
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

float LoadFactor(const endpoint_view& view) {
  const bool full = EstimateInFlight(view) >= view.max_runs;
  return static_cast<float>(view.slow_start) * (full ? kFullEndpointWeight : 1);
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
      weight = s.flow * LoadFactor(w.views[s.stage.endpoint]);
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

// Seconds until the whole answer, as far as this stage adds to them.
double CostOf(const walk& w, const graph_stage& s) {
  const endpoint_index endpoint = s.stage.endpoint;
  const double layers = s.stage.layers.end - s.stage.layers.first;
  const int uncached = std::max(0, w.request.prompt_tokens - CachedWith(w, endpoint));
  const stage_cost cost = EstimateStage({.seconds_per_token = s.seconds_per_token,
                                         .seconds_per_prefill = s.seconds_per_prefill,
                                         .model_share = layers / w.r.graph.topo->model.layers,
                                         .uncached_tokens = uncached,
                                         .output_tokens = w.request.output_tokens},
                                        w.views[endpoint]);
  double link = 0;
  if (!w.stages.empty()) {
    link = LinkSeconds(*w.r.graph.topo, w.stages.back().endpoint, endpoint);
  } else if (w.r.graph.entry_zone != planner::kNoZone) {
    const size_t zones = w.r.graph.topo->zones.size();
    link = w.r.graph.zone_latency[w.r.graph.entry_zone * zones + s.zone];
  }
  return cost.wait + cost.prefill + w.request.output_tokens * (cost.step + link);
}

// The candidate that keeps the longest cached prefix; kNone when no candidate holds any.
uint32_t FindBestHolder(const walk& w, const route_graph::boundary& b) {
  if (w.request.prefix_hits.empty()) return kNone;
  uint32_t best = kNone;
  int most = 0;
  for (uint32_t i = b.first_stage; i < b.last_stage; ++i) {
    if (w.r.weights[i - b.first_stage] <= 0) continue;
    const int held = CachedWith(w, w.r.graph.stages[i].stage.endpoint);
    if (held <= most) continue;
    most = held;
    best = i;
  }
  return best;
}

uint32_t Cheaper(const walk& w, uint32_t one, uint32_t two) {
  if (one == kNone || two == kNone) return one == kNone ? two : one;
  return CostOf(w, w.r.graph.stages[two]) < CostOf(w, w.r.graph.stages[one]) ? two : one;
}

uint32_t TakeWeighted(walk& w, uint32_t boundary) {
  const route_graph::boundary& b = w.r.graph.boundaries[boundary];
  float sum = WeighStages(w, b, true);
  // The plan sends nothing from this zone on; any planned stage is better than none.
  if (sum <= 0) sum = WeighStages(w, b, false);
  if (sum <= 0) return kNone;
  uint32_t best = FindBestHolder(w, b);
  for (int i = 0; i < kDraws; ++i) {
    const uint32_t drawn = Draw(w, b.last_stage - b.first_stage, sum);
    best = Cheaper(w, best, b.first_stage + drawn);
  }
  return best;
}

}  // namespace

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
    const bool usable = holds && w.r.allowed[i] != 0;
    const auto rate = static_cast<float>(e.tokens_per_second);
    w.r.weights[i] = usable ? rate * LoadFactor(w.views[i]) : 0;
    sum += w.r.weights[i];
  }
  return sum > 0 ? Draw(w, static_cast<uint32_t>(endpoints.size()), sum) : kNone;
}

}  // namespace balsambay::routing::details
