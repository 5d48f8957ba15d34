// Properties of the gate under random load, and its targets under overload in virtual time.
#include "admission/gate.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <deque>

#include "../benchmarks/fixed_rate_server.h"

namespace balsambay::admission {
namespace {

// A request as the test sees it, in parallel to the gate's own books.
struct shadow {
  size_t workspace = 0;
  std::string pool;
  int64_t tokens = 0;
  time_point latest_start;
  int decisions = 0;
  bool running = false;
  bool queued = false;
};

// Which promises a run broke.
struct findings {
  bool limit = false;
  bool order = false;
  bool late = false;
  bool decisions = false;
  bool bounds = false;
  bool any() const { return limit || order || late || decisions || bounds; }
};

struct random_run {
  gate admission;
  std::vector<workspace_policy> policies;
  std::map<request_id, shadow> all;
  std::map<std::string, int> capacity;
  findings found;
  random_generator rng;
  explicit random_run(uint64_t seed, const gate_settings& config) : admission(config), rng(seed) {}
};

workspace_usage Running(const random_run& run, size_t workspace) {
  workspace_usage usage;
  for (const auto& [id, item] : run.all) {
    if (!item.running || item.workspace != workspace) continue;
    usage.running += 1;
    usage.running_tokens += item.tokens;
  }
  return usage;
}

bool Fits(const random_run& run, const shadow& item) {
  const workspace_policy& policy = run.policies[item.workspace];
  const workspace_usage usage = Running(run, item.workspace);
  return usage.running < policy.max_requests &&
         usage.running_tokens + item.tokens <= policy.max_tokens;
}

// Whether the oldest queued request of a workspace with a higher priority could run instead.
bool SkipsHigherPriority(const random_run& run, const shadow& chosen) {
  std::set<size_t> seen;
  for (const auto& [id, item] : run.all) {
    if (!item.queued || item.pool != chosen.pool || !seen.insert(item.workspace).second) continue;
    const bool higher =
        run.policies[item.workspace].priority < run.policies[chosen.workspace].priority;
    if (higher && Fits(run, item)) return true;
  }
  return false;
}

void CheckDispatch(random_run& run, shadow& item, time_point now) {
  run.found.limit |= !Fits(run, item);
  run.found.order |= SkipsHigherPriority(run, item);
  run.found.late |= now > item.latest_start;
  item.running = true;
  const auto in_pool = std::ranges::count_if(run.all, [&](const auto& entry) {
    return entry.second.running && entry.second.pool == item.pool;
  });
  run.found.limit |= in_pool > run.capacity[item.pool];
}

void Take(random_run& run, const effects& list, time_point now) {
  for (const effect& decided : list) {
    shadow& item = run.all.at(decided.id);
    run.found.decisions |= ++item.decisions > 1;
    item.queued = false;
    if (decided.kind == effect_kind::kDispatch) CheckDispatch(run, item, now);
  }
}

void OfferRandom(random_run& run, request_id id, time_point now) {
  const size_t workspace = UniformBelow(run.rng, run.policies.size());
  const std::string pool = UniformBelow(run.rng, 2) == 0 ? "a" : "b";
  const auto tokens = static_cast<int64_t>(1 + UniformBelow(run.rng, 120));
  const duration service = tokens * duration(100);
  const time_point deadline = now + service / 2 + duration(UniformBelow(run.rng, 100000));
  run.all[id] = {workspace, pool, tokens, deadline - service};
  run.all[id].queued = true;
  const std::string& name = run.policies[workspace].workspace;
  Take(run, Offer(run.admission, {id, name, pool, tokens, deadline, service}, now), now);
  run.found.bounds |=
      WorkspaceUsage(run.admission, name).queued > run.policies[workspace].max_queue;
  run.found.bounds |= run.admission.queued > run.admission.config.max_queued;
}

// Ends or abandons one random request.
void EndRandom(random_run& run, time_point now) {
  if (run.all.empty()) return;
  const auto chosen = std::next(run.all.begin(),
                                static_cast<std::ptrdiff_t>(UniformBelow(run.rng, run.all.size())));
  const request_id id = chosen->first;
  shadow& item = chosen->second;
  if (item.running) {
    item.running = false;
    Take(run, Finish(run.admission, id, now), now);
  } else if (item.queued && UniformBelow(run.rng, 4) == 0) {
    item.queued = false;
    item.decisions += 1;
    Take(run, Abandon(run.admission, id, now), now);
  }
}

void ChangeRandomPolicy(random_run& run, time_point now) {
  workspace_policy& policy = run.policies[UniformBelow(run.rng, run.policies.size())];
  policy.priority = static_cast<int>(UniformBelow(run.rng, 3));
  policy.max_requests = 1 + static_cast<int>(UniformBelow(run.rng, 4));
  Take(run, SetWorkspaces(run.admission, run.policies, now), now);
}

void FinishAll(random_run& run, time_point now) {
  BeginDrain(run.admission);
  for (int round = 0; round < 1000 && !IsIdle(run.admission); ++round) {
    now += 1ms;
    Take(run, Tick(run.admission, now), now);
    for (auto& [id, item] : run.all) {
      if (!item.running) continue;
      item.running = false;
      Take(run, Finish(run.admission, id, now), now);
    }
  }
  run.found.decisions |= !IsIdle(run.admission);
  for (const auto& [id, item] : run.all) run.found.decisions |= item.decisions != 1;
  run.found.bounds |= !run.admission.latest_starts.empty() || run.admission.queued != 0;
}

findings RunRandom(uint64_t seed, gate_settings config = {}) {
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
    Take(run, Tick(run.admission, now), now);
    OfferRandom(run, id, now);
    EndRandom(run, now);
    if (id % 50 == 0) ChangeRandomPolicy(run, now);
  }
  FinishAll(run, now);
  return run.found;
}

template <class Member>
bool Breaks(const gate_settings& config, Member member) {
  for (uint64_t seed = 0; seed < 20; ++seed) {
    if (RunRandom(seed, config).*member) return true;
  }
  return false;
}

TEST_CASE("random load: limits, strict order, deadlines, bounds and one decision per request") {
  rc::prop("gate", [](uint64_t seed) {
    const findings found = RunRandom(seed);
    RC_ASSERT_FALSE(found.limit);
    RC_ASSERT_FALSE(found.order);
    RC_ASSERT_FALSE(found.late);
    RC_ASSERT_FALSE(found.decisions);
    RC_ASSERT_FALSE(found.bounds);
  });
}

TEST_CASE("each promise breaks with its mechanism off; guards against checks that see nothing") {
  gate_settings no_limits;
  no_limits.test_faults.no_limits = true;
  CHECK(Breaks(no_limits, &findings::limit));
  gate_settings no_order;
  no_order.test_faults.no_strict_order = true;
  CHECK(Breaks(no_order, &findings::order));
  gate_settings no_deadlines;
  no_deadlines.test_faults.no_deadlines = true;
  CHECK(Breaks(no_deadlines, &findings::late));
}

// Largest relative distance of a workspace's goodput from its share, all saturated.
double ShareError(const gate_settings& config) {
  simulation sim(config, {});
  sim.sources = EqualSources(4, 4, sim.server.tokens_per_second);
  double shares = 0;
  for (size_t i = 0; i < sim.sources.size(); ++i) {
    sim.sources[i].policy.share = static_cast<double>(1 + i);
    shares += sim.sources[i].policy.share;
  }
  const std::vector<source_result> results = Simulate(sim, 10s);
  double worst = 0;
  for (size_t i = 0; i < results.size(); ++i) {
    const double fair = sim.sources[i].policy.share / shares * 10 * sim.server.tokens_per_second;
    worst = std::max(worst, std::abs(static_cast<double>(results[i].good) / fair - 1));
  }
  return worst;
}

TEST_CASE("saturated workspaces get their weighted shares within 5%") {
  CHECK(ShareError({}) < 0.05);
  gate_settings broken;
  broken.test_faults.no_shares = true;
  CHECK(ShareError(broken) > 0.05);
}

TEST_CASE("overload at twice the bound keeps 90% of the peak goodput") {
  gate_settings broken;
  broken.test_faults.no_deadlines = true;
  const double peak = std::max(GoodputAt(1, {}), GoodputAt(1.25, {}));
  CHECK(GoodputAt(2, {}) >= 0.9 * peak);
  CHECK(GoodputAt(2, broken) < 0.9 * peak);
  server_model slower;
  slower.planned_tokens_per_second = 2 * slower.tokens_per_second;
  CHECK(GoodputAt(2, {}, slower) >= 0.9 * peak);
}

TEST_CASE("a workspace at ten times its share moves the others' 95th percentile by less than 10%") {
  gate_settings broken;
  broken.test_faults.no_shares = true;
  for (const int slots : {24, 64}) {
    server_model server;
    server.slots = slots;
    CHECK(OthersPercentile(10, {}, server) < 1.1 * OthersPercentile(1, {}, server));
  }
  const double base = OthersPercentile(1, {});
  CHECK(OthersPercentile(10, broken) > 1.1 * base);
}

TEST_CASE("a lower tier gets what the strict tier leaves, and nobody waits past the latest start") {
  simulation sim({}, {});
  sim.sources = EqualSources(4, 2, sim.server.tokens_per_second);
  sim.sources[0].policy.priority = -1;
  sim.sources[0].tokens_per_second = 0.7 * sim.server.tokens_per_second;
  const std::vector<source_result> results = Simulate(sim, 20s);
  const double total = 20 * sim.server.tokens_per_second;
  CHECK(static_cast<double>(results[0].good) > 0.98 * static_cast<double>(results[0].offered));
  for (size_t i = 1; i < results.size(); ++i) {
    CHECK(static_cast<double>(results[i].good) > 0.08 * total);
    CHECK(Percentile(results[i].refusal_ms, 1) <= 1000);
    CHECK(results[i].late == 0);
  }
}

TEST_CASE("a pool without capacity refuses its queue after the gap; guards against silent waits") {
  gate state;
  SetWorkspaces(state, std::vector<workspace_policy>{{.workspace = "w"}}, time_point(0s));
  SetPool(state, "p", {0, 100}, time_point(0s));
  CHECK(Offer(state, {1, "w", "p", 1, time_point(9s), 10ms}, time_point(0s)).empty());
  REQUIRE(NextDeadline(state) == time_point(1s));
  const effects out = Tick(state, time_point(1s));
  REQUIRE(out.size() == 1);
  CHECK(out[0].reason == refusal_reason::kNoRoute);
  CHECK(out[0].retry_after > 0s);
  const effects next = Offer(state, {2, "w", "p", 1, time_point(9s), 10ms}, time_point(2s));
  CHECK(next.at(0).reason == refusal_reason::kNoRoute);
}

}  // namespace
}  // namespace balsambay::admission
