// Implementation of the simulation.
#include "simulation.h"

#include <algorithm>

namespace balsambay::ledger::testing {
namespace {

using std::chrono::milliseconds;
constexpr duration kMaxClockSkew = milliseconds(1000);  // between the wall clocks of two daemons

void ScheduleAfter(simulation& sim, duration delay, std::function<void()> fn) {
  sim.events.emplace(sim.now + delay, std::move(fn));
}

// Runs `fn` in daemon `index` after `delay`. A frozen daemon runs it when it thaws; a daemon that
// has crashed or restarted in the meantime does not run it.
void ScheduleInDaemon(simulation& sim, int index, duration delay, std::function<void()> fn) {
  ScheduleAfter(sim, delay, [&sim, index, fn = std::move(fn), id = sim.daemons[index].id] {
    daemon& d = sim.daemons[index];
    if (d.crashed || d.id != id) return;
    d.frozen ? d.deferred_events.push_back(fn) : fn();
  });
}

int IndexOf(const simulation& sim, std::string_view id) {
  const auto it = std::ranges::find(sim.daemons, id, &daemon::id);
  return it == sim.daemons.end() ? -1 : static_cast<int>(it - sim.daemons.begin());
}

bool CanReach(const simulation& sim, int a, int b) { return !sim.split || a % 2 == b % 2; }

std::vector<std::string> VisibleLiveDaemons(const simulation& sim, int viewer) {
  std::vector<std::string> ids;
  for (int i = 0; i < static_cast<int>(sim.daemons.size()); ++i) {
    if (sim.daemons[i].listed && CanReach(sim, viewer, i)) ids.push_back(sim.daemons[i].id);
  }
  return ids;
}

void UpdateLiveLists(simulation& sim) {
  for (int i = 0; i < static_cast<int>(sim.daemons.size()); ++i) {
    if (!sim.daemons[i].crashed)
      SetLiveDaemons(*sim.daemons[i].set, VisibleLiveDaemons(sim, i), sim.now);
  }
}

void ScheduleLiveListUpdate(simulation& sim, int index) {
  ScheduleAfter(sim, sim.list_delay, [&sim, index] {
    sim.daemons[index].listed = !sim.daemons[index].frozen && !sim.daemons[index].crashed;
    UpdateLiveLists(sim);
  });
}

lease::table_outcome ExecuteCall(simulation& sim, const lease::table_call& call) {
  if (const auto* tx = std::get_if<table::transaction>(&call.request)) {
    return table::Commit(sim.table, *tx);
  }
  return table::Read(sim.table, std::get<table::read_request>(call.request));
}

// Carries out effects of daemon `index`.
void HandleEffects(simulation& sim, int index, effects effects);

void DeliverTableReply(simulation& sim, int index, uint64_t id,
                       const lease::table_outcome& outcome) {
  ScheduleInDaemon(sim, index, milliseconds(1), [&sim, index, id, outcome] {
    HandleEffects(sim, index, OnTableReply(*sim.daemons[index].set, id, outcome, sim.now));
  });
}

// Executes a table call as `table_mode` specifies.
void CallTable(simulation& sim, int index, const lease::table_call& call) {
  std::string mode = sim.table_mode;
  if (mode == "flaky") {
    mode = std::vector<std::string>{
        "ok", "ok", "ok", "down", "lose", "late"}[UniformBelow(sim.rng, 6)];
  }
  if (mode == "down") {
    if (UniformBelow(sim.rng, 2) == 0)
      DeliverTableReply(sim, index, call.id, lease::unknown_outcome{});
    return;
  }
  const auto delay = milliseconds(mode == "late"   ? UniformBelow(sim.rng, 5000)
                                  : mode == "slow" ? 350
                                                   : 1);
  ScheduleAfter(sim, delay, [&sim, index, call, mode] {
    const lease::table_outcome outcome = ExecuteCall(sim, call);
    if (mode != "lose") DeliverTableReply(sim, index, call.id, outcome);
  });
}

// Runs `fn` in daemon `target` after the network delay; the message is lost if `target` is -1 or
// cannot be reached.
void SendToDaemon(simulation& sim, int source, int target, std::function<void()> fn) {
  if (target < 0 || !CanReach(sim, source, target)) return;
  ScheduleInDaemon(sim, target,
                   source == target ? duration(0) : milliseconds(1 + UniformBelow(sim.rng, 20)),
                   std::move(fn));
}

void SendClaim(simulation& sim, const std::string& id, int target) {
  SendToDaemon(sim, sim.requests[id].daemon, target, [&sim, id, target] {
    daemon& d = sim.daemons[target];
    d.open_claims.emplace(id, sim.now);
    HandleEffects(sim, target, Claim(*d.set, sim.requests[id].sub.request, sim.now));
  });
}

void SendAbandon(simulation& sim, const std::string& id, int target) {
  SendToDaemon(sim, sim.requests[id].daemon, target, [&sim, id, target] {
    sim.daemons[target].open_claims.erase(id);
    HandleEffects(sim, target,
                  Abandon(*sim.daemons[target].set, sim.requests[id].sub.request, sim.now));
  });
}

void SendFinish(simulation& sim, const std::string& id, int target) {
  SendToDaemon(sim, sim.requests[id].daemon, target, [&sim, id, target] {
    const request& r = sim.requests[id];
    HandleEffects(
        sim, target,
        Finish(*sim.daemons[target].set, r.sub.request, run_outcome::kRan, r.result, sim.now));
  });
}

void SendPendingMessage(simulation& sim, const std::string& id, int target) {
  const request& r = sim.requests[id];
  if (r.sub.state == submission_state::kWaiting) SendClaim(sim, id, target);
  if (r.sub.state == submission_state::kGivenUp && !r.recorded) SendAbandon(sim, id, target);
  if (r.sub.state == submission_state::kEnded && !r.recorded) SendFinish(sim, id, target);
}

void ReportNotRun(simulation& sim, const std::string& id) {
  request& r = sim.requests[id];
  if (GiveUp(r.sub)) r.reported_outcome = "not_run";
}

// Sends the message that the state of the submission requires to the preferred owner, and repeats
// this every 200 ms, up to 60 times. Reports "not run" after the grant timeout.
void DriveSubmission(simulation& sim, const std::string& id) {
  request& r = sim.requests[id];
  if (r.sub.state == submission_state::kWaiting &&
      sim.now >= r.sub.first_sent + sim.grant_timeout) {
    ReportNotRun(sim, id);
  }
  const std::string owner = PreferredOwner(
      ShardForKey(r.sub.request.workspace, r.sub.request.key, sim.config.shard_count),
      VisibleLiveDaemons(sim, r.daemon));
  SendPendingMessage(sim, id, IndexOf(sim, owner));
  if (++r.sends < 60)
    ScheduleInDaemon(sim, r.daemon, milliseconds(200), [&sim, id] { DriveSubmission(sim, id); });
}

void EndRun(simulation& sim, const std::string& id) {
  request& r = sim.requests[id];
  if (EndSubmission(r.sub)) r.reported_outcome = "ran";
  DriveSubmission(sim, id);
}

void DispatchIfGranted(simulation& sim, const std::string& id) {
  request& r = sim.requests[id];
  if (r.sub.state != submission_state::kGranted) return;
  if (!TryDispatch(r.sub, sim.ignore_grant_expiry ? r.sub.first_sent : sim.now))
    return ReportNotRun(sim, id);
  if (r.run_ms == 0) {
    OnNotStarted(r.sub);
    return ReportNotRun(sim, id);
  }
  sim.dispatches[r.sub.request.key].push_back({id, sim.now});
  if (r.run_ms > 0)
    ScheduleInDaemon(sim, r.daemon, milliseconds(r.run_ms), [&sim, id] { EndRun(sim, id); });
}

// Checks that a repeat with the same body gets the stored result if it was sent after the result
// became durable and is answered before the record can have expired.
void CheckStoredResult(simulation& sim, const request& r, const reply& reply) {
  const auto stored = sim.results.find(r.sub.request.key);
  if (stored == sim.results.end() || r.sub.first_sent <= stored->second.at) return;
  if (sim.now >= stored->second.expires) return;
  if (reply.kind == reply_kind::kKeyConflict) return;
  if (reply.kind == reply_kind::kRan && reply.result == stored->second.value) return;
  sim.violations.push_back("the result is not returned to " + r.sub.request.request_id);
}

std::string DuplicateOutcome(const reply& reply) {
  switch (reply.kind) {
    case reply_kind::kRan:
      return "duplicate_ran:" + reply.result;
    case reply_kind::kInProgress:
      return "duplicate_in_progress";
    case reply_kind::kUnknown:
      return "duplicate_unknown";
    default:
      return "key_conflict";
  }
}

void OnPeerReply(simulation& sim, const std::string& id, const reply& reply) {
  request& r = sim.requests[id];
  if (reply.kind == reply_kind::kRecorded) {
    r.recorded = true;
    if (r.sub.state == submission_state::kEnded)
      sim.results[r.sub.request.key] = {r.result, sim.now,
                                        r.sub.first_sent + sim.config.retention - kMaxClockSkew};
    return;
  }
  if (reply.kind == reply_kind::kRefused) {
    if (!reply.owner.empty()) SendPendingMessage(sim, id, IndexOf(sim, reply.owner));
    return;
  }
  const bool was_waiting = r.sub.state == submission_state::kWaiting;
  if (OnReply(r.sub, reply)) r.recorded = false;  // DriveSubmission() sends the abandon again
  CheckStoredResult(sim, r, reply);
  if (was_waiting && r.sub.state == submission_state::kAnswered)
    r.reported_outcome = DuplicateOutcome(reply);
  DispatchIfGranted(sim, id);
}

void HandleEffects(simulation& sim, int index, effects effects) {
  for (effect& effect : effects) {
    if (const auto* call = std::get_if<lease::table_call>(&effect)) {
      CallTable(sim, index, *call);
    } else if (const auto* found_reply = std::get_if<reply>(&effect)) {
      sim.daemons[index].open_claims.erase(found_reply->request_id);
      SendToDaemon(sim, index, IndexOf(sim, found_reply->claimant),
                   [&sim, reply = *found_reply] { OnPeerReply(sim, reply.request_id, reply); });
    } else {
      const auto& handover = std::get<handover_request>(effect);
      const int target = IndexOf(sim, handover.owner);
      SendToDaemon(sim, index, target, [&sim, target, handover, source = sim.daemons[index].id] {
        HandleEffects(sim, target,
                      OnHandoverRequest(*sim.daemons[target].set, handover.shard, source, sim.now));
      });
    }
  }
}

void CheckReplyBound(simulation& sim, const daemon& d) {
  for (const auto& [id, since] : d.open_claims) {
    if (sim.now <= since + sim.config.reply_bound) continue;
    sim.violations.push_back("no reply to " + id + " within the bound");
  }
}

void Tick(simulation& sim, int index) {
  daemon& d = sim.daemons[index];
  const int64_t wall_ms =
      std::chrono::duration_cast<milliseconds>(sim.now.time_since_epoch()).count();
  HandleEffects(sim, index, OnTick(*d.set, sim.now, wall_ms + d.wall_skew_ms));
  CheckReplyBound(sim, d);
}

time_point NextTime(const simulation& sim) {
  time_point next = sim.events.empty() ? kNever : sim.events.begin()->first;
  for (const daemon& d : sim.daemons) {
    if (!d.frozen && !d.crashed) next = std::min(next, NextDeadline(*d.set));
  }
  return next;
}

void RunDueEvents(simulation& sim) {
  while (!sim.events.empty() && sim.events.begin()->first <= sim.now) {
    const auto node = sim.events.extract(sim.events.begin());
    node.mapped()();
  }
  for (int i = 0; i < static_cast<int>(sim.daemons.size()); ++i) {
    const daemon& d = sim.daemons[i];
    if (d.frozen || d.crashed || NextDeadline(*d.set) > sim.now) continue;
    Tick(sim, i);
    if (NextDeadline(*d.set) <= sim.now)
      sim.violations.push_back("deadline in the past after OnTick");
  }
}

void Start(simulation& sim, int index, int incarnation) {
  daemon& d = sim.daemons[index];
  d = daemon{};
  d.id = "d" + std::to_string(index) + "#" + std::to_string(incarnation);
  d.wall_skew_ms =
      static_cast<int64_t>(UniformBelow(sim.rng, kMaxClockSkew / milliseconds(1))) - 500;
  settings config = sim.config;
  config.self = d.id;
  d.set = MakeShardSet(config, sim.test_faults);
  UpdateLiveLists(sim);
}

void Thaw(simulation& sim, int index) {
  daemon& d = sim.daemons[index];
  if (!std::exchange(d.frozen, false)) return;
  for (auto& [id, since] : d.open_claims) since = sim.now;
  for (const auto& fn : std::exchange(d.deferred_events, {})) fn();
  ScheduleLiveListUpdate(sim, index);
}

void ApplyClaim(simulation& sim, const nlohmann::json& op) {
  const std::string id = op.at("request");
  request r;
  r.daemon = op.at("daemon");
  if (sim.daemons[r.daemon].crashed) return;
  r.run_ms = op.value("run_ms", 20);
  r.result = "result of " + id;
  r.sub = ledger::MakeSubmission(
      {"ws", op.at("key"), op.value("body", "x"), id, sim.daemons[r.daemon].id}, sim.now);
  sim.requests[id] = std::move(r);
  ScheduleInDaemon(sim, sim.requests[id].daemon, duration(0),
                   [&sim, id] { DriveSubmission(sim, id); });
}

void CheckExpectedOutcome(simulation& sim, const nlohmann::json& op) {
  const std::string reported_outcome = sim.requests[op.at("request")].reported_outcome;
  if (reported_outcome != op.at("told"))
    sim.violations.push_back(op.dump() + " but told \"" + reported_outcome + "\"");
}

void CheckExpectedRuns(simulation& sim, const nlohmann::json& op) {
  const size_t runs = sim.dispatches[op.at("key")].size();
  if (runs != op.at("runs"))
    sim.violations.push_back(op.dump() + " but ran " + std::to_string(runs));
}

void ApplyToDaemon(simulation& sim, const std::string& kind, int index) {
  daemon& d = sim.daemons[index];
  if (kind == "start" && d.crashed)
    Start(sim, index, std::stoi(d.id.substr(d.id.find('#') + 1)) + 1);
  if (d.crashed) return;
  if (kind == "thaw") Thaw(sim, index);
  if (kind == "stop" && !d.frozen) HandleEffects(sim, index, Release(*d.set, sim.now));
  d.frozen = d.frozen || kind == "freeze";
  d.crashed = kind == "crash";
  if (d.frozen || d.crashed) ScheduleLiveListUpdate(sim, index);
}

}  // namespace

settings TestSettings() {
  settings config;
  config.shard_count = 2;
  config.grant_time = std::chrono::seconds(2);
  config.longest_run = std::chrono::seconds(5);
  config.retention = std::chrono::seconds(25);
  config.sweep_interval = std::chrono::seconds(1);
  config.load_chunk_rows = 1;  // so that a load takes several steps
  return config;
}

std::unique_ptr<simulation> MakeSimulation(int daemons, uint64_t seed, const settings& config,
                                           const faults& test_faults) {
  auto sim = std::make_unique<simulation>();
  sim->config = config;
  sim->test_faults = test_faults;
  sim->rng.seed(seed);
  sim->daemons.resize(daemons);
  for (daemon& d : sim->daemons) d.crashed = true;
  for (int i = 0; i < daemons; ++i) Start(*sim, i, 1);
  return sim;
}

void Apply(simulation& sim, nlohmann::json op) {
  if (op.contains("at")) {
    const int owner = std::max(0, ServingDaemon(sim, op.at("key")));
    op["daemon"] = op["at"] == "owner" ? owner : (owner + 1) % static_cast<int>(sim.daemons.size());
  }
  sim.log.push_back(op);
  const std::string kind = op.at("op");
  if (kind == "run") return Run(sim, milliseconds(op.at("ms").get<int>()));
  if (kind == "claim") return ApplyClaim(sim, op);
  if (kind == "expect") return CheckExpectedOutcome(sim, op);
  if (kind == "expect_runs") return CheckExpectedRuns(sim, op);
  if (kind == "table") sim.table_mode = op.at("mode");
  if (kind == "split") sim.split = op.at("on");
  if (kind == "split") return UpdateLiveLists(sim);
  if (op.contains("daemon")) ApplyToDaemon(sim, kind, op.at("daemon"));
}

void Run(simulation& sim, duration time) {
  const time_point end = sim.now + time;
  for (time_point next = NextTime(sim); next <= end; next = NextTime(sim)) {
    sim.now = std::max(sim.now, next);
    RunDueEvents(sim);
    if (sim.violations.size() > 20) return;
  }
  sim.now = end;
}

void Heal(simulation& sim) {
  sim.table_mode = "ok";
  sim.split = false;
  for (int i = 0; i < static_cast<int>(sim.daemons.size()); ++i) Thaw(sim, i);
  UpdateLiveLists(sim);
}

int ServingDaemon(const simulation& sim, const std::string& key) {
  const shard_id shard = ShardForKey("ws", key, sim.config.shard_count);
  const auto it = std::ranges::find_if(sim.daemons, [&](const daemon& d) {
    const auto served = ServedShards(*d.set);
    return !d.crashed && std::ranges::find(served, shard) != served.end();
  });
  return it == sim.daemons.end() ? -1 : static_cast<int>(it - sim.daemons.begin());
}

}  // namespace balsambay::ledger::testing
