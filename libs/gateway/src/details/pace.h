// How long outputs of requests usually take, so that a pause is known to be unusual. What is usual
// differs between models and with their load.
#pragma once

#include <chrono>

#include "base/time.h"
#include "details/moving_time.h"

namespace balsambay::gateway {

// Moving means, with mean deviations, over all requests of this gateway.
struct pace {
  struct estimate {
    duration least;  // shorter pauses are never unusual
    duration most;   // longer ones always are
    moving_time seen{};
    bool known = false;
  };
  // Between two outputs of a stream: at least about twice the usual pause of small batches, at most
  // half of the pause after which callers give up.
  estimate gap{std::chrono::milliseconds(100), std::chrono::milliseconds(800)};
  // From sending a request to its first output, the reading of the prompt included.
  estimate first{std::chrono::milliseconds(250), std::chrono::milliseconds(1500)};
};

void Learn(pace::estimate& item, duration taken);

// A pause as long as this one is unusual.
duration Patience(const pace::estimate& item);

}  // namespace balsambay::gateway
