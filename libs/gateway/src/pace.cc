// Learning from each output.
#include "details/pace.h"

#include <algorithm>
#include <utility>

namespace balsambay::gateway {
namespace {

// TCP learns from one time each round trip. Here every output of every stream counts, some hundred
// a second, so the weights are smaller: they cover the last second or so.
constexpr moving_weights kWeights{.mean = 0.02, .deviation = 0.04};
// As for retransmissions of TCP.
constexpr double kDeviations = 4;
// Answers after which the mean of their events is used, and the number that it covers from then on.
// Of those that began together the shortest end first.
constexpr int kLeastAnswers = 30;
// Part of the time between tokens that estimates may take: they leave out the reading of prompts,
// which engines do between the tokens of the streams that run.
constexpr double kEstimatePart = 0.75;

}  // namespace

void Learn(pace::estimate& item, duration taken) {
  // A single pause of an engine that is lost must not make the next one usual.
  const duration value = std::min(taken, Patience(item));
  if (std::exchange(item.known, true)) return Add(item.seen, value, kWeights);
  item.seen = {.mean_ms = Milliseconds(value), .deviation_ms = Milliseconds(value) / 2};
}

void LearnAnswer(pace& item, size_t events) {
  item.answers = std::min(item.answers + 1, kLeastAnswers);
  item.answer_events += (static_cast<double>(events) - item.answer_events) / item.answers;
}

std::optional<double> MostTokenMs(const pace& item, duration gap_goal, double answer_tokens) {
  const bool known = item.answers >= kLeastAnswers && item.answer_events > 0;
  if (!known || gap_goal <= duration::zero() || answer_tokens <= 0) return std::nullopt;
  const double tokens_per_event = std::max(1.0, answer_tokens / item.answer_events);
  return kEstimatePart * Milliseconds(gap_goal) / tokens_per_event;
}

duration Patience(const pace::estimate& item) {
  if (!item.known) return item.least;
  return std::clamp(Beyond(item.seen, kDeviations), item.least, item.most);
}

}  // namespace balsambay::gateway
