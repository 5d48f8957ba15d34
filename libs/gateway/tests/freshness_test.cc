// Checks of shared tables by many gateways.
#include "details/freshness.h"

#include <catch2/catch.hpp>
#include <vector>

namespace balsambay::gateway {
namespace {

using namespace std::chrono_literals;

constexpr time_point kStart = time_point() + 100s;
// The store's clock shows the same time.
constexpr remote_clock kClock{duration::zero()};

uint64_t StoreMs(time_point at) {
  return static_cast<uint64_t>(WholeMilliseconds(at.time_since_epoch()));
}

std::vector<freshness> Gateways(int count) {
  std::vector<freshness> out(static_cast<size_t>(count));
  for (size_t i = 0; i < out.size(); ++i) {
    out[i].spread = static_cast<double>(i) / static_cast<double>(out.size());
    OnTablePosition(out[i], 5, 9, StoreMs(kStart), kStart);
  }
  return out;
}

// Guards against each gateway of a large installation polling for itself.
TEST_CASE("one check in a while serves all gateways") {
  auto gateways = Gateways(60);
  int checks = 0;
  for (time_point now = kStart; now < kStart + 30s; now += 10ms) {
    for (freshness& self : gateways) {
      if (!IsCheckDue(self, kClock, now)) continue;
      ++checks;
      OnCheck(self, now);
      OnTablePosition(self, 5, 9, StoreMs(now), now);
      for (freshness& other : gateways) {
        if (&other != &self) CHECK_FALSE(OnPeerPosition(other, 5, StoreMs(now), kClock, now + 5ms));
      }
    }
  }
  CHECK(checks >= 15);
  CHECK(checks <= 40);
}

// Open calls go silent for all at once: nobody sees the change, and the next check still comes in
// time.
TEST_CASE("a gateway that nobody confirms checks within its limit") {
  auto gateways = Gateways(1);
  CHECK_FALSE(IsCheckDue(gateways[0], kClock, kStart + 1400ms));
  CHECK(IsCheckDue(gateways[0], kClock, kStart + 2000ms));
}

// A lost reply at one gateway: the others know the change and it asks for it at once, but not again
// and again while the store does not answer.
TEST_CASE("a change that another gateway knows is asked for") {
  auto gateways = Gateways(1);
  freshness& self = gateways[0];
  CHECK_FALSE(OnPeerPosition(self, 9, StoreMs(kStart + 600ms), kClock, kStart + 600ms));
  CHECK(OnPeerPosition(self, 12, StoreMs(kStart + 700ms), kClock, kStart + 700ms));
  OnCheck(self, kStart + 700ms);
  CHECK_FALSE(OnPeerPosition(self, 12, StoreMs(kStart + 800ms), kClock, kStart + 800ms));
  CHECK(OnPeerPosition(self, 12, StoreMs(kStart + 1300ms), kClock, kStart + 1300ms));
  // The age is that of its own knowledge, which is behind.
  CHECK(Age(self, kClock, kStart + 1300ms) > 600ms);
}

// A large installation: the change itself is on its way from the gateway that has read it, so that
// one lost message costs a call, not each change.
TEST_CASE("a change that others know is given time to arrive") {
  auto gateways = Gateways(1);
  freshness& self = gateways[0];
  self.grace = 150ms;
  CHECK_FALSE(OnPeerPosition(self, 12, StoreMs(kStart + 700ms), kClock, kStart + 700ms));
  CHECK_FALSE(IsCheckDue(self, kClock, kStart + 800ms));
  CHECK(IsCheckDue(self, kClock, kStart + 850ms));
  OnTablePosition(self, 12, 12, StoreMs(kStart + 860ms), kStart + 860ms);
  CHECK_FALSE(IsCheckDue(self, kClock, kStart + 1500ms));
}

// Guards against a call of every gateway each half second while the store does not answer.
TEST_CASE("checks that are not answered become rare") {
  auto gateways = Gateways(1);
  freshness& self = gateways[0];
  int checks = 0;
  for (time_point now = kStart; now < kStart + 30s; now += 50ms) {
    if (!IsCheckDue(self, kClock, now)) continue;
    ++checks;
    OnCheck(self, now);
  }
  CHECK(checks <= 10);
  CHECK(checks >= 6);
}

// Guards against a gateway that loses three calls in a row and then waits for seconds, although
// others have told it that its copy is out of date.
TEST_CASE("a copy that others know to be out of date is asked for soon again") {
  auto gateways = Gateways(2);
  for (freshness& self : gateways) {
    self.check_pause = 1500ms;
    OnCheck(self, kStart + 2s);
    OnCheck(self, kStart + 2500ms);
    OnCheck(self, kStart + 3s);
  }
  CHECK_FALSE(OnPeerPosition(gateways[0], 12, StoreMs(kStart + 2s), kClock, kStart + 3100ms));
  CHECK(IsCheckDue(gateways[0], kClock, kStart + 3500ms));
  // Without such word, the store may be away for all.
  CHECK_FALSE(IsCheckDue(gateways[1], kClock, kStart + 3500ms));
}

// Guards against a gateway that stays behind for the longest pause, because a check was lost just
// after the store's return.
TEST_CASE("a gateway asks soon again when the store answers others") {
  auto gateways = Gateways(1);
  freshness& self = gateways[0];
  time_point now = kStart;
  for (; now < kStart + 20s; now += 50ms) {
    if (IsCheckDue(self, kClock, now)) OnCheck(self, now);
  }
  OnCheck(self, now);
  CHECK_FALSE(IsCheckDue(self, kClock, now + 1s));
  CHECK(OnPeerPosition(self, 12, StoreMs(now + 100ms), kClock, now + 600ms));
}

// Guards against a waiting time that begins anew with each change of a series (404 for a route that
// had been there for more than 3 s).
TEST_CASE("newer versions do not put off what others know already") {
  auto gateways = Gateways(1);
  freshness& self = gateways[0];
  self.grace = 1000ms;
  bool due = false;
  time_point now = kStart + 100ms;
  for (uint64_t version = 12; now <= kStart + 1100ms; version += 2, now += 80ms) {
    due = OnPeerPosition(self, version, StoreMs(now), kClock, now) || due;
  }
  CHECK((due || IsCheckDue(self, kClock, kStart + 1100ms)));
}

// Guards against a change that waits for the usual grace time although one before it is lost.
TEST_CASE("a gap is asked for soon, and not at all when it is filled") {
  auto gateways = Gateways(2);
  for (freshness& self : gateways) {
    self.grace = 1000ms;
    CHECK_FALSE(OnGap(self, 14, kClock, kStart + 600ms));
  }
  CHECK(IsCheckDue(gateways[0], kClock, kStart + 750ms));
  OnApplied(gateways[1], 14, 14, StoreMs(kStart + 650ms));
  CHECK_FALSE(IsCheckDue(gateways[1], kClock, kStart + 750ms));
}

// Guards against a confirmation by a message or reply that was looked at seconds after it was sent.
TEST_CASE("what others know counts from when it held") {
  auto gateways = Gateways(1);
  freshness& self = gateways[0];
  OnPeerPosition(self, 5, StoreMs(kStart + 100ms), kClock, kStart + 5s);
  CHECK(Age(self, kClock, kStart + 5s) >= 4900ms);
  CHECK(IsCheckDue(self, kClock, kStart + 5s));
}

// A gateway that has read nothing yet has nothing to check.
TEST_CASE("nothing is checked before the first read") {
  freshness self;
  CHECK_FALSE(IsCheckDue(self, kClock, kStart));
  CHECK_FALSE(OnPeerPosition(self, 12, StoreMs(kStart), kClock, kStart));
}

}  // namespace
}  // namespace balsambay::gateway
