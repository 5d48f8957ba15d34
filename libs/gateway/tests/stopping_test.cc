// Which requests a gateway that stops still takes, by the usual duration of the requests of their
// route. Times are arguments; no clock is read.
#include "details/stopping.h"

#include <catch2/catch.hpp>

namespace balsambay::gateway {
namespace {

using namespace std::chrono_literals;

usual_duration Learned(duration taken, int requests = 50) {
  usual_duration usual;
  for (int i = 0; i < requests; ++i) AddDuration(usual, taken, 0);
  return usual;
}

stop_query Query(duration time_left, bool repeatable = true) {
  return {
      .time_left = time_left, .own_time_left = 30s, .answer_tokens = 0, .repeatable = repeatable};
}

stop_verdict Decide(const usual_duration& usual, const stop_query& query) {
  return DecideInStop(&usual, query).verdict;
}

// Guards against streams that are taken late in the grace time and cut at its end.
TEST_CASE("a request is refused when requests of its route take longer than the time left") {
  const usual_duration usual = Learned(5400ms);
  CHECK(Decide(usual, Query(7700ms)) == stop_verdict::kFits);
  CHECK(Decide(usual, Query(5800ms)) == stop_verdict::kNoTimeLeft);
  CHECK(Decide(usual, Query(4700ms)) == stop_verdict::kNoTimeLeft);
  CHECK(DecideInStop(&usual, Query(4700ms)).expected > 5400ms);
}

// Guards against refusals of short requests, which a stop can still complete.
TEST_CASE("short requests are taken until shortly before the end") {
  const usual_duration usual = Learned(50ms);
  CHECK(Decide(usual, Query(1s)) == stop_verdict::kFits);
  CHECK(Decide(usual, Query(500ms, false)) == stop_verdict::kFits);
  CHECK(Decide(usual, Query(100ms)) == stop_verdict::kNoTimeLeft);
}

// A caller cannot recover from the cut of a request that may not be repeated.
TEST_CASE("a request that may not be repeated needs more reserve") {
  const usual_duration usual = Learned(3s);
  CHECK(Decide(usual, Query(3700ms, true)) == stop_verdict::kFits);
  CHECK(Decide(usual, Query(3700ms, false)) == stop_verdict::kNoTimeLeft);
}

// Guards against an estimate by the mean alone: half of the requests take longer.
TEST_CASE("durations that vary need more reserve") {
  usual_duration usual;
  for (int i = 0; i < 50; ++i) AddDuration(usual, i % 2 == 0 ? 1s : 3s, 0);
  CHECK(Decide(usual, Query(3100ms)) == stop_verdict::kNoTimeLeft);
  CHECK(Decide(usual, Query(7s)) == stop_verdict::kFits);
}

// Guards against an estimate that one short request makes too certain.
TEST_CASE("a single completed request gives a wide estimate") {
  CHECK(Decide(Learned(2s, 1), Query(3s)) == stop_verdict::kNoTimeLeft);
  CHECK(Decide(Learned(2s, 50), Query(3s)) == stop_verdict::kFits);
}

// Without any completed request, only the deadline says when the request ends.
TEST_CASE("a request of unknown duration is taken only if its deadline fits") {
  stop_query query = Query(5s);
  CHECK(DecideInStop(nullptr, query).verdict == stop_verdict::kUnknownDuration);
  CHECK_FALSE(DecideInStop(nullptr, query).expected.has_value());
  query.own_time_left = 4s;
  CHECK(DecideInStop(nullptr, query).verdict == stop_verdict::kFits);
}

// A request whose deadline comes first gets its final reply before the end of the process.
TEST_CASE("a request with an early deadline is taken whatever its route usually takes") {
  stop_query query = Query(3s);
  query.own_time_left = 2s;
  CHECK(Decide(Learned(10s), query) == stop_verdict::kFits);
}

// Answers of very different lengths: the mean of all would refuse short answers and take long ones.
TEST_CASE("the expected number of tokens scales the estimate where that is more accurate") {
  usual_duration usual;
  for (int i = 0; i < 50; ++i) {
    const int tokens = i % 2 == 0 ? 20 : 200;
    AddDuration(usual, tokens * 30ms, tokens);
  }
  stop_query query = Query(2s);
  query.answer_tokens = 20;
  CHECK(Decide(usual, query) == stop_verdict::kFits);
  query.answer_tokens = 200;
  CHECK(Decide(usual, query) == stop_verdict::kNoTimeLeft);
}

// Numbers of tokens that say nothing about the duration must not make the estimate worse.
TEST_CASE("the expected number of tokens is ignored where it makes the estimate worse") {
  usual_duration usual;
  for (int i = 0; i < 50; ++i) AddDuration(usual, 1s, i % 2 == 0 ? 10 : 1000);
  stop_query query = Query(2s);
  query.answer_tokens = 1000;
  CHECK(Decide(usual, query) == stop_verdict::kFits);
}

}  // namespace
}  // namespace balsambay::gateway
