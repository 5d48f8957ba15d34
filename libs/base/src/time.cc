// Reads the system clocks.
#include "base/time.h"

#include <ctime>

namespace balsambay {

time_point MonotonicNow() {
  timespec ts{};
  clock_gettime(CLOCK_BOOTTIME, &ts);
  return time_point(std::chrono::duration_cast<duration>(std::chrono::seconds(ts.tv_sec) +
                                                         std::chrono::nanoseconds(ts.tv_nsec)));
}

int64_t WallClockMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace balsambay
