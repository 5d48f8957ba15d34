// Age of what is known of shared tables.
#include "details/freshness.h"

#include <algorithm>

namespace balsambay::gateway {
namespace {

using std::chrono_literals::operator""ms;

// Part of the limit over which the checks of different gateways are spread. The first one confirms
// for all within some ms.
constexpr double kSpreadPart = 0.3;
// Change before a lost one is asked for after this time, in which the lost one may still arrive by
// another way.
constexpr duration kGapGrace = 150ms;
// Versions that are told of within this time are asked for together.
constexpr duration kToldStep = 50ms;
constexpr size_t kMostTold = 64;

// One call may be lost while the store is sound, so the first repeats follow soon. More of them do
// when others know a newer version: then this copy is out of date, and the store has answered them.
constexpr int kSoonRepeats = 2;
constexpr int kSoonRepeatsBehind = 6;
constexpr duration kSoon = 500ms;

duration CheckPause(const freshness& item) {
  const bool lost = item.checked_at > item.answered_at;
  const int soon = item.told.empty() ? kSoonRepeats : kSoonRepeatsBehind;
  if (lost && item.unanswered < soon) return std::min(item.check_pause, kSoon);
  duration pause = item.check_pause;
  for (int i = 0; i < item.unanswered && pause < item.longest_pause; ++i) pause *= 2;
  return std::max(std::min(pause, item.longest_pause), item.check_pause);
}

void Advance(freshness& item, uint64_t changed, uint64_t complete, uint64_t as_of_ms) {
  item.changed = std::max(item.changed, changed);
  item.complete = std::max({item.complete, complete, item.changed});
  item.confirmed_ms = std::max(item.confirmed_ms, as_of_ms);
  std::erase_if(item.told,
                [&](const told_version& entry) { return entry.version <= item.complete; });
}

void NoteTold(freshness& item, uint64_t version, time_point due) {
  if (version <= item.complete) return;
  const auto at = std::ranges::lower_bound(item.told, version, {}, &told_version::version);
  if (at != item.told.end() && at->version == version) {
    at->due = std::min(at->due, due);
    return;
  }
  // A later version brings the earlier ones along.
  const bool joins = at == item.told.end() && at != item.told.begin() &&
                     (item.told.size() >= kMostTold || due - item.told.back().due < kToldStep);
  if (joins) {
    item.told.back().version = version;
    item.told.back().due = std::min(item.told.back().due, due);
    return;
  }
  if (item.told.size() < kMostTold) item.told.insert(at, {version, due});
}

}  // namespace

void OnCheck(freshness& item, time_point now) {
  item.unanswered = item.checked_at > item.answered_at ? item.unanswered + 1 : 0;
  item.checked_at = now;
}

void OnTablePosition(freshness& item, uint64_t changed, uint64_t complete, uint64_t as_of_ms,
                     time_point now) {
  Advance(item, changed, complete, as_of_ms);
  item.answered_at = now;
  item.unanswered = 0;
}

void OnApplied(freshness& item, uint64_t changed, uint64_t complete, uint64_t as_of_ms) {
  Advance(item, changed, complete, as_of_ms);
}

bool OnPeerPosition(freshness& item, uint64_t changed, uint64_t as_of_ms, const remote_clock& clock,
                    time_point now) {
  // The store answers others, so a long pause is no longer called for.
  if (ToLocal(clock, as_of_ms) > item.checked_at) {
    item.unanswered = std::min(item.unanswered, kSoonRepeats - 1);
  }
  if (changed > item.complete) {
    NoteTold(item, changed, now + item.grace);
    return IsCheckDue(item, clock, now);
  }
  if (item.confirmed_ms != 0) item.confirmed_ms = std::max(item.confirmed_ms, as_of_ms);
  return false;
}

bool OnGap(freshness& item, uint64_t until, const remote_clock& clock, time_point now) {
  NoteTold(item, until, now + std::min(item.grace, kGapGrace));
  return IsCheckDue(item, clock, now);
}

bool OnLargeChange(freshness& item, uint64_t until, const remote_clock& clock, time_point now) {
  if (until <= item.complete) return false;
  NoteTold(item, until, now);
  return IsCheckDue(item, clock, now);
}

uint64_t KnownElsewhere(const freshness& item) {
  return item.told.empty() ? 0 : item.told.back().version;
}

duration Age(const freshness& item, const remote_clock& clock, time_point now) {
  return now - ToLocal(clock, item.confirmed_ms);
}

bool IsAwaited(const freshness& item, const remote_clock& clock, time_point now) {
  if (item.checked_at > item.answered_at) return true;
  return item.confirmed_ms != 0 && Age(item, clock, now) > item.limit;
}

bool MayCheck(const freshness& item, time_point now) {
  return item.confirmed_ms != 0 && now - item.checked_at >= CheckPause(item);
}

bool IsCheckDue(const freshness& item, const remote_clock& clock, time_point now) {
  if (!MayCheck(item, now)) return false;
  const bool asked_for =
      std::ranges::any_of(item.told, [&](const told_version& entry) { return now >= entry.due; });
  if (asked_for) return true;
  const auto spread = std::chrono::duration_cast<duration>(item.limit * kSpreadPart * item.spread);
  return Age(item, clock, now) >= item.limit + spread;
}

}  // namespace balsambay::gateway
