// State transitions of the poller.
#include "replica/poller.h"

#include <algorithm>

namespace balsambay::replica {
namespace {

using std::chrono_literals::operator""ms;

// Back-off after a failed call; doubles up to the maximum. Calls to the store are charged for.
constexpr duration kMinBackoff = 100ms;
constexpr duration kMaxBackoff = 600ms;
// Back-off of a process that does not follow the table. It receives changes and requests to check
// from other processes, so it retries only to find out whether it could read for them again.
constexpr duration kNotFollowingBackoff = 5000ms;

poll_step Enter(poller& poller, poll_phase phase, poll_step step) {
  poller.phase = phase;
  return step;
}

poll_step Poll(poller& poller) { return Enter(poller, poll_phase::kPolling, {poll_action::kPoll}); }

// Opens a long poll if the table is followed; otherwise goes idle.
poll_step LongPollOrIdle(poller& poller) {
  if (poller.following) return Enter(poller, poll_phase::kLongPolling, {poll_action::kLongPoll});
  return Enter(poller, poll_phase::kIdle, {poll_action::kCancel});
}

}  // namespace

poll_step OnCheck(poller& poller) {
  if (poller.phase == poll_phase::kReadingTable || poller.phase == poll_phase::kPolling ||
      !poller.loaded) {
    return {};
  }
  return Poll(poller);
}

poll_step OnFailure(poller& poller) {
  const bool retry_soon = poller.following || !poller.loaded;
  poller.backoff = retry_soon ? std::clamp<duration>(poller.backoff * 2, kMinBackoff, kMaxBackoff)
                              : kNotFollowingBackoff;
  return Enter(poller, poll_phase::kBackingOff, {poll_action::kSleep, poller.backoff});
}

poll_step OnSuccess(poller& poller, bool changed) {
  poller.loaded = true;
  poller.backoff = duration::zero();
  if (changed && poller.following) {
    return Enter(poller, poll_phase::kCoalescing, {poll_action::kSleep, poller.coalescing_delay});
  }
  return LongPollOrIdle(poller);
}

poll_step OnHistoryGone(poller& poller) {
  return Enter(poller, poll_phase::kReadingTable, {poll_action::kReadTable});
}

poll_step OnWake(poller& poller) {
  if (poller.phase == poll_phase::kCoalescing) return LongPollOrIdle(poller);
  return poller.loaded ? Poll(poller) : OnHistoryGone(poller);
}

poll_step OnStoreMoved(poller& poller, duration delay) {
  poller.loaded = false;
  poller.backoff = duration::zero();
  if (delay <= duration::zero()) return OnHistoryGone(poller);
  return Enter(poller, poll_phase::kBackingOff, {poll_action::kSleep, delay});
}

poll_step OnFollowing(poller& poller, bool following) {
  poller.following = following;
  const bool no_open_call =
      poller.phase == poll_phase::kIdle || poller.phase == poll_phase::kBackingOff;
  if (following && no_open_call && poller.loaded) {
    return poller.phase == poll_phase::kIdle ? LongPollOrIdle(poller) : Poll(poller);
  }
  const bool awaits_change =
      poller.phase == poll_phase::kLongPolling || poller.phase == poll_phase::kCoalescing;
  return !following && awaits_change ? LongPollOrIdle(poller) : poll_step();
}

}  // namespace balsambay::replica
