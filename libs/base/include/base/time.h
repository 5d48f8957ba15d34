// Loop time. Decision code never reads a clock: the current time is an argument, so that tests,
// trace replay and the experiment tool can run in virtual time.
#pragma once

#include <chrono>
#include <cstdint>

namespace balsambay {

using duration = std::chrono::microseconds;

// Tag clock without now(): MonotonicNow() is the only source of real time.
struct loop_clock {
  using rep = balsambay::duration::rep;
  using period = balsambay::duration::period;
  using time_point = std::chrono::time_point<loop_clock, balsambay::duration>;
  static constexpr bool is_steady = true;  // NOLINT(readability-identifier-naming)
};

using time_point = loop_clock::time_point;

inline constexpr time_point kNever = time_point::max();

// Monotonic time that goes on while the VM is suspended (CLOCK_BOOTTIME), so that a lease holder
// that was paused sees that its lease has lapsed.
time_point MonotonicNow();

inline double Seconds(duration value) { return std::chrono::duration<double>(value).count(); }

inline double Milliseconds(duration value) {
  return std::chrono::duration<double, std::milli>(value).count();
}

// Rounded down.
inline int64_t WholeMilliseconds(duration value) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

inline duration FromMilliseconds(double value) {
  return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(value));
}

// Milliseconds since the Unix epoch; only for logs and expiry of durable records.
int64_t WallClockMs();

}  // namespace balsambay
