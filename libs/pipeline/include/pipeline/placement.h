// Which layers each engine should hold. An initial plan packs engines into complete copies of the
// model, inside a zone where possible; later changes add the ranges that the remaining engines
// cover least.
#pragma once

#include <optional>
#include <span>
#include <string>
#include <vector>

#include "pipeline/path.h"

namespace balsambay::pipeline {

struct placement_plan {
  std::vector<layer_range> ranges;  // by engine; empty: not part of a copy
  double tokens_per_stage = 0;      // KV memory that the ranges were chosen for
  int copies = 0;
  double requests_per_s = 0;  // estimated capacity of the copies
};

// Plans all usable engines from nothing, whatever they hold now. Empty ranges for all when the
// model does not fit. Cost: below 1 ms for 40 engines.
placement_plan PlanPlacement(const model_spec& model, std::span<const engine> engines);

// KV memory that the stages of the present placement were sized for, tokens: nearly all usable
// engines with layers have at least as much. 0 when none holds layers.
double StageTokens(const model_spec& model, std::span<const engine> engines);

struct placement_change {
  size_t engine = 0;
  layer_range range;
};

// Layers that an engine held before it left or was lost.
struct vacancy {
  layer_range range;
  std::string zone;
  size_t kind = 0;
};

// The idle engine that should take over exactly these layers: of the same zone, so that requests
// can move there without crossing zones, with enough memory, of the same kind if possible. nullopt:
// none. `idle[i]` says whether engine i may be given layers.
std::optional<size_t> FindSuccessor(const model_spec& model, std::span<const engine> engines,
                                    std::span<const char> idle, const vacancy& vacancy,
                                    double tokens_per_stage);

// What holds the layers now or will after orders under way: `engines[i].held`. Returns new ranges
// for idle usable engines that hold nothing, most useful first, and, when none of them is left and
// some layers are covered far worse than others, one engine to move. `movable` says which engines
// may give up what they hold.
std::vector<placement_change> PlanRepair(const model_spec& model, std::span<const engine> engines,
                                         std::span<const char> movable, double tokens_per_stage);

}  // namespace balsambay::pipeline
