// The timer service: parts subscribe a callback to a point in time. It holds no clock; the daemon's
// loop calls RunDue() with real time, tests with virtual time. Not thread-safe: one loop on one
// thread.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>

#include "base/time.h"

namespace balsambay {

using timer_id = uint64_t;

struct timer_service {
  using callback = std::function<void(time_point now)>;
  // Ordered by deadline, then by subscription. Each id in `deadlines` has exactly one entry in
  // `queue`.
  std::map<std::pair<time_point, timer_id>, callback> queue;
  std::unordered_map<timer_id, time_point> deadlines;
  timer_id next_id = 1;
};

// Runs `fn` once at or after `deadline`. Cost: O(log n).
timer_id Subscribe(timer_service& timers, time_point deadline, timer_service::callback fn);

// Cancels a subscription; unknown and fired ids are ignored. Safe from inside a callback.
void Cancel(timer_service& timers, timer_id id);

// Runs all callbacks that are due at `now`, in order of their deadlines. Returns how many ran.
size_t RunDue(timer_service& timers, time_point now);

// The earliest deadline, or kNever.
time_point NextDeadline(const timer_service& timers);

}  // namespace balsambay
