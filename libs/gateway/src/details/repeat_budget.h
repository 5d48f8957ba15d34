// Budget for repeated sends of requests. A repeat is any send of a request after its first: a retry
// or a successor of a running attempt. All gateways share one budget per service and time window.
// Each gateway uses only the part that cannot exceed the budget whatever the other gateways use.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <string_view>

#include "base/time.h"

namespace balsambay::gateway {

struct repeat_budget {
  duration window = std::chrono::seconds(10);
  double ratio = 0;          // repeats per request of this gateway for the service in the window
  double own_allowance = 0;  // this gateway's share of the fixed allowance of each service

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

budget_usage GetUsage(repeat_budget& budget, std::string_view service, time_point now);

void CountRequest(repeat_budget& budget, std::string_view service, time_point now);

// Whether the budget allows one more repeat.
bool MayRepeat(repeat_budget& budget, std::string_view service, time_point now);

void CountRepeat(repeat_budget& budget, std::string_view service, time_point now);

}  // namespace balsambay::gateway
