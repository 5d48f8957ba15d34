// Age of what is known of shared tables.
#include "details/freshness.h"

#include <algorithm>

namespace balsambay::gateway {
namespace {

using std::chrono_literals::operator""ms;

// Time for a change to arrive by the open call, and between two checks.
constexpr duration kCheckPause = 500ms;
// Part of the limit over which the checks of different gateways are spread. The first one confirms
// for all within some ms.
constexpr double kSpreadPart = 0.3;

bool MayCheck(const freshness& item, time_point now) {
  return item.confirmed_at != time_point() && now - item.checked_at >= kCheckPause;
}

}  // namespace

void OnTablePosition(freshness& item, uint64_t changed, uint64_t complete, time_point now) {
  item.changed = std::max(item.changed, changed);
  item.complete = std::max({item.complete, complete, item.changed});
  item.confirmed_at = now;
}

bool OnPeerPosition(freshness& item, uint64_t changed, duration age, time_point now) {
  if (changed > item.complete) return MayCheck(item, now);
  if (item.confirmed_at != time_point()) {
    item.confirmed_at = std::max(item.confirmed_at, now - age);
  }
  return false;
}

bool IsCheckDue(const freshness& item, time_point now) {
  const auto spread = std::chrono::duration_cast<duration>(item.limit * kSpreadPart * item.spread);
  return MayCheck(item, now) && now - item.confirmed_at >= item.limit + spread;
}

}  // namespace balsambay::gateway
