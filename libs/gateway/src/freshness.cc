// Age of what is known of shared tables.
#include "details/freshness.h"

#include <algorithm>

namespace balsambay::gateway {
namespace {

// Part of the limit over which the checks of different gateways are spread. The first one confirms
// for all within some ms.
constexpr double kSpreadPart = 0.3;
// Of the pause after checks that are not answered: up to 12 s for the longest pause.
constexpr int kMostDoublings = 3;

bool MayCheck(const freshness& item, time_point now) {
  const duration pause = item.check_pause * (1 << std::min(item.unanswered, kMostDoublings));
  return item.confirmed_at != time_point() && now - item.checked_at >= pause;
}

}  // namespace

void OnCheck(freshness& item, time_point now) {
  item.unanswered = item.checked_at > item.confirmed_at ? item.unanswered + 1 : 0;
  item.checked_at = now;
}

void OnTablePosition(freshness& item, uint64_t changed, uint64_t complete, time_point now) {
  item.changed = std::max(item.changed, changed);
  item.complete = std::max({item.complete, complete, item.changed});
  item.confirmed_at = now;
  item.unanswered = 0;
}

bool OnPeerPosition(freshness& item, uint64_t changed, duration age, time_point now) {
  if (changed > item.complete) {
    if (changed > item.known_elsewhere) {
      item.known_elsewhere = changed;
      item.told_at = now;
    }
    return IsCheckDue(item, now);
  }
  if (item.confirmed_at != time_point()) {
    item.confirmed_at = std::max(item.confirmed_at, now - age);
  }
  return false;
}

bool OnLargeChange(freshness& item, uint64_t until, time_point now) {
  if (until <= item.complete) return false;
  item.known_elsewhere = std::max(item.known_elsewhere, until);
  item.told_at = now - item.grace;
  return IsCheckDue(item, now);
}

bool IsCheckDue(const freshness& item, time_point now) {
  if (!MayCheck(item, now)) return false;
  if (item.known_elsewhere > item.complete && now - item.told_at >= item.grace) return true;
  const auto spread = std::chrono::duration_cast<duration>(item.limit * kSpreadPart * item.spread);
  return now - item.confirmed_at >= item.limit + spread;
}

}  // namespace balsambay::gateway
