// Retries: whether and when a failed attempt is repeated. The budget per workspace and in total is
// a fraction of recent successes plus a small floor, so that a brown-out cannot multiply the load.
#pragma once

#include <map>
#include <string>
#include <string_view>

#include "admission/reason.h"
#include "base/random.h"
#include "base/time.h"

namespace balsambay::admission {

// Switches mechanisms off, so that tests can show that they are needed. Never set in production.
struct retry_faults {
  bool no_budget = false;
  bool no_pacing = false;
};

struct retry_settings {
  double ratio = 0.1;                          // retries as a fraction of recent successes
  duration window = std::chrono::seconds(10);  // time constant of "recent"
  // Floors in retries per window: they let a workspace with little traffic survive the loss of an
  // endpoint.
  double workspace_floor = 4;
  double total_floor = 16;
  // Retries for reasons that point to overload are paced too: each first attempt earns
  // `pacing_part` * `ratio` of a retry, up to `pacing_burst`. Otherwise the budget saved over the
  // window could be spent at once. Below 1, so that the burst stays within `ratio` of the load.
  double pacing_part = 0.9;
  double pacing_burst = 2;
  // The attempts that were in flight on an endpoint when it was lost may be repeated beyond the
  // budget, because their work is gone and nothing more is sent there. Once per endpoint and
  // `loss_interval`: with answers of some seconds this stays below 10% even when an endpoint that
  // is only overloaded breaks its connections again and again.
  duration loss_interval = std::chrono::seconds(30);
  duration loss_credit_lifetime = std::chrono::seconds(5);
  duration base_backoff = std::chrono::milliseconds(50);
  duration max_backoff = std::chrono::seconds(2);
  // Spread of immediate retries after the loss of an endpoint.
  duration lost_spread = std::chrono::milliseconds(10);
  int max_attempts = 4;  // including the first
  retry_faults test_faults = {};
};

// A value that decays exponentially.
struct decaying_count {
  double value = 0;
  time_point at{};
};

struct retry_history {
  decaying_count successes;
  decaying_count retries;
};

// Bounded by the number of workspaces: entries whose counts have decayed are dropped.
struct retry_budget {
  retry_budget() = default;
  explicit retry_budget(const retry_settings& values) : config(values) {}

  retry_settings config;
  retry_history total;
  double pacing_tokens = 0;  // in [0, pacing_burst]
  int loss_credit = 0;       // repeats that lost endpoints still allow
  time_point loss_credit_until{};
  std::map<std::string, time_point, std::less<>> losses;  // when each endpoint was last counted
  std::map<std::string, retry_history, std::less<>> workspaces;
  time_point next_sweep{};
};

void OnFirstAttempt(retry_budget& budget);
void OnSuccess(retry_budget& budget, std::string_view workspace, time_point now);

// An endpoint was lost while it ran `attempts_in_flight` attempts of this daemon.
void OnEndpointLost(retry_budget& budget, std::string_view endpoint, int attempts_in_flight,
                    time_point now);

struct failed_attempt {
  std::string_view workspace;
  retry_reason reason = retry_reason::kReset;
  bool repeatable = true;
  bool may_have_run = false;  // false only with proof that nothing ran
  int attempts = 1;           // made so far
  time_point deadline;
  duration service_time{0};    // estimate for the next attempt
  bool endpoint_lost = false;  // the endpoint is gone, see OnEndpointLost
};

// `give_up` and `retry_after` are set when `retry` is false.
struct retry_decision {
  bool retry = false;
  duration delay{0};  // before the next attempt
  refusal_reason give_up = refusal_reason::kEndpointFailed;
  duration retry_after{0};  // for the caller
};

// Decides on a failed attempt and, when it is repeated, takes it from the budgets. Give-up reasons:
// endpoint_failed (may not repeat, or too many attempts), deadline, retry_budget.
retry_decision DecideRetry(retry_budget& budget, const failed_attempt& failure, time_point now,
                           random_generator& rng);

}  // namespace balsambay::admission
