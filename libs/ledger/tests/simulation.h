// Simulation in virtual time of several daemons with their claimants, one table in memory and a
// network. It carries out operations from random tests, directed tests and recorded traces, and
// collects violations of the guarantees.
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
  bool frozen = false;  // the process is paused
  bool crashed = false;
  bool listed = true;  // in the live lists; updated `list_delay` after a change
  std::vector<std::function<void()>> deferred_events;  // arrived while frozen; run by a thaw
  std::map<std::string, time_point> open_claims;       // arrival of claims without a reply
  int64_t wall_skew_ms = 0;
};

// A request of a caller to daemon `daemon`, which is its claimant.
struct request {
  submission sub;
  int daemon = 0;
  int run_ms = 0;  // 0: the endpoint proves that it did not start; -1: the run never ends
  std::string reported_outcome;  // to the caller; empty: none yet
  std::string result;
  int sends = 0;          // calls of DriveSubmission()
  bool recorded = false;  // the abandon or the end of the run is durable
};

// A dispatch that the endpoint executed.
struct dispatch {
  std::string request;
  time_point at;
};

// The result of a run. Its record is known to be durable since `at`.
struct stored_result {
  std::string value;
  time_point at;
  time_point expires;  // the record exists at least until this time
};

struct simulation {
  settings config;
  faults test_faults;
  random_generator rng;
  time_point now{std::chrono::seconds(1000)};
  table::memory_table table;
  std::string table_mode = "ok";  // ok, down, lose (replies), late, slow, flaky
  duration list_delay = std::chrono::milliseconds(1500);  // until live lists show a change
  duration grant_timeout =
      std::chrono::milliseconds(1000);  // until a claimant without a grant gives up
  bool ignore_grant_expiry = false;  // fault: claimants do not check the expiry before a dispatch
  bool split = false;  // only daemons with indices of the same parity can reach each other
  std::vector<daemon> daemons;
  std::multimap<time_point, std::function<void()>> events;
  std::map<std::string, request> requests;
  std::map<std::string, std::vector<dispatch>> dispatches;  // by key
  std::map<std::string, stored_result> results;             // by key
  std::vector<std::string> violations;
  nlohmann::json log = nlohmann::json::array();  // operations so far, in the format of a trace
};

// Settings with short times, so that tests reach the expiry of grants and records.
settings TestSettings();
std::unique_ptr<simulation> MakeSimulation(int daemons, uint64_t seed,
                                           const settings& config = TestSettings(),
                                           const faults& test_faults = {});

// Carries out one operation {"op": ...}: run{ms}, claim{daemon,request,key,body,run_ms},
// freeze|thaw|crash|start|stop{daemon}, table{mode}, split{on}, expect{request,told},
// expect_runs{key,runs}. `told` is the outcome that the caller must have received. Instead of
// "daemon", "at":"owner" selects the daemon that serves the key of the operation, and "at":"other"
// the daemon after it.
void Apply(simulation& sim, nlohmann::json op);

// Advances the virtual time; stops early after more than 20 violations.
void Run(simulation& sim, duration time);
void Heal(simulation& sim);  // ends all faults; crashed daemons stay down
int ServingDaemon(const simulation& sim, const std::string& key);  // index, or -1

}  // namespace balsambay::ledger::testing
