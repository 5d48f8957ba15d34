// Dates what another machine says by its own steady clock. Both clocks run at the same speed; only
// the difference between them is not known exactly.
#pragma once

#include <cstdint>
#include <optional>

#include "base/time.h"

namespace balsambay {

// Times of one call whose reply carries the remote clock.
struct clock_sample {
  time_point asked;     // before the call was sent
  time_point received;  // when its reply was looked at, maybe long after it arrived
  uint64_t remote_ms = 0;
};

struct remote_clock {
  // Local time less remote time, at most the true difference. nullopt: no sample yet.
  std::optional<duration> offset;
};

// The remote clock was read between `asked` and `received`, so each sample bounds the difference on
// both sides. A sample that contradicts the offset replaces it: a clock was set or stood still.
void Observe(remote_clock& clock, const clock_sample& sample);

// The local time at which the remote clock showed `remote_ms`, or earlier: what is dated by it is
// never taken for newer than it is. min() before the first sample, and for 0.
time_point ToLocal(const remote_clock& clock, uint64_t remote_ms);

}  // namespace balsambay
