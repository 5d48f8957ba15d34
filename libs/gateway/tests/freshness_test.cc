// When gateways check their copies of shared tables at the store.
#include "details/freshness.h"

#include <catch2/catch.hpp>
#include <vector>

namespace balsambay::gateway {
namespace {

using namespace std::chrono_literals;

constexpr time_point kStart = time_point() + 100s;
// The store's clock has no offset to the local one.
constexpr remote_clock kClock{duration::zero()};

uint64_t StoreMs(time_point at) {
  return static_cast<uint64_t>(WholeMilliseconds(at.time_since_epoch()));
}

// Copies of the same table at several gateways, confirmed at kStart: newest change 5, complete up
// to version 9.
std::vector<freshness> MakeCopies(int count) {
  std::vector<freshness> copies(static_cast<size_t>(count));
  for (size_t i = 0; i < copies.size(); ++i) {
    copies[i].check_jitter = static_cast<double>(i) / static_cast<double>(copies.size());
    OnStoreReply(copies[i], 5, 9, StoreMs(kStart), kStart);
  }
  return copies;
}

// Guards against a copy that counts as current for hours: while the store moves, a peer that still
// uses the former one states times of its clock, which may be far ahead of that of the new one.
TEST_CASE("times of another clock do not confirm a copy") {
  auto copies = MakeCopies(1);
  freshness& copy = copies[0];
  OnStoreMoved(copy);
  CHECK(copy.confirmed_ms == 0);
  CHECK(copy.complete == 9);
  OnStoreReply(copy, 5, 9, StoreMs(kStart), kStart);
  OnPeerPosition(copy, 5, StoreMs(kStart + 1h), kClock, kStart + 10ms);
  CHECK(copy.confirmed_ms == StoreMs(kStart));
  CHECK(IsCheckDue(copy, kClock, kStart + 2s));
  OnPeerPosition(copy, 5, StoreMs(kStart + 5ms), kClock, kStart + 10ms);
  CHECK(copy.confirmed_ms == StoreMs(kStart + 5ms));
  CHECK_FALSE(IsPlausibleTime({}, StoreMs(kStart), kStart));
}

// Guards against a large installation in which each gateway polls the store on its own.
TEST_CASE("a check by one gateway confirms the copies of all gateways") {
  auto copies = MakeCopies(60);
  int checks = 0;
  for (time_point now = kStart; now < kStart + 30s; now += 10ms) {
    for (freshness& copy : copies) {
      if (!IsCheckDue(copy, kClock, now)) continue;
      ++checks;
      OnCheckSent(copy, now);
      OnStoreReply(copy, 5, 9, StoreMs(now), now);
      for (freshness& peer_copy : copies) {
        if (&peer_copy != &copy) {
          CHECK_FALSE(OnPeerPosition(peer_copy, 5, StoreMs(now), kClock, now + 5ms));
        }
      }
    }
  }
  CHECK(checks >= 15);
  CHECK(checks <= 40);
}

// Guards against a change that no gateway sees because the open calls of all gateways are lost at
// the same time.
TEST_CASE("a copy without confirmation is checked within the age limit") {
  auto copies = MakeCopies(1);
  CHECK_FALSE(IsCheckDue(copies[0], kClock, kStart + 1400ms));
  CHECK(IsCheckDue(copies[0], kClock, kStart + 2000ms));
}

// One gateway has lost a reply and its peers know the change. The gateway checks at once, but does
// not repeat the check continually while the store does not answer.
TEST_CASE("a newer version at a peer triggers a check") {
  auto copies = MakeCopies(1);
  freshness& copy = copies[0];
  CHECK_FALSE(OnPeerPosition(copy, 9, StoreMs(kStart + 600ms), kClock, kStart + 600ms));
  CHECK(OnPeerPosition(copy, 12, StoreMs(kStart + 700ms), kClock, kStart + 700ms));
  OnCheckSent(copy, kStart + 700ms);
  CHECK_FALSE(OnPeerPosition(copy, 12, StoreMs(kStart + 800ms), kClock, kStart + 800ms));
  CHECK(OnPeerPosition(copy, 12, StoreMs(kStart + 1300ms), kClock, kStart + 1300ms));
  // The age is that of the local copy, which is out of date.
  CHECK(Age(copy, kClock, kStart + 1300ms) > 600ms);
}

// In a large installation the gateway that has read a change forwards it, so the store is asked
// only after a lost message, not for each change.
TEST_CASE("a check for an announced version waits for the delivery grace time") {
  auto copies = MakeCopies(1);
  freshness& copy = copies[0];
  copy.delivery_grace = 150ms;
  CHECK_FALSE(OnPeerPosition(copy, 12, StoreMs(kStart + 700ms), kClock, kStart + 700ms));
  CHECK_FALSE(IsCheckDue(copy, kClock, kStart + 800ms));
  CHECK(IsCheckDue(copy, kClock, kStart + 850ms));
  OnStoreReply(copy, 12, 12, StoreMs(kStart + 860ms), kStart + 860ms);
  CHECK_FALSE(IsCheckDue(copy, kClock, kStart + 1500ms));
}

// Guards against a call by every gateway each half second while the store does not answer.
TEST_CASE("unanswered checks back off") {
  auto copies = MakeCopies(1);
  freshness& copy = copies[0];
  int checks = 0;
  for (time_point now = kStart; now < kStart + 30s; now += 50ms) {
    if (!IsCheckDue(copy, kClock, now)) continue;
    ++checks;
    OnCheckSent(copy, now);
  }
  CHECK(checks <= 10);
  CHECK(checks >= 6);
}

// Guards against a gateway that loses three calls in a row and then backs off for seconds, although
// peers have announced a newer version.
TEST_CASE("unanswered checks of an outdated copy are retried quickly") {
  auto copies = MakeCopies(2);
  for (freshness& copy : copies) {
    copy.min_check_interval = 1500ms;
    OnCheckSent(copy, kStart + 2s);
    OnCheckSent(copy, kStart + 2500ms);
    OnCheckSent(copy, kStart + 3s);
  }
  CHECK_FALSE(OnPeerPosition(copies[0], 12, StoreMs(kStart + 2s), kClock, kStart + 3100ms));
  CHECK(IsCheckDue(copies[0], kClock, kStart + 3500ms));
  // Without an announced version, the store may be unreachable for all gateways.
  CHECK_FALSE(IsCheckDue(copies[1], kClock, kStart + 3500ms));
}

// Guards against a copy that stays out of date for the longest check interval, because a check was
// lost just after the recovery of the store.
TEST_CASE("the back-off ends when the store answers peers") {
  auto copies = MakeCopies(1);
  freshness& copy = copies[0];
  time_point now = kStart;
  for (; now < kStart + 20s; now += 50ms) {
    if (IsCheckDue(copy, kClock, now)) OnCheckSent(copy, now);
  }
  OnCheckSent(copy, now);
  CHECK_FALSE(IsCheckDue(copy, kClock, now + 1s));
  CHECK(OnPeerPosition(copy, 12, StoreMs(now + 100ms), kClock, now + 600ms));
}

// Guards against a grace time that restarts with each change of a series: requests got status 404
// for a route that had existed for more than 3 s.
TEST_CASE("newer versions do not delay the check for an announced version") {
  auto copies = MakeCopies(1);
  freshness& copy = copies[0];
  copy.delivery_grace = 1000ms;
  bool due = false;
  time_point now = kStart + 100ms;
  for (uint64_t version = 12; now <= kStart + 1100ms; version += 2, now += 80ms) {
    due = OnPeerPosition(copy, version, StoreMs(now), kClock, now) || due;
  }
  CHECK((due || IsCheckDue(copy, kClock, kStart + 1100ms)));
}

// Guards against a gap that waits for the full delivery grace time, although the message with the
// missing change is lost.
TEST_CASE("a gap triggers an early check unless it is filled first") {
  auto copies = MakeCopies(2);
  for (freshness& copy : copies) {
    copy.delivery_grace = 1000ms;
    CHECK_FALSE(OnGap(copy, 14, kClock, kStart + 600ms));
  }
  CHECK(IsCheckDue(copies[0], kClock, kStart + 750ms));
  OnChangeApplied(copies[1], 14, 14, StoreMs(kStart + 650ms));
  CHECK_FALSE(IsCheckDue(copies[1], kClock, kStart + 750ms));
}

// Guards against a confirmation that is dated by the time at which a message is processed, which
// may be seconds after it was sent.
TEST_CASE("a confirmation by a peer is dated by the store's clock") {
  auto copies = MakeCopies(1);
  freshness& copy = copies[0];
  OnPeerPosition(copy, 5, StoreMs(kStart + 100ms), kClock, kStart + 5s);
  CHECK(Age(copy, kClock, kStart + 5s) >= 4900ms);
  CHECK(IsCheckDue(copy, kClock, kStart + 5s));
}

// A gateway that has not read the table yet has no copy to check.
TEST_CASE("a table is not checked before its first read") {
  freshness copy;
  CHECK_FALSE(IsCheckDue(copy, kClock, kStart));
  CHECK_FALSE(OnPeerPosition(copy, 12, StoreMs(kStart), kClock, kStart));
}

}  // namespace
}  // namespace balsambay::gateway
