// Moving estimates of output intervals and stream lengths.
#include "details/pace.h"

#include <algorithm>
#include <utility>

namespace balsambay::gateway {
namespace {

// TCP takes one sample per round trip. Here every output of every stream is a sample, some hundred
// a second, so the weights are smaller: they cover about the last second.
constexpr moving_weights kWeights{.mean = 0.02, .deviation = 0.04};
// The same factor as in the retransmission timeout of TCP.
constexpr double kDeviations = 4;
// Number of complete streams from which the mean stream length is used, and which the moving mean
// covers from then on. With fewer the mean would be too low, as the shortest of the streams that
// started together end first.
constexpr int kMinSampledStreams = 30;
// Part of the time per token that the estimate for a path may take. Estimates leave out the prefill
// of prompts, which engines do between the tokens of running streams.
constexpr double kMaxEstimateRatio = 0.75;

}  // namespace

void AddSample(pace::estimate& estimate, duration interval) {
  // Limited, so that the long interval at a lost engine does not raise the threshold so far that
  // the next one is not detected.
  const duration value = std::min(interval, StallThreshold(estimate));
  if (std::exchange(estimate.has_samples, true)) return Add(estimate.interval, value, kWeights);
  estimate.interval = {.mean_ms = Milliseconds(value), .deviation_ms = Milliseconds(value) / 2};
}

void AddStreamLength(pace& pace, size_t events) {
  pace.sampled_streams = std::min(pace.sampled_streams + 1, kMinSampledStreams);
  pace.mean_stream_events +=
      (static_cast<double>(events) - pace.mean_stream_events) / pace.sampled_streams;
}

std::optional<double> MaxTokenMs(const pace& pace, duration gap_goal, double answer_tokens) {
  const bool has_mean = pace.sampled_streams >= kMinSampledStreams && pace.mean_stream_events > 0;
  if (!has_mean || gap_goal <= duration::zero() || answer_tokens <= 0) return std::nullopt;
  const double tokens_per_event = std::max(1.0, answer_tokens / pace.mean_stream_events);
  return kMaxEstimateRatio * Milliseconds(gap_goal) / tokens_per_event;
}

duration StallThreshold(const pace::estimate& estimate) {
  if (!estimate.has_samples) return estimate.min_threshold;
  return std::clamp(MeanPlusDeviations(estimate.interval, kDeviations), estimate.min_threshold,
                    estimate.max_threshold);
}

}  // namespace balsambay::gateway
