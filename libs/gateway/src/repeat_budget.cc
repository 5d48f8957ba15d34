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

// The smallest share that was in force within the window.
double EffectiveShare(repeat_budget& budget, time_point now) {
  std::deque<allowance_share>& shares = budget.shares;
  while (!shares.empty() && shares.front().in_force_until < now - budget.window) shares.pop_front();
  return shares.empty() ? 0 : shares.front().value;
}

}  // namespace

void SetShare(repeat_budget& budget, double share, time_point now) {
  std::deque<allowance_share>& shares = budget.shares;
  if (!shares.empty()) shares.back().in_force_until = now;
  while (!shares.empty() && shares.back().value >= share) shares.pop_back();
  shares.push_back({.value = share});
}

budget_usage GetUsage(repeat_budget& budget, std::string_view service, time_point now) {
  auto& [requests, repeats] = FindOrAddSends(budget, service);
  DropOlderThan(requests, now - budget.window);
  DropOlderThan(repeats, now - budget.window);
  if (now < budget.held_until) return {repeats.size(), 0};
  return {repeats.size(),
          budget.ratio * static_cast<double>(requests.size()) + EffectiveShare(budget, now)};
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
