// Limit on second sends. All gateways share one budget per service and window; each spends only the
// part that is safe without knowing what the others spend.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <string_view>

#include "base/time.h"

namespace balsambay::gateway {

struct repeat_budget {
  duration window = std::chrono::seconds(10);
  double ratio = 0;      // of the own requests for the service in the window
  double own_slack = 0;  // this gateway's part of the fixed allowance of each service

  struct sends {
    std::deque<time_point> requests;
    std::deque<time_point> repeats;
  };
  std::map<std::string, sends, std::less<>> services;
};

// Repeats of a window, and how many this gateway may send.
struct budget_use {
  size_t repeats = 0;
  double allowed = 0;
};

budget_use UseOf(repeat_budget& budget, std::string_view service, time_point now);

void CountRequest(repeat_budget& budget, std::string_view service, time_point now);

// Whether the budget allows one more repeat.
bool MayRepeat(repeat_budget& budget, std::string_view service, time_point now);

void CountRepeat(repeat_budget& budget, std::string_view service, time_point now);

}  // namespace balsambay::gateway
