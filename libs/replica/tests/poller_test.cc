// Calls for a table.
#include "replica/poller.h"

#include <catch2/catch.hpp>

namespace balsambay::replica {
namespace {

using namespace std::chrono_literals;

poller Known(bool following) {
  poller out;
  out.following = following;
  OnAnswer(out, false);
  return out;
}

// Guards against a check that is dropped while the client waits after a failed call (incident
// DRAIN).
TEST_CASE("a check ends the pause after a failed call") {
  poller item = Known(false);
  REQUIRE(OnCheck(item).action == poll_action::kAsk);
  CHECK(OnFailure(item) == poll_step{poll_action::kSleep, 5s});
  CHECK(OnCheck(item).action == poll_action::kAsk);
  // One that is under way is not ended by the next one.
  CHECK(OnCheck(item).action == poll_action::kNone);
  OnFailure(item);
  CHECK(OnCheck(item).action == poll_action::kAsk);
}

TEST_CASE("a followed table waits, gathers changes, and waits again") {
  poller item;
  CHECK(OnAnswer(item, false).action == poll_action::kWait);
  CHECK(OnAnswer(item, true) == poll_step{poll_action::kSleep, 100ms});
  CHECK(OnWake(item).action == poll_action::kWait);
  CHECK(OnCheck(item).action == poll_action::kAsk);
  CHECK(OnAnswer(item, false).action == poll_action::kWait);
}

TEST_CASE("a table that is not followed rests until it is checked") {
  poller item = Known(false);
  CHECK(item.phase == poll_phase::kIdle);
  CHECK(OnCheck(item).action == poll_action::kAsk);
  CHECK(OnAnswer(item, true).action == poll_action::kStop);
  CHECK(item.phase == poll_phase::kIdle);
}

TEST_CASE("failed calls are repeated after pauses that grow up to a limit") {
  poller item = Known(true);
  duration last{0};
  for (int i = 0; i < 6; ++i) {
    const poll_step step = OnFailure(item);
    CHECK(step.action == poll_action::kSleep);
    CHECK(step.sleep >= last);
    CHECK(step.sleep <= 600ms);
    last = step.sleep;
    CHECK(OnWake(item).action == poll_action::kAsk);
  }
  CHECK(last == 600ms);
}

// Guards against a new reader that goes on with the long pause of one that did not read.
TEST_CASE("a table that is followed from now on is asked at once") {
  poller item = Known(false);
  OnCheck(item);
  OnFailure(item);
  CHECK(OnFollowing(item, true).action == poll_action::kAsk);
  OnAnswer(item, false);
  CHECK(OnFollowing(item, false).action == poll_action::kStop);
  CHECK(OnFollowing(item, true).action == poll_action::kWait);
}

TEST_CASE("a table that could not be read is read again, whatever is asked for") {
  poller item;
  CHECK(OnCheck(item).action == poll_action::kNone);
  CHECK(OnFailure(item).action == poll_action::kSleep);
  CHECK(OnCheck(item).action == poll_action::kNone);
  CHECK(OnFollowing(item, false).action == poll_action::kNone);
  CHECK(OnWake(item).action == poll_action::kRead);
  CHECK(OnHistoryGone(item).action == poll_action::kRead);
}

}  // namespace
}  // namespace balsambay::replica
