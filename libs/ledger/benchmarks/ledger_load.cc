// Benchmark of at-most-once records in virtual time: table writes and added latency as a function
// of the rate of non-repeatable requests, CPU time per claim (real time spent in the library),
// memory per record, and the time for which loading a shard blocks the event loop. The simulated
// table is one queue with a fixed number of transactions per second. Prints JSON lines.
#include <malloc.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>

#include "base/random.h"
#include "ledger/ledger.h"
#include "table/table.h"

namespace balsambay::ledger {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using nanoseconds = std::chrono::nanoseconds;

constexpr duration kTransactionTime = milliseconds(2);  // 500 writes/s
constexpr duration kNetworkDelay = milliseconds(1);     // one way
constexpr duration kRunTime = milliseconds(100);
constexpr duration kMeasuredTime = seconds(5);
constexpr size_t kResultBytes = 200;

struct bench {
  uint32_t shards = 8;
  time_point now{seconds(1000)};
  std::multimap<time_point, std::function<void()>> events;
  table::memory_table table;  // shard rows only: records would count as memory of the owners
  time_point table_free;
  std::vector<std::string> ids;
  std::vector<shard_set_ptr> owners;
  std::vector<size_t> owner_of;                   // by shard
  std::map<std::string, time_point> open_claims;  // claims by request id
  std::vector<double> added_ms;
  uint64_t refused = 0;
  uint64_t claims = 0;
  nanoseconds cpu{};
  random_generator rng{1};
};

// Runs a library call and adds its real time to `cpu`.
template <class Call>
effects RunTimed(bench& b, Call call) {
  const auto start = std::chrono::steady_clock::now();
  effects effects = call();
  b.cpu += std::chrono::steady_clock::now() - start;
  return effects;
}

void ScheduleAt(bench& b, time_point when, std::function<void()> fn) {
  b.events.emplace(when, std::move(fn));
}

lease::table_outcome Execute(bench& b, const lease::table_call& call) {
  const auto* tx = std::get_if<table::transaction>(&call.request);
  if (tx == nullptr) return Read(b.table, std::get<table::read_request>(call.request));
  table::transaction shards{tx->conditions, {}};
  std::ranges::copy_if(tx->writes, std::back_inserter(shards.writes),
                       [](const table::write& write) { return write.key.starts_with("shard/"); });
  return Commit(b.table, shards);
}

void Handle(bench& b, size_t owner, effects effects);

void CallTable(bench& b, size_t owner, lease::table_call call) {
  time_point done = b.now + kNetworkDelay;
  if (std::holds_alternative<table::transaction>(call.request)) {
    b.table_free = std::max(b.table_free, done) + kTransactionTime;
    done = b.table_free;
  }
  ScheduleAt(b, done, [&b, owner, call = std::move(call)] {
    const lease::table_outcome outcome = Execute(b, call);
    ScheduleAt(b, b.now + kNetworkDelay, [&b, owner, id = call.id, outcome] {
      Handle(b, owner,
             RunTimed(b, [&] { return OnTableReply(*b.owners[owner], id, outcome, b.now); }));
    });
  });
}

claim MakeClaim(uint64_t number) {
  const std::string id = "request-" + std::to_string(number);
  return {"workspace-1", "key-" + id + "-0123456789", std::string(64, 'a'), id, "entry-1#1"};
}

size_t OwnerOf(const bench& b, const claim& claim) {
  return b.owner_of[ShardForKey(claim.workspace, claim.key, b.shards)];
}

void FinishLater(bench& b, uint64_t number) {
  ScheduleAt(b, b.now + kRunTime, [&b, number] {
    const claim claim = MakeClaim(number);
    const size_t owner = OwnerOf(b, claim);
    const std::string result(kResultBytes, 'r');
    Handle(b, owner, RunTimed(b, [&] {
             return Finish(*b.owners[owner], claim, run_outcome::kRan, result, b.now);
           }));
  });
}

void OnReply(bench& b, const reply& reply) {
  const auto found = b.open_claims.find(reply.request_id);
  if (found == b.open_claims.end()) return;
  if (reply.kind == reply_kind::kGrant) {
    b.added_ms.push_back(static_cast<double>((b.now - found->second).count()) / 1000.0);
    FinishLater(b, std::stoull(reply.request_id.substr(8)));
  } else {
    ++b.refused;
  }
  b.open_claims.erase(found);
}

void Handle(bench& b, size_t owner, effects effects) {
  for (effect& effect : effects) {
    if (auto* call = std::get_if<lease::table_call>(&effect)) CallTable(b, owner, std::move(*call));
    if (const auto* found = std::get_if<reply>(&effect)) OnReply(b, *found);
  }
}

void Run(bench& b, duration time) {
  const time_point end = b.now + time;
  while (true) {
    time_point next = b.events.empty() ? kNever : b.events.begin()->first;
    for (const auto& owner : b.owners) next = std::min(next, NextDeadline(*owner));
    if (next > end) break;
    b.now = std::max(b.now, next);
    while (!b.events.empty() && b.events.begin()->first <= b.now) {
      b.events.extract(b.events.begin()).mapped()();
    }
    for (size_t i = 0; i < b.owners.size(); ++i) {
      if (NextDeadline(*b.owners[i]) > b.now) continue;
      const int64_t wall_ms = b.now.time_since_epoch() / milliseconds(1);
      Handle(b, i, RunTimed(b, [&] { return OnTick(*b.owners[i], b.now, wall_ms); }));
    }
  }
  b.now = end;
}

void Setup(bench& b, size_t owners, duration batch) {
  settings config;
  b.shards = owners > 4 ? 80 : 8;  // present and maximum size of a deployment
  config.shard_count = b.shards;
  config.batch_interval = batch;
  for (size_t i = 0; i < owners; ++i) b.ids.push_back("d" + std::to_string(i) + "#1");
  for (const std::string& id : b.ids) {
    config.self = id;
    b.owners.push_back(MakeShardSet(config));
    SetLiveDaemons(*b.owners.back(), b.ids, b.now);
  }
  for (shard_id shard = 0; shard < b.shards; ++shard) {
    const auto it = std::ranges::find(b.ids, PreferredOwner(shard, b.ids));
    b.owner_of.push_back(static_cast<size_t>(it - b.ids.begin()));
  }
  Run(b, seconds(12));  // until the preferred owners hold all shards
}

void ScheduleClaims(bench& b, double rate) {
  const double mean_us = 1e6 / rate;
  const auto count =
      static_cast<uint64_t>(rate * std::chrono::duration<double>(kMeasuredTime).count());
  double offset_us = 0;
  for (uint64_t i = 0; i < count; ++i) {
    offset_us += -std::log(1.0 - UniformUnit(b.rng)) * mean_us;
    ScheduleAt(b, b.now + duration(static_cast<int64_t>(offset_us)), [&b, i] {
      const claim claim = MakeClaim(i);
      const size_t owner = OwnerOf(b, claim);
      b.open_claims[claim.request_id] = b.now;
      ++b.claims;
      Handle(b, owner, RunTimed(b, [&] { return Claim(*b.owners[owner], claim, b.now); }));
    });
  }
}

double Percentile(std::vector<double>& values, double fraction) {
  if (values.empty()) return -1;
  std::ranges::sort(values);
  return values[static_cast<size_t>(fraction * static_cast<double>(values.size() - 1))];
}

uint64_t Transactions(const bench& b) {
  uint64_t sum = 0;
  for (const auto& owner : b.owners) sum += Counters(*owner).transactions;
  return sum;
}

void MeasureLoad(size_t owners, double rate, duration batch) {
  bench b;
  Setup(b, owners, batch);
  ScheduleClaims(b, rate);
  b.cpu = {};
  const uint64_t before = Transactions(b);
  Run(b, kMeasuredTime);
  const double writes = static_cast<double>(Transactions(b) - before) /
                        std::chrono::duration<double>(kMeasuredTime).count();
  Run(b, seconds(2));
  const nlohmann::json line = {
      {"bench", "ledger_load"},
      {"owners", owners},
      {"requests_per_s", rate},
      {"batch_ms", batch / milliseconds(1)},
      {"table_writes_per_s", writes},
      {"added_ms_p50", Percentile(b.added_ms, 0.5)},
      {"added_ms_p99", Percentile(b.added_ms, 0.99)},
      {"refused_fraction", static_cast<double>(b.refused) / static_cast<double>(b.claims)},
      {"cpu_us_per_request",
       static_cast<double>(b.cpu.count()) / 1e3 / static_cast<double>(b.claims)}};
  printf("%s\n", line.dump().c_str());
}

// Bytes allocated with malloc, including blocks allocated with mmap.
size_t AllocatedBytes() {
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

void MeasureMemory(size_t owners, uint64_t records) {
  bench b;
  Setup(b, owners, milliseconds(50));
  const size_t before = AllocatedBytes();
  ScheduleClaims(b, static_cast<double>(records) / 5);
  Run(b, seconds(10));
  b.events.clear();
  b.open_claims.clear();
  b.added_ms = {};
  size_t count = 0;
  for (const auto& owner : b.owners) count += RecordCount(*owner);
  const nlohmann::json line = {
      {"bench", "ledger_memory"},
      {"owners", owners},
      {"records", count},
      {"bytes_per_record", static_cast<double>(AllocatedBytes() - before) /
                               static_cast<double>(std::max<size_t>(count, 1))}};
  printf("%s\n", line.dump().c_str());
}

// Measures the longest time for which the takeover of a shard with `records` records blocks the
// event loop.
void MeasureTakeover(uint64_t records) {
  settings config;
  config.self = "d0#1";
  config.shard_count = 1;
  table::memory_table table;
  table::transaction rows;
  const std::string value =
      R"({"body":12345678901234567890,"claimant":"entry-1#1","grant":12345678901234567890,)"
      R"("result":true,"started_ms":1796000000000,"state":"ran"})";
  for (uint64_t i = 0; i < records; ++i) {
    rows.writes.push_back({"record/0/workspace-1/" + MakeClaim(i).key, value});
  }
  Commit(table, rows);
  const shard_set_ptr set = MakeShardSet(config);
  nanoseconds longest{};
  time_point now{seconds(1000)};
  while (ServedShards(*set).empty()) {
    now = std::max(now, NextDeadline(*set));
    const auto tick_start = std::chrono::steady_clock::now();
    effects pending = OnTick(*set, now, 0);
    longest = std::max<nanoseconds>(longest, std::chrono::steady_clock::now() - tick_start);
    while (!pending.empty()) {
      const auto call = std::get<lease::table_call>(pending.back());
      pending.pop_back();
      const auto* tx = std::get_if<table::transaction>(&call.request);
      auto outcome =
          tx != nullptr
              ? lease::table_outcome(Commit(table, *tx))
              : lease::table_outcome(Read(table, std::get<table::read_request>(call.request)));
      const auto start = std::chrono::steady_clock::now();
      effects new_effects = OnTableReply(*set, call.id, std::move(outcome), now);
      longest = std::max<nanoseconds>(longest, std::chrono::steady_clock::now() - start);
      std::ranges::move(new_effects, std::back_inserter(pending));
    }
  }
  const nlohmann::json line = {{"bench", "ledger_takeover"},
                               {"records", RecordCount(*set)},
                               {"longest_call_ms", static_cast<double>(longest.count()) / 1e6}};
  printf("%s\n", line.dump().c_str());
}

}  // namespace
}  // namespace balsambay::ledger

int main() {
  using std::chrono::milliseconds;
  balsambay::ledger::MeasureTakeover(36'000);
  for (const size_t owners : {1, 4, 20}) {
    for (const int batch_ms : {5, 50, 250}) {
      for (const double rate : {20.0, 200.0, 1600.0}) {
        balsambay::ledger::MeasureLoad(owners, rate, milliseconds(batch_ms));
      }
    }
    balsambay::ledger::MeasureMemory(owners, 50'000);
  }
}
