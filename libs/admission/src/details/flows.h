// Queue discipline of one pool: tiers by priority, start-time fair queueing within a tier.
#pragma once

#include "admission/gate.h"

namespace balsambay::admission::details {

int TierOf(const gate& state, uint32_t workspace);

// Moves a ticket along the chart request_state.scxml; a missing transition is a broken invariant.
enum class request_event : uint8_t { kDispatch, kRefuse, kAbandon, kFinish };
void Step(ticket& item, request_event event);

// Whether the workspace's limits admit the request now.
bool FitsLimits(const gate& state, const ticket& item);

// Puts the request at the end of its workspace's queue.
void Enqueue(gate& state, request_id id, ticket& item);

// Takes a queued ticket out of its queue, whatever its position. The ticket itself remains.
void Dequeue(gate& state, request_id id, const ticket& item);

// Virtual start time of the head of a flow that becomes ready. A flow that was idle may start
// behind the virtual time by the cost of ten mean requests, so that the random bursts of a
// workspace below its share go ahead of one that is always backlogged. When one workspace goes to
// ten times its share, the others' 95th percentile then moves by 7% with 24 slots, and by 19%
// without the credit.
double StartTag(const tier& level, const flow& own);

// Sets a flow with queued requests ready, or idle when its queue is empty.
void Activate(gate& state, pool& where, uint32_t workspace);
void Deactivate(gate& state, pool& where, uint32_t workspace);

// Dispatches as long as the pool has room, and refuses heads that are past their latest start.
void Pump(gate& state, pool& where, time_point now, effects& out);

// Makes flows ready again that waited for the limits of `workspace`, and pumps their pools.
void Unpark(gate& state, uint32_t workspace, time_point now, effects& out);

// Takes a queued request out and refuses it.
void RefuseQueued(gate& state, request_id id, refusal_reason reason, duration retry_after,
                  effects& out);

// Tokens per second that tiers with a lower priority value than `priority` took recently.
double RateAbove(const pool& where, int priority, time_point now);

}  // namespace balsambay::admission::details
