// Queue discipline of one pool: tiers by priority, start-time fair queueing within a tier.
#pragma once

#include "admission/gate.h"

namespace balsambay::admission::details {

// Key of the workspace's tier in pool::tiers: its priority value.
int TierPriority(const gate& state, uint32_t workspace);

// Applies a transition of the state chart request_state.scxml. Aborts when the state has no
// transition for the event.
enum class request_event : uint8_t { kDispatch, kRefuse, kAbandon, kFinish };
void Step(tracked_request& tracked, request_event event);

// Whether the workspace's limits admit the request now.
bool FitsLimits(const gate& state, const tracked_request& tracked);

// Puts the request at the end of its workspace's queue.
void Enqueue(gate& state, request_id id, tracked_request& tracked);

// Removes a queued request from its flow, at any position. The entry in gate::requests remains.
void Dequeue(gate& state, request_id id, const tracked_request& tracked);

// Virtual start time of the head of a flow that becomes ready. A flow that was idle gets a burst
// credit: its start tag may be below the tier's virtual time by the cost of ten mean requests, so
// that random bursts of a workspace below its share go before requests of a workspace that is
// always backlogged. When one workspace offers ten times its share, the 95th percentile latency of
// the others rises by 7% with 24 slots, and by 19% without the credit.
double StartTag(const tier& tier, const flow& flow);

// Puts a flow with queued requests into the ready set of its tier; an empty flow stays idle.
void Activate(gate& state, pool& pool, uint32_t workspace);

// Takes a flow out of the ready set, or out of the list of blocked flows, and sets it idle.
void Deactivate(gate& state, pool& pool, uint32_t workspace);

// Dispatches queued requests while the pool has capacity, appending to `decisions`. Refuses heads
// that are past their latest start or exceed the workspace's limits, and blocks flows whose head
// must wait for these limits.
void DispatchReady(gate& state, pool& pool, time_point now, effects& decisions);

// Reactivates the flows of `workspace` that were blocked by its limits, and dispatches from their
// pools.
void UnblockFlows(gate& state, uint32_t workspace, time_point now, effects& decisions);

// Removes a queued request from the gate and appends its refusal to `decisions`.
void RefuseQueued(gate& state, request_id id, refusal_reason reason, duration retry_after,
                  effects& decisions);

// Tokens per second dispatched recently from tiers with a lower priority value than `priority`.
double HigherPriorityRate(const pool& pool, int priority, time_point now);

}  // namespace balsambay::admission::details
