// Waiting time estimates, and the measured rate and service times of a pool.
#pragma once

#include "admission/gate.h"

namespace balsambay::admission::details {

struct wait_estimate {
  duration pool_wait{0};   // until the pool reaches the request
  duration limit_wait{0};  // until the workspace's limits admit it
};

// Estimates the wait of a request of `tokens` at the end of the queue of `workspace`. When an upper
// bound of `pool_wait` is within `acceptable_wait`, that bound is returned, so that the usual case
// does not iterate over all workspaces.
wait_estimate Estimate(const gate& state, const pool& pool, uint32_t workspace, int64_t tokens,
                       duration service_time, duration acceptable_wait, time_point now);

// Tokens per second of the pool: the measured rate, or the planned one before the first
// measurement; 0 when unknown.
double TokenRate(const pool& pool);

// Adds a finished run of `tokens` to the rate measurement. A pool that is not saturated restarts
// the sample, because its rate then shows the load and not the capacity.
void MeasureRate(pool& pool, int64_t tokens, bool saturated, time_point now);

// Updates pool::service_factor by the actual service time of a run that finished at `now`.
void MeasureService(pool& pool, const tracked_request& tracked, time_point now);

}  // namespace balsambay::admission::details
