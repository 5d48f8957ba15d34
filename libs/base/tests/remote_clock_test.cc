// Dating by the clock of another machine.
#include "base/remote_clock.h"

#include <catch2/catch.hpp>

namespace balsambay {
namespace {

using namespace std::chrono_literals;

constexpr time_point kStart = time_point() + 1000s;

TEST_CASE("a remote time is never dated newer than it is") {
  remote_clock clock;
  CHECK(ToLocal(clock, 5000) == time_point());
  // Remote 5,000 ms was somewhere between the call and its reply.
  Observe(clock, {kStart, kStart + 40ms, 5000});
  CHECK(ToLocal(clock, 5000) <= kStart);
  CHECK(ToLocal(clock, 5000) >= kStart - 1ms);
  CHECK(ToLocal(clock, 6000) <= kStart + 1s);
}

// A faster call narrows the difference; one that waited for a change does not widen it.
TEST_CASE("the closest bound is kept") {
  remote_clock clock;
  Observe(clock, {kStart, kStart + 40ms, 5000});
  Observe(clock, {kStart + 1s, kStart + 1s + 4ms, 5998});
  const time_point close = ToLocal(clock, 5998);
  CHECK(close >= kStart + 1s - 1ms);
  Observe(clock, {kStart + 2s, kStart + 27s, 31'990});
  CHECK(ToLocal(clock, 5998) == close);
}

// Guards against a reply that was processed seconds after it arrived and counts as new.
TEST_CASE("a reply that waited to be processed is dated by the remote clock") {
  remote_clock clock;
  Observe(clock, {kStart, kStart + 4ms, 5000});
  Observe(clock, {kStart + 1s, kStart + 7s, 6002});
  CHECK(ToLocal(clock, 6002) <= kStart + 1s + 4ms);
}

// Guards against an offset that stays wrong after a clock was set or stood still.
TEST_CASE("a sample that contradicts the offset replaces it") {
  remote_clock clock;
  Observe(clock, {kStart, kStart + 4ms, 5000});
  Observe(clock, {kStart + 1s, kStart + 1s + 4ms, 9000});
  CHECK(ToLocal(clock, 9000) <= kStart + 1s);
  Observe(clock, {kStart + 2s, kStart + 2s + 4ms, 100});
  CHECK(ToLocal(clock, 100) <= kStart + 2s);
  CHECK(ToLocal(clock, 100) >= kStart + 2s - 1ms);
}

}  // namespace
}  // namespace balsambay
