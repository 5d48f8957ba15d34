// Transitions between the calls for a table.
#include "replica/poller.h"

#include <algorithm>

namespace balsambay::replica {
namespace {

using std::chrono_literals::operator""ms;

// Pause before the next try; doubles up to the limit. Calls are paid for.
constexpr duration kRetryMin = 100ms;
constexpr duration kRetryMax = 600ms;
// Of a process that hears of changes from others and is told when to check. It only finds out
// whether it could read for others again.
constexpr duration kIdleRetry = 5000ms;

poll_step Enter(poller& item, poll_phase phase, poll_step step) {
  item.phase = phase;
  return step;
}

poll_step Ask(poller& item) { return Enter(item, poll_phase::kAsking, {poll_action::kAsk}); }

// Waits for the next change, if the table is followed.
poll_step Continue(poller& item) {
  if (item.following) return Enter(item, poll_phase::kWaiting, {poll_action::kWait});
  return Enter(item, poll_phase::kIdle, {poll_action::kStop});
}

}  // namespace

poll_step OnCheck(poller& item) {
  if (item.phase == poll_phase::kReading || item.phase == poll_phase::kAsking || !item.known) {
    return {};
  }
  return Ask(item);
}

poll_step OnFailure(poller& item) {
  const bool often = item.following || !item.known;
  item.pause = often ? std::clamp<duration>(item.pause * 2, kRetryMin, kRetryMax) : kIdleRetry;
  return Enter(item, poll_phase::kPausing, {poll_action::kSleep, item.pause});
}

poll_step OnAnswer(poller& item, bool changed) {
  item.known = true;
  item.pause = duration::zero();
  if (changed && item.following) {
    return Enter(item, poll_phase::kGathering, {poll_action::kSleep, item.gather});
  }
  return Continue(item);
}

poll_step OnHistoryGone(poller& item) {
  return Enter(item, poll_phase::kReading, {poll_action::kRead});
}

poll_step OnWake(poller& item) {
  if (item.phase == poll_phase::kGathering) return Continue(item);
  return item.known ? Ask(item) : OnHistoryGone(item);
}

poll_step OnFollowing(poller& item, bool following) {
  item.following = following;
  const bool rests = item.phase == poll_phase::kIdle || item.phase == poll_phase::kPausing;
  if (following && rests && item.known) {
    return item.phase == poll_phase::kIdle ? Continue(item) : Ask(item);
  }
  const bool waits = item.phase == poll_phase::kWaiting || item.phase == poll_phase::kGathering;
  return !following && waits ? Continue(item) : poll_step();
}

}  // namespace balsambay::replica
