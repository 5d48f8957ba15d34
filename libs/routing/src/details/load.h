// Cost of adding a request to one stage.
#pragma once

#include <span>

#include "routing/routing.h"

namespace balsambay::routing::details {

// One stage of a candidate route, with the values that its cost depends on.
struct stage_cost_input {
  double seconds_per_token = 0;    // alone
  double seconds_per_prefill = 0;  // per prompt token
  double model_share = 1;          // layers of the stage divided by layers of the model
  int uncached_tokens = 0;
  int output_tokens = 0;
};

struct stage_cost {
  double wait = 0;     // seconds until a batch slot is free
  double prefill = 0;  // seconds
  double step = 0;     // seconds for each output token
};

endpoint_load MeasureLoad(const endpoint_view& view);

stage_cost EstimateStage(const stage_cost_input& in, const endpoint_load& load);

// Decode and prefill time of a sub-range from the endpoint's rates.
stage_cost_input DescribeStage(const planner::topology& topo, const planner::stage& stage);

// Seconds until `tokens` hidden states have gone from endpoint to endpoint over an idle link.
double LinkSeconds(const planner::topology& topo, endpoint_index from, endpoint_index to,
                   int tokens);

}  // namespace balsambay::routing::details
