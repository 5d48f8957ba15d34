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

}  // namespace

void Learn(pace::estimate& item, duration taken) {
  // A single pause of an engine that is lost must not make the next one usual.
  const duration value = std::min(taken, Patience(item));
  if (std::exchange(item.known, true)) return Add(item.seen, value, kWeights);
  item.seen = {.mean_ms = Milliseconds(value), .deviation_ms = Milliseconds(value) / 2};
}

duration Patience(const pace::estimate& item) {
  if (!item.known) return item.least;
  return std::clamp(Beyond(item.seen, kDeviations), item.least, item.most);
}

}  // namespace balsambay::gateway
