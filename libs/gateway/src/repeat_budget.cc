// Sliding window of requests and repeats.
#include "details/repeat_budget.h"

namespace balsambay::gateway {
namespace {

void DropOld(std::deque<time_point>& times, time_point oldest) {
  while (!times.empty() && times.front() < oldest) times.pop_front();
}

repeat_budget::sends& SendsOf(repeat_budget& budget, std::string_view service) {
  const auto found = budget.services.find(service);
  if (found != budget.services.end()) return found->second;
  return budget.services[std::string(service)];
}

}  // namespace

budget_use UseOf(repeat_budget& budget, std::string_view service, time_point now) {
  auto& [requests, repeats] = SendsOf(budget, service);
  DropOld(requests, now - budget.window);
  DropOld(repeats, now - budget.window);
  return {repeats.size(), budget.ratio * static_cast<double>(requests.size()) + budget.own_slack};
}

void CountRequest(repeat_budget& budget, std::string_view service, time_point now) {
  auto& requests = SendsOf(budget, service).requests;
  DropOld(requests, now - budget.window);
  requests.push_back(now);
}

bool MayRepeat(repeat_budget& budget, std::string_view service, time_point now) {
  const budget_use used = UseOf(budget, service, now);
  return static_cast<double>(used.repeats) + 1 <= used.allowed;
}

void CountRepeat(repeat_budget& budget, std::string_view service, time_point now) {
  SendsOf(budget, service).repeats.push_back(now);
}

}  // namespace balsambay::gateway
