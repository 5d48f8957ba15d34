// Validation of routes.
#include "planner/route.h"

#include <algorithm>
#include <string>

namespace balsambay::planner {
namespace {

std::string DescribeStage(size_t index, const stage& s) {
  return "stage " + std::to_string(index) + " (layers [" + std::to_string(s.layers.first) + ", " +
         std::to_string(s.layers.end) + "))";
}

bool IsEndpointRepeated(std::span<const stage> stages, size_t index) {
  return std::ranges::any_of(stages.first(index), [&](const stage& earlier) {
    return earlier.endpoint == stages[index].endpoint;
  });
}

}  // namespace

result<void> ValidateRoute(std::span<const stage> stages, const inventory::model& model) {
  int next_layer = 0;
  for (size_t i = 0; i < stages.size(); ++i) {
    const inventory::layer_range& range = stages[i].layers;
    if (range.first != next_layer) {
      return Failure(
          errc::kInvalidArgument,
          DescribeStage(i, stages[i]) + " does not start at layer " + std::to_string(next_layer));
    }
    if (range.end <= range.first) {
      return Failure(errc::kInvalidArgument, DescribeStage(i, stages[i]) + " is empty");
    }
    if (IsEndpointRepeated(stages, i)) {
      return Failure(errc::kInvalidArgument,
                     DescribeStage(i, stages[i]) + " repeats the endpoint of an earlier stage");
    }
    next_layer = range.end;
  }
  if (next_layer != model.layers || model.layers <= 0) {
    return Failure(errc::kInvalidArgument, "route ends at layer " + std::to_string(next_layer) +
                                               " of " + std::to_string(model.layers));
  }
  return Success();
}

}  // namespace balsambay::planner
