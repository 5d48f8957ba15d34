// Sliding window over the requests and repeats of each service.
#include "details/repeat_budget.h"

namespace balsambay::gateway {
namespace {

void DropOlderThan(std::deque<time_point>& times, time_point oldest) {
  while (!times.empty() && times.front() < oldest) times.pop_front();
}

repeat_budget::sends& FindOrAddSends(repeat_budget& budget, std::string_view service) {
  const auto found = budget.services.find(service);
  if (found != budget.services.end()) return found->second;
  return budget.services[std::string(service)];
}

}  // namespace

budget_usage GetUsage(repeat_budget& budget, std::string_view service, time_point now) {
  auto& [requests, repeats] = FindOrAddSends(budget, service);
  DropOlderThan(requests, now - budget.window);
  DropOlderThan(repeats, now - budget.window);
  return {repeats.size(),
          budget.ratio * static_cast<double>(requests.size()) + budget.own_allowance};
}

void CountRequest(repeat_budget& budget, std::string_view service, time_point now) {
  auto& requests = FindOrAddSends(budget, service).requests;
  DropOlderThan(requests, now - budget.window);
  requests.push_back(now);
}

bool MayRepeat(repeat_budget& budget, std::string_view service, time_point now) {
  const budget_usage usage = GetUsage(budget, service, now);
  return static_cast<double>(usage.repeats) + 1 <= usage.allowed;
}

void CountRepeat(repeat_budget& budget, std::string_view service, time_point now) {
  FindOrAddSends(budget, service).repeats.push_back(now);
}

}  // namespace balsambay::gateway
