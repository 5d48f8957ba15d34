// Load of endpoints, and the cost of adding a request to one stage.
#pragma once

#include <algorithm>
#include <span>

#include "routing/routing.h"

namespace balsambay::routing::details {

// The values of one stage of a candidate route that its cost depends on.
struct stage_cost_input {
  float decode_seconds_per_token = 0;   // time of one output token on an idle endpoint
  float prefill_seconds_per_token = 0;  // time of one prompt token on an idle endpoint
  float layer_fraction = 1;             // layers of the stage divided by layers of the model
  int uncached_tokens = 0;              // prompt tokens that prefill must process
  int output_tokens = 0;
};

struct stage_cost {
  float wait = 0;     // seconds until a batch slot is free
  float prefill = 0;  // seconds
  float step = 0;     // seconds for each output token
};

endpoint_load MeasureLoad(const endpoint_view& view);

// MeasureLoad for each view. Precondition: both spans have the same size.
void MeasureLoads(std::span<const endpoint_view> views, std::span<endpoint_load> loads);

// Maximum slowdown that other requests add to prefill, as a multiple of the time on an idle
// endpoint. Prefill shares the engine with decoding and with other prompts, which add at most about
// the same time again. In the policy experiment at 80% load, the median ratio of estimated to
// measured time to the first token was 0.60 without the slowdown and 1.43 with a limit of 2.
inline constexpr float kMaxPrefillSlowdown = 1;

// Cost of the stage under `load`. Inline, because a choice calls it for each planned stage.
inline stage_cost EstimateStage(const stage_cost_input& input, const endpoint_load& load) {
  // Each other request has one token in the pipeline. The probability that this token is at this
  // stage is about layer_fraction.
  const float tokens_ahead = load.in_flight * input.layer_fraction;
  const float step = input.decode_seconds_per_token * (1 + tokens_ahead);
  const float output_tokens = static_cast<float>(input.output_tokens);
  const float wait =
      load.slot_excess > 0 ? load.slot_excess * output_tokens * step / input.layer_fraction : 0;
  const float slowdown = 1 + std::min(tokens_ahead, kMaxPrefillSlowdown);
  const float prefill =
      static_cast<float>(input.uncached_tokens) * input.prefill_seconds_per_token * slowdown;
  return {.wait = wait, .prefill = prefill, .step = step};
}

// Decode and prefill time of a sub-range of the endpoint's layers, in proportion to the rates of
// its whole range. Leaves the token counts at zero.
stage_cost_input DescribeStage(const planner::topology& topo, const planner::stage& stage);

// Seconds until an idle link has transferred the hidden states of `tokens` tokens; 0 when the
// topology has no link between the endpoints.
double LinkSeconds(const planner::topology& topo, endpoint_index sender, endpoint_index receiver,
                   int tokens);

}  // namespace balsambay::routing::details
