// Properties of the admission gate under random load, and its targets under overload, in virtual
// time.
#include "admission/gate.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <deque>

#include "../benchmarks/fixed_rate_server.h"

namespace balsambay::admission {
namespace {

// The test's own record of a request, independent of the gate's state.
struct reference_request {
  size_t workspace = 0;
  std::string pool;
  int64_t tokens = 0;
  time_point latest_start;
  int decisions = 0;
  bool running = false;
  bool queued = false;
};

// Guarantees of the gate that a run violated.
struct violations {
  bool limits = false;           // more running than the limits or the capacity allow
  bool strict_order = false;     // dispatched before a request of higher priority
  bool deadlines = false;        // dispatched after the latest start
  bool single_decision = false;  // a request with no decision or several
  bool queue_bounds = false;     // more queued than allowed
  bool any() const {
    return limits || strict_order || deadlines || single_decision || queue_bounds;
  }
};

struct random_run {
  gate admission;
  std::vector<workspace_policy> policies;
  std::map<request_id, reference_request> requests;
  std::map<std::string, int> capacity;
  violations observed;
  random_generator rng;
  explicit random_run(uint64_t seed, const gate_settings& config) : admission(config), rng(seed) {}
};

workspace_usage Running(const random_run& run, size_t workspace) {
  workspace_usage usage;
  for (const auto& [id, request] : run.requests) {
    if (!request.running || request.workspace != workspace) continue;
    usage.running += 1;
    usage.running_tokens += request.tokens;
  }
  return usage;
}

bool Fits(const random_run& run, const reference_request& request) {
  const workspace_policy& policy = run.policies[request.workspace];
  const workspace_usage usage = Running(run, request.workspace);
  return usage.running < policy.max_requests &&
         usage.running_tokens + request.tokens <= policy.max_tokens;
}

// Whether the oldest queued request of a workspace with a higher priority could run instead.
bool HigherPriorityCouldRun(const random_run& run, const reference_request& dispatched) {
  std::set<size_t> checked_workspaces;
  for (const auto& [id, request] : run.requests) {
    if (!request.queued || request.pool != dispatched.pool ||
        !checked_workspaces.insert(request.workspace).second)
      continue;
    const bool has_higher_priority =
        run.policies[request.workspace].priority < run.policies[dispatched.workspace].priority;
    if (has_higher_priority && Fits(run, request)) return true;
  }
  return false;
}

void CheckDispatch(random_run& run, reference_request& request, time_point now) {
  run.observed.limits |= !Fits(run, request);
  run.observed.strict_order |= HigherPriorityCouldRun(run, request);
  run.observed.deadlines |= now > request.latest_start;
  request.running = true;
  const auto running_in_pool = std::ranges::count_if(run.requests, [&](const auto& entry) {
    return entry.second.running && entry.second.pool == request.pool;
  });
  run.observed.limits |= running_in_pool > run.capacity[request.pool];
}

void RecordEffects(random_run& run, const effects& effects, time_point now) {
  for (const effect& effect : effects) {
    reference_request& request = run.requests.at(effect.id);
    run.observed.single_decision |= ++request.decisions > 1;
    request.queued = false;
    if (effect.kind == effect_kind::kDispatch) CheckDispatch(run, request, now);
  }
}

void OfferRandom(random_run& run, request_id id, time_point now) {
  const size_t workspace = UniformBelow(run.rng, run.policies.size());
  const std::string pool = UniformBelow(run.rng, 2) == 0 ? "a" : "b";
  const auto tokens = static_cast<int64_t>(1 + UniformBelow(run.rng, 120));
  const duration service = tokens * duration(100);
  const time_point deadline = now + service / 2 + duration(UniformBelow(run.rng, 100000));
  run.requests[id] = {workspace, pool, tokens, deadline - service};
  run.requests[id].queued = true;
  const std::string& name = run.policies[workspace].workspace;
  RecordEffects(run, Offer(run.admission, {id, name, pool, tokens, deadline, service}, now), now);
  run.observed.queue_bounds |=
      WorkspaceUsage(run.admission, name).queued > run.policies[workspace].max_queue;
  run.observed.queue_bounds |= run.admission.queued > run.admission.config.max_queued;
}

// Picks a random request; finishes it when it runs, or with probability 1/4 abandons it when
// queued.
void FinishOrAbandonRandom(random_run& run, time_point now) {
  if (run.requests.empty()) return;
  const auto it =
      std::next(run.requests.begin(),
                static_cast<std::ptrdiff_t>(UniformBelow(run.rng, run.requests.size())));
  const request_id id = it->first;
  reference_request& request = it->second;
  if (request.running) {
    request.running = false;
    RecordEffects(run, Finish(run.admission, id, now), now);
  } else if (request.queued && UniformBelow(run.rng, 4) == 0) {
    request.queued = false;
    request.decisions += 1;
    RecordEffects(run, Abandon(run.admission, id, now), now);
  }
}

void ChangeRandomPolicy(random_run& run, time_point now) {
  workspace_policy& policy = run.policies[UniformBelow(run.rng, run.policies.size())];
  policy.priority = static_cast<int>(UniformBelow(run.rng, 3));
  policy.max_requests = 1 + static_cast<int>(UniformBelow(run.rng, 4));
  RecordEffects(run, SetWorkspaces(run.admission, run.policies, now), now);
}

void FinishAll(random_run& run, time_point now) {
  BeginDrain(run.admission);
  for (int round = 0; round < 1000 && !IsIdle(run.admission); ++round) {
    now += 1ms;
    RecordEffects(run, Tick(run.admission, now), now);
    for (auto& [id, request] : run.requests) {
      if (!request.running) continue;
      request.running = false;
      RecordEffects(run, Finish(run.admission, id, now), now);
    }
  }
  run.observed.single_decision |= !IsIdle(run.admission);
  for (const auto& [id, request] : run.requests)
    run.observed.single_decision |= request.decisions != 1;
  run.observed.queue_bounds |= !run.admission.latest_starts.empty() || run.admission.queued != 0;
}

violations RunRandomLoad(uint64_t seed, gate_settings config = {}) {
  config.max_queued = 12;
  random_run run(seed, config);
  for (int i = 0; i < 4; ++i) {
    run.policies.push_back({"w" + std::to_string(i), i % 3, 1.0 + i, 1 + i, 150 + 20 * i, 4});
  }
  time_point now(1s);
  SetWorkspaces(run.admission, run.policies, now);
  run.capacity = {{"a", 3}, {"b", 2}};
  for (const auto& [name, slots] : run.capacity) SetPool(run.admission, name, {slots, 8000}, now);
  for (request_id id = 1; id <= 150; ++id) {
    now += duration(UniformBelow(run.rng, 4000));
    RecordEffects(run, Tick(run.admission, now), now);
    OfferRandom(run, id, now);
    FinishOrAbandonRandom(run, now);
    if (id % 50 == 0) ChangeRandomPolicy(run, now);
  }
  FinishAll(run, now);
  return run.observed;
}

template <class Guarantee>
bool AnyRunViolates(const gate_settings& config, Guarantee guarantee) {
  for (uint64_t seed = 0; seed < 20; ++seed) {
    if (RunRandomLoad(seed, config).*guarantee) return true;
  }
  return false;
}

TEST_CASE("random load: limits, strict order, deadlines, queue bounds, one decision per request") {
  rc::prop("gate", [](uint64_t seed) {
    const violations observed = RunRandomLoad(seed);
    RC_ASSERT_FALSE(observed.limits);
    RC_ASSERT_FALSE(observed.strict_order);
    RC_ASSERT_FALSE(observed.deadlines);
    RC_ASSERT_FALSE(observed.single_decision);
    RC_ASSERT_FALSE(observed.queue_bounds);
  });
}

TEST_CASE("a disabled mechanism violates its guarantee, so the checks detect violations") {
  gate_settings no_limits;
  no_limits.test_faults.no_limits = true;
  CHECK(AnyRunViolates(no_limits, &violations::limits));
  gate_settings no_strict_order;
  no_strict_order.test_faults.no_strict_order = true;
  CHECK(AnyRunViolates(no_strict_order, &violations::strict_order));
  gate_settings no_deadlines;
  no_deadlines.test_faults.no_deadlines = true;
  CHECK(AnyRunViolates(no_deadlines, &violations::deadlines));
}

// Largest relative deviation of a workspace's goodput from its share while all are saturated.
double ShareError(const gate_settings& config) {
  simulation sim(config, {});
  sim.sources = EqualSources(4, 4, sim.server.tokens_per_second);
  double shares = 0;
  for (size_t i = 0; i < sim.sources.size(); ++i) {
    sim.sources[i].policy.share = static_cast<double>(1 + i);
    shares += sim.sources[i].policy.share;
  }
  const std::vector<source_result> results = Simulate(sim, 10s);
  double max_error = 0;
  for (size_t i = 0; i < results.size(); ++i) {
    const double fair_tokens =
        sim.sources[i].policy.share / shares * 10 * sim.server.tokens_per_second;
    max_error = std::max(
        max_error, std::abs(static_cast<double>(results[i].on_time_tokens) / fair_tokens - 1));
  }
  return max_error;
}

TEST_CASE("saturated workspaces get their weighted shares within 5%") {
  CHECK(ShareError({}) < 0.05);
  gate_settings no_shares;
  no_shares.test_faults.no_shares = true;
  CHECK(ShareError(no_shares) > 0.05);
}

TEST_CASE("goodput at twice the capacity is at least 90% of its peak") {
  gate_settings no_deadlines;
  no_deadlines.test_faults.no_deadlines = true;
  const double peak = std::max(GoodputAt(1, {}), GoodputAt(1.25, {}));
  CHECK(GoodputAt(2, {}) >= 0.9 * peak);
  CHECK(GoodputAt(2, no_deadlines) < 0.9 * peak);
  server_model misplanned;
  misplanned.planned_tokens_per_second = 2 * misplanned.tokens_per_second;
  CHECK(GoodputAt(2, {}, misplanned) >= 0.9 * peak);
}

TEST_CASE("a workspace at ten times its share raises the 95th percentile of others by under 10%") {
  gate_settings no_shares;
  no_shares.test_faults.no_shares = true;
  for (const int slots : {24, 64}) {
    server_model server;
    server.slots = slots;
    CHECK(OtherWorkspacesP95Ms(10, {}, server) < 1.1 * OtherWorkspacesP95Ms(1, {}, server));
  }
  const double baseline = OtherWorkspacesP95Ms(1, {});
  CHECK(OtherWorkspacesP95Ms(10, no_shares) > 1.1 * baseline);
}

TEST_CASE("a lower tier gets the remaining capacity, and no request waits past its latest start") {
  simulation sim({}, {});
  sim.sources = EqualSources(4, 2, sim.server.tokens_per_second);
  sim.sources[0].policy.priority = -1;
  sim.sources[0].tokens_per_second = 0.7 * sim.server.tokens_per_second;
  const std::vector<source_result> results = Simulate(sim, 20s);
  const double capacity_tokens = 20 * sim.server.tokens_per_second;
  CHECK(static_cast<double>(results[0].on_time_tokens) >
        0.98 * static_cast<double>(results[0].offered_tokens));
  for (size_t i = 1; i < results.size(); ++i) {
    CHECK(static_cast<double>(results[i].on_time_tokens) > 0.08 * capacity_tokens);
    CHECK(Percentile(results[i].refusal_latencies_ms, 1) <= 1000);
    CHECK(results[i].late_tokens == 0);
  }
}

TEST_CASE("a pool without capacity refuses its queued requests after the grace period") {
  // Guards against requests that wait for their deadline without any chance to run.
  gate state;
  SetWorkspaces(state, std::vector<workspace_policy>{{.workspace = "w"}}, time_point(0s));
  SetPool(state, "p", {0, 100}, time_point(0s));
  CHECK(Offer(state, {1, "w", "p", 1, time_point(9s), 10ms}, time_point(0s)).empty());
  REQUIRE(NextDeadline(state) == time_point(1s));
  const effects refusals = Tick(state, time_point(1s));
  REQUIRE(refusals.size() == 1);
  CHECK(refusals[0].reason == refusal_reason::kNoRoute);
  CHECK(refusals[0].retry_after > 0s);
  const effects next_effects = Offer(state, {2, "w", "p", 1, time_point(9s), 10ms}, time_point(2s));
  CHECK(next_effects.at(0).reason == refusal_reason::kNoRoute);
}

}  // namespace
}  // namespace balsambay::admission
