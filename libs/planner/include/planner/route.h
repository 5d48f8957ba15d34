// Routes through the layers of a model, and the check that a route runs each layer exactly once.
#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "base/result.h"
#include "inventory/inventory.h"

namespace balsambay::planner {

// Index into plan::endpoints. Indices stay the same for all plans of one configuration.
using endpoint_index = uint32_t;

// One endpoint runs `layers`, which can be a part of the range that it holds.
struct stage {
  endpoint_index endpoint = 0;
  inventory::layer_range layers;
  bool operator==(const stage&) const = default;
};

using route = std::vector<stage>;

// Succeeds when the stages cover layers [0, model.layers) once, in order, with no gap, overlap or
// empty stage, and no endpoint appears twice (an engine knows a run by its id only). The error
// names the first faulty stage. Callers check again before each dispatch.
result<void> ValidateRoute(std::span<const stage> stages, const inventory::model& model);

}  // namespace balsambay::planner
