// Packs engines into complete copies of the model and repairs the coverage of layers.
#include "pipeline/placement.h"

#include <algorithm>
#include <map>
#include <numeric>

namespace balsambay::pipeline {
namespace {

// Stage sizes that the planner tries, as tokens of KV cache.
constexpr double kMinStageTokens = 10'000;
constexpr double kMaxStageTokens = 400'000;
constexpr double kStageTokensIncrement = 5'000;
// If no copy fits with these, smaller sizes are tried by halves down to this one: a fleet that can
// just hold the model still serves a few requests.
constexpr double kMinScarceStageTokens = 300;

// An engine and the number of layers that it runs, or can run at most.
struct sized_stage {
  size_t engine = 0;
  int layers = 0;
};

using stage_list = std::vector<sized_stage>;

int TotalLayers(const stage_list& stages) {
  return std::accumulate(stages.begin(), stages.end(), 0,
                         [](int sum, const sized_stage& stage) { return sum + stage.layers; });
}

// Removes the stages of one copy from `pool`, which is sorted by size, largest first: the largest
// stages while they fit, then the smallest one that completes the copy. Returns an empty list if
// the pool is too small.
stage_list TakeCopy(stage_list& pool, int layers) {
  if (TotalLayers(pool) < layers) return {};
  stage_list copy;
  int missing = layers;
  while (missing > 0) {
    auto chosen = pool.begin();
    if (chosen->layers >= missing) {
      const auto smaller = std::find_if(pool.rbegin(), pool.rend(), [&](const sized_stage& stage) {
        return stage.layers >= missing;
      });
      chosen = std::prev(smaller.base());
    }
    missing -= chosen->layers;
    copy.push_back(*chosen);
    pool.erase(chosen);
  }
  return copy;
}

// Removes surplus layers from the stages with the least KV cache for each layer. A stage of one
// layer is chosen last.
void TrimToFit(const model_spec& model, std::span<const engine> engines, stage_list& copy) {
  int surplus = TotalLayers(copy) - model.layers;
  for (; surplus > 0; --surplus) {
    auto tightest = std::ranges::min_element(copy, {}, [&](const sized_stage& stage) {
      const accelerator_kind& kind = model.kinds[engines[stage.engine].kind];
      return stage.layers <= 1 ? 1e18
                               : KvCapacityTokenLayers(model, kind, stage.layers) / stage.layers;
    });
    --tightest->layers;
  }
}

struct packing {
  std::vector<stage_list> copies;
  double requests_per_s = 0;  // estimated capacity of all copies
  size_t complete_zones = 0;  // zones that hold a complete copy
  double score = 0;           // higher is better
};

// Added to the score for each zone that can serve requests on its own during a network partition,
// as a fraction of the capacity.
constexpr double kCompleteZoneBonus = 0.12;

// Packs engines into copies whose stages have KV cache for `tokens` tokens: first inside each zone,
// then the engines that remain, across zones.
packing Pack(const model_spec& model, std::span<const engine> engines, double tokens) {
  std::map<std::string_view, stage_list> zones;
  for (size_t i = 0; i < engines.size(); ++i) {
    if (!engines[i].usable) continue;
    const int layers = MaxLayers(model, model.kinds[engines[i].kind], tokens);
    if (layers > 0) zones[engines[i].zone].push_back({i, layers});
  }
  packing result;
  const auto take_copies = [&](stage_list& pool) {
    std::ranges::stable_sort(pool, std::greater<>(), &sized_stage::layers);
    while (true) {
      stage_list copy = TakeCopy(pool, model.layers);
      if (copy.empty()) return;
      result.copies.push_back(std::move(copy));
    }
  };
  stage_list remaining;
  for (auto& [zone, pool] : zones) {
    const size_t before = result.copies.size();
    take_copies(pool);
    if (result.copies.size() > before) ++result.complete_zones;
    remaining.insert(remaining.end(), pool.begin(), pool.end());
  }
  take_copies(remaining);
  for (stage_list& copy : result.copies) {
    TrimToFit(model, engines, copy);
    // Stages of the same zone are adjacent, which minimizes the zone crossings of a copy that spans
    // zones.
    std::ranges::stable_sort(copy, {}, [&](const sized_stage& stage) {
      return std::string_view{engines[stage.engine].zone};
    });
    std::vector<chain_stage> chain;
    for (const sized_stage& stage : copy) {
      chain.push_back({&model.kinds[engines[stage.engine].kind], stage.layers});
    }
    result.requests_per_s += EstimateChain(model, chain).requests_per_s;
  }
  result.score =
      result.requests_per_s * (1 + kCompleteZoneBonus * static_cast<double>(result.complete_zones));
  return result;
}

// Coverage of each layer as tokens of KV cache, summed over the engines that hold it.
struct coverage {
  std::vector<double> total;
  std::map<std::string_view, std::vector<double>> by_zone;
};

// KV cache, in tokens, of each layer of an engine that holds `layers` layers (at least one). 0 if
// they do not fit.
double KvTokens(const model_spec& model, const engine& holder, int layers) {
  return std::max(0.0, KvCapacityTokenLayers(model, model.kinds[holder.kind], layers) / layers);
}

// `sign`: 1 adds the coverage that `holder` provides for `range`, -1 removes it.
void AddCoverage(coverage& covered, const model_spec& model, const engine& holder,
                 layer_range range, double sign) {
  if (range.Size() <= 0) return;
  const double tokens = sign * KvTokens(model, holder, range.Size());
  auto& zone = covered.by_zone[holder.zone];
  zone.resize(covered.total.size());
  for (int layer = range.begin; layer < std::min<int>(range.end, model.layers); ++layer) {
    covered.total[static_cast<size_t>(layer)] += tokens;
    zone[static_cast<size_t>(layer)] += tokens;
  }
}

// Added to the tokens of each layer, so that the deficit of an uncovered layer is finite.
constexpr double kCoverageOffsetTokens = 3'000;
// Weight of the deficit in the engine's zone relative to the total deficit: a zone that lacks a
// layer cannot serve requests during a network partition.
constexpr double kZoneDeficitWeight = 0.15;

// Coverage deficit of one layer; lower is better.
double LayerDeficit(double tokens) { return 1 / (std::max(tokens, 0.0) + kCoverageOffsetTokens); }

// Coverage deficit of `range`, in total and in `zone`, if `added` tokens are added to each of its
// layers; lower is better.
double CoverageDeficit(const coverage& covered, std::string_view zone, layer_range range,
                       double added) {
  const auto zone_coverage = covered.by_zone.find(zone);
  double deficit = 0;
  for (int layer = range.begin; layer < range.end; ++layer) {
    const auto i = static_cast<size_t>(layer);
    const double in_zone = zone_coverage == covered.by_zone.end() ? 0 : zone_coverage->second[i];
    deficit +=
        LayerDeficit(covered.total[i] + added) + kZoneDeficitWeight * LayerDeficit(in_zone + added);
  }
  return deficit;
}

struct layer_window {
  layer_range range;
  double gain = 0;  // reduction of the coverage deficit
};

// The range of `layers` layers that reduces the coverage deficit most if `holder` holds it. Empty
// if no range reduces it.
layer_window FindBestWindow(const model_spec& model, const coverage& covered, const engine& holder,
                            int layers) {
  layer_window best;
  if (layers <= 0) return best;
  const double tokens = KvTokens(model, holder, layers);
  for (int begin = 0; begin + layers <= model.layers; ++begin) {
    const layer_range range{begin, begin + layers};
    const double gain = CoverageDeficit(covered, holder.zone, range, 0) -
                        CoverageDeficit(covered, holder.zone, range, tokens);
    if (gain > best.gain) best = {range, gain};
  }
  return best;
}

// Fraction of the stages that may be smaller than planned, because successors of another kind may
// have less memory.
constexpr double kUndersizedFraction = 0.1;

// A successor of another kind must have at least this fraction of the planned KV cache.
constexpr double kMinSuccessorKvFraction = 0.6;
// An engine with more than this multiple of the planned KV cache could hold far more layers;
// PlanRepair assigns it a larger range.
constexpr double kMaxSuccessorKvFactor = 3;

// A move must reduce the coverage deficit by at least this fraction of the whole, because loading
// takes time and the layers of the engine are unusable meanwhile.
constexpr double kMinMoveGainFraction = 0.25;

}  // namespace

placement_plan PlanPlacement(const model_spec& model, std::span<const engine> engines) {
  placement_plan plan;
  plan.ranges.resize(engines.size());
  packing best;
  const auto try_size = [&](double tokens) {
    packing candidate = Pack(model, engines, tokens);
    if (candidate.score <= best.score) return;
    best = std::move(candidate);
    plan.tokens_per_stage = tokens;
  };
  for (double tokens = kMinStageTokens; tokens <= kMaxStageTokens; tokens += kStageTokensIncrement)
    try_size(tokens);
  for (double tokens = kMinStageTokens / 2; best.score <= 0 && tokens >= kMinScarceStageTokens;
       tokens /= 2) {
    try_size(tokens);
  }
  for (const stage_list& copy : best.copies) {
    int begin = 0;
    for (const sized_stage& stage : copy) {
      plan.ranges[stage.engine] = {begin, begin + stage.layers};
      begin += stage.layers;
    }
  }
  plan.copies = static_cast<int>(best.copies.size());
  plan.requests_per_s = best.requests_per_s;
  return plan;
}

result<void> CheckOrder(const model_spec& model, const engine& target, layer_range range) {
  const std::string layers = std::to_string(range.begin) + "-" + std::to_string(range.end);
  if (range.begin < 0 || range.Size() <= 0 || range.end > model.layers) {
    return Failure(errc::kInvalidArgument, "layers " + layers + " are not a range of the model's " +
                                               std::to_string(model.layers));
  }
  if (target.kind >= model.kinds.size()) {
    return Failure(errc::kInvalidArgument, "unknown kind of accelerator");
  }
  const accelerator_kind& kind = model.kinds[target.kind];
  if (KvCapacityTokenLayers(model, kind, range.Size()) > 0) return Success();
  return Failure(errc::kInvalidArgument,
                 "layers " + layers + " take " + std::to_string(range.Size() * model.layer_mb) +
                     " of " + std::to_string(kind.memory_mb) + " MB and leave no KV cache");
}

double StageTokens(const model_spec& model, std::span<const engine> engines) {
  std::vector<double> tokens;
  for (const engine& holder : engines) {
    if (!holder.usable || holder.held.Size() == 0) continue;
    tokens.push_back(KvTokens(model, holder, holder.held.Size()));
  }
  if (tokens.empty()) return 0;
  const auto percentile =
      tokens.begin() +
      static_cast<std::ptrdiff_t>(kUndersizedFraction * static_cast<double>(tokens.size()));
  std::ranges::nth_element(tokens, percentile);
  return *percentile;
}

std::optional<size_t> FindSuccessor(const model_spec& model, std::span<const engine> engines,
                                    std::span<const char> idle, const vacated_layers& vacated,
                                    double tokens_per_stage) {
  std::optional<size_t> best;
  // An engine of the same kind ranks first, then the one with the least KV cache that fits.
  double best_rank = 0;
  for (size_t i = 0; i < engines.size(); ++i) {
    if (idle[i] == 0 || !engines[i].usable || engines[i].held.Size() > 0) continue;
    if (engines[i].zone != vacated.zone) continue;
    if (CheckOrder(model, engines[i], vacated.range).has_error()) continue;
    const double tokens = KvTokens(model, engines[i], vacated.range.Size());
    const bool fits = tokens >= kMinSuccessorKvFraction * tokens_per_stage &&
                      tokens <= kMaxSuccessorKvFactor * tokens_per_stage;
    if (engines[i].kind != vacated.kind && !fits) continue;
    const double rank = engines[i].kind == vacated.kind ? 0 : 1 + tokens;
    if (best && rank >= best_rank) continue;
    best = i;
    best_rank = rank;
  }
  return best;
}

std::vector<placement_change> PlanRepair(const model_spec& model, std::span<const engine> engines,
                                         std::span<const char> movable, double tokens_per_stage) {
  std::vector<placement_change> changes;
  if (tokens_per_stage <= 0) return changes;
  coverage covered;
  covered.total.resize(static_cast<size_t>(model.layers));
  std::vector<size_t> idle;
  for (size_t i = 0; i < engines.size(); ++i) {
    if (!engines[i].usable) continue;
    AddCoverage(covered, model, engines[i], engines[i].held, 1);
    if (engines[i].held.Size() == 0) idle.push_back(i);
  }
  const auto max_layers = [&](size_t i) {
    return MaxLayers(model, model.kinds[engines[i].kind], tokens_per_stage);
  };
  // Large engines first, so that small ones fill the remaining gaps.
  std::ranges::stable_sort(idle, std::greater<>(), max_layers);
  for (const size_t i : idle) {
    const layer_window window = FindBestWindow(model, covered, engines[i], max_layers(i));
    if (window.range.Size() == 0) continue;
    changes.push_back({i, window.range});
    AddCoverage(covered, model, engines[i], window.range, 1);
  }
  if (!changes.empty()) return changes;
  // Without a zone: the deficit in the zone is that of uncovered layers.
  const double total_deficit = CoverageDeficit(covered, {}, {0, model.layers}, 0);
  placement_change best_move;
  double best_gain = kMinMoveGainFraction * total_deficit;
  for (size_t i = 0; i < engines.size(); ++i) {
    if (!engines[i].usable || movable[i] == 0 || engines[i].held.Size() == 0) continue;
    const double deficit_with = CoverageDeficit(covered, engines[i].zone, engines[i].held, 0);
    AddCoverage(covered, model, engines[i], engines[i].held, -1);
    const double deficit_without = CoverageDeficit(covered, engines[i].zone, engines[i].held, 0);
    const layer_window window = FindBestWindow(model, covered, engines[i], max_layers(i));
    AddCoverage(covered, model, engines[i], engines[i].held, 1);
    const double gain = window.gain - (deficit_without - deficit_with);
    if (window.range.Size() == 0 || window.range == engines[i].held || gain <= best_gain) continue;
    best_gain = gain;
    best_move = {i, window.range};
  }
  if (best_move.range.Size() > 0) changes.push_back(best_move);
  return changes;
}

}  // namespace balsambay::pipeline
