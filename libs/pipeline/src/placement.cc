// Packing of engines into copies, and repair of coverage.
#include "pipeline/placement.h"

#include <algorithm>
#include <map>
#include <numeric>

namespace balsambay::pipeline {
namespace {

// Candidates for the KV memory of a stage, tokens.
constexpr double kFirstTokens = 10'000;
constexpr double kLastTokens = 400'000;
constexpr double kTokensStep = 5'000;

struct part {
  size_t engine = 0;
  int layers = 0;
};

using parts = std::vector<part>;

int TotalLayers(const parts& items) {
  return std::accumulate(items.begin(), items.end(), 0,
                         [](int sum, const part& item) { return sum + item.layers; });
}

// Takes parts for one copy out of `pool` (largest first): large ones while they fit, then the
// smallest one that completes it. Empty when the pool is too small.
parts TakeCopy(parts& pool, int layers) {
  if (TotalLayers(pool) < layers) return {};
  parts copy;
  int missing = layers;
  while (missing > 0) {
    auto chosen = pool.begin();
    if (chosen->layers >= missing) {
      const auto smaller = std::find_if(pool.rbegin(), pool.rend(),
                                        [&](const part& item) { return item.layers >= missing; });
      chosen = std::prev(smaller.base());
    }
    missing -= chosen->layers;
    copy.push_back(*chosen);
    pool.erase(chosen);
  }
  return copy;
}

// Takes surplus layers from the stages with the least KV memory.
void TrimToFit(const model_spec& model, std::span<const engine> engines, parts& copy) {
  int surplus = TotalLayers(copy) - model.layers;
  for (; surplus > 0; --surplus) {
    auto tightest = std::ranges::min_element(copy, {}, [&](const part& item) {
      const accelerator_kind& kind = model.kinds[engines[item.engine].kind];
      return item.layers <= 1 ? 1e18 : KvTokenLayers(model, kind, item.layers) / item.layers;
    });
    --tightest->layers;
  }
}

struct packing {
  std::vector<parts> copies;
  double requests_per_s = 0;
  size_t complete_zones = 0;  // that hold a whole copy of their own
  double value = 0;           // by which packings are compared
};

// Value of a zone that can serve by itself while it is cut off, as a part of the capacity.
constexpr double kCompleteZoneValue = 0.12;

packing Pack(const model_spec& model, std::span<const engine> engines, double tokens) {
  std::map<std::string_view, parts> zones;
  for (size_t i = 0; i < engines.size(); ++i) {
    if (!engines[i].usable) continue;
    const int layers = LayersFor(model, model.kinds[engines[i].kind], tokens);
    if (layers > 0) zones[engines[i].zone].push_back({i, layers});
  }
  packing out;
  const auto take_all = [&](parts& pool) {
    std::ranges::stable_sort(pool, std::greater<>(), &part::layers);
    while (true) {
      parts copy = TakeCopy(pool, model.layers);
      if (copy.empty()) return;
      out.copies.push_back(std::move(copy));
    }
  };
  parts rest;
  for (auto& [zone, pool] : zones) {
    const size_t before = out.copies.size();
    take_all(pool);
    if (out.copies.size() > before) ++out.complete_zones;
    rest.insert(rest.end(), pool.begin(), pool.end());
  }
  take_all(rest);
  for (parts& copy : out.copies) {
    TrimToFit(model, engines, copy);
    // Stages of one zone follow each other, so that a joined copy crosses zones least.
    std::ranges::stable_sort(
        copy, {}, [&](const part& item) { return std::string_view{engines[item.engine].zone}; });
    std::vector<chain_stage> stages;
    for (const part& item : copy) {
      stages.push_back({&model.kinds[engines[item.engine].kind], item.layers});
    }
    out.requests_per_s += EstimateChain(model, stages).requests_per_s;
  }
  out.value =
      out.requests_per_s * (1 + kCompleteZoneValue * static_cast<double>(out.complete_zones));
  return out;
}

// Coverage of each layer in tokens of KV memory: in all and by zone.
struct coverage {
  std::vector<double> all;
  std::map<std::string_view, std::vector<double>> by_zone;
};

double TokensOf(const model_spec& model, const engine& item, int layers) {
  return std::max(0.0, KvTokenLayers(model, model.kinds[item.kind], layers) / layers);
}

void AddCoverage(coverage& out, const model_spec& model, const engine& item, layer_range range,
                 double sign) {
  if (range.Size() <= 0) return;
  const double tokens = sign * TokensOf(model, item, range.Size());
  auto& zone = out.by_zone[item.zone];
  zone.resize(out.all.size());
  for (int layer = range.begin; layer < std::min<int>(range.end, model.layers); ++layer) {
    out.all[static_cast<size_t>(layer)] += tokens;
    zone[static_cast<size_t>(layer)] += tokens;
  }
}

// A layer that nothing covers weighs like one with this many tokens, so that the value is finite.
constexpr double kCoverageOffset = 3'000;
// A zone that lacks a layer cannot serve while it is cut off; weight against the total.
constexpr double kZoneWeight = 0.15;

double Need(double tokens) { return 1 / (std::max(tokens, 0.0) + kCoverageOffset); }

// How much the coverage of `range` falls short; lower is better.
double Shortage(const coverage& have, std::string_view zone, layer_range range, double added) {
  const auto found = have.by_zone.find(zone);
  double sum = 0;
  for (int layer = range.begin; layer < range.end; ++layer) {
    const auto i = static_cast<size_t>(layer);
    const double in_zone = found == have.by_zone.end() ? 0 : found->second[i];
    sum += Need(have.all[i] + added) + kZoneWeight * Need(in_zone + added);
  }
  return sum;
}

struct best_window {
  layer_range range;
  double gain = 0;
};

best_window FindWindow(const model_spec& model, const coverage& have, const engine& item,
                       int layers) {
  best_window best;
  if (layers <= 0) return best;
  const double tokens = TokensOf(model, item, layers);
  for (int begin = 0; begin + layers <= model.layers; ++begin) {
    const layer_range range{begin, begin + layers};
    const double gain =
        Shortage(have, item.zone, range, 0) - Shortage(have, item.zone, range, tokens);
    if (gain > best.gain) best = {range, gain};
  }
  return best;
}

// Part of the stages that may be smaller than planned, as successors of another kind are.
constexpr double kSmallStages = 0.1;

// A successor of another kind must have at least this part of the planned KV memory.
constexpr double kSuccessorPart = 0.6;
// An engine with more than this many times the planned KV memory could hold far more layers, which
// the repair of coverage gives it.
constexpr double kSuccessorExcess = 3;

// A move must improve the coverage by this part of the whole shortage, since loading takes time and
// what the engine holds is unusable meanwhile.
constexpr double kMoveGain = 0.25;

}  // namespace

placement_plan PlanPlacement(const model_spec& model, std::span<const engine> engines) {
  placement_plan out;
  out.ranges.resize(engines.size());
  packing best;
  for (double tokens = kFirstTokens; tokens <= kLastTokens; tokens += kTokensStep) {
    packing candidate = Pack(model, engines, tokens);
    if (candidate.value <= best.value) continue;
    best = std::move(candidate);
    out.tokens_per_stage = tokens;
  }
  for (const parts& copy : best.copies) {
    int begin = 0;
    for (const part& item : copy) {
      out.ranges[item.engine] = {begin, begin + item.layers};
      begin += item.layers;
    }
  }
  out.copies = static_cast<int>(best.copies.size());
  out.requests_per_s = best.requests_per_s;
  return out;
}

double StageTokens(const model_spec& model, std::span<const engine> engines) {
  std::vector<double> tokens;
  for (const engine& item : engines) {
    if (!item.usable || item.held.Size() == 0) continue;
    tokens.push_back(TokensOf(model, item, item.held.Size()));
  }
  if (tokens.empty()) return 0;
  const auto low = tokens.begin() +
                   static_cast<std::ptrdiff_t>(kSmallStages * static_cast<double>(tokens.size()));
  std::ranges::nth_element(tokens, low);
  return *low;
}

std::optional<size_t> FindSuccessor(const model_spec& model, std::span<const engine> engines,
                                    std::span<const char> idle, const vacancy& vacancy,
                                    double tokens_per_stage) {
  std::optional<size_t> best;
  double best_excess = 0;
  for (size_t i = 0; i < engines.size(); ++i) {
    if (idle[i] == 0 || !engines[i].usable || engines[i].held.Size() > 0) continue;
    if (engines[i].zone != vacancy.zone) continue;
    const double tokens = TokensOf(model, engines[i], vacancy.range.Size());
    const bool fits = tokens >= kSuccessorPart * tokens_per_stage &&
                      tokens <= kSuccessorExcess * tokens_per_stage;
    if (engines[i].kind != vacancy.kind && !fits) continue;
    const double excess = engines[i].kind == vacancy.kind ? 0 : 1 + tokens;
    if (best && excess >= best_excess) continue;
    best = i;
    best_excess = excess;
  }
  return best;
}

std::vector<placement_change> PlanRepair(const model_spec& model, std::span<const engine> engines,
                                         std::span<const char> movable, double tokens_per_stage) {
  std::vector<placement_change> out;
  coverage have;
  have.all.resize(static_cast<size_t>(model.layers));
  std::vector<size_t> idle;
  for (size_t i = 0; i < engines.size(); ++i) {
    if (!engines[i].usable) continue;
    AddCoverage(have, model, engines[i], engines[i].held, 1);
    if (engines[i].held.Size() == 0) idle.push_back(i);
  }
  const auto layers_of = [&](size_t i) {
    return LayersFor(model, model.kinds[engines[i].kind], tokens_per_stage);
  };
  // Large engines first: small ones fill the gaps that are left.
  std::ranges::stable_sort(idle, std::greater<>(), layers_of);
  for (const size_t i : idle) {
    const best_window window = FindWindow(model, have, engines[i], layers_of(i));
    if (window.range.Size() == 0) continue;
    out.push_back({i, window.range});
    AddCoverage(have, model, engines[i], window.range, 1);
  }
  if (!out.empty()) return out;
  const double whole = Shortage(have, {}, {0, model.layers}, 0);
  placement_change best_move;
  double best_gain = kMoveGain * whole;
  for (size_t i = 0; i < engines.size(); ++i) {
    if (!engines[i].usable || movable[i] == 0 || engines[i].held.Size() == 0) continue;
    const double with = Shortage(have, engines[i].zone, engines[i].held, 0);
    AddCoverage(have, model, engines[i], engines[i].held, -1);
    const double without = Shortage(have, engines[i].zone, engines[i].held, 0);
    const best_window window = FindWindow(model, have, engines[i], layers_of(i));
    AddCoverage(have, model, engines[i], engines[i].held, 1);
    const double gain = window.gain - (without - with);
    if (window.range.Size() == 0 || window.range == engines[i].held || gain <= best_gain) continue;
    best_gain = gain;
    best_move = {i, window.range};
  }
  if (best_move.range.Size() > 0) out.push_back(best_move);
  return out;
}

}  // namespace balsambay::pipeline
