// Waiting time estimates and the measured rate of a pool.
#include "details/estimate.h"

#include <algorithm>

#include "details/flows.h"

namespace balsambay::admission::details {
namespace {

constexpr duration kRateBucket = 200ms;
constexpr int kRateBucketFinishes = 10;  // fewer make the sample too noisy
constexpr double kRateWeight = 0.3;      // of one sample
// Part of the rate that an estimate assumes at least for a tier, whatever the tiers above take.
constexpr double kLeastTierRate = 0.05;
constexpr double kServiceWeight = 0.05;  // of one run
constexpr double kMaxServiceFactor = 4;  // bounds the effect of single stuck runs
constexpr duration kLongWait = std::chrono::hours(1);

duration TimeFor(double tokens, double rate) {
  if (tokens <= 0) return duration(0);
  const double seconds = tokens / rate;
  if (seconds >= std::chrono::duration<double>(kLongWait).count()) return kLongWait;
  return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

// Tokens queued in tiers above `priority`, and in the tier itself.
struct queue_ahead {
  int64_t above = 0;
  int64_t same = 0;
};

queue_ahead CountAhead(const pool& where, int priority) {
  queue_ahead out;
  for (const auto& [level, values] : where.tiers) {
    if (level > priority) break;
    (level < priority ? out.above : out.same) += values.queued_tokens;
  }
  return out;
}

// Tokens of other workspaces of the tier that fair queueing serves before a request that starts at
// virtual time `own_tag`.
double ShareAhead(const gate& state, const pool& where, const tier& level, uint32_t workspace,
                  double own_tag) {
  double sum = 0;
  for (const auto& [tag, other] : level.ready) {
    if (tag > own_tag) break;
    if (other == workspace) continue;
    const flow& queue = where.flows[other];
    const double served = (own_tag - tag) * state.workspaces[other].policy.share;
    const double mean = static_cast<double>(queue.queued_tokens) / queue.fifo.size();
    sum += std::min(static_cast<double>(queue.queued_tokens), served + mean);
  }
  return sum;
}

double FairTokensAhead(const gate& state, const pool& where, uint32_t workspace) {
  const auto level = where.tiers.find(TierOf(state, workspace));
  if (level == where.tiers.end()) return 0;
  const flow& own = where.flows[workspace];
  const double begin = StartTag(level->second, own);
  const auto queued = static_cast<double>(own.queued_tokens);
  const double own_tag = begin + queued / state.workspaces[workspace].policy.share;
  return queued + ShareAhead(state, where, level->second, workspace, own_tag);
}

duration LimitWait(const workspace_slot& slot, const flow& own, int64_t tokens,
                   duration service_time) {
  const workspace_policy& policy = slot.policy;
  const bool full = slot.usage.running >= policy.max_requests ||
                    slot.usage.running_tokens + own.queued_tokens + tokens > policy.max_tokens ||
                    own.state == flow_state::kParked;
  if (!full || policy.max_requests <= 0) return duration(0);
  const double by_count = static_cast<double>(own.fifo.size() + 1) / policy.max_requests;
  const double by_tokens = static_cast<double>(own.queued_tokens + tokens) /
                           static_cast<double>(std::max<int64_t>(policy.max_tokens, 1));
  const double rounds = std::max(by_count, by_tokens);
  return duration(static_cast<duration::rep>(rounds * static_cast<double>(service_time.count())));
}

}  // namespace

wait_estimate Estimate(const gate& state, const pool& where, uint32_t workspace, int64_t tokens,
                       duration service_time, duration enough, time_point now) {
  wait_estimate out;
  const flow& own = where.flows[workspace];
  out.by_limit = LimitWait(state.workspaces[workspace], own, tokens, service_time);
  const double rate = RateOf(where);
  if (rate <= 0 || where.running < where.capacity.max_in_flight) return out;
  const int priority = TierOf(state, workspace);
  const queue_ahead ahead = CountAhead(where, priority);
  const double available = std::max(rate - RateAbove(where, priority, now), rate * kLeastTierRate);
  // The mean run still has to end before the first slot is free.
  const double slot = static_cast<double>(where.running_tokens) / std::max(1, where.running);
  const double common = static_cast<double>(ahead.above) + slot;
  out.by_pool = TimeFor(common + static_cast<double>(ahead.same), available);
  if (out.by_pool <= enough) return out;
  out.by_pool = TimeFor(common + FairTokensAhead(state, where, workspace), available);
  return out;
}

double RateOf(const pool& where) {
  return where.measured_rate > 0 ? where.measured_rate : where.capacity.tokens_per_second;
}

void MeasureRate(pool& where, int64_t tokens, bool saturated, time_point now) {
  if (!saturated) {
    where.bucket_start = kNever;
    return;
  }
  if (where.bucket_start == kNever) {
    where.bucket_start = now;
    where.bucket_tokens = 0;
    where.bucket_count = 0;
    return;
  }
  where.bucket_tokens += tokens;
  where.bucket_count += 1;
  const duration age = now - where.bucket_start;
  if (age < kRateBucket || where.bucket_count < kRateBucketFinishes) return;
  const double seconds = std::chrono::duration<double>(age).count();
  const double sample = static_cast<double>(where.bucket_tokens) / seconds;
  const double before = RateOf(where);
  where.measured_rate = before <= 0 ? sample : before + kRateWeight * (sample - before);
  where.bucket_start = now;
  where.bucket_tokens = 0;
  where.bucket_count = 0;
}

void MeasureService(pool& where, const ticket& item, time_point now) {
  if (item.estimate.count() <= 0) return;
  const double ratio = static_cast<double>((now - item.dispatched_at).count()) /
                       static_cast<double>(item.estimate.count());
  const double sample = std::min(ratio, kMaxServiceFactor);
  // Below 1 the estimate stays: runs that fail early must not make it optimistic.
  where.service_factor =
      std::max(1.0, where.service_factor + kServiceWeight * (sample - where.service_factor));
}

}  // namespace balsambay::admission::details
