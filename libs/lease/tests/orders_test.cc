// Simulates the commands of several lease holders in virtual time, with paused processes, slow
// commands and lost or delayed table calls.
#include "lease/orders.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <functional>

#include "base/random.h"

namespace balsambay::lease {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
constexpr int kProcesses = 3;

struct endpoint {
  bool checks_token = false;
  endpoint_config config;
  uint64_t epoch = 0;      // highest epoch of an executed command
  int stale_commands = 0;  // executed commands whose epoch was below `epoch`
};

struct holder_process {
  command_group group;
  bool paused = false;
  std::vector<std::function<void()>> deferred;  // callbacks to run on resumption
};

struct simulation {
  random_generator rng;
  time_point now{seconds(1000)};
  table::memory_table table;
  bool lossy = false;
  std::multimap<time_point, std::function<void()>> events;
  std::map<std::string, endpoint> endpoints = {{"checks", {true, {}, 0, 0}}, {"ignores", {}}};
  std::vector<holder_process> processes;
};

void After(simulation& sim, duration delay, std::function<void()> callback) {
  sim.events.emplace(sim.now + delay, std::move(callback));
}

void RunInProcess(simulation& sim, int index, duration delay, std::function<void()> callback) {
  After(sim, delay, [&sim, index, callback = std::move(callback)] {
    holder_process& process = sim.processes[index];
    process.paused ? process.deferred.push_back(callback) : callback();
  });
}

command_outcome Execute(endpoint& endpoint, const command& command) {
  if (command.epoch < endpoint.epoch && endpoint.checks_token) return command_outcome::kStaleToken;
  endpoint.stale_commands += command.epoch < endpoint.epoch ? 1 : 0;
  endpoint.epoch = std::max(endpoint.epoch, command.epoch);
  if (command.kind == command_kind::kLoadModel) endpoint.config.model = command.argument;
  if (command.kind == command_kind::kLoadVersion) endpoint.config.version = command.argument;
  if (command.kind == command_kind::kLoadAdapter) endpoint.config.adapters = {command.argument};
  if (command.kind == command_kind::kChangeRole) endpoint.config.role = command.argument;
  return command_outcome::kDone;
}

void Perform(simulation& sim, int index, command_effects effects);

void SendTable(simulation& sim, int index, const table_call& call) {
  // 1: the call is lost, 2: it is delayed, 3: its reply is lost.
  const uint64_t fault = sim.lossy ? UniformBelow(sim.rng, 5) : 0;
  if (fault == 1) return;
  const auto delay = milliseconds(fault == 2 ? UniformBelow(sim.rng, 4000) : 1);
  After(sim, delay, [&sim, index, call, fault] {
    const auto* tx = std::get_if<table::transaction>(&call.request);
    const table_outcome outcome =
        tx != nullptr ? table_outcome(Commit(sim.table, *tx))
                      : table_outcome(Read(sim.table, std::get<table::read_request>(call.request)));
    if (fault == 3) return;
    RunInProcess(sim, index, milliseconds(1), [&sim, index, id = call.id, outcome] {
      Perform(sim, index, OnTableReply(sim.processes[index].group, id, outcome, sim.now));
    });
  });
}

// The command is written up to 350 ms after the check, which the lease margin covers; a process
// that is paused in between writes it too.
void SendCommand(simulation& sim, int index, const command& command) {
  RunInProcess(sim, index, milliseconds(UniformBelow(sim.rng, 1500)), [&sim, index, command] {
    command_group& group = sim.processes[index].group;
    const auto report = [&sim, index, command](command_outcome outcome) {
      Perform(sim, index, OnCommandOutcome(sim.processes[index].group, command, outcome, sim.now));
    };
    if (!MaySend(group, command, sim.now)) return report(command_outcome::kFailed);
    const duration pause = milliseconds(UniformBelow(sim.rng, 350));
    const duration transit = milliseconds(UniformBelow(sim.rng, 1990));
    const bool lost_reply = UniformBelow(sim.rng, 4) == 0;
    After(sim, pause + transit, [&sim, index, command, report, lost_reply] {
      const command_outcome outcome = Execute(sim.endpoints[command.endpoint], command);
      RunInProcess(sim, index, milliseconds(1), [report, outcome, lost_reply] {
        report(lost_reply ? command_outcome::kUnknown : outcome);
      });
    });
  });
}

void Perform(simulation& sim, int index, command_effects effects) {
  for (const command_effect& effect : effects) {
    if (const auto* call = std::get_if<table_call>(&effect)) {
      SendTable(sim, index, *call);
    } else if (const auto* next_command = std::get_if<command>(&effect)) {
      SendCommand(sim, index, *next_command);
    } else {
      RunInProcess(
          sim, index, milliseconds(2), [&sim, index, id = std::get<state_query>(effect).endpoint] {
            Perform(
                sim, index,
                OnEndpointState(sim.processes[index].group, id, sim.endpoints[id].config, sim.now));
          });
    }
  }
}

time_point NextEventTime(const simulation& sim) {
  time_point next = sim.events.empty() ? kNever : sim.events.begin()->first;
  for (const holder_process& process : sim.processes) {
    if (!process.paused) next = std::min(next, NextDeadline(process.group));
  }
  return next;
}

void Run(simulation& sim, duration time) {
  const time_point end = sim.now + time;
  for (time_point next = NextEventTime(sim); next <= end; next = NextEventTime(sim)) {
    sim.now = std::max(sim.now, next);
    while (!sim.events.empty() && sim.events.begin()->first <= sim.now) {
      sim.events.extract(sim.events.begin()).mapped()();
    }
    for (int i = 0; i < kProcesses; ++i) {
      holder_process& process = sim.processes[i];
      if (process.paused || NextDeadline(process.group) > sim.now) continue;
      Perform(sim, i, OnTick(process.group, sim.now));
      if (NextDeadline(process.group) <= sim.now) FAIL("deadline in the past after OnTick");
    }
  }
  sim.now = end;
}

void Resume(simulation& sim, int index) {
  holder_process& process = sim.processes[index];
  process.paused = false;
  for (const auto& callback : std::exchange(process.deferred, {})) callback();
}

void WriteWanted(simulation& sim, const std::string& version) {
  const endpoint_config config{"m", version, {"a" + version}, "prefill"};
  const wanted_state wanted{{"checks", config}, {"ignores", config}};
  Commit(sim.table, {{}, {{"wanted/g", EncodeWanted(wanted)}}});
}

void ApplyRandomEvent(simulation& sim, int number) {
  const int index = static_cast<int>(UniformBelow(sim.rng, kProcesses));
  const uint64_t choice = UniformBelow(sim.rng, 6);
  if (choice < 2) sim.processes[index].paused = true;
  if (choice == 2) Resume(sim, index);
  if (choice == 3) sim.lossy = UniformBelow(sim.rng, 2) == 0;
  if (choice > 3) WriteWanted(sim, std::to_string(number));
  Run(sim, milliseconds(UniformBelow(sim.rng, 4000)));
}

std::unique_ptr<simulation> MakeSimulation(uint64_t seed, const faults& test_faults,
                                           duration max_transit = command_settings().max_transit) {
  auto sim = std::make_unique<simulation>();
  sim->rng.seed(seed);
  sim->processes.resize(kProcesses);
  const std::vector<endpoint_info> infos = {{"checks", true}, {"ignores", false}};
  for (int i = 0; i < kProcesses; ++i) {
    command_settings settings;
    settings.group = "g";
    settings.max_transit = max_transit;
    settings.self = "d" + std::to_string(i) + "#1";
    sim->processes[i].group = MakeCommandGroup(settings, test_faults);
    SetEndpoints(sim->processes[i].group, infos, sim->now);
  }
  return sim;
}

struct run_outcome {
  int stale_commands = 0;  // stale commands that the endpoint without token check executed
  bool converged = false;  // both endpoints reached the wanted state
};

run_outcome RunRandom(uint64_t seed, int steps, const faults& test_faults = {}) {
  const auto sim = MakeSimulation(seed, test_faults);
  WriteWanted(*sim, "start");
  for (int i = 0; i < steps; ++i) ApplyRandomEvent(*sim, i);
  sim->lossy = false;
  for (int i = 0; i < kProcesses; ++i) Resume(*sim, i);
  WriteWanted(*sim, "end");
  Run(*sim, seconds(60));
  const endpoint_config wanted{"m", "end", {"aend"}, "prefill"};
  const bool converged =
      sim->endpoints["checks"].config == wanted && sim->endpoints["ignores"].config == wanted;
  return {sim->endpoints["ignores"].stale_commands, converged};
}

int CountStale(const faults& test_faults) {
  int stale_commands = 0;
  for (int seed = 0; seed < 60; ++seed)
    stale_commands += RunRandom(seed, 30, test_faults).stale_commands;
  return stale_commands;
}

// Counts stale commands after a holder releases the lease while its command is in transit, so that
// the next holder acquires the lease at once.
int CountStaleAfterRelease(duration max_transit) {
  int stale_commands = 0;
  for (int seed = 0; seed < 60; ++seed) {
    const auto sim = MakeSimulation(seed, {}, max_transit);
    sim->processes[1].paused = sim->processes[2].paused = true;
    Run(*sim, seconds(5));
    WriteWanted(*sim, "old");
    Run(*sim, seconds(1) + milliseconds(UniformBelow(sim->rng, 2000)));
    Perform(*sim, 0, Release(sim->processes[0].group, sim->now));
    WriteWanted(*sim, "new");
    Resume(*sim, 1);
    Run(*sim, seconds(20));
    stale_commands += sim->endpoints["ignores"].stale_commands;
  }
  return stale_commands;
}

TEST_CASE("no endpoint executes a command of an older holder after one of a newer holder") {
  // Needs the lease margin, the transit wait and the fencing token.
  CHECK(rc::check([] {
    const auto seed = *rc::gen::arbitrary<uint64_t>();
    const int steps = *rc::gen::resize(100, rc::gen::inRange(1, 40));
    const run_outcome outcome = RunRandom(seed, steps);
    RC_ASSERT(outcome.stale_commands == 0);
    RC_ASSERT(outcome.converged);
  }));
}

TEST_CASE("without lease margin or transit wait the simulation detects stale commands") {
  faults no_margin;
  no_margin.ignore_margin = true;
  CHECK(CountStale({}) == 0);
  CHECK(CountStale(no_margin) > 0);
  CHECK(CountStaleAfterRelease(command_settings().max_transit) == 0);
  CHECK(CountStaleAfterRelease(duration::zero()) > 0);
}

TEST_CASE("a released lease is taken over at once, and the old holder no longer acts") {
  const auto sim = MakeSimulation(1, {});
  sim->processes[1].paused = sim->processes[2].paused = true;
  Run(*sim, seconds(1));
  const command old_command{1, "checks", command_kind::kLoadModel, "m", 1};
  CHECK(MaySend(sim->processes[0].group, old_command, sim->now));
  Perform(*sim, 0, Release(sim->processes[0].group, sim->now));
  CHECK_FALSE(MaySend(sim->processes[0].group, old_command, sim->now));
  Resume(*sim, 1);
  Run(*sim, milliseconds(800));
  CHECK(MayAct(sim->processes[1].group.lease, sim->now));
  CHECK(sim->processes[1].group.lease.row.epoch == 2);
}

}  // namespace
}  // namespace balsambay::lease
