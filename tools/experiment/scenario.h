// The cluster of the experiment: 40 engines of four kinds in three zones.
#pragma once

#include "inventory/inventory.h"
#include "planner/planner.h"

namespace balsambay::experiment {

inline constexpr int kLayers = 80;

// Prefill rate divided by decode rate, equal for all engines, so that work can be counted in decode
// tokens.
inline constexpr double kPrefillSpeedup = 20;

// Hidden states over links for each token of work; follows from the mean lengths of the generated
// load (about 195 output and 950 prompt tokens: 1145 / (195 + 950 / 20)).
inline constexpr double kLinkLoad = 4.7;

inventory::configuration MakeCluster();

// Index of an engine whose loss removes a whole stage from its zone.
planner::endpoint_index PickVictim(const planner::topology& topo);

}  // namespace balsambay::experiment
