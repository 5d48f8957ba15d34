// Shortest path over layer boundaries.
#include "pipeline/path.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <set>

namespace balsambay::pipeline {
namespace {

constexpr double kInfinite = std::numeric_limits<double>::infinity();
// Forwarding inside a zone, ms for each hop.
constexpr double kHopMs = 0.4;
// Added to the delay of a hop to another zone: activations share the pipe with other requests, and
// a path inside one zone survives a partition.
constexpr double kCrossZonePenaltyMs = 8;
// Added for an engine at full memory, ms; falls with the sixth power of the used part. Of the order
// of a whole path's time between tokens, so that a full engine costs as much as a detour.
constexpr double kPressureMs = 25;
constexpr size_t kMaxStages = 32;

// State of the search: a layer boundary and the zone of the engine that ran the layers before it.
struct node {
  double cost = kInfinite;
  double token_ms = 0;
  size_t engine = 0;
  size_t from_boundary = 0;
  size_t from_zone = 0;
};

struct search {
  const model_spec& model;
  std::span<const engine> engines;
  const path_query& query;
  std::vector<int> boundaries;
  std::vector<std::string_view> zones;  // the first one is the caller's
  std::vector<size_t> zone_of;          // by engine
  std::vector<node> nodes;              // [boundary][zone]

