// Decides which requests a gateway that stops can still complete. A request that would be ended at
// the end of the grace time is better refused at once, because another gateway can take it.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "base/time.h"
#include "details/moving_time.h"

namespace balsambay::gateway {

// Usual time of the requests of one route, from arrival to the end of the complete reply.
struct usual_duration {
  struct estimate {
    moving_time time{};
    bool has_samples = false;
  };
  estimate whole;
  estimate per_token;  // per token of the answer that the caller expects
};

// Adds the time that a completed request took. `answer_tokens`: number that the caller expected,
// 0 if it did not say.
void AddDuration(usual_duration& usual, duration taken, double answer_tokens);

// A request for which the decision is made.
struct stop_query {
  duration time_left{0};      // until the forced end of the process
  duration own_time_left{0};  // until the deadline of the request
  double answer_tokens = 0;   // that the caller expects; 0: not stated
  bool repeatable = false;    // may be sent again if it is cut
};

enum class stop_verdict : uint8_t {
  kFits,
  kNoTimeLeft,       // requests of the route usually take longer than the time that is left
  kUnknownDuration,  // no request of the route has completed yet, and its deadline is too late
};

struct stop_decision {
  stop_verdict verdict = stop_verdict::kFits;
  // Time within which requests like this one usually end; nullopt: not known.
  std::optional<duration> expected;
};

// Name in log lines and metrics.
std::string_view ToString(stop_verdict value);

// Whether a request that starts now is expected to end in time. `usual`: of its route; null if no
// request of the route has completed yet.
stop_decision DecideInStop(const usual_duration* usual, const stop_query& query);

}  // namespace balsambay::gateway
