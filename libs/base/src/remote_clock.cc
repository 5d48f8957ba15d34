// Offset of a remote clock.
#include "base/remote_clock.h"

#include <algorithm>

namespace balsambay {
namespace {

using std::chrono_literals::operator""ms;

// Remote times are cut off to whole milliseconds.
constexpr duration kStep = 1ms;

duration SinceStart(time_point at) { return at.time_since_epoch(); }

}  // namespace

void Observe(remote_clock& clock, const clock_sample& sample) {
  const duration remote = std::chrono::milliseconds(sample.remote_ms);
  const duration least = SinceStart(sample.asked) - remote - kStep;
  const duration most = SinceStart(sample.received) - remote;
  const bool contradicted = clock.offset && *clock.offset > most;
  clock.offset = clock.offset && !contradicted ? std::max(*clock.offset, least) : least;
}

time_point ToLocal(const remote_clock& clock, uint64_t remote_ms) {
  if (!clock.offset || remote_ms == 0) return time_point();
  return time_point(std::chrono::milliseconds(remote_ms) + *clock.offset);
}

}  // namespace balsambay
