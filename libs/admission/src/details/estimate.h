// Waiting time estimates and the measured rate of a pool.
#pragma once

#include "admission/gate.h"

namespace balsambay::admission::details {

struct wait_estimate {
  duration by_pool{0};   // until the pool reaches the request
  duration by_limit{0};  // until the workspace's own limits admit it
};

// For a request of `tokens` that is put at the end of the queue of `workspace`. Returns early with
// an upper bound when that bound is within `enough`, so that the usual case costs no walk over
// workspaces.
wait_estimate Estimate(const gate& state, const pool& where, uint32_t workspace, int64_t tokens,
                       duration service_time, duration enough, time_point now);

// Tokens per second: measured if possible, otherwise from the plan; 0 when unknown.
double RateOf(const pool& where);

// Counts a finished run into the rate when the pool is saturated.
void MeasureRate(pool& where, int64_t tokens, bool saturated, time_point now);

// Corrects future service time estimates by the time that this run took.
void MeasureService(pool& where, const ticket& item, time_point now);

}  // namespace balsambay::admission::details
