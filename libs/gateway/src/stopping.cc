// Usual durations of requests, and the comparison with the time that is left in a stop.
#include "details/stopping.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

namespace balsambay::gateway {
namespace {

using std::chrono_literals::operator""ms;

// The weights that TCP uses for its retransmission timeout.
constexpr moving_weights kWeights{.mean = 0.125, .deviation = 0.25};

// Reserve for requests that take longer than usual. A request that may not be repeated has a larger
// one, because its caller cannot recover from a cut.
struct reserve {
  double deviations = 0;  // mean deviations on top of the mean
  double min_share = 0;   // of the mean; applies if the deviations are smaller
  duration fixed{0};      // to write the reply and for delays of the loop
};
constexpr reserve kRepeatableReserve{.deviations = 3, .min_share = 0.1, .fixed = 200ms};
constexpr reserve kUnrepeatableReserve{.deviations = 5, .min_share = 0.25, .fixed = 400ms};

void Add(usual_duration::estimate& estimate, duration sample) {
  if (std::exchange(estimate.has_samples, true)) return Add(estimate.time, sample, kWeights);
  estimate.time = {.mean_ms = Milliseconds(sample), .deviation_ms = Milliseconds(sample) / 2};
}

// Mean deviation as a share of the mean.
double RelativeDeviation(const usual_duration::estimate& estimate) {
  return estimate.time.deviation_ms / std::max(estimate.time.mean_ms, 1e-6);
}

moving_time Scaled(const moving_time& time, double factor) {
  return {.mean_ms = time.mean_ms * factor, .deviation_ms = time.deviation_ms * factor};
}

// The estimate that varies less: of whole requests, or by the number of tokens.
std::optional<moving_time> ExpectedTime(const usual_duration* usual, double answer_tokens) {
  if (usual == nullptr || !usual->whole.has_samples) return std::nullopt;
  const bool by_tokens = answer_tokens > 0 && usual->per_token.has_samples &&
                         RelativeDeviation(usual->per_token) < RelativeDeviation(usual->whole);
  return by_tokens ? Scaled(usual->per_token.time, answer_tokens) : usual->whole.time;
}

}  // namespace

void AddDuration(usual_duration& usual, duration taken, double answer_tokens) {
  Add(usual.whole, taken);
  if (answer_tokens > 0)
    Add(usual.per_token, FromMilliseconds(Milliseconds(taken) / answer_tokens));
}

std::string_view ToString(stop_verdict value) {
  constexpr std::array<std::string_view, 3> kNames = {"fits", "no_time_left", "unknown_duration"};
  return kNames.at(static_cast<size_t>(value));
}

stop_decision DecideInStop(const usual_duration* usual, const stop_query& query) {
  const reserve& reserve = query.repeatable ? kRepeatableReserve : kUnrepeatableReserve;
  const std::optional<moving_time> time = ExpectedTime(usual, query.answer_tokens);
  stop_decision decision;
  if (time) {
    decision.expected = std::max(MeanPlusDeviations(*time, reserve.deviations),
                                 FromMilliseconds(time->mean_ms * (1 + reserve.min_share)));
  }
  // A request whose own time ends first gets its final reply in any case.
  const duration latest_end =
      std::min(decision.expected.value_or(query.own_time_left), query.own_time_left);
  if (latest_end + reserve.fixed <= query.time_left) return decision;
  decision.verdict = time ? stop_verdict::kNoTimeLeft : stop_verdict::kUnknownDuration;
  return decision;
}

}  // namespace balsambay::gateway
