// Path selection as a shortest-path search. Nodes are pairs of a layer boundary and a zone; an edge
// is one engine that runs the layers between two boundaries.
#include "pipeline/path.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <set>

namespace balsambay::pipeline {
namespace {

constexpr double kInfinite = std::numeric_limits<double>::infinity();
// Forwarding time of one hop inside a zone.
constexpr double kHopMs = 0.4;
// Added to the delay of a hop to another zone, because a path inside one zone survives a partition.
constexpr double kCrossZonePenaltyMs = 8;
// Penalty for an engine whose KV cache is full (fill 1). It is scaled by the sixth power of the
// fraction in use, or by the third power if that fraction comes from stale loads. Of the order of
// the time between tokens of a whole path, so that a full engine costs as much as a detour.
constexpr double kFullEnginePenaltyMs = 25;
// Mean of the exponentially distributed fraction by which costs are raised when loads are stale.
// With this mean, equal engines receive equal shares of the requests.
constexpr double kMeanCostSpread = 1;
// Longer paths are rejected.
constexpr size_t kMaxStages = 32;

// Cheapest known path to a layer boundary whose last engine is in a given zone.
struct node {
  double cost = kInfinite;
  // Estimated time between output tokens: the cost without fill penalties, randomization and the
  // additional cost of crossings.
  double token_ms = 0;
  size_t engine = 0;         // of the last stage
  size_t from_boundary = 0;  // node before the last stage
  size_t from_zone = 0;
};

// Engine that may run a stage. Time and KV cache grow linearly with the number of layers, so these
// values give the cost of any part of its layers.
struct stage_candidate {
  size_t engine = 0;
  size_t zone = 0;
  layer_range held;
  double ms_per_layer = 0;
  double known_fill = 0;      // fraction of the KV cache that other requests occupy
  double assumed_fill = 0;    // estimated fraction that unreported requests occupy in addition
  double fill_per_layer = 0;  // fraction that this request adds for each layer
  double spread_factor = 1;   // random factor of the cost if the loads are stale
  bool may_be_head = false;
};

struct search_state {
  const model_spec& model;
  std::span<const engine> engines;
  const path_query& query;
  std::vector<int> boundaries;
  std::vector<std::string_view> zones;      // the first one is the caller's
  std::vector<size_t> zone_of;              // index into `zones` for each engine
  std::vector<stage_candidate> candidates;  // sorted by first layer
  std::vector<node> nodes;                  // [boundary][zone]