  node& At(size_t boundary, size_t zone) { return nodes[boundary * zones.size() + zone]; }
};

bool IsAllowed(const search& state, size_t index) {
  const engine& item = state.engines[index];
  return item.usable && item.held.Size() > 0 &&
         std::ranges::find(state.query.excluded, index) == state.query.excluded.end();
}

bool MayBeHead(const search& state, size_t index) {
  return state.query.heads.empty() ||
         std::ranges::find(state.query.heads, index) != state.query.heads.end();
}

struct stage_cost {
  double token_ms = 0;
  double total = kInfinite;
};

stage_cost Cost(const search& state, size_t index, layer_range range, bool is_head) {
  const engine& item = state.engines[index];
  const accelerator_kind& kind = state.model.kinds[item.kind];
  const double room = KvTokenLayers(state.model, kind, item.held.Size());
  const double used = (item.committed + state.query.tokens * range.Size()) / std::max(room, 1.0);
  if (!state.query.ignore_room) {
    if (used > 1) return {};
    if (is_head && item.head_requests + 1 > state.model.slots) return {};
  }
  const double context =
      item.sequences * (state.model.usual_prompt_tokens + state.model.usual_answer_tokens / 2);
  stage_cost out;
  out.token_ms = kPassWaitFactor * item.slowdown *
                     StepMs(state.model, kind, range.Size(), item.sequences + 1, context) +
                 kHopMs;
  out.total = out.token_ms + kPressureMs * std::pow(std::min(used, 2.0), 6);
  return out;
}

void Relax(search& state, size_t boundary, size_t zone, size_t index, size_t next, double base_cost,
           double base_ms) {
  const layer_range range{state.boundaries[boundary], state.boundaries[next]};
  const stage_cost cost = Cost(state, index, range, boundary == 0);
  if (cost.total == kInfinite) return;
  const size_t to_zone = state.zone_of[index];
  const double crossing = to_zone == zone ? 0 : state.model.zone_delay_ms + kCrossZonePenaltyMs;
  node& target = state.At(next, to_zone);
  if (base_cost + cost.total + crossing >= target.cost) return;
  target = {base_cost + cost.total + crossing, base_ms + cost.token_ms + crossing, index, boundary,
            zone};
}

void Prepare(search& state) {
  std::set<int> cuts = {0, state.model.layers};
  state.zones.push_back(state.query.home_zone);
  for (size_t i = 0; i < state.engines.size(); ++i) {
    const engine& item = state.engines[i];
    auto zone = std::ranges::find(state.zones, std::string_view{item.zone});
    if (zone == state.zones.end()) zone = state.zones.insert(zone, item.zone);
    state.zone_of.push_back(static_cast<size_t>(zone - state.zones.begin()));
    if (!IsAllowed(state, i)) continue;
    cuts.insert({std::max(0, item.held.begin), std::min(state.model.layers, item.held.end)});
  }
  if (state.query.head) cuts.insert(state.query.head->range.end);
  state.boundaries.assign(cuts.begin(), cuts.end());
  state.nodes.resize(state.boundaries.size() * state.zones.size());
}

void Search(search& state) {
  std::vector<size_t> allowed;
  for (size_t i = 0; i < state.engines.size(); ++i) {
    if (IsAllowed(state, i)) allowed.push_back(i);
  }
  for (size_t boundary = 0; boundary + 1 < state.boundaries.size(); ++boundary) {
    const int layer = state.boundaries[boundary];
    for (size_t zone = 0; zone < state.zones.size(); ++zone) {
      const node current = state.At(boundary, zone);
      if (current.cost == kInfinite) continue;
      for (const size_t index : allowed) {
        const layer_range held = state.engines[index].held;
        const bool is_head = state.query.head && state.query.head->engine == index;
        if (is_head || layer < held.begin || layer >= held.end) continue;
        if (boundary == 0 && !MayBeHead(state, index)) continue;
        for (size_t next = boundary + 1;
             next < state.boundaries.size() && state.boundaries[next] <= held.end; ++next) {
          Relax(state, boundary, zone, index, next, current.cost, current.token_ms);
        }
      }
    }
  }
}

path Trace(search& state, size_t zone) {
  path out;
  size_t boundary = state.boundaries.size() - 1;
  while (boundary != 0) {
    const node& step = state.At(boundary, zone);
    out.push_back(
        {step.engine, {state.boundaries[step.from_boundary], state.boundaries[boundary]}});
    boundary = step.from_boundary;
    zone = step.from_zone;
  }
  std::ranges::reverse(out);
  return out;
}

void Start(search& state) {
  if (!state.query.head) {
    state.At(0, 0).cost = 0;
    return;
  }
  const path_stage& head = *state.query.head;
  const auto cut = std::ranges::find(state.boundaries, head.range.end);
  node& first =
      state.At(static_cast<size_t>(cut - state.boundaries.begin()), state.zone_of[head.engine]);
  first = {0, 0, head.engine, 0, 0};
}

path_choice ChooseOnce(const model_spec& model, std::span<const engine> engines,
                       const path_query& query) {
  search state{model, engines, query, {}, {}, {}, {}};
  Prepare(state);
  Start(state);
  Search(state);
  const size_t last = state.boundaries.size() - 1;
  size_t best = 0;
  for (size_t zone = 1; zone < state.zones.size(); ++zone) {
    if (state.At(last, zone).cost < state.At(last, best).cost) best = zone;
  }
  const node& end = state.At(last, best);
  if (end.cost == kInfinite) return {};
  return {path_verdict::kFound, Trace(state, best), end.token_ms};
}

std::optional<size_t> RepeatedEngine(std::span<const path_stage> stages) {
  for (size_t i = 0; i < stages.size(); ++i) {
    const bool again = std::ranges::any_of(stages.subspan(i + 1), [&](const path_stage& other) {
      return other.engine == stages[i].engine;
    });
    if (again) return stages[i].engine;
  }
  return std::nullopt;
}

}  // namespace

path_choice ChoosePath(const model_spec& model, std::span<const engine> engines,
                       const path_query& query) {
  std::vector<size_t> excluded(query.excluded.begin(), query.excluded.end());
  path_query current = query;
  // Each round excludes an engine that the search used twice, which costs prevent as a rule.
  for (size_t round = 0; round <= engines.size(); ++round) {
    current.excluded = excluded;
    path_choice choice = ChooseOnce(model, engines, current);
    if (choice.verdict != path_verdict::kFound) break;
    const auto repeated = RepeatedEngine(choice.stages);
    if (!repeated && choice.stages.size() <= kMaxStages) return choice;
    if (!repeated) break;
    excluded.push_back(*repeated);
  }
  if (query.ignore_room) return {};
  current = query;
  current.ignore_room = true;
  const bool covered = ChooseOnce(model, engines, current).verdict == path_verdict::kFound;
  return {covered ? path_verdict::kNoRoom : path_verdict::kUncovered, {}, 0};
}

bool CoversOnce(std::span<const path_stage> stages, int layers) {
  int next = 0;
  for (const path_stage& stage : stages) {
    if (stage.range.begin != next || stage.range.end <= next) return false;
    next = stage.range.end;
  }
  return next == layers && !RepeatedEngine(stages);
}

double LeastCoverageTokens(const model_spec& model, std::span<const engine> engines) {
  std::vector<double> tokens(static_cast<size_t>(model.layers), 0.0);
  for (const engine& item : engines) {
    if (!item.usable || item.held.Size() == 0) continue;
    const double each =
        KvTokenLayers(model, model.kinds[item.kind], item.held.Size()) / item.held.Size();
    for (int layer = item.held.begin; layer < std::min(item.held.end, model.layers); ++layer) {
      tokens[static_cast<size_t>(layer)] += each;
    }
  }
  return tokens.empty() ? 0 : *std::ranges::min_element(tokens);
}

}  // namespace balsambay::pipeline
