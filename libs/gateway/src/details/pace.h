// How long outputs of requests usually take, so that a pause is known to be unusual, and the pace
// at which a stream still keeps its route's goal. What is usual differs between models and with
// their load.
#pragma once

#include <chrono>
#include <optional>

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
  double answer_events = 0;  // of whole answers, moving mean
  int answers = 0;           // that it was learned from, up to those that are needed
};

void Learn(pace::estimate& item, duration taken);

// A stream has ended whole with that many events.
void LearnAnswer(pace& item, size_t events);

// The largest estimated time between two tokens, in ms, at which a new stream can be expected to
// keep the longest pause between events that its route allows. One that begins beyond it would be
// late, or its caller would leave before its first event, and it would slow the others down: it is
// refused at once. nullopt: not known yet, or the route has no goal. `answer_tokens`: mean of the
// model.
std::optional<double> MostTokenMs(const pace& item, duration gap_goal, double answer_tokens);

// A pause as long as this one is unusual.
duration Patience(const pace::estimate& item);

}  // namespace balsambay::gateway
