// Properties of the retry budget and of retry decisions.
#include "admission/retry.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

using namespace std::chrono_literals;

namespace balsambay::admission {
namespace {

// Simulates 200 requests/s for 60 s with a brown-out, from 20 s to 20 s + `brown_out_time`, in
// which `failing_fraction` of the attempts fail. Returns the ratio of attempts to first attempts
// within the brown-out.
double LoadFactor(uint64_t seed, double failing_fraction, duration brown_out_time,
                  const retry_settings& config, retry_reason reason) {
  random_generator rng(seed);
  retry_budget budget(config);
  std::multimap<time_point, int> attempts;  // due time, number of earlier attempts
  const time_point begin(20s);
  const time_point end = begin + brown_out_time;
  int first_attempts = 0;
  int all_attempts = 0;
  for (int i = 0; i < 12000; ++i) attempts.emplace(time_point(i * 5ms), 0);
  while (!attempts.empty()) {
    const auto [now, attempts_made] = *attempts.begin();
    attempts.erase(attempts.begin());
    const bool in_brown_out = now >= begin && now < end;
    first_attempts += in_brown_out && attempts_made == 0 ? 1 : 0;
    all_attempts += in_brown_out ? 1 : 0;
    if (attempts_made == 0) OnFirstAttempt(budget);
    if (!in_brown_out || UniformUnit(rng) >= failing_fraction) {
      OnSuccess(budget, "w" + std::to_string(UniformBelow(rng, 3)), now);
      continue;
    }
    const std::string workspace = "w" + std::to_string(UniformBelow(rng, 3));
    const failed_attempt failure{workspace, reason, true, true, attempts_made + 1, now + 10s, 50ms};
    const retry_decision decision = DecideRetry(budget, failure, now, rng);
    if (decision.retry) attempts.emplace(now + decision.delay, attempts_made + 1);
  }
  return static_cast<double>(all_attempts) / first_attempts;
}

TEST_CASE("retries in a brown-out raise the offered load by at most 10%") {
  rc::prop("overload", [](uint64_t seed) {
    random_generator rng(seed);
    const double failing_fraction = UniformUnit(rng);
    const duration brown_out_time = 2s + duration(UniformBelow(rng, 30000000));
    RC_ASSERT(LoadFactor(seed, failing_fraction, brown_out_time, {}, retry_reason::kOverloaded) <=
              1.1);
  });
  retry_settings no_budget;
  no_budget.test_faults.no_budget = true;
  CHECK(LoadFactor(1, 0.5, 10s, no_budget, retry_reason::kOverloaded) > 1.1);
  retry_settings no_pacing;
  no_pacing.test_faults.no_pacing = true;
  CHECK(LoadFactor(1, 0.9, 3s, no_pacing, retry_reason::kOverloaded) > 1.1);
}

TEST_CASE("the number of retries is bounded by the floor plus a fraction of the successes") {
  rc::prop("random outcomes", [](uint64_t seed) {
    random_generator rng(seed);
    retry_budget budget;
    const retry_settings& config = budget.config;
    double successes = 0;
    double retries = 0;
    const auto steps = static_cast<int>(UniformBelow(rng, 500));
    for (int i = 0; i < steps; ++i) {
      // All events are within one millisecond, so that no count decays and the bound is exact.
      const time_point now = time_point(1s) + i * 1us;
      if (UniformBelow(rng, 2) == 0) {
        OnSuccess(budget, "w", now);
        successes += 1;
        continue;
      }
      const failed_attempt failure{"w", retry_reason::kStageLost, true, true, 1, now + 1s, 1ms};
      retries += DecideRetry(budget, failure, now, rng).retry ? 1 : 0;
      RC_ASSERT(retries <= config.workspace_floor + config.ratio * successes);
    }
  });
}

TEST_CASE("all attempts in flight on a lost endpoint are retried beyond the budget, no others") {
  // Guards against responses that are cut off because the budget is used up, when a small
  // installation loses one of its few endpoints.
  rc::prop("losses", [](uint64_t seed) {
    random_generator rng(seed);
    retry_budget budget;
    const int in_flight = static_cast<int>(UniformBelow(rng, 200));
    failed_attempt failure{"w", retry_reason::kReset, true, true, 1, time_point(90s), 1ms, true};
    const auto count_retries = [&](time_point now) {
      int retries = 0;
      for (int i = 0; i < 400; ++i) retries += DecideRetry(budget, failure, now, rng).retry ? 1 : 0;
      return retries;
    };
    OnEndpointLost(budget, "e1", in_flight, time_point(1s));
    const int floor = static_cast<int>(budget.config.workspace_floor);
    RC_ASSERT(count_retries(time_point(1s)) == in_flight + floor);
    // A second loss of the same endpoint soon after, as in a brown-out that breaks connections,
    // gives no credit.
    OnEndpointLost(budget, "e1", in_flight, time_point(2s));
    RC_ASSERT(count_retries(time_point(2s)) <= 1);
  });
}

TEST_CASE("a non-repeatable attempt that may have run is never retried") {
  random_generator rng(1);
  retry_budget budget;
  failed_attempt failure{"w", retry_reason::kReset, false, true, 1, time_point(9s), 1ms};
  CHECK_FALSE(DecideRetry(budget, failure, time_point(1s), rng).retry);
  failure.may_have_run = false;
  CHECK(DecideRetry(budget, failure, time_point(1s), rng).retry);
}

TEST_CASE("a stage loss is retried at once, unless the retry cannot finish by the deadline") {
  random_generator rng(1);
  retry_budget budget;
  failed_attempt failure{"w", retry_reason::kStageLost, true, true, 1, time_point(2s), 500ms};
  const retry_decision early = DecideRetry(budget, failure, time_point(1s), rng);
  CHECK((early.retry && early.delay <= 10ms));
  const retry_decision late = DecideRetry(budget, failure, time_point(1600ms), rng);
  CHECK((!late.retry && late.give_up_reason == refusal_reason::kDeadline && late.retry_after > 0s));
}

TEST_CASE("histories of idle workspaces are erased to bound the memory") {
  random_generator rng(1);
  retry_budget budget;
  for (int i = 0; i < 10000; ++i) {
    OnSuccess(budget, "w" + std::to_string(i), time_point(i * 1s));
  }
  CHECK(budget.workspaces.size() < 200);
}

}  // namespace
}  // namespace balsambay::admission
