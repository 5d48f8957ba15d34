// Seeded random numbers. Decision code takes a generator as an argument, so that a run can be
// repeated.
#pragma once

#include <random>

#include "base/time.h"

namespace balsambay {

using random_generator = std::mt19937_64;

// Uniform in [0, bound); bound must be positive.
inline uint64_t UniformBelow(random_generator& rng, uint64_t bound) { return rng() % bound; }

// Uniform in [0, 1).
inline double UniformUnit(random_generator& rng) {
  return static_cast<double>(rng() >> 11) * 0x1.0p-53;
}

// `base` changed by up to +/- `fraction` of itself, to keep many nodes from acting at the same
// moment.
inline duration Jitter(random_generator& rng, duration base, double fraction) {
  const double factor = 1.0 + fraction * (2.0 * UniformUnit(rng) - 1.0);
  return duration(static_cast<duration::rep>(static_cast<double>(base.count()) * factor));
}

}  // namespace balsambay
