// Admission by priority while a service is close to its capacity. Each gateway decides for itself:
// it limits its own requests in progress to its share of the fleet's capacity, accepts new ones at
// about the rate at which running ones end, and divides that rate among the priorities and the
// workspaces. The limit follows the fullness of the fleet, and falls when accepted requests miss
// their goals nevertheless.
//
// No I/O and no clock: time and random numbers are arguments. Not thread-safe. Design:
// docs/design/overload.md.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "base/random.h"
#include "base/time.h"

namespace balsambay::admission {

struct overload_settings {
  // Fullness that is aimed at. Everything is accepted once the fullness has been below
  // `start_fullness` for `limit_hold`; without that time, all gateways would accept everything in
  // each trough that they only see afterwards.
  double aim = 0.9;
  double start_fullness = 0.7;
  duration limit_hold = std::chrono::seconds(3);
  // Time in which the requests in progress reach a new limit.
  duration adjust_time = std::chrono::seconds(1);
  // Relative change per second of the factor of the limit, for each unit of fullness below `aim`.
  // The fullness is known about 1 s late, so a larger gain oscillates.
  double factor_gain = 0.25;
  double min_factor = 0.7;
  double max_factor = 1.3;
  double min_accepted = 0.1;
  // Part of the mean accepted fraction that every priority gets, and part of its priority's
  // fraction that every workspace gets. Their product stays above 1/4 with a margin for chance.
  double level_floor = 0.5;
  double workspace_floor = 0.7;
  duration demand_window = std::chrono::seconds(8);  // a gateway may see few requests per second
  duration fullness_window = std::chrono::milliseconds(300);
  duration capacity_window = std::chrono::seconds(3);
  duration rate_window = std::chrono::seconds(4);  // of the rates of all demand and of ends
  duration plan_interval = std::chrono::milliseconds(100);
  // The results of one interval change the target once, because streams that run at the same time
  // miss their goals together. It falls by `late_step` times the part that was late, if that is
  // above `max_late`, and rises by `in_time_step` otherwise.
  duration result_interval = std::chrono::seconds(2);
  double max_late = 0.1;
  double late_step = 0.08;
  double in_time_step = 0.02;
  double min_target = 0.8;
  duration target_recovery = std::chrono::seconds(20);  // without results
  duration min_retry_after = std::chrono::milliseconds(300);
  duration max_retry_after = std::chrono::seconds(8);
  size_t max_workspaces = 4096;  // further ones of a priority are treated as one
};

// Load of the fleet of a service.
struct fullness_sample {
  double fullness = 0;   // 1: no further request meets its goals
  double requests = 0;   // in progress, of all gateways
  int gateways = 1;      // that share the fleet, this one included
  bool current = false;  // false: too old to be used; the last limit stays in force
};

struct demand_count {
  double work = 0;  // requests weighted by their size, decays
  time_point at{};
};

struct workspace_demand {
  demand_count offered;
  double accepted_fraction = 1;  // in force until the next plan
};

// The requests of one priority.
struct demand_level {
  demand_count offered;
  demand_count shed;
  double accepted_fraction = 1;  // in force until the next plan
  std::map<std::string, workspace_demand, std::less<>> workspaces;
};

// State of one service at one gateway. Starts empty after a restart and is learned again within
// `demand_window`; callers cannot set any part of it except by sending requests.
struct overload_control {
  overload_control() = default;
  explicit overload_control(const overload_settings& values) : config(values) {}

  overload_settings config;
  std::map<int, demand_level> levels;  // by priority, the most urgent first
  demand_count offered;                // all priorities
  demand_count ended;
  int running = 0;      // requests that were accepted and have not ended
  double fullness = 0;  // smoothed
  // This gateway's share of the requests that the fleet carries at fullness 1, smoothed; 0: not
  // known, then everything is accepted.
  double capacity_share = 0;
  time_point sampled_at{};
  time_point full_at =
      time_point() - std::chrono::hours(1);  // when the fullness was last above `start_fullness`
  double factor = 1;                         // of the limit, in [min_factor, max_factor]
  double target = 1;                         // factor of `aim`, in [min_target, 1]
  time_point result_at{};
  time_point results_since{};  // start of the interval that `results` and `late_results` count
  int results = 0;
  int late_results = 0;
  double accepted_fraction = 1;  // of the whole demand
  time_point planned_at{};
};

enum class overload_reason : uint8_t {
  kAccepted,
  kPriority,   // the priority is cut back
  kWorkspace,  // the workspace is cut back more than its priority, because of its recent use
};

struct overload_verdict {
  overload_reason reason = overload_reason::kAccepted;
  duration retry_after{0};  // set unless accepted
};

struct overload_request {
  int priority = 0;  // 0 is the most urgent
  std::string_view workspace;
  double work = 1;        // relative to a usual request
  duration time_left{0};  // until the caller gives up
};

// Whether a new sample is of use, so that its cost can be saved otherwise.
bool NeedsSample(const overload_control& control, time_point now);
void RecordFullness(overload_control& control, const fullness_sample& sample, time_point now);

// Records the end of an accepted request, whatever its outcome.
void RecordEnd(overload_control& control, time_point now);

// Records how an accepted request went. `late`: it missed a goal, or was refused after all for lack
// of capacity.
void RecordResult(overload_control& control, bool late, time_point now);

// Decides on a new request and counts it as demand.
overload_verdict DecideOverload(overload_control& control, const overload_request& request,
                                time_point now, random_generator& rng);

// Time after which a request of this priority that is refused now should return: when the demand
// shed lately has been accepted at the present rate, so later refusals get later times. Random, so
// that callers fill the time evenly. At most a third of `time_left`, the time that callers wait.
duration RetryAfter(const overload_control& control, int priority, duration time_left,
                    time_point now, random_generator& rng);

// For example "priority".
std::string_view ToString(overload_reason reason);

}  // namespace balsambay::admission
