// Shares of priorities and workspaces under overload, and the target of the fullness.
#include "admission/overload.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>
#include <vector>

namespace balsambay::admission {
namespace {

constexpr std::array<std::string_view, 3> kReasonNames = {"accepted", "priority", "workspace"};
// Demand below this, in requests, is forgotten.
constexpr double kMinWork = 0.01;
// Callers return in the last part of the time until there is capacity.
constexpr double kEarliestReturn = 0.5;
constexpr int kMaxReturnFraction = 3;
constexpr double kMinFraction = 0.01;
// Longest time without requests for which the accepted fraction is adapted at once.
constexpr double kMaxStepSeconds = 1;
// Largest factor by which a low fullness raises the limit at once.
constexpr double kMaxCorrection = 1.5;
constexpr double kMaxWork = 16;
// A workspace is reported as cut back by its own use below this part of its priority's fraction.
constexpr double kOwnUseFraction = 0.98;

double Decay(duration age, duration window) {
  return std::exp(-std::max(0.0, Seconds(age)) / Seconds(window));
}

double WorkAt(const demand_count& count, duration window, time_point now) {
  return count.work * Decay(now - count.at, window);
}

void Add(demand_count& count, double work, duration window, time_point now) {
  count.work = WorkAt(count, window, now) + work;
  count.at = std::max(count.at, now);
}

// Requests that this gateway may have in progress.
double Limit(const overload_control& control) {
  const double aim = control.config.aim * control.target;
  // Reacts at once to the fullness; `factor` learns the rest. Without the root, all gateways would
  // make up for the same excess in full before they see each other's reaction.
  const double correction =
      std::min(std::sqrt(aim / std::max(control.fullness, kMinFraction)), kMaxCorrection);
  return control.capacity_share * aim * control.factor * correction;
}

// Adapts the fraction of the whole demand that is accepted.
void UpdateFraction(overload_control& control, time_point now) {
  const overload_settings& config = control.config;
  const double aim = config.aim * control.target;
  const double elapsed_s = std::clamp(Seconds(now - control.planned_at), 0.0, kMaxStepSeconds);
  const bool limits = std::exchange(control.accepted_fraction, 1) < 1;
  const bool has_room = control.fullness < config.start_fullness * control.target;
  // A limit that is not reached does not cause the fullness, so its factor must not grow.
  const double excess = control.fullness - aim;
  const double change = limits || excess > 0 ? -excess : 1 - control.factor;
  control.factor *= 1 + config.factor_gain * change * elapsed_s;
  control.factor = std::clamp(control.factor, config.min_factor, config.max_factor);
  if (!has_room) control.full_at = now;
  if (now - control.full_at > config.limit_hold || control.capacity_share == 0) return;
  const double ends = WorkAt(control.ended, config.rate_window, now) / Seconds(config.rate_window);
  const double demand =
      WorkAt(control.offered, config.rate_window, now) / Seconds(config.rate_window);
  const double rate = ends + (Limit(control) - control.running) / Seconds(config.adjust_time);
  control.accepted_fraction =
      std::clamp(rate / std::max(demand, kMinFraction), config.min_accepted, 1.0);
}

// The largest share `s` such that the sum of min(demand, s) is at most `total`.
double MaxMinShare(std::vector<double> demands, double total) {
  std::ranges::sort(demands);
  double left = total;
  for (size_t i = 0; i < demands.size(); ++i) {
    const double share = left / static_cast<double>(demands.size() - i);
    if (demands[i] >= share) return share;
    left -= demands[i];
  }
  return demands.empty() ? 0 : demands.back();
}

// Divides a priority's fraction among its workspaces: a floor for each, and equal shares of the
// rest to all that demand them.
void PlanWorkspaces(const overload_settings& config, demand_level& level, time_point now) {
  std::erase_if(level.workspaces, [&](const auto& entry) {
    return WorkAt(entry.second.offered, config.demand_window, now) < kMinWork;
  });
  const double floor = config.workspace_floor * level.accepted_fraction;
  double total = 0;
  std::vector<double> unserved;
  for (const auto& [name, workspace] : level.workspaces) {
    const double work = WorkAt(workspace.offered, config.demand_window, now);
    total += work;
    unserved.push_back(work * (1 - floor));
  }
  const double share =
      MaxMinShare(unserved, (1 - config.workspace_floor) * level.accepted_fraction * total);
  for (auto& [name, workspace] : level.workspaces) {
    const double work = WorkAt(workspace.offered, config.demand_window, now);
    workspace.accepted_fraction = floor + std::min(1 - floor, share / work);
  }
}

// Divides the accepted work among the priorities: a floor for each, and the rest to the most urgent
// first.
void Plan(overload_control& control, time_point now) {
  const overload_settings& config = control.config;
  if (now - control.planned_at < config.plan_interval) return;
  UpdateFraction(control, now);
  control.planned_at = now;
  std::erase_if(control.levels, [&](const auto& entry) {
    return WorkAt(entry.second.offered, config.demand_window, now) < kMinWork;
  });
  double total = 0;
  for (const auto& [priority, level] : control.levels) {
    total += WorkAt(level.offered, config.demand_window, now);
  }
  const double floor = config.level_floor * control.accepted_fraction;
  double left = (control.accepted_fraction - floor) * total;
  for (auto& [priority, level] : control.levels) {
    const double work = WorkAt(level.offered, config.demand_window, now);
    const double given = std::min(left, work * (1 - floor));
    left -= given;
    level.accepted_fraction = std::min(1.0, floor + given / work);
    PlanWorkspaces(config, level, now);
  }
}

workspace_demand& FindWorkspace(const overload_settings& config, demand_level& level,
                                std::string_view name) {
  const auto found = level.workspaces.find(name);
  if (found != level.workspaces.end()) return found->second;
  const bool full = level.workspaces.size() >= config.max_workspaces;
  const auto [added, is_new] =
      level.workspaces.try_emplace(full ? std::string() : std::string(name));
  if (is_new) added->second.accepted_fraction = level.accepted_fraction;
  return added->second;
}

// The target returns to 1 while there are no results.
void RecoverTarget(overload_control& control, time_point now) {
  const double kept = Decay(now - control.result_at, control.config.target_recovery);
  control.target = 1 - (1 - control.target) * kept;
  control.result_at = std::max(control.result_at, now);
}

}  // namespace

bool NeedsSample(const overload_control& control, time_point now) {
  return now - control.sampled_at >= control.config.plan_interval;
}

void RecordFullness(overload_control& control, const fullness_sample& sample, time_point now) {
  const overload_settings& config = control.config;
  const duration age = now - control.sampled_at;
  control.sampled_at = std::max(control.sampled_at, now);
  if (!sample.current) {
    // Nothing is known of the others, so the limit no longer reacts to them.
    control.fullness = std::max(control.fullness, config.aim * control.target);
    return;
  }
  const double kept = Decay(age, config.fullness_window);
  control.fullness = kept * control.fullness + (1 - kept) * sample.fullness;
  if (sample.fullness < kMinFraction || sample.gateways < 1) return;
  const double share = sample.requests / sample.fullness / sample.gateways;
  const double capacity_kept = control.capacity_share == 0 ? 0 : Decay(age, config.capacity_window);
  control.capacity_share = capacity_kept * control.capacity_share + (1 - capacity_kept) * share;
}

void RecordEnd(overload_control& control, time_point now) {
  control.running = std::max(0, control.running - 1);
  Add(control.ended, 1, control.config.rate_window, now);
}

void RecordResult(overload_control& control, bool late, time_point now) {
  RecoverTarget(control, now);
  const overload_settings& config = control.config;
  ++control.results;
  if (late) ++control.late_results;
  if (now - control.results_since < config.result_interval) return;
  const double late_part = static_cast<double>(control.late_results) / control.results;
  if (late_part > config.max_late) {
    control.target *= 1 - config.late_step * late_part;
  } else {
    control.target += config.in_time_step;
  }
  control.target = std::clamp(control.target, config.min_target, 1.0);
  control.results = control.late_results = 0;
  control.results_since = now;
}

overload_verdict DecideOverload(overload_control& control, const overload_request& request,
                                time_point now, random_generator& rng) {
  const overload_settings& config = control.config;
  const double work = std::clamp(request.work, kMinFraction, kMaxWork);
  demand_level& level = control.levels[request.priority];
  workspace_demand& workspace = FindWorkspace(config, level, request.workspace);
  Add(control.offered, 1, config.rate_window, now);
  Add(level.offered, work, config.demand_window, now);
  Add(workspace.offered, work, config.demand_window, now);
  Plan(control, now);
  // Always drawn, so that a run with the same seed does not depend on the load.
  if (UniformUnit(rng) < workspace.accepted_fraction) {
    ++control.running;
    return {};
  }
  Add(level.shed, work, config.demand_window, now);
  const bool own_use = workspace.accepted_fraction < kOwnUseFraction * level.accepted_fraction;
  return {own_use ? overload_reason::kWorkspace : overload_reason::kPriority,
          RetryAfter(control, request.priority, request.time_left, now, rng)};
}

duration RetryAfter(const overload_control& control, int priority, duration time_left,
                    time_point now, random_generator& rng) {
  const overload_settings& config = control.config;
  double wait_s = 0;
  if (const auto found = control.levels.find(priority); found != control.levels.end()) {
    const demand_level& level = found->second;
    const double shed = WorkAt(level.shed, config.demand_window, now);
    const double offered = WorkAt(level.offered, config.demand_window, now);
    const double accepted_per_s =
        std::max(level.accepted_fraction, kMinFraction) * offered / Seconds(config.demand_window);
    wait_s = shed / std::max(accepted_per_s, kMinFraction);
  }
  const double max_s =
      std::min(Seconds(config.max_retry_after), Seconds(time_left) / kMaxReturnFraction);
  wait_s = std::clamp(wait_s, 0.0, max_s);
  wait_s *= kEarliestReturn + (1 - kEarliestReturn) * UniformUnit(rng);
  // Only the minimum is left when it exceeds what callers wait.
  const double min_s = Seconds(config.min_retry_after) * (1 + UniformUnit(rng));
  return FromMilliseconds(1000 * std::max(wait_s, min_s));
}

std::string_view ToString(overload_reason reason) {
  return kReasonNames.at(static_cast<size_t>(reason));
}

}  // namespace balsambay::admission
