// Test world: several daemons with their claimants, one memory table and a network, all in virtual
// time. It runs operations from random tests, directed scenarios and recorded traces, and collects
// violations of the guarantees.
#pragma once

#include <functional>
#include <map>
#include <nlohmann/json.hpp>

#include "base/random.h"
#include "ledger/claimant.h"
#include "table/table.h"

namespace balsambay::ledger::testing {

struct daemon {
  std::string id;
  shard_set_ptr set;
  bool frozen = false;
  bool crashed = false;
  bool listed = true;                       // in the live list; follows `frozen` and `crashed` late
  std::vector<std::function<void()>> held;  // events that arrived while frozen
  std::map<std::string, time_point> unanswered;  // claims by request id, since when
  int64_t wall_skew_ms = 0;
};

struct request {
  submission sub;
  int daemon = 0;
  int run_ms = 0;    // 0: the endpoint proves that it did not start; -1: the run never ends
  std::string told;  // what the caller was told; empty while open
  std::string result;
  int sends = 0;
  bool recorded = false;
};

struct dispatch {
  std::string request;
  time_point at;
};

// The result of a run whose end record is known to be durable since `at`.
struct stored_result {
  std::string value;
  time_point at;
  time_point expires;  // the record exists at least until then
};

struct world {
  settings config;
  faults broken;
  random_generator rng;
  time_point now{std::chrono::seconds(1000)};
  table::memory_table table;
  std::string table_mode = "ok";  // ok, down, lose (replies), late, slow, flaky
  duration list_delay = std::chrono::milliseconds(1500);  // until live lists show a change
  duration patience = std::chrono::milliseconds(1000);    // of a claimant that waits for its grant
  bool ignore_grant_expiry = false;  // fault: claimants do not read their clock before a dispatch
  bool split = false;                // daemons reach only daemons of the same parity
  std::vector<daemon> daemons;
  std::multimap<time_point, std::function<void()>> events;
  std::map<std::string, request> requests;
  std::map<std::string, std::vector<dispatch>> dispatches;  // by key; only those that ran
  std::map<std::string, stored_result> results;             // by key
  std::vector<std::string> violations;
  nlohmann::json log = nlohmann::json::array();  // operations so far, in the form of a trace
};

settings TestSettings();
std::unique_ptr<world> MakeWorld(int daemons, uint64_t seed,
                                 const settings& config = TestSettings(),
                                 const faults& broken = {});

// Operations {"op": ...}: run{ms}, claim{daemon,request,key,body,run_ms}, freeze|thaw|crash|start|
// stop{daemon}, table{mode}, split{on}, expect{request,told}, expect_runs{key,runs}. Instead of a
// daemon, "at":"owner" or "at":"other" names the daemon that serves the op's key, or the next one.
void Apply(world& world, nlohmann::json op);

void Run(world& world, duration time);
void Heal(world& world);  // ends all disturbances; crashed daemons stay down
int Owner(const world& world, const std::string& key);  // serving daemon, or -1

}  // namespace balsambay::ledger::testing
