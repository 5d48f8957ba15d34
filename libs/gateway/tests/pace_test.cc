// Thresholds that are learned from traffic: the time without output after which a stream counts as
// stalled, and the slowest token rate at which a new stream is accepted.
#include "details/pace.h"

#include <catch2/catch.hpp>

namespace balsambay::gateway {
namespace {

using namespace std::chrono_literals;

// Small events at low load come every 15 to 25 ms, so a stream counts as stalled after 100 ms.
TEST_CASE("the stall threshold stays at its minimum while events come at short intervals") {
  pace learned;
  for (int i = 0; i < 500; ++i) AddSample(learned.gap, i % 2 == 0 ? 15ms : 25ms);
  CHECK(StallThreshold(learned.gap) == 100ms);
}

// Events of four tokens under load come every 90 to 130 ms. Guards against a threshold below the
// usual interval: every stream would count as stalled between any two events, and all engines of
// all paths would be asked for reports.
TEST_CASE("the stall threshold lies above the usual interval of large events") {
  pace learned;
  for (int i = 0; i < 500; ++i) AddSample(learned.gap, i % 2 == 0 ? 90ms : 130ms);
  CHECK(StallThreshold(learned.gap) > 150ms);
  CHECK(StallThreshold(learned.gap) < 300ms);
}

// Guards against a threshold that adapts to the long intervals that lost engines cause, so that
// further losses are detected late.
TEST_CASE("rare long intervals raise the stall threshold only a little") {
  pace learned;
  for (int i = 0; i < 2000; ++i) AddSample(learned.gap, i % 50 == 0 ? 3000ms : 40ms);
  CHECK(StallThreshold(learned.gap) < 150ms);
}

// Guards against accepting streams that cannot meet the goal of their route.
TEST_CASE("the allowed time per token follows from the gap goal and the tokens per event") {
  pace learned;
  CHECK_FALSE(MaxTokenMs(learned, 250ms, 171).has_value());
  for (int i = 0; i < 100; ++i) AddStreamLength(learned, i % 2 == 0 ? 50 : 64);
  const auto max_token_ms = MaxTokenMs(learned, 250ms, 171);
  REQUIRE(max_token_ms.has_value());
  // Three tokens in 250 ms are one in 83 ms, of which the prefill of prompts takes a part.
  CHECK(*max_token_ms < 83);
  CHECK(*max_token_ms > 40);
  CHECK_FALSE(MaxTokenMs(learned, 0ms, 171).has_value());
  CHECK(MaxTokenMs(learned, 500ms, 171) > max_token_ms);
  // Events with less than one token on average count as one token each.
  CHECK(MaxTokenMs(learned, 250ms, 10) <= 250);
}

// Guards against a threshold that grows without bound on a slow model.
TEST_CASE("the stall threshold has an upper bound") {
  pace learned;
  for (int i = 0; i < 5000; ++i) AddSample(learned.gap, 10s);
  CHECK(StallThreshold(learned.gap) <= 800ms);
}

}  // namespace
}  // namespace balsambay::gateway
