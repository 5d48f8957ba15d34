// Sliding window of requests and repeats.
#include "details/repeat_budget.h"

namespace balsambay::gateway {
namespace {

void DropOld(std::deque<time_point>& times, time_point oldest) {
  while (!times.empty() && times.front() < oldest) times.pop_front();
}

}  // namespace

void CountRequest(repeat_budget& budget, time_point now) {
  DropOld(budget.requests, now - budget.window);
  budget.requests.push_back(now);
}

bool MayRepeat(repeat_budget& budget, time_point now) {
  DropOld(budget.requests, now - budget.window);
  DropOld(budget.repeats, now - budget.window);
  const double allowed =
      budget.ratio * static_cast<double>(budget.requests.size()) + budget.own_slack;
  return static_cast<double>(budget.repeats.size()) + 1 <= allowed;
}

void CountRepeat(repeat_budget& budget, time_point now) { budget.repeats.push_back(now); }

}  // namespace balsambay::gateway
