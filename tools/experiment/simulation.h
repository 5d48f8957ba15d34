// Entry daemons, links and fake engines in virtual time.
#pragma once

#include <vector>

#include "engine.h"
#include "load.h"
#include "planner/planner.h"
#include "routing/routing.h"

namespace balsambay::experiment {

struct simulation_options {
  routing::routing_policy how = routing::routing_policy::kWeighted;
  uint64_t seed = 1;
  double seconds = 30;
  int runs_in_flight = 0;  // > 0: closed loop; arrival times are ignored
  double kill_at = -1;     // seconds; negative: no failure
  planner::endpoint_index victim = 0;
};

inline constexpr double kBucketSeconds = 0.1;

struct simulation_result {
  std::vector<double> work;  // by bucket: tokens of useful work delivered (see EquivalentTokens)
  struct first_token {
    double at = 0;
    double seconds = 0;    // since arrival
    double estimated = 0;  // by the router at the first dispatch
    int prompt_tokens = 0;
  };
  struct gap {
    double at = 0;
    double seconds = 0;
  };
  std::vector<first_token> first_tokens;
  std::vector<gap> gaps;  // between tokens of one answer
  double prompt_tokens = 0;
  double cached_tokens = 0;
  int finished = 0;
  int attempts_lost = 0;
  int refused = 0;
};

simulation_result Simulate(const planner::topology& topo, const std::vector<load_request>& load,
                           const simulation_options& options);

}  // namespace balsambay::experiment
