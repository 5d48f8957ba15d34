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

// A gateway that has read nothing yet has nothing to check.
TEST_CASE("nothing is checked before the first read") {
  freshness self;
  CHECK_FALSE(IsCheckDue(self, kClock, kStart));
  CHECK_FALSE(OnPeerPosition(self, 12, StoreMs(kStart), kClock, kStart));
}

}  // namespace
}  // namespace balsambay::gateway
