// Estimates as those of retransmission times in TCP, with slower weights since every output counts.
#include "details/pace.h"

#include <algorithm>
#include <cmath>

namespace balsambay::gateway {
namespace {

constexpr double kMeanWeight = 0.02;
constexpr double kDeviationWeight = 0.04;
constexpr double kDeviations = 4;

}  // namespace

void Learn(pace::estimate& item, duration taken) {
  // A single pause of an engine that is lost must not make the next one usual.
  const double ms = Milliseconds(std::min(taken, Patience(item)));
  if (!item.known) {
    item.known = true;
    item.mean_ms = ms;
    item.deviation_ms = ms / 2;
    return;
  }
  item.deviation_ms += kDeviationWeight * (std::abs(ms - item.mean_ms) - item.deviation_ms);
  item.mean_ms += kMeanWeight * (ms - item.mean_ms);
}

duration Patience(const pace::estimate& item) {
  if (!item.known) return item.least;
  return std::clamp(FromMilliseconds(item.mean_ms + kDeviations * item.deviation_ms), item.least,
                    item.most);
}

}  // namespace balsambay::gateway
