// Moving mean of a time with its mean deviation, as for retransmission times in TCP.
#pragma once

#include <cmath>

#include "base/time.h"

namespace balsambay::gateway {

struct moving_time {
  double mean_ms = 0;
  double deviation_ms = 0;  // mean, of the newest values from the mean
};

// Parts that a new value has in the mean and in the deviation.
struct moving_weights {
  double mean = 0;
  double deviation = 0;
};

inline void Add(moving_time& item, duration value, const moving_weights& weights) {
  const double ms = Milliseconds(value);
  item.deviation_ms += weights.deviation * (std::abs(ms - item.mean_ms) - item.deviation_ms);
  item.mean_ms += weights.mean * (ms - item.mean_ms);
}

// The mean and a number of deviations.
inline duration Beyond(const moving_time& item, double deviations) {
  return FromMilliseconds(item.mean_ms + deviations * item.deviation_ms);
}

}  // namespace balsambay::gateway
