// Cost of adding a request to one stage.
#pragma once

#include <algorithm>
#include <span>

#include "routing/routing.h"

namespace balsambay::routing::details {

// One stage of a candidate route, with the values that its cost depends on.
struct stage_cost_input {
  float seconds_per_token = 0;    // alone
  float seconds_per_prefill = 0;  // per prompt token
  float model_share = 1;          // layers of the stage divided by layers of the model
  int uncached_tokens = 0;
  int output_tokens = 0;
};

struct stage_cost {
  float wait = 0;     // seconds until a batch slot is free
  float prefill = 0;  // seconds
  float step = 0;     // seconds for each output token
};

endpoint_load MeasureLoad(const endpoint_view& view);

// MeasureLoad for each view. Both have the same size.
void MeasureLoads(std::span<const endpoint_view> views, std::span<endpoint_load> loads);

// Prefill shares the engine with decoding and other prompts, which take at most about as long
// again: in the policy experiment at 80% load the median of estimated to measured first token was
// 0.60 without this and 1.43 with 2.
inline constexpr float kMaxPrefillSlowdown = 1;

// Inline, because a choice calls it for each planned stage.
inline stage_cost EstimateStage(const stage_cost_input& in, const endpoint_load& load) {
  // Each other run has one token in the pipeline, and that token is at this stage for about the
  // stage's share of the model.
  const float ahead = load.in_flight * in.model_share;
  const float step = in.seconds_per_token * (1 + ahead);
  const float tokens = static_cast<float>(in.output_tokens);
  const float wait = load.excess > 0 ? load.excess * tokens * step / in.model_share : 0;
  const float slowdown = 1 + std::min(ahead, kMaxPrefillSlowdown);
  const float prefill = static_cast<float>(in.uncached_tokens) * in.seconds_per_prefill * slowdown;
  return {.wait = wait, .prefill = prefill, .step = step};
}

// Decode and prefill time of a sub-range from the endpoint's rates.
stage_cost_input DescribeStage(const planner::topology& topo, const planner::stage& stage);

// Seconds until `tokens` hidden states have gone from endpoint to endpoint over an idle link.
double LinkSeconds(const planner::topology& topo, endpoint_index from, endpoint_index to,
                   int tokens);

}  // namespace balsambay::routing::details
