// Assignment of layers to engines. An initial plan packs engines into complete copies of the model,
// inside one zone where possible; later changes assign the ranges with the lowest coverage to the
// remaining engines.
#pragma once

#include <optional>
#include <span>
#include <string>
#include <vector>

#include "base/result.h"
#include "pipeline/path.h"

namespace balsambay::pipeline {

struct placement_plan {
  std::vector<layer_range> ranges;  // indexed by engine; empty: not part of a copy
  double tokens_per_stage = 0;      // KV cache that each stage was sized for, tokens; 0: no copy
  int copies = 0;
  double requests_per_s = 0;  // estimated capacity of all copies
};

// Plans a placement on all usable engines, regardless of the layers that they hold now. All ranges
// are empty if the model does not fit. Takes less than 1 ms for 40 engines.
placement_plan PlanPlacement(const model_spec& model, std::span<const engine> engines);

// Checks that the engine can hold the layers: a non-empty range of the model that leaves memory for
// KV cache. An engine that is ordered to hold more layers than fit crashes, so this has to hold for
// each order whatever planned it. Errors: kInvalidArgument, with the reason.
result<void> CheckOrder(const model_spec& model, const engine& target, layer_range range);

// KV cache that the stages of the current placement were sized for, tokens: nearly all usable
// engines with layers have at least this much. 0 if none holds layers.
double StageTokens(const model_spec& model, std::span<const engine> engines);

struct placement_change {
  size_t engine = 0;
  layer_range range;  // new range of the engine
};

// Layers that an engine held before it left or was lost.
struct vacated_layers {
  layer_range range;
  std::string zone;
  size_t kind = 0;  // of the engine
};

// Returns the idle engine that should take over exactly these layers: in the same zone, so that
// requests can move there without crossing zones, and of the same accelerator kind if possible. An
// engine of another kind must have neither far less nor far more KV cache than `tokens_per_stage`
// (see StageTokens()). An engine of any kind must pass CheckOrder(). nullopt if there is none.
// `idle[i]` says whether engine i may be given
// layers; `idle` and `engines` have the same size.
std::optional<size_t> FindSuccessor(const model_spec& model, std::span<const engine> engines,
                                    std::span<const char> idle, const vacated_layers& vacated,
                                    double tokens_per_stage);

// Returns new ranges for usable engines that hold no layers, most useful first. If there is no such
// engine and the coverage of some layers is far below that of others, returns one engine to move.
// `engines[i].held` is what engine i holds now or will hold after the changes in progress;
// `movable[i]` says whether engine i may give up its layers; `movable` and `engines` have the same
// size. New ranges leave KV cache for `tokens_per_stage` tokens (see StageTokens()); if it is 0,
// the stage size is unknown, and nothing is changed: ranges without KV cache could run no request,
// and the engines would have to be unloaded again.
std::vector<placement_change> PlanRepair(const model_spec& model, std::span<const engine> engines,
                                         std::span<const char> movable, double tokens_per_stage);

}  // namespace balsambay::pipeline
