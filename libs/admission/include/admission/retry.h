// Retry policy: whether and when a failed attempt is repeated. The retry budget, per workspace and
// in total, is a fraction of the recent successes plus a small floor, so that a partial outage
// (brown-out) cannot multiply the load. Not thread-safe; the caller passes the time.
#pragma once

#include <map>
#include <string>
#include <string_view>

#include "admission/reason.h"
#include "base/random.h"
#include "base/time.h"

namespace balsambay::admission {

// Disables single mechanisms, so that tests can show that they are needed. Not set in production.
struct retry_faults {
  bool no_budget = false;
  bool no_pacing = false;
};

struct retry_settings {
  double ratio = 0.1;                          // retries as a fraction of recent successes
  duration window = std::chrono::seconds(10);  // time constant of the decay of "recent"
  // Floors of the budgets, in retries per window: a workspace with little traffic can retry after
  // the loss of an endpoint too.
  double workspace_floor = 4;
  double total_floor = 16;
  // Retries for reasons that point to overload must also pass a token bucket: each first attempt
  // adds `pacing_fraction` * `ratio` tokens, up to `pacing_burst`. Otherwise the budget saved over
  // the window could be spent at once. `pacing_fraction` is below 1, so that retries including the
  // burst stay within `ratio` of the load.
  double pacing_fraction = 0.9;
  double pacing_burst = 2;
  // Loss credit: attempts that were in flight on an endpoint when it was lost may be repeated
  // beyond the budget, because their work is lost and nothing more is sent to that endpoint.
  // Granted once per endpoint and `loss_credit_interval`: with responses that take some seconds,
  // these repeats stay below 10% of the load even when an endpoint that is only overloaded keeps
  // breaking its connections.
  duration loss_credit_interval = std::chrono::seconds(30);
  duration loss_credit_lifetime = std::chrono::seconds(5);
  duration base_backoff = std::chrono::milliseconds(50);
  duration max_backoff = std::chrono::seconds(2);
  // Random delay, up to this, of retries that need no back-off, as after the loss of an endpoint.
  duration immediate_retry_jitter = std::chrono::milliseconds(10);
  int max_attempts = 4;  // including the first
  retry_faults test_faults = {};
};

// A count that decays exponentially; `value` is valid at `updated_at`.
struct decaying_count {
  double value = 0;
  time_point updated_at{};
};

struct retry_history {
  decaying_count successes;
  decaying_count retries;
};

// Retry budget of one daemon. Memory is bounded by the number of active workspaces: histories that
// have decayed are erased.
struct retry_budget {
  retry_budget() = default;
  explicit retry_budget(const retry_settings& values) : config(values) {}

  retry_settings config;
  retry_history total;
  double pacing_tokens = 0;  // in [0, pacing_burst]
  int loss_credit = 0;       // repeats still allowed beyond the budget
  time_point loss_credit_expiry{};
  std::map<std::string, time_point, std::less<>>
      last_losses;  // when each endpoint last gave credit
  std::map<std::string, retry_history, std::less<>> workspaces;
  time_point next_cleanup{};
};

// Records the first attempt of a request; it earns tokens for paced retries.
void OnFirstAttempt(retry_budget& budget);

// Records a successful request of `workspace`.
void OnSuccess(retry_budget& budget, std::string_view workspace, time_point now);

// Grants loss credit for an endpoint that was lost while it ran `attempts_in_flight` attempts of
// this daemon.
void OnEndpointLost(retry_budget& budget, std::string_view endpoint, int attempts_in_flight,
                    time_point now);

struct failed_attempt {
  std::string_view workspace;
  retry_reason reason = retry_reason::kReset;
  bool repeatable = true;     // the request may be executed more than once
  bool may_have_run = false;  // false only with proof that nothing ran
  int attempts = 1;           // made so far, including this one
  time_point deadline;
  duration service_time{0};    // estimate for the next attempt
  bool endpoint_lost = false;  // the endpoint was lost, see OnEndpointLost
};

// `give_up_reason` and `retry_after` are set when `retry` is false.
struct retry_decision {
  bool retry = false;
  duration delay{0};  // before the next attempt
  refusal_reason give_up_reason = refusal_reason::kEndpointFailed;
  duration retry_after{0};  // for the client; 0: a retry cannot succeed
};

// Decides whether a failed attempt is retried, and charges a retry to the budgets or to the loss
// credit. Reasons to give up: endpoint_failed (not repeatable, or too many attempts), deadline,
// retry_budget.
retry_decision DecideRetry(retry_budget& budget, const failed_attempt& failure, time_point now,
                           random_generator& rng);

}  // namespace balsambay::admission
