// Property tests with random sequences of claims, pauses, crashes, restarts, network partitions and
// table failures.
#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>

#include "simulation.h"

namespace balsambay::ledger::testing {
namespace {

using nlohmann::json;
constexpr int kDaemons = 4;

json RandomClaim(random_generator& rng, int number) {
  const std::vector<int> runs = {0, 20, 20, 800, -1};
  return {{"op", "claim"},
          {"daemon", UniformBelow(rng, kDaemons)},
          {"request", "r" + std::to_string(number)},
          {"key", "k" + std::to_string(UniformBelow(rng, 3))},
          {"body", UniformBelow(rng, 10) == 0 ? "y" : "x"},
          {"run_ms", runs[UniformBelow(rng, runs.size())]}};
}

json RandomDisturbance(random_generator& rng) {
  const std::vector<std::string> modes = {"ok", "ok", "down", "lose", "late", "slow", "flaky"};
  const std::vector<std::string> kinds = {"freeze", "freeze", "thaw",  "thaw",
                                          "crash",  "start",  "start", "stop"};
  const uint64_t choice = UniformBelow(rng, 10);
  if (choice < 3) return {{"op", "table"}, {"mode", modes[UniformBelow(rng, modes.size())]}};
  if (choice < 4) return {{"op", "split"}, {"on", UniformBelow(rng, 2) == 0}};
  return {{"op", kinds[UniformBelow(rng, kinds.size())]}, {"daemon", UniformBelow(rng, kDaemons)}};
}

json RandomOp(random_generator& rng, int number) {
  const uint64_t choice = UniformBelow(rng, 100);
  if (choice < 40) return RandomClaim(rng, number);
  if (choice < 70) return {{"op", "run"}, {"ms", 1 + UniformBelow(rng, 400)}};
  if (choice < 78) return {{"op", "run"}, {"ms", 1000 + UniformBelow(rng, 5000)}};
  if (choice < 80) return {{"op", "run"}, {"ms", 25'000}};
  return RandomDisturbance(rng);
}

// Two dispatches of a key must be at least retention - grant_time apart: until then the record of
// the first one exists. One second covers the clock skew.
void CheckDispatches(simulation& sim) {
  for (const auto& [key, key_dispatches] : sim.dispatches) {
    for (size_t i = 1; i < key_dispatches.size(); ++i) {
      const duration interval = key_dispatches[i].at - key_dispatches[i - 1].at;
      if (interval < sim.config.retention - sim.config.grant_time - std::chrono::seconds(1)) {
        sim.violations.push_back(key + " ran twice: " + key_dispatches[i - 1].request + ", " +
                                 key_dispatches[i].request);
      }
    }
    for (const dispatch& d : key_dispatches) {
      if (sim.requests[d.request].reported_outcome == "not_run") {
        sim.violations.push_back(d.request + " ran but was reported as not run");
      }
    }
  }
}

void CheckAllReported(simulation& sim) {
  for (const auto& [id, r] : sim.requests) {
    const bool claimant_lost =
        sim.daemons[r.daemon].crashed || sim.daemons[r.daemon].id != r.sub.request.claimant;
    const bool never_ends = r.sub.state == submission_state::kDispatched && r.run_ms < 0;
    if (r.reported_outcome.empty() && !claimant_lost && !never_ends)
      sim.violations.push_back(id + " was never answered");
  }
}

// Checks that each shard is served again after a restart of all daemons: requests with new keys
// run, and the simulation checks that a repeat of an earlier key gets the stored result.
void CheckRecovery(simulation& sim) {
  for (int i = 0; i < kDaemons; ++i) Apply(sim, {{"op", "crash"}, {"daemon", i}});
  for (int i = 0; i < kDaemons; ++i) Apply(sim, {{"op", "start"}, {"daemon", i}});
  Run(sim, std::chrono::seconds(8));
  for (int i = 0; i < 6; ++i) {
    const std::string id = "fresh" + std::to_string(i);
    Apply(sim, {{"op", "claim"}, {"daemon", i % kDaemons}, {"request", id}, {"key", id}});
  }
  Apply(sim, {{"op", "claim"}, {"daemon", 0}, {"request", "again"}, {"key", "k0"}});
  Run(sim, std::chrono::seconds(3));
  for (int i = 0; i < 6; ++i) {
    if (sim.requests["fresh" + std::to_string(i)].reported_outcome != "ran") {
      sim.violations.push_back("a fresh key was not served after recovery");
    }
  }
}

std::vector<std::string> FindViolations(uint64_t seed, int ops, const faults& test_faults,
                                        json* log) {
  const auto sim = MakeSimulation(kDaemons, seed, TestSettings(), test_faults);
  random_generator rng(seed);
  Apply(*sim, {{"op", "run"}, {"ms", 4000}});
  for (int i = 0; i < ops; ++i) Apply(*sim, RandomOp(rng, i));
  Heal(*sim);
  Run(*sim, std::chrono::seconds(8));
  CheckAllReported(*sim);
  CheckRecovery(*sim);
  CheckDispatches(*sim);
  if (log != nullptr) *log = sim->log;
  return sim->violations;
}

TEST_CASE(
    "with random faults a key is dispatched at most once, a request reported as not run did not "
    "run, "
    "and each claim is answered") {
  const bool property_holds = rc::check([] {
    const auto seed = *rc::gen::arbitrary<uint64_t>();
    const int ops = *rc::gen::resize(100, rc::gen::inRange(1, 120));
    json log;
    const auto violations = FindViolations(seed, ops, {}, &log);
    if (!violations.empty()) {
      RC_LOG() << violations.front() << "\n";
      for (const json& op : log) RC_LOG() << op.dump() << "\n";
    }
    RC_ASSERT(violations.empty());
  });
  CHECK(property_holds);
}

bool IsDoubleRun(const std::string& violation) {
  return violation.find("ran twice") != std::string::npos;
}

// Number of the first `seeds` seeds for which a key runs twice.
int CountDoubleRuns(const faults& test_faults, int seeds) {
  int double_runs = 0;
  for (int seed = 0; seed < seeds; ++seed) {
    const auto violations = FindViolations(seed, 80, test_faults, nullptr);
    double_runs += std::ranges::any_of(violations, IsDoubleRun) ? 1 : 0;
  }
  return double_runs;
}

// Guards against random sequences that would not find a double run even if a mechanism were
// missing.
TEST_CASE("the property test finds double runs when a mechanism is disabled") {
  constexpr int kSeeds = 150;
  faults no_read_back;
  no_read_back.lease.skip_read_back = true;
  faults no_epoch;
  no_epoch.lease.skip_epoch_condition = true;
  faults no_load_wait;
  no_load_wait.admit_before_load = true;
  CHECK(CountDoubleRuns({}, kSeeds) == 0);
  CHECK(CountDoubleRuns(no_read_back, kSeeds) > 0);
  // Rare in random sequences, because grants expire before a takeover, hence four times as many
  // seeds. frozen_owner.jsonl shows the failure directly.
  CHECK(CountDoubleRuns(no_epoch, 4 * kSeeds) > 0);
  CHECK(CountDoubleRuns(no_load_wait, kSeeds) > 0);
}

}  // namespace
}  // namespace balsambay::ledger::testing
