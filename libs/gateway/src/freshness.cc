// Ages of the copies of shared tables, and the times of the checks that confirm them.
#include "details/freshness.h"

#include <algorithm>

namespace balsambay::gateway {
namespace {

using std::chrono_literals::operator""ms;

// Fraction of the age limit over which the checks of different gateways are spread. The first
// gateway to check confirms the copies of all others within a few ms.
constexpr double kJitterFraction = 0.3;
// Delay before the store is asked to fill a gap, in which the missing change may still arrive from
// another peer.
constexpr duration kGapGrace = 150ms;
// Announced versions whose checks fall due within this time share one check.
constexpr duration kMergeWindow = 50ms;
constexpr size_t kMaxAnnounced = 64;

// A single call may be lost while the store is healthy, so the first retries follow
// quickly. There are more quick retries when peers know a newer version: this copy is then out of
// date, and the store has answered the peers.
constexpr int kQuickRetries = 2;
constexpr int kQuickRetriesWhenBehind = 6;
constexpr duration kQuickRetryInterval = 500ms;

duration CheckInterval(const freshness& copy) {
  const bool pending = copy.checked_at > copy.answered_at;
  const int quick_retries = copy.announced.empty() ? kQuickRetries : kQuickRetriesWhenBehind;
  if (pending && copy.unanswered < quick_retries) {
    return std::min(copy.min_check_interval, kQuickRetryInterval);
  }
  duration interval = copy.min_check_interval;
  for (int i = 0; i < copy.unanswered && interval < copy.max_check_interval; ++i) interval *= 2;
  return std::max(std::min(interval, copy.max_check_interval), copy.min_check_interval);
}

void Advance(freshness& copy, uint64_t changed, uint64_t complete, uint64_t as_of_ms) {
  copy.changed = std::max(copy.changed, changed);
  copy.complete = std::max({copy.complete, complete, copy.changed});
  copy.confirmed_ms = std::max(copy.confirmed_ms, as_of_ms);
  std::erase_if(copy.announced,
                [&](const announced_version& entry) { return entry.version <= copy.complete; });
}

void AddAnnounced(freshness& copy, uint64_t version, time_point due) {
  if (version <= copy.complete) return;
  const auto position =
      std::ranges::lower_bound(copy.announced, version, {}, &announced_version::version);
  if (position != copy.announced.end() && position->version == version) {
    position->check_due = std::min(position->check_due, due);
    return;
  }
  // The check for a later version also returns the earlier ones.
  const bool shares_check = position == copy.announced.end() &&
                            position != copy.announced.begin() &&
                            (copy.announced.size() >= kMaxAnnounced ||
                             due - copy.announced.back().check_due < kMergeWindow);
  if (shares_check) {
    copy.announced.back().version = version;
    copy.announced.back().check_due = std::min(copy.announced.back().check_due, due);
    return;
  }
  if (copy.announced.size() < kMaxAnnounced) copy.announced.insert(position, {version, due});
}

}  // namespace

void OnCheckSent(freshness& copy, time_point now) {
  copy.unanswered = copy.checked_at > copy.answered_at ? copy.unanswered + 1 : 0;
  copy.checked_at = now;
}

void OnStoreReply(freshness& copy, uint64_t changed, uint64_t complete, uint64_t as_of_ms,
                  time_point now) {
  Advance(copy, changed, complete, as_of_ms);
  copy.answered_at = now;
  copy.unanswered = 0;
}

void OnStoreMoved(freshness& copy) {
  copy.confirmed_ms = 0;
  copy.unanswered = 0;
}

bool IsPlausibleTime(const remote_clock& clock, uint64_t as_of_ms, time_point now) {
  return clock.offset && ToLocal(clock, as_of_ms) <= now;
}

void OnChangeApplied(freshness& copy, uint64_t changed, uint64_t complete, uint64_t as_of_ms) {
  Advance(copy, changed, complete, as_of_ms);
}

bool OnPeerPosition(freshness& copy, uint64_t changed, uint64_t as_of_ms, const remote_clock& clock,
                    time_point now) {
  // The store answers peers, so it is reachable again and needs no long back-off.
  if (ToLocal(clock, as_of_ms) > copy.checked_at) {
    copy.unanswered = std::min(copy.unanswered, kQuickRetries - 1);
  }
  if (changed > copy.complete) {
    AddAnnounced(copy, changed, now + copy.delivery_grace);
    return IsCheckDue(copy, clock, now);
  }
  if (copy.confirmed_ms != 0 && IsPlausibleTime(clock, as_of_ms, now))
    copy.confirmed_ms = std::max(copy.confirmed_ms, as_of_ms);
  return false;
}

bool OnGap(freshness& copy, uint64_t until, const remote_clock& clock, time_point now) {
  AddAnnounced(copy, until, now + std::min(copy.delivery_grace, kGapGrace));
  return IsCheckDue(copy, clock, now);
}

bool OnLargeChange(freshness& copy, uint64_t until, const remote_clock& clock, time_point now) {
  if (until <= copy.complete) return false;
  AddAnnounced(copy, until, now);
  return IsCheckDue(copy, clock, now);
}

uint64_t NewestAnnouncedVersion(const freshness& copy) {
  return copy.announced.empty() ? 0 : copy.announced.back().version;
}

duration Age(const freshness& copy, const remote_clock& clock, time_point now) {
  return now - ToLocal(clock, copy.confirmed_ms);
}

bool ShouldAnnounceReply(const freshness& copy, const remote_clock& clock, time_point now) {
  if (copy.checked_at > copy.answered_at) return true;
  return copy.confirmed_ms != 0 && Age(copy, clock, now) > copy.max_age;
}

bool IsCheckAllowed(const freshness& copy, time_point now) {
  return copy.confirmed_ms != 0 && now - copy.checked_at >= CheckInterval(copy);
}

bool IsCheckDue(const freshness& copy, const remote_clock& clock, time_point now) {
  if (!IsCheckAllowed(copy, now)) return false;
  const bool announced_due = std::ranges::any_of(
      copy.announced, [&](const announced_version& entry) { return now >= entry.check_due; });
  if (announced_due) return true;
  const auto jitter =
      std::chrono::duration_cast<duration>(copy.max_age * kJitterFraction * copy.check_jitter);
  return Age(copy, clock, now) >= copy.max_age + jitter;
}

}  // namespace balsambay::gateway
