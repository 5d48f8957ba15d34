// Retry budget, back-off and the decision on a failed attempt.
#include "admission/retry.h"

#include <algorithm>
#include <cmath>

namespace balsambay::admission {
namespace {

constexpr duration kRetryAfter = std::chrono::seconds(1);

double DecayedValue(const decaying_count& count, duration window, time_point now) {
  const double age_us = static_cast<double>((now - count.updated_at).count());
  return count.value * std::exp(-std::max(0.0, age_us) / static_cast<double>(window.count()));
}

void Increment(decaying_count& count, duration window, time_point now) {
  count.value = DecayedValue(count, window, now) + 1;
  count.updated_at = std::max(now, count.updated_at);
}

bool IsWithinBudget(const retry_settings& config, const retry_history& history, double floor,
                    time_point now) {
  const double successes = DecayedValue(history.successes, config.window, now);
  const double retries = DecayedValue(history.retries, config.window, now);
  return retries + 1 <= floor + config.ratio * successes;
}

// Reasons that point to overload. A refusal (kRefused) is not paced: endpoints that are leaving
// refuse too, and nothing ran.
bool IsPaced(retry_reason reason) {
  return reason == retry_reason::kOverloaded || reason == retry_reason::kStalled;
}

bool HasPacingToken(const retry_budget& budget) {
  return budget.config.test_faults.no_pacing || budget.pacing_tokens >= 1;
}

bool AllowsRetry(const retry_budget& budget, const retry_history& workspace_history,
                 retry_reason reason, time_point now) {
  const retry_settings& config = budget.config;
  if (config.test_faults.no_budget) return true;
  return IsWithinBudget(config, workspace_history, config.workspace_floor, now) &&
         IsWithinBudget(config, budget.total, config.total_floor, now) &&
         (!IsPaced(reason) || HasPacingToken(budget));
}

// Uses one repeat of the loss credit. Returns false when the failure is not due to a lost endpoint
// or no credit is left.
bool TakeLossCredit(retry_budget& budget, const failed_attempt& failure, time_point now) {
  if (!failure.endpoint_lost || budget.loss_credit == 0 || now > budget.loss_credit_expiry)
    return false;
  --budget.loss_credit;
  return true;
}

// Delay before the next attempt. After the loss of an endpoint another route is free at once, so
// only jitter is applied; overload needs time to pass, so the back-off is exponential.
duration Backoff(const retry_settings& config, const failed_attempt& failure,
                 random_generator& rng) {
  const double random_fraction = UniformUnit(rng);
  if (!IsPaced(failure.reason) || failure.endpoint_lost) {
    return duration(
        static_cast<duration::rep>(random_fraction * config.immediate_retry_jitter.count()));
  }
  const int doublings = std::clamp(failure.attempts - 1, 0, 10);
  const duration max_delay = std::min(config.base_backoff * (1 << doublings), config.max_backoff);
  return max_delay / 2 +
         duration(static_cast<duration::rep>(random_fraction * max_delay.count() / 2));
}

retry_decision GiveUp(refusal_reason reason, duration retry_after) {
  return {.retry = false, .give_up_reason = reason, .retry_after = retry_after};
}

bool IsDecayed(const retry_settings& config, const retry_history& history, time_point now) {
  return DecayedValue(history.successes, config.window, now) < 0.01 &&
         DecayedValue(history.retries, config.window, now) < 0.01;
}

void EraseDecayedHistories(retry_budget& budget, time_point now) {
  if (now < budget.next_cleanup) return;
  budget.next_cleanup = now + budget.config.window;
  std::erase_if(budget.workspaces,
                [&](const auto& entry) { return IsDecayed(budget.config, entry.second, now); });
}

retry_history& HistoryOf(retry_budget& budget, std::string_view workspace, time_point now) {
  EraseDecayedHistories(budget, now);
  const auto it = budget.workspaces.find(workspace);
  if (it != budget.workspaces.end()) return it->second;
  return budget.workspaces.emplace(workspace, retry_history{}).first->second;
}

}  // namespace

void OnFirstAttempt(retry_budget& budget) {
  const retry_settings& config = budget.config;
  const double earned_tokens = config.pacing_fraction * config.ratio;
  budget.pacing_tokens = std::min(config.pacing_burst, budget.pacing_tokens + earned_tokens);
}

void OnSuccess(retry_budget& budget, std::string_view workspace, time_point now) {
  Increment(budget.total.successes, budget.config.window, now);
  Increment(HistoryOf(budget, workspace, now).successes, budget.config.window, now);
}

void OnEndpointLost(retry_budget& budget, std::string_view endpoint, int attempts_in_flight,
                    time_point now) {
  const duration interval = budget.config.loss_credit_interval;
  std::erase_if(budget.last_losses,
                [&](const auto& entry) { return entry.second + interval <= now; });
  if (!budget.last_losses.emplace(endpoint, now).second) return;
  if (now > budget.loss_credit_expiry) budget.loss_credit = 0;
  budget.loss_credit += attempts_in_flight;
  budget.loss_credit_expiry = now + budget.config.loss_credit_lifetime;
}

retry_decision DecideRetry(retry_budget& budget, const failed_attempt& failure, time_point now,
                           random_generator& rng) {
  const retry_settings& config = budget.config;
  if (failure.may_have_run && !failure.repeatable) {
    return GiveUp(refusal_reason::kEndpointFailed, duration(0));
  }
  if (failure.attempts >= config.max_attempts) {
    return GiveUp(refusal_reason::kEndpointFailed, kRetryAfter);
  }
  const duration delay = Backoff(config, failure, rng);
  if (now + delay + failure.service_time > failure.deadline) {
    return GiveUp(refusal_reason::kDeadline, kRetryAfter);
  }
  if (TakeLossCredit(budget, failure, now)) return {.retry = true, .delay = delay};
  retry_history& workspace_history = HistoryOf(budget, failure.workspace, now);
  if (!AllowsRetry(budget, workspace_history, failure.reason, now)) {
    return GiveUp(refusal_reason::kRetryBudget, kRetryAfter);
  }
  Increment(workspace_history.retries, config.window, now);
  Increment(budget.total.retries, config.window, now);
  if (IsPaced(failure.reason)) budget.pacing_tokens = std::max(0.0, budget.pacing_tokens - 1);
  return {.retry = true, .delay = delay};
}

}  // namespace balsambay::admission
