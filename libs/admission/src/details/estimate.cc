// Waiting time estimates, and the measured rate and service times of a pool.
#include "details/estimate.h"

#include <algorithm>

#include "details/flows.h"

namespace balsambay::admission::details {
namespace {

constexpr duration kMinRateSampleTime = 200ms;
constexpr int kMinRateSampleRequests = 10;  // a rate over fewer finished requests is too noisy
constexpr double kRateSampleWeight = 0.3;   // of one sample in pool::measured_rate
// Estimates assume at least this fraction of the pool's rate for a tier, whatever the load of the
// tiers of higher priority.
constexpr double kMinTierRateFraction = 0.05;
constexpr double kServiceSampleWeight = 0.05;  // of one run in pool::service_factor
constexpr double kMaxServiceFactor = 4;        // bounds the effect of single stuck runs
constexpr duration kMaxWaitEstimate = std::chrono::hours(1);

duration TimeFor(double tokens, double rate) {
  if (tokens <= 0) return duration(0);
  const double seconds = tokens / rate;
  if (seconds >= std::chrono::duration<double>(kMaxWaitEstimate).count()) return kMaxWaitEstimate;
  return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

// Tokens queued in tiers of higher priority than a request's, and in its own tier.
struct queue_ahead {
  int64_t higher_priority = 0;
  int64_t same_priority = 0;
};

queue_ahead CountAhead(const pool& pool, int priority) {
  queue_ahead ahead;
  for (const auto& [tier_priority, tier] : pool.tiers) {
    if (tier_priority > priority) break;
    (tier_priority < priority ? ahead.higher_priority : ahead.same_priority) += tier.queued_tokens;
  }
  return ahead;
}

// Tokens of other workspaces of the tier that fair queueing serves before a request whose start tag
// is `request_tag`.
double CompetingTokensAhead(const gate& state, const pool& pool, const tier& tier,
                            uint32_t workspace, double request_tag) {
  double tokens_ahead = 0;
  for (const auto& [tag, competitor] : tier.ready) {
    if (tag > request_tag) break;
    if (competitor == workspace) continue;
    const flow& flow = pool.flows[competitor];
    const double served = (request_tag - tag) * state.workspaces[competitor].policy.share;
    const double mean_tokens = static_cast<double>(flow.queued_tokens) / flow.fifo.size();
    tokens_ahead += std::min(static_cast<double>(flow.queued_tokens), served + mean_tokens);
  }
  return tokens_ahead;
}

// Tokens of the tier that are served before a request at the end of the queue of `workspace`.
double FairQueueTokensAhead(const gate& state, const pool& pool, uint32_t workspace) {
  const auto tier_it = pool.tiers.find(TierPriority(state, workspace));
  if (tier_it == pool.tiers.end()) return 0;
  const flow& flow = pool.flows[workspace];
  const double start_tag = StartTag(tier_it->second, flow);
  const auto queued_tokens = static_cast<double>(flow.queued_tokens);
  const double request_tag = start_tag + queued_tokens / state.workspaces[workspace].policy.share;
  return queued_tokens + CompetingTokensAhead(state, pool, tier_it->second, workspace, request_tag);
}

// Time until the running requests of the workspace leave room for a request of `tokens`; 0 when its
// limits admit the request now.
duration EstimateLimitWait(const workspace_slot& slot, const flow& flow, int64_t tokens,
                           duration service_time) {
  const workspace_policy& policy = slot.policy;
  const bool is_blocked =
      slot.usage.running >= policy.max_requests ||
      slot.usage.running_tokens + flow.queued_tokens + tokens > policy.max_tokens ||
      flow.state == flow_state::kBlocked;
  if (!is_blocked || policy.max_requests <= 0) return duration(0);
  const double by_count = static_cast<double>(flow.fifo.size() + 1) / policy.max_requests;
  const double by_tokens = static_cast<double>(flow.queued_tokens + tokens) /
                           static_cast<double>(std::max<int64_t>(policy.max_tokens, 1));
  const double rounds = std::max(by_count, by_tokens);
  return duration(static_cast<duration::rep>(rounds * static_cast<double>(service_time.count())));
}

}  // namespace

wait_estimate Estimate(const gate& state, const pool& pool, uint32_t workspace, int64_t tokens,
                       duration service_time, duration acceptable_wait, time_point now) {
  wait_estimate wait;
  const flow& flow = pool.flows[workspace];
  wait.limit_wait = EstimateLimitWait(state.workspaces[workspace], flow, tokens, service_time);
  const double rate = TokenRate(pool);
  if (rate <= 0 || pool.running < pool.capacity.max_in_flight) return wait;
  const int priority = TierPriority(state, workspace);
  const queue_ahead ahead = CountAhead(pool, priority);
  const double available =
      std::max(rate - HigherPriorityRate(pool, priority, now), rate * kMinTierRateFraction);
  // Until the first slot is free, about one mean running request remains to be served.
  const double mean_running_tokens =
      static_cast<double>(pool.running_tokens) / std::max(1, pool.running);
  const double tokens_ahead = static_cast<double>(ahead.higher_priority) + mean_running_tokens;
  wait.pool_wait = TimeFor(tokens_ahead + static_cast<double>(ahead.same_priority), available);
  if (wait.pool_wait <= acceptable_wait) return wait;
  wait.pool_wait = TimeFor(tokens_ahead + FairQueueTokensAhead(state, pool, workspace), available);
  return wait;
}

double TokenRate(const pool& pool) {
  return pool.measured_rate > 0 ? pool.measured_rate : pool.capacity.tokens_per_second;
}

void MeasureRate(pool& pool, int64_t tokens, bool saturated, time_point now) {
  if (!saturated) {
    pool.sample_start = kNever;
    return;
  }
  if (pool.sample_start == kNever) {
    pool.sample_start = now;
    pool.sample_tokens = 0;
    pool.sample_requests = 0;
    return;
  }
  pool.sample_tokens += tokens;
  pool.sample_requests += 1;
  const duration age = now - pool.sample_start;
  if (age < kMinRateSampleTime || pool.sample_requests < kMinRateSampleRequests) return;
  const double seconds = std::chrono::duration<double>(age).count();
  const double sample = static_cast<double>(pool.sample_tokens) / seconds;
  const double previous_rate = TokenRate(pool);
  pool.measured_rate =
      previous_rate <= 0 ? sample : previous_rate + kRateSampleWeight * (sample - previous_rate);
  pool.sample_start = now;
  pool.sample_tokens = 0;
  pool.sample_requests = 0;
}

void MeasureService(pool& pool, const tracked_request& tracked, time_point now) {
  if (tracked.uncorrected_service_time.count() <= 0) return;
  const double ratio = static_cast<double>((now - tracked.dispatched_at).count()) /
                       static_cast<double>(tracked.uncorrected_service_time.count());
  const double sample = std::min(ratio, kMaxServiceFactor);
  // Not below 1: runs that fail early must not make the estimates optimistic.
  pool.service_factor =
      std::max(1.0, pool.service_factor + kServiceSampleWeight * (sample - pool.service_factor));
}

}  // namespace balsambay::admission::details
