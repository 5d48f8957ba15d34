// Exponentially weighted moving mean of a duration with its mean deviation, as for the
// retransmission timeout of TCP.
#pragma once

#include <cmath>

#include "base/time.h"

namespace balsambay::gateway {

struct moving_time {
  double mean_ms = 0;
  double deviation_ms = 0;  // moving mean of the distance of samples from the mean
};

// Weights of a new sample in the mean and in the deviation, from 0 to 1.
struct moving_weights {
  double mean = 0;
  double deviation = 0;
};

inline void Add(moving_time& estimate, duration sample, const moving_weights& weights) {
  const double ms = Milliseconds(sample);
  estimate.deviation_ms +=
      weights.deviation * (std::abs(ms - estimate.mean_ms) - estimate.deviation_ms);
  estimate.mean_ms += weights.mean * (ms - estimate.mean_ms);
}

// The mean plus the given number of mean deviations.
inline duration MeanPlusDeviations(const moving_time& estimate, double deviations) {
  return FromMilliseconds(estimate.mean_ms + deviations * estimate.deviation_ms);
}

}  // namespace balsambay::gateway
