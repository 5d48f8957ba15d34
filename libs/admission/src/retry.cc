// Retry budget, back-off and the decision on a failed attempt.
#include "admission/retry.h"

#include <algorithm>
#include <cmath>

namespace balsambay::admission {
namespace {

constexpr duration kBudgetRetryAfter = std::chrono::seconds(1);

double Current(const decaying_count& count, duration window, time_point now) {
  const double age = static_cast<double>((now - count.at).count());
  return count.value * std::exp(-std::max(0.0, age) / static_cast<double>(window.count()));
}

void Add(decaying_count& count, duration window, time_point now) {
  count.value = Current(count, window, now) + 1;
  count.at = std::max(now, count.at);
}

bool Allows(const retry_settings& config, const retry_history& history, double floor,
            time_point now) {
  const double successes = Current(history.successes, config.window, now);
  const double retries = Current(history.retries, config.window, now);
  return retries + 1 <= floor + config.ratio * successes;
}

// A refusal is not paced, because it also comes from an endpoint that leaves, and nothing ran.
bool IsPaced(retry_reason reason) {
  return reason == retry_reason::kOverloaded || reason == retry_reason::kStalled;
}

bool AllowsPace(const retry_budget& budget) {
  return budget.config.test_faults.no_pacing || budget.pacing_tokens >= 1;
}

bool AllowsRetry(const retry_budget& budget, const retry_history& own, retry_reason reason,
                 time_point now) {
  const retry_settings& config = budget.config;
  if (config.test_faults.no_budget) return true;
  return Allows(config, own, config.workspace_floor, now) &&
         Allows(config, budget.total, config.total_floor, now) &&
         (!IsPaced(reason) || AllowsPace(budget));
}

bool TakeLossCredit(retry_budget& budget, const failed_attempt& failure, time_point now) {
  if (!failure.endpoint_lost || budget.loss_credit == 0 || now > budget.loss_credit_until)
    return false;
  --budget.loss_credit;
  return true;
}

// After the loss of an endpoint another route is free at once; overload needs time to pass.
duration Backoff(const retry_settings& config, const failed_attempt& failure,
                 random_generator& rng) {
  const double unit = UniformUnit(rng);
  if (!IsPaced(failure.reason) || failure.endpoint_lost) {
    return duration(static_cast<duration::rep>(unit * config.lost_spread.count()));
  }
  const int doublings = std::clamp(failure.attempts - 1, 0, 10);
  const duration longest = std::min(config.base_backoff * (1 << doublings), config.max_backoff);
  return longest / 2 + duration(static_cast<duration::rep>(unit * longest.count() / 2));
}

retry_decision GiveUp(refusal_reason reason, duration retry_after) {
  return {.retry = false, .give_up = reason, .retry_after = retry_after};
}

bool IsDecayed(const retry_settings& config, const retry_history& history, time_point now) {
  return Current(history.successes, config.window, now) < 0.01 &&
         Current(history.retries, config.window, now) < 0.01;
}

void Sweep(retry_budget& budget, time_point now) {
  if (now < budget.next_sweep) return;
  budget.next_sweep = now + budget.config.window;
  std::erase_if(budget.workspaces,
                [&](const auto& entry) { return IsDecayed(budget.config, entry.second, now); });
}

retry_history& HistoryOf(retry_budget& budget, std::string_view workspace, time_point now) {
  Sweep(budget, now);
  const auto it = budget.workspaces.find(workspace);
  if (it != budget.workspaces.end()) return it->second;
  return budget.workspaces.emplace(workspace, retry_history{}).first->second;
}

}  // namespace

void OnFirstAttempt(retry_budget& budget) {
  const retry_settings& config = budget.config;
  const double earned = config.pacing_part * config.ratio;
  budget.pacing_tokens = std::min(config.pacing_burst, budget.pacing_tokens + earned);
}

void OnSuccess(retry_budget& budget, std::string_view workspace, time_point now) {
  Add(budget.total.successes, budget.config.window, now);
  Add(HistoryOf(budget, workspace, now).successes, budget.config.window, now);
}

void OnEndpointLost(retry_budget& budget, std::string_view endpoint, int attempts_in_flight,
                    time_point now) {
  const duration interval = budget.config.loss_interval;
  std::erase_if(budget.losses, [&](const auto& entry) { return entry.second + interval <= now; });
  if (!budget.losses.emplace(endpoint, now).second) return;
  if (now > budget.loss_credit_until) budget.loss_credit = 0;
  budget.loss_credit += attempts_in_flight;
  budget.loss_credit_until = now + budget.config.loss_credit_lifetime;
}

retry_decision DecideRetry(retry_budget& budget, const failed_attempt& failure, time_point now,
                           random_generator& rng) {
  const retry_settings& config = budget.config;
  if (failure.may_have_run && !failure.repeatable) {
    return GiveUp(refusal_reason::kEndpointFailed, duration(0));
  }
  if (failure.attempts >= config.max_attempts) {
    return GiveUp(refusal_reason::kEndpointFailed, kBudgetRetryAfter);
  }
  const duration delay = Backoff(config, failure, rng);
  if (now + delay + failure.service_time > failure.deadline) {
    return GiveUp(refusal_reason::kDeadline, kBudgetRetryAfter);
  }
  if (TakeLossCredit(budget, failure, now)) return {.retry = true, .delay = delay};
  retry_history& own = HistoryOf(budget, failure.workspace, now);
  if (!AllowsRetry(budget, own, failure.reason, now)) {
    return GiveUp(refusal_reason::kRetryBudget, kBudgetRetryAfter);
  }
  Add(own.retries, config.window, now);
  Add(budget.total.retries, config.window, now);
  if (IsPaced(failure.reason)) budget.pacing_tokens = std::max(0.0, budget.pacing_tokens - 1);
  return {.retry = true, .delay = delay};
}

}  // namespace balsambay::admission
