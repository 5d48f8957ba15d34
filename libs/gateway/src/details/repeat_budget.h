// Budget for repeated sends of requests. A repeat is any send of a request after its first: a retry
// or a successor of a running attempt. All gateways share one budget per service and time window.
// Each gateway uses only the part that cannot exceed the budget whatever the other gateways use,
// also when processes end and others start within the window.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <string_view>

#include "base/time.h"

namespace balsambay::gateway {

// A share of the fixed allowance and the time until which it was in force.
struct allowance_share {
  double value = 0;
  time_point in_force_until = time_point::max();
};

struct repeat_budget {
  duration window = std::chrono::seconds(10);
  double ratio = 0;  // repeats per request of this gateway for the service in the window
  // No repeats before this time: an earlier process of this gateway may have used its part of the
  // window, and nothing outlives it that tells how much.
  time_point held_until{};
  // This gateway's shares of the fixed allowance of each service within the window. The last one is
  // the current one, values ascend. Empty: the share is not known, and there is none.
  std::deque<allowance_share> shares;

  // Times within the window, ascending.
  struct sends {
    std::deque<time_point> requests;
    std::deque<time_point> repeats;
  };
  std::map<std::string, sends, std::less<>> services;
};

// Repeats that this gateway has sent within the window, and how many it may send.
struct budget_usage {
  size_t repeats = 0;
  double allowed = 0;
};

// Sets the share of this gateway. A smaller share takes effect at once. A larger one takes effect
// after the window, because a gateway that has ended may have used the difference.
void SetShare(repeat_budget& budget, double share, time_point now);

budget_usage GetUsage(repeat_budget& budget, std::string_view service, time_point now);

void CountRequest(repeat_budget& budget, std::string_view service, time_point now);

// Whether the budget allows one more repeat.
bool MayRepeat(repeat_budget& budget, std::string_view service, time_point now);

void CountRepeat(repeat_budget& budget, std::string_view service, time_point now);

}  // namespace balsambay::gateway
