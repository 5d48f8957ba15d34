// Estimates of the usual time to the first output of a request and between two outputs of a stream.
// They give the time after which a request counts as stalled, and the slowest token rate at which a
// new stream still meets the goal of its route. Both are learned from traffic because usual times
// depend on the model and its load.
#pragma once

#include <chrono>
#include <optional>

#include "base/time.h"
#include "details/moving_time.h"

namespace balsambay::gateway {

// Moving means with their mean deviations, over all requests of this gateway.
struct pace {
  struct estimate {
    duration min_threshold;  // bounds of StallThreshold()
    duration max_threshold;
    moving_time interval{};
    bool has_samples = false;
  };
  // Between two outputs of a stream. The lower bound is about twice the usual interval with small
  // batches; the upper bound is at most half of the 2 s without output after which callers give up.
  estimate gap{std::chrono::milliseconds(100), std::chrono::milliseconds(800)};
  // From sending a request to its first output; includes the prefill of the prompt.
  estimate first{std::chrono::milliseconds(250), std::chrono::milliseconds(1500)};
  double mean_stream_events = 0;  // events per complete stream, moving mean
  int sampled_streams = 0;        // streams in that mean, at most the number that makes it usable
};

// Adds a measured interval.
void AddSample(pace::estimate& estimate, duration interval);

// Call when a stream has ended completely, with the number of its events.
void AddStreamLength(pace& pace, size_t events);

// The largest estimated time per token, in ms, at which a new stream can be expected to meet
// `gap_goal`, the longest time between events that its route allows. A stream that starts on a
// slower path is refused at once: it would miss the goal or lose its caller before its first event,
// and it would slow down the other streams. nullopt: too few streams have ended yet, or the route
// has no goal. `answer_tokens`: mean number of generated tokens of the model.
std::optional<double> MaxTokenMs(const pace& pace, duration gap_goal, double answer_tokens);

// Time without output after which a request counts as stalled.
duration StallThreshold(const pace::estimate& estimate);

}  // namespace balsambay::gateway
