// Tests of the poller: which call or delay follows each event.
#include "replica/poller.h"

#include <catch2/catch.hpp>

namespace balsambay::replica {
namespace {

using namespace std::chrono_literals;

// A poller that has read the whole table.
poller LoadedPoller(bool following) {
  poller poller;
  poller.following = following;
  OnSuccess(poller, false);
  return poller;
}

// Guards against a check that has no effect during the back-off after a failed call (incident
// DRAIN).
TEST_CASE("a check ends the back-off after a failed call") {
  poller poller = LoadedPoller(false);
  REQUIRE(OnCheck(poller).action == poll_action::kPoll);
  CHECK(OnFailure(poller) == poll_step{poll_action::kSleep, 5s});
  CHECK(OnCheck(poller).action == poll_action::kPoll);
  // A check does not restart the call of the previous check.
  CHECK(OnCheck(poller).action == poll_action::kNone);
  OnFailure(poller);
  CHECK(OnCheck(poller).action == poll_action::kPoll);
}

// Guards against changes that are requested from a version that the new store never had.
TEST_CASE("after the store has moved, the whole table is read before changes are requested") {
  poller followed = LoadedPoller(true);
  CHECK(OnStoreMoved(followed, 0ms).action == poll_action::kReadTable);
  CHECK(OnFailure(followed) == poll_step{poll_action::kSleep, 100ms});
  CHECK(OnWake(followed).action == poll_action::kReadTable);
  CHECK(OnSuccess(followed, false).action == poll_action::kLongPoll);
  poller other = LoadedPoller(false);
  CHECK(OnStoreMoved(other, 700ms) == poll_step{poll_action::kSleep, 700ms});
  CHECK(OnWake(other).action == poll_action::kReadTable);
}

TEST_CASE("a followed table is long-polled again after the coalescing delay") {
  poller poller;
  CHECK(OnSuccess(poller, false).action == poll_action::kLongPoll);
  CHECK(OnSuccess(poller, true) == poll_step{poll_action::kSleep, 100ms});
  CHECK(OnWake(poller).action == poll_action::kLongPoll);
  CHECK(OnCheck(poller).action == poll_action::kPoll);
  CHECK(OnSuccess(poller, false).action == poll_action::kLongPoll);
}

TEST_CASE("a table that is not followed stays idle until a check is requested") {
  poller poller = LoadedPoller(false);
  CHECK(poller.phase == poll_phase::kIdle);
  CHECK(OnCheck(poller).action == poll_action::kPoll);
  CHECK(OnSuccess(poller, true).action == poll_action::kCancel);
  CHECK(poller.phase == poll_phase::kIdle);
}

TEST_CASE("failed calls are repeated with a back-off that grows up to a maximum") {
  poller poller = LoadedPoller(true);
  duration last_backoff{0};
  for (int i = 0; i < 6; ++i) {
    const poll_step step = OnFailure(poller);
    CHECK(step.action == poll_action::kSleep);
    CHECK(step.sleep >= last_backoff);
    CHECK(step.sleep <= 600ms);
    last_backoff = step.sleep;
    CHECK(OnWake(poller).action == poll_action::kPoll);
  }
  CHECK(last_backoff == 600ms);
}

// Guards against a process that starts to follow a table and keeps the long back-off of a process
// that does not follow it.
TEST_CASE("a table is polled at once when it becomes followed during a back-off") {
  poller poller = LoadedPoller(false);
  OnCheck(poller);
  OnFailure(poller);
  CHECK(OnFollowing(poller, true).action == poll_action::kPoll);
  OnSuccess(poller, false);
  CHECK(OnFollowing(poller, false).action == poll_action::kCancel);
  CHECK(OnFollowing(poller, true).action == poll_action::kLongPoll);
}

TEST_CASE("a table that was never read is read as a whole after the back-off") {
  poller poller;
  CHECK(OnCheck(poller).action == poll_action::kNone);
  CHECK(OnFailure(poller).action == poll_action::kSleep);
  CHECK(OnCheck(poller).action == poll_action::kNone);
  CHECK(OnFollowing(poller, false).action == poll_action::kNone);
  CHECK(OnWake(poller).action == poll_action::kReadTable);
  CHECK(OnHistoryGone(poller).action == poll_action::kReadTable);
}

}  // namespace
}  // namespace balsambay::replica