  node& At(size_t boundary, size_t zone) { return nodes[boundary * zones.size() + zone]; }
};

bool IsAllowed(const search_state& state, size_t index) {
  const engine& engine_info = state.engines[index];
  return engine_info.usable && engine_info.held.Size() > 0 &&
         std::ranges::find(state.query.excluded, index) == state.query.excluded.end();
}

bool MayBeHead(const search_state& state, size_t index) {
  const engine& engine_info = state.engines[index];
  if (!state.query.allow_overcommit && engine_info.head_requests + 1 > state.model.slots)
    return false;
  return state.query.heads.empty() ||
         std::ranges::find(state.query.heads, index) != state.query.heads.end();
}

// Pseudo-random number in [0, 1) that depends only on the seed and the engine (SplitMix64).
double RandomUnit(uint64_t seed, size_t index) {
  uint64_t x = seed + (index + 1) * 0x9e3779b97f4a7c15ULL;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return static_cast<double>((x ^ (x >> 31)) >> 11) * 0x1.0p-53;
}

stage_candidate MakeCandidate(const search_state& state, size_t index) {
  const engine& engine_info = state.engines[index];
  const accelerator_kind& kind = state.model.kinds[engine_info.kind];
  // At least 1, because fill levels are divided by it.
  const double capacity =
      std::max(KvCapacityTokenLayers(state.model, kind, engine_info.held.Size()), 1.0);
  const double sequences = engine_info.sequences + engine_info.assumed_sequences;
  const double context =
      sequences * (state.model.typical_prompt_tokens + state.model.typical_output_tokens / 2);
  stage_candidate candidate;
  candidate.engine = index;
  candidate.zone = state.zone_of[index];
  candidate.held = {std::max(0, engine_info.held.begin),
                    std::min(state.model.layers, engine_info.held.end)};
  candidate.ms_per_layer = kStepWaitFactor * engine_info.slowdown *
                           DecodeStepMs(state.model, kind, 1, sequences + 1, context);
  candidate.known_fill = engine_info.committed / capacity;
  candidate.assumed_fill = engine_info.assumed_committed / capacity;
  candidate.fill_per_layer = state.query.tokens / capacity;
  if (state.query.stale_load)
    candidate.spread_factor =
        1 - kMeanCostSpread * std::log(1 - RandomUnit(state.query.seed, index));
  candidate.may_be_head = MayBeHead(state, index);
  return candidate;
}

// Penalty in ms for an engine whose KV cache is in use to the fraction `fill`. Values above 2 are
// not penalized further.
double FillPenalty(double fill, bool stale_load) {
  const double clamped = std::min(fill, 2.0);
  const double cube = clamped * clamped * clamped;
  return kFullEnginePenaltyMs * (stale_load ? cube : cube * cube);
}

void Prepare(search_state& state) {
  std::set<int> boundaries = {0, state.model.layers};
  state.zones.push_back(state.query.home_zone);
  for (size_t i = 0; i < state.engines.size(); ++i) {
    const engine& engine_info = state.engines[i];
    auto zone = std::ranges::find(state.zones, std::string_view{engine_info.zone});
    if (zone == state.zones.end()) zone = state.zones.insert(zone, engine_info.zone);
    state.zone_of.push_back(static_cast<size_t>(zone - state.zones.begin()));
    if (!IsAllowed(state, i)) continue;
    const bool is_head = state.query.head && state.query.head->engine == i;
    if (!is_head) state.candidates.push_back(MakeCandidate(state, i));
    boundaries.insert(
        {std::max(0, engine_info.held.begin), std::min(state.model.layers, engine_info.held.end)});
  }
  if (state.query.head) boundaries.insert(state.query.head->range.end);
  state.boundaries.assign(boundaries.begin(), boundaries.end());
  state.nodes.resize(state.boundaries.size() * state.zones.size());
  std::ranges::stable_sort(state.candidates, {},
                           [](const stage_candidate& candidate) { return candidate.held.begin; });
}

// Cost of a hop to another zone, ms.
struct crossing {
  double token_ms = 0;  // delay and penalty that count as time between tokens
  double cost = 0;      // additional cost
};

// A token that crosses zones waits for the transfer in progress: on average for half of the
// transfer of a usual request, if the link is in use. The other half is the additional cost, for
// the requests that wait for this request's transfer. At the entry of the path only the caller's
// data crosses, which does not use the link between engines.
crossing CrossingAt(const search_state& state, size_t boundary) {
  const model_spec& model = state.model;
  const bool is_entry = boundary == 0 && !state.query.head;
  const double transfer_ms =
      is_entry ? 0
               : ZoneTransferMs(model, model.typical_prompt_tokens + model.typical_output_tokens);
  return {model.zone_delay_ms + kCrossZonePenaltyMs + transfer_ms / 2, transfer_ms / 2};
}

// Relaxes the edges of all parts of the engine's layers that begin at `boundary`.
void RelaxEngine(search_state& state, size_t boundary, const stage_candidate& candidate,
                 const node& from, size_t from_zone, const crossing& hop) {
  const int first = state.boundaries[boundary];
  for (size_t next = boundary + 1;
       next < state.boundaries.size() && state.boundaries[next] <= candidate.held.end; ++next) {
    const int layers = state.boundaries[next] - first;
    const double fill = candidate.known_fill + candidate.fill_per_layer * layers;
    // Longer ranges need even more memory.
    if (fill > 1 && !state.query.allow_overcommit) return;
    const double token_ms = candidate.ms_per_layer * layers + kHopMs;
    const double cost =
        from.cost + hop.token_ms + hop.cost +
        candidate.spread_factor *
            (token_ms + FillPenalty(fill + candidate.assumed_fill, state.query.stale_load));
    node& target = state.At(next, candidate.zone);
    if (cost >= target.cost) continue;
    target = {cost, from.token_ms + token_ms + hop.token_ms, candidate.engine, boundary, from_zone};
  }
}

// Relaxes all edges, boundary by boundary: each edge leads to a later boundary, so one pass is
// sufficient.
void RelaxAll(search_state& state) {
  for (size_t boundary = 0; boundary + 1 < state.boundaries.size(); ++boundary) {
    const int layer = state.boundaries[boundary];
    const crossing hop = CrossingAt(state, boundary);
    // A crossing costs the same between any two zones, so only the cheapest zone is tried as its
    // origin.
    size_t cheapest = 0;
    for (size_t zone = 1; zone < state.zones.size(); ++zone) {
      if (state.At(boundary, zone).cost < state.At(boundary, cheapest).cost) cheapest = zone;
    }
    if (state.At(boundary, cheapest).cost == kInfinite) continue;
    const std::vector<node> from(
        state.nodes.begin() + static_cast<std::ptrdiff_t>(boundary * state.zones.size()),
        state.nodes.begin() + static_cast<std::ptrdiff_t>((boundary + 1) * state.zones.size()));
    for (const stage_candidate& candidate : state.candidates) {
      if (candidate.held.begin > layer) break;
      if (candidate.held.end <= layer || (boundary == 0 && !candidate.may_be_head)) continue;
      const bool crosses =
          from[cheapest].cost + hop.token_ms + hop.cost < from[candidate.zone].cost;
      const size_t zone = crosses ? cheapest : candidate.zone;
      RelaxEngine(state, boundary, candidate, from[zone], zone, crosses ? hop : crossing());
    }
  }
}

// Stages of the cheapest path that ends in `zone`.
path Backtrack(search_state& state, size_t zone) {
  path stages;
  size_t boundary = state.boundaries.size() - 1;
  while (boundary != 0) {
    const node& step = state.At(boundary, zone);
    stages.push_back(
        {step.engine, {state.boundaries[step.from_boundary], state.boundaries[boundary]}});
    boundary = step.from_boundary;
    zone = step.from_zone;
  }
  std::ranges::reverse(stages);
  return stages;
}

// The search begins at layer 0 in the caller's zone, or after the given head in the head's zone.
void SetStartNode(search_state& state) {
  if (!state.query.head) {
    state.At(0, 0).cost = 0;
    return;
  }
  const path_stage& head = *state.query.head;
  const auto boundary = std::ranges::find(state.boundaries, head.range.end);
  node& first = state.At(static_cast<size_t>(boundary - state.boundaries.begin()),
                         state.zone_of[head.engine]);
  first = {0, 0, head.engine, 0, 0};
}

// Cheapest path, which may use an engine more than once. kUncovered if there is none.
path_choice FindCheapestPath(const model_spec& model, std::span<const engine> engines,
                             const path_query& query) {
  search_state state{model, engines, query, {}, {}, {}, {}, {}};
  Prepare(state);
  SetStartNode(state);
  RelaxAll(state);
  const size_t last = state.boundaries.size() - 1;
  size_t best = 0;
  for (size_t zone = 1; zone < state.zones.size(); ++zone) {
    if (state.At(last, zone).cost < state.At(last, best).cost) best = zone;
  }
  const node& end = state.At(last, best);
  if (end.cost == kInfinite) return {};
  return {path_verdict::kFound, Backtrack(state, best), end.token_ms};
}

std::optional<size_t> FindRepeatedEngine(std::span<const path_stage> stages) {
  for (size_t i = 0; i < stages.size(); ++i) {
    const bool repeated = std::ranges::any_of(stages.subspan(i + 1), [&](const path_stage& later) {
      return later.engine == stages[i].engine;
    });
    if (repeated) return stages[i].engine;
  }
  return std::nullopt;
}

}  // namespace

path_choice ChoosePath(const model_spec& model, std::span<const engine> engines,
                       const path_query& query) {
  std::vector<size_t> excluded(query.excluded.begin(), query.excluded.end());
  path_query attempt = query;
  // The search may use an engine twice, although its cost usually prevents this. Each round
  // excludes such an engine and searches again.
  for (size_t round = 0; round <= engines.size(); ++round) {
    attempt.excluded = excluded;
    path_choice choice = FindCheapestPath(model, engines, attempt);
    if (choice.verdict != path_verdict::kFound) break;
    const auto repeated = FindRepeatedEngine(choice.stages);
    if (!repeated && choice.stages.size() <= kMaxStages) return choice;
    if (!repeated) break;
    excluded.push_back(*repeated);
  }
  if (query.allow_overcommit) return {};
  attempt = query;
  attempt.allow_overcommit = true;
  const bool covered = FindCheapestPath(model, engines, attempt).verdict == path_verdict::kFound;
  return {covered ? path_verdict::kNoRoom : path_verdict::kUncovered, {}, 0};
}

bool IsCompletePath(std::span<const path_stage> stages, int layers) {
  int next = 0;
  for (const path_stage& stage : stages) {
    if (stage.range.begin != next || stage.range.end <= next) return false;
    next = stage.range.end;
  }
  return next == layers && !FindRepeatedEngine(stages);
}

double MinCoverageTokens(const model_spec& model, std::span<const engine> engines) {
  std::vector<double> tokens(static_cast<size_t>(model.layers), 0.0);
  for (const engine& holder : engines) {
    if (!holder.usable || holder.held.Size() == 0) continue;
    const double tokens_per_layer =
        KvCapacityTokenLayers(model, model.kinds[holder.kind], holder.held.Size()) /
        holder.held.Size();
    for (int layer = holder.held.begin; layer < std::min(holder.held.end, model.layers); ++layer) {
      tokens[static_cast<size_t>(layer)] += tokens_per_layer;
    }
  }
  return tokens.empty() ? 0 : *std::ranges::min_element(tokens);
}

}  // namespace balsambay::pipeline
