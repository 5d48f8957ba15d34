// Orders of several holders in virtual time, with pauses, slow commands and a lossy table.
#include "lease/orders.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <functional>

#include "base/random.h"

namespace balsambay::lease {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
constexpr int kHolders = 3;

struct endpoint {
  bool checks_token = false;
  endpoint_config config;
  uint64_t epoch = 0;  // highest epoch of an executed command
  int stale = 0;       // executed commands of an epoch below `epoch`
};

struct participant {
  order_group group;
  bool frozen = false;
  std::vector<std::function<void()>> held;
};

struct orders_world {
  random_generator rng;
  time_point now{seconds(1000)};
  table::memory_table table;
  bool lossy = false;
  std::multimap<time_point, std::function<void()>> events;
  std::map<std::string, endpoint> endpoints = {{"checks", {true, {}, 0, 0}}, {"ignores", {}}};
  std::vector<participant> holders;
};

void After(orders_world& w, duration delay, std::function<void()> fn) {
  w.events.emplace(w.now + delay, std::move(fn));
}

void InHolder(orders_world& w, int index, duration delay, std::function<void()> fn) {
  After(w, delay, [&w, index, fn = std::move(fn)] {
    participant& p = w.holders[index];
    p.frozen ? p.held.push_back(fn) : fn();
  });
}

command_outcome Execute(endpoint& e, const command& c) {
  if (c.epoch < e.epoch && e.checks_token) return command_outcome::kStaleToken;
  e.stale += c.epoch < e.epoch ? 1 : 0;
  e.epoch = std::max(e.epoch, c.epoch);
  if (c.kind == command_kind::kLoadModel) e.config.model = c.argument;
  if (c.kind == command_kind::kLoadVersion) e.config.version = c.argument;
  if (c.kind == command_kind::kLoadAdapter) e.config.adapters = {c.argument};
  if (c.kind == command_kind::kChangeRole) e.config.role = c.argument;
  return command_outcome::kDone;
}

void Perform(orders_world& w, int index, order_effects out);

void SendTable(orders_world& w, int index, const table_call& call) {
  const uint64_t fate = w.lossy ? UniformBelow(w.rng, 5) : 0;
  if (fate == 1) return;
  const auto delay = milliseconds(fate == 2 ? UniformBelow(w.rng, 4000) : 1);
  After(w, delay, [&w, index, call, fate] {
    const auto* tx = std::get_if<table::transaction>(&call.request);
    const table_outcome outcome =
        tx != nullptr ? table_outcome(Commit(w.table, *tx))
                      : table_outcome(Read(w.table, std::get<table::read_request>(call.request)));
    if (fate == 3) return;
    InHolder(w, index, milliseconds(1), [&w, index, id = call.id, outcome] {
      Perform(w, index, OnTableReply(w.holders[index].group, id, outcome, w.now));
    });
  });
}

// The write follows the check after a pause that the margin covers; a frozen holder writes too.
void SendCommand(orders_world& w, int index, const command& c) {
  InHolder(w, index, milliseconds(UniformBelow(w.rng, 1500)), [&w, index, c] {
    order_group& group = w.holders[index].group;
    const auto report = [&w, index, c](command_outcome outcome) {
      Perform(w, index, OnCommandOutcome(w.holders[index].group, c, outcome, w.now));
    };
    if (!MaySend(group, c, w.now)) return report(command_outcome::kFailed);
    const duration pause = milliseconds(UniformBelow(w.rng, 350));
    const duration transit = milliseconds(UniformBelow(w.rng, 1990));
    const bool lost_reply = UniformBelow(w.rng, 4) == 0;
    After(w, pause + transit, [&w, index, c, report, lost_reply] {
      const command_outcome outcome = Execute(w.endpoints[c.endpoint], c);
      InHolder(w, index, milliseconds(1), [report, outcome, lost_reply] {
        report(lost_reply ? command_outcome::kUnknown : outcome);
      });
    });
  });
}

void Perform(orders_world& w, int index, order_effects out) {
  for (const order_effect& effect : out) {
    if (const auto* call = std::get_if<table_call>(&effect)) {
      SendTable(w, index, *call);
    } else if (const auto* c = std::get_if<command>(&effect)) {
      SendCommand(w, index, *c);
    } else {
      InHolder(w, index, milliseconds(2), [&w, index, id = std::get<state_query>(effect).endpoint] {
        Perform(w, index,
                OnEndpointState(w.holders[index].group, id, w.endpoints[id].config, w.now));
      });
    }
  }
}

time_point NextTime(const orders_world& w) {
  time_point next = w.events.empty() ? kNever : w.events.begin()->first;
  for (const participant& p : w.holders) {
    if (!p.frozen) next = std::min(next, NextDeadline(p.group));
  }
  return next;
}

void Run(orders_world& w, duration time) {
  const time_point end = w.now + time;
  for (time_point next = NextTime(w); next <= end; next = NextTime(w)) {
    w.now = std::max(w.now, next);
    while (!w.events.empty() && w.events.begin()->first <= w.now) {
      w.events.extract(w.events.begin()).mapped()();
    }
    for (int i = 0; i < kHolders; ++i) {
      participant& p = w.holders[i];
      if (p.frozen || NextDeadline(p.group) > w.now) continue;
      Perform(w, i, OnTick(p.group, w.now));
      if (NextDeadline(p.group) <= w.now) FAIL("deadline in the past after OnTick");
    }
  }
  w.now = end;
}

void Thaw(orders_world& w, int index) {
  participant& p = w.holders[index];
  p.frozen = false;
  for (const auto& fn : std::exchange(p.held, {})) fn();
}

void Want(orders_world& w, const std::string& version) {
  const endpoint_config config{"m", version, {"a" + version}, "prefill"};
  const wanted_state wanted{{"checks", config}, {"ignores", config}};
  Commit(w.table, {{}, {{"wanted/g", EncodeWanted(wanted)}}});
}

void Disturb(orders_world& w, int number) {
  const int index = static_cast<int>(UniformBelow(w.rng, kHolders));
  const uint64_t choice = UniformBelow(w.rng, 6);
  if (choice < 2) w.holders[index].frozen = true;
  if (choice == 2) Thaw(w, index);
  if (choice == 3) w.lossy = UniformBelow(w.rng, 2) == 0;
  if (choice > 3) Want(w, std::to_string(number));
  Run(w, milliseconds(UniformBelow(w.rng, 4000)));
}

std::unique_ptr<orders_world> MakeWorld(uint64_t seed, const faults& broken,
                                        duration wait = order_settings().max_transit) {
  auto w = std::make_unique<orders_world>();
  w->rng.seed(seed);
  w->holders.resize(kHolders);
  const std::vector<endpoint_info> infos = {{"checks", true}, {"ignores", false}};
  for (int i = 0; i < kHolders; ++i) {
    order_settings settings;
    settings.group = "g";
    settings.max_transit = wait;
    settings.self = "d" + std::to_string(i) + "#1";
    w->holders[i].group = MakeOrderGroup(settings, broken);
    SetEndpoints(w->holders[i].group, infos, w->now);
  }
  return w;
}

struct run_outcome {
  int stale = 0;         // stale commands that the endpoint without token check executed
  bool settled = false;  // both endpoints reached the wanted state
};

run_outcome RunRandom(uint64_t seed, int steps, const faults& broken = {}) {
  const auto w = MakeWorld(seed, broken);
  Want(*w, "start");
  for (int i = 0; i < steps; ++i) Disturb(*w, i);
  w->lossy = false;
  for (int i = 0; i < kHolders; ++i) Thaw(*w, i);
  Want(*w, "end");
  Run(*w, seconds(60));
  const endpoint_config wanted{"m", "end", {"aend"}, "prefill"};
  const bool settled =
      w->endpoints["checks"].config == wanted && w->endpoints["ignores"].config == wanted;
  return {w->endpoints["ignores"].stale, settled};
}

int CountStale(const faults& broken) {
  int stale = 0;
  for (int seed = 0; seed < 60; ++seed) stale += RunRandom(seed, 30, broken).stale;
  return stale;
}

// A holder stops while its command is in transit, and the next one gets the lease at once.
int CountStaleAfterRelease(duration wait) {
  int stale = 0;
  for (int seed = 0; seed < 60; ++seed) {
    const auto w = MakeWorld(seed, {}, wait);
    w->holders[1].frozen = w->holders[2].frozen = true;
    Run(*w, seconds(5));
    Want(*w, "old");
    Run(*w, seconds(1) + milliseconds(UniformBelow(w->rng, 2000)));
    Perform(*w, 0, Release(w->holders[0].group, w->now));
    Want(*w, "new");
    Thaw(*w, 1);
    Run(*w, seconds(20));
    stale += w->endpoints["ignores"].stale;
  }
  return stale;
}

TEST_CASE("no endpoint obeys an older holder after a newer one; guards margin, wait and token") {
  CHECK(rc::check([] {
    const auto seed = *rc::gen::arbitrary<uint64_t>();
    const int steps = *rc::gen::resize(100, rc::gen::inRange(1, 40));
    const run_outcome outcome = RunRandom(seed, steps);
    RC_ASSERT(outcome.stale == 0);
    RC_ASSERT(outcome.settled);
  }));
}

TEST_CASE("without margin or wait a stale command is obeyed; guards against a blind property") {
  faults no_margin;
  no_margin.ignore_margin = true;
  CHECK(CountStale({}) == 0);
  CHECK(CountStale(no_margin) > 0);
  CHECK(CountStaleAfterRelease(order_settings().max_transit) == 0);
  CHECK(CountStaleAfterRelease(duration::zero()) > 0);
}

TEST_CASE("a released lease is taken over at once, and the old holder no longer acts") {
  const auto w = MakeWorld(1, {});
  w->holders[1].frozen = w->holders[2].frozen = true;
  Run(*w, seconds(1));
  const command stale{1, "checks", command_kind::kLoadModel, "m", 1};
  CHECK(MaySend(w->holders[0].group, stale, w->now));
  Perform(*w, 0, Release(w->holders[0].group, w->now));
  CHECK_FALSE(MaySend(w->holders[0].group, stale, w->now));
  Thaw(*w, 1);
  Run(*w, milliseconds(800));
  CHECK(MayAct(w->holders[1].group.lease, w->now));
  CHECK(w->holders[1].group.lease.row.epoch == 2);
}

}  // namespace
}  // namespace balsambay::lease
