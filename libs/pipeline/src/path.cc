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
// Added to the delay of a hop to another zone: a path inside one zone survives a partition.
constexpr double kCrossZonePenaltyMs = 8;
// Added for an engine at full memory, ms; falls with the sixth power of the used part, or with the
// third when the part is known from old figures. Of the order of a whole path's time between
// tokens, so that a full engine costs as much as a detour.
constexpr double kPressureMs = 25;
// Mean part by which costs are raised at random when they come from old figures: with exponential
// factors of this size equal engines get equal shares.
constexpr double kSpread = 1;
constexpr size_t kMaxStages = 32;

// Best way to a layer boundary that ends in a given zone: the zone of the engine that ran the
// layers before it.
struct node {
  double cost = kInfinite;
  double token_ms = 0;  // without the preferences that are part of the cost
  size_t engine = 0;
  size_t from_boundary = 0;
  size_t from_zone = 0;
};

// What an engine costs, for any part of its layers: both figures are linear in their number.
struct stage_rate {
  size_t engine = 0;
  size_t zone = 0;
  layer_range held;
  double ms_per_layer = 0;
  double known = 0;           // part of the memory that other requests take
  double assumed = 0;         // part that is likely taken besides
  double used_per_layer = 0;  // that this request adds
  double weight = 1;          // of the cost, for spreading
  bool may_be_head = false;
};

struct search {
  const model_spec& model;
  std::span<const engine> engines;
  const path_query& query;
  std::vector<int> boundaries;
  std::vector<std::string_view> zones;  // the first one is the caller's
  std::vector<size_t> zone_of;          // by engine
  std::vector<stage_rate> rates;        // of the engines that may be used, by first layer
  std::vector<node> nodes;              // [boundary][zone]

  node& At(size_t boundary, size_t zone) { return nodes[boundary * zones.size() + zone]; }
};

bool IsAllowed(const search& state, size_t index) {
  const engine& item = state.engines[index];
  return item.usable && item.held.Size() > 0 &&
         std::ranges::find(state.query.excluded, index) == state.query.excluded.end();
}

bool MayBeHead(const search& state, size_t index) {
  const engine& item = state.engines[index];
  if (!state.query.ignore_room && item.head_requests + 1 > state.model.slots) return false;
  return state.query.heads.empty() ||
         std::ranges::find(state.query.heads, index) != state.query.heads.end();
}

// In [0, 1), the same for the same seed and engine (SplitMix64).
double UnitOf(uint64_t seed, size_t index) {
  uint64_t x = seed + (index + 1) * 0x9e3779b97f4a7c15ULL;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return static_cast<double>((x ^ (x >> 31)) >> 11) * 0x1.0p-53;
}

stage_rate RateOf(const search& state, size_t index) {
  const engine& item = state.engines[index];
  const accelerator_kind& kind = state.model.kinds[item.kind];
  const double room = std::max(KvTokenLayers(state.model, kind, item.held.Size()), 1.0);
  const double sequences = item.sequences + item.assumed_sequences;
  const double context =
      sequences * (state.model.usual_prompt_tokens + state.model.usual_answer_tokens / 2);
  stage_rate out;
  out.engine = index;
  out.zone = state.zone_of[index];
  out.held = {std::max(0, item.held.begin), std::min(state.model.layers, item.held.end)};
  out.ms_per_layer =
      kPassWaitFactor * item.slowdown * StepMs(state.model, kind, 1, sequences + 1, context);
  out.known = item.committed / room;
  out.assumed = item.assumed_committed / room;
  out.used_per_layer = state.query.tokens / room;
  if (state.query.old_figures)
    out.weight = 1 - kSpread * std::log(1 - UnitOf(state.query.seed, index));
  out.may_be_head = MayBeHead(state, index);
  return out;
}

// Cost of the detour that a full engine is worth, ms.
double Pressure(double used, bool old_figures) {
  const double part = std::min(used, 2.0);
  const double cube = part * part * part;
  return kPressureMs * (old_figures ? cube : cube * cube);
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
    const bool is_head = state.query.head && state.query.head->engine == i;
    if (!is_head) state.rates.push_back(RateOf(state, i));
    cuts.insert({std::max(0, item.held.begin), std::min(state.model.layers, item.held.end)});
  }
  if (state.query.head) cuts.insert(state.query.head->range.end);
  state.boundaries.assign(cuts.begin(), cuts.end());
  state.nodes.resize(state.boundaries.size() * state.zones.size());
  std::ranges::stable_sort(state.rates, {}, [](const stage_rate& rate) { return rate.held.begin; });
}

// A hop to another zone, ms.
struct crossing {
  double token_ms = 0;
  double cost = 0;  // besides
};

// Each token that crosses waits for the transfer under way: for half of a usual request's on the
// mean, if the pipe is in use. The other half is for those that wait for this request's.
crossing CrossingAt(const search& state, size_t boundary) {
  const model_spec& model = state.model;
  const bool entry = boundary == 0 && !state.query.head;
  const double pipe_ms =
      entry ? 0 : PipeMs(model, model.usual_prompt_tokens + model.usual_answer_tokens);
  return {model.zone_delay_ms + kCrossZonePenaltyMs + pipe_ms / 2, pipe_ms / 2};
}

// All parts of the engine's layers that begin at `boundary`.
void RelaxStage(search& state, size_t boundary, const stage_rate& rate, const node& from,
                size_t from_zone, const crossing& hop) {
  const int first = state.boundaries[boundary];
  for (size_t next = boundary + 1;
       next < state.boundaries.size() && state.boundaries[next] <= rate.held.end; ++next) {
    const int layers = state.boundaries[next] - first;
    const double used = rate.known + rate.used_per_layer * layers;
    // More layers only need more memory.
    if (used > 1 && !state.query.ignore_room) return;
    const double token_ms = rate.ms_per_layer * layers + kHopMs;
    const double cost =
        from.cost + hop.token_ms + hop.cost +
        rate.weight * (token_ms + Pressure(used + rate.assumed, state.query.old_figures));
    node& target = state.At(next, rate.zone);
    if (cost >= target.cost) continue;
    target = {cost, from.token_ms + token_ms + hop.token_ms, rate.engine, boundary, from_zone};
  }
}

void Search(search& state) {
  for (size_t boundary = 0; boundary + 1 < state.boundaries.size(); ++boundary) {
    const int layer = state.boundaries[boundary];
    const crossing hop = CrossingAt(state, boundary);
    // A crossing costs the same between any two zones, so only the best zone counts as its origin.
    size_t cheapest = 0;
    for (size_t zone = 1; zone < state.zones.size(); ++zone) {
      if (state.At(boundary, zone).cost < state.At(boundary, cheapest).cost) cheapest = zone;
    }
    if (state.At(boundary, cheapest).cost == kInfinite) continue;
    const std::vector<node> from(
        state.nodes.begin() + static_cast<std::ptrdiff_t>(boundary * state.zones.size()),
        state.nodes.begin() + static_cast<std::ptrdiff_t>((boundary + 1) * state.zones.size()));
    for (const stage_rate& rate : state.rates) {
      if (rate.held.begin > layer) break;
      if (rate.held.end <= layer || (boundary == 0 && !rate.may_be_head)) continue;
      const bool crosses = from[cheapest].cost + hop.token_ms + hop.cost < from[rate.zone].cost;
      const size_t zone = crosses ? cheapest : rate.zone;
      RelaxStage(state, boundary, rate, from[zone], zone, crosses ? hop : crossing());
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
  search state{model, engines, query, {}, {}, {}, {}, {}};
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
