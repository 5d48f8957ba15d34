// The test world.
#include "world.h"

#include <algorithm>

namespace balsambay::ledger::testing {
namespace {

using std::chrono::milliseconds;
constexpr duration kMaxSkew = milliseconds(1000);

void After(world& w, duration delay, std::function<void()> fn) {
  w.events.emplace(w.now + delay, std::move(fn));
}

// Runs `fn` in daemon `index` after `delay`; a frozen daemon runs it when it thaws, and a restarted
// one never sees it.
void InDaemon(world& w, int index, duration delay, std::function<void()> fn) {
  After(w, delay, [&w, index, fn = std::move(fn), id = w.daemons[index].id] {
    daemon& d = w.daemons[index];
    if (d.crashed || d.id != id) return;
    d.frozen ? d.held.push_back(fn) : fn();
  });
}

int IndexOf(const world& w, std::string_view id) {
  const auto it = std::ranges::find(w.daemons, id, &daemon::id);
  return it == w.daemons.end() ? -1 : static_cast<int>(it - w.daemons.begin());
}

bool Reach(const world& w, int a, int b) { return !w.split || a % 2 == b % 2; }

std::vector<std::string> LiveFor(const world& w, int viewer) {
  std::vector<std::string> ids;
  for (int i = 0; i < static_cast<int>(w.daemons.size()); ++i) {
    if (w.daemons[i].listed && Reach(w, viewer, i)) ids.push_back(w.daemons[i].id);
  }
  return ids;
}

void UpdateLists(world& w) {
  for (int i = 0; i < static_cast<int>(w.daemons.size()); ++i) {
    if (!w.daemons[i].crashed) SetLive(*w.daemons[i].set, LiveFor(w, i), w.now);
  }
}

void UpdateListsLater(world& w, int index) {
  After(w, w.list_delay, [&w, index] {
    w.daemons[index].listed = !w.daemons[index].frozen && !w.daemons[index].crashed;
    UpdateLists(w);
  });
}

lease::table_outcome Execute(world& w, const lease::table_call& call) {
  if (const auto* tx = std::get_if<table::transaction>(&call.request)) {
    return table::Commit(w.table, *tx);
  }
  return table::Read(w.table, std::get<table::read_request>(call.request));
}

void Send(world& w, int index, effects out);

void Answer(world& w, int index, uint64_t id, const lease::table_outcome& outcome) {
  InDaemon(w, index, milliseconds(1), [&w, index, id, outcome] {
    Send(w, index, OnTableReply(*w.daemons[index].set, id, outcome, w.now));
  });
}

void CallTable(world& w, int index, const lease::table_call& call) {
  std::string mode = w.table_mode;
  if (mode == "flaky") {
    mode =
        std::vector<std::string>{"ok", "ok", "ok", "down", "lose", "late"}[UniformBelow(w.rng, 6)];
  }
  if (mode == "down") {
    if (UniformBelow(w.rng, 2) == 0) Answer(w, index, call.id, lease::unknown_outcome{});
    return;
  }
  const auto delay = milliseconds(mode == "late"   ? UniformBelow(w.rng, 5000)
                                  : mode == "slow" ? 350
                                                   : 1);
  After(w, delay, [&w, index, call, mode] {
    const lease::table_outcome outcome = Execute(w, call);
    if (mode != "lose") Answer(w, index, call.id, outcome);
  });
}

void Peer(world& w, int from, int to, std::function<void()> fn) {
  if (to < 0 || !Reach(w, from, to)) return;
  InDaemon(w, to, from == to ? duration(0) : milliseconds(1 + UniformBelow(w.rng, 20)),
           std::move(fn));
}

void SendClaim(world& w, const std::string& id, int target) {
  Peer(w, w.requests[id].daemon, target, [&w, id, target] {
    daemon& d = w.daemons[target];
    d.unanswered.emplace(id, w.now);
    Send(w, target, Claim(*d.set, w.requests[id].sub.request, w.now));
  });
}

void SendAbandon(world& w, const std::string& id, int target) {
  Peer(w, w.requests[id].daemon, target, [&w, id, target] {
    w.daemons[target].unanswered.erase(id);
    Send(w, target, Abandon(*w.daemons[target].set, w.requests[id].sub.request, w.now));
  });
}

void SendFinish(world& w, const std::string& id, int target) {
  Peer(w, w.requests[id].daemon, target, [&w, id, target] {
    const request& r = w.requests[id];
    Send(w, target,
         Finish(*w.daemons[target].set, r.sub.request, end_state::kRan, r.result, w.now));
  });
}

void SendCurrent(world& w, const std::string& id, int target) {
  const request& r = w.requests[id];
  if (r.sub.state == claim_state::kWaiting) SendClaim(w, id, target);
  if (r.sub.state == claim_state::kGivenUp && !r.recorded) SendAbandon(w, id, target);
  if (r.sub.state == claim_state::kEnded && !r.recorded) SendFinish(w, id, target);
}

void TellNotRun(world& w, const std::string& id) {
  request& r = w.requests[id];
  if (GiveUp(r.sub)) r.told = "not_run";
}

void Attend(world& w, const std::string& id) {
  request& r = w.requests[id];
  if (r.sub.state == claim_state::kWaiting && w.now >= r.sub.sent + w.patience) {
    TellNotRun(w, id);
  }
  const std::string owner =
      PreferredOwner(ShardOf(r.sub.request.workspace, r.sub.request.key, w.config.shard_count),
                     LiveFor(w, r.daemon));
  SendCurrent(w, id, IndexOf(w, owner));
  if (++r.sends < 60) InDaemon(w, r.daemon, milliseconds(200), [&w, id] { Attend(w, id); });
}

void EndRun(world& w, const std::string& id) {
  request& r = w.requests[id];
  if (End(r.sub)) r.told = "ran";
  Attend(w, id);
}

void DispatchIfGranted(world& w, const std::string& id) {
  request& r = w.requests[id];
  if (r.sub.state != claim_state::kGranted) return;
  if (!TryDispatch(r.sub, w.ignore_grant_expiry ? r.sub.sent : w.now)) return TellNotRun(w, id);
  if (r.run_ms == 0) {
    OnNotStarted(r.sub);
    return TellNotRun(w, id);
  }
  w.dispatches[r.sub.request.key].push_back({id, w.now});
  if (r.run_ms > 0) InDaemon(w, r.daemon, milliseconds(r.run_ms), [&w, id] { EndRun(w, id); });
}

// A repeat with the same body, sent after the result became durable and before the record can have
// expired, must get this result.
void CheckAnswer(world& w, const request& r, const reply& reply) {
  const auto known = w.results.find(r.sub.request.key);
  if (known == w.results.end() || r.sub.sent <= known->second.at) return;
  if (w.now >= known->second.expires) return;
  if (reply.kind == reply_kind::kKeyConflict) return;
  if (reply.kind == reply_kind::kRan && reply.result == known->second.value) return;
  w.violations.push_back("the result is not returned to " + r.sub.request.request_id);
}

std::string Told(const reply& reply) {
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

void OnPeerReply(world& w, const std::string& id, const reply& reply) {
  request& r = w.requests[id];
  if (reply.kind == reply_kind::kRecorded) {
    r.recorded = true;
    if (r.sub.state == claim_state::kEnded)
      w.results[r.sub.request.key] = {r.result, w.now, r.sub.sent + w.config.retention - kMaxSkew};
    return;
  }
  if (reply.kind == reply_kind::kRefused) {
    if (!reply.owner.empty()) SendCurrent(w, id, IndexOf(w, reply.owner));
    return;
  }
  const bool waiting = r.sub.state == claim_state::kWaiting;
  if (OnReply(r.sub, reply)) r.recorded = false;  // Attend abandons it again
  CheckAnswer(w, r, reply);
  if (waiting && r.sub.state == claim_state::kAnswered) r.told = Told(reply);
  DispatchIfGranted(w, id);
}

void Send(world& w, int index, effects out) {
  for (effect& effect : out) {
    if (const auto* call = std::get_if<lease::table_call>(&effect)) {
      CallTable(w, index, *call);
    } else if (const auto* found = std::get_if<reply>(&effect)) {
      w.daemons[index].unanswered.erase(found->request_id);
      Peer(w, index, IndexOf(w, found->claimant),
           [&w, reply = *found] { OnPeerReply(w, reply.request_id, reply); });
    } else {
      const auto& ask = std::get<handover_request>(effect);
      const int to = IndexOf(w, ask.owner);
      Peer(w, index, to, [&w, to, ask, from = w.daemons[index].id] {
        Send(w, to, OnHandoverRequest(*w.daemons[to].set, ask.shard, from, w.now));
      });
    }
  }
}

void CheckAnswered(world& w, const daemon& d) {
  for (const auto& [id, since] : d.unanswered) {
    if (w.now <= since + w.config.reply_bound) continue;
    w.violations.push_back("no reply to " + id + " within the bound");
  }
}

void Tick(world& w, int index) {
  daemon& d = w.daemons[index];
  const int64_t wall = std::chrono::duration_cast<milliseconds>(w.now.time_since_epoch()).count();
  Send(w, index, OnTick(*d.set, w.now, wall + d.wall_skew_ms));
  CheckAnswered(w, d);
}

time_point NextTime(const world& w) {
  time_point next = w.events.empty() ? kNever : w.events.begin()->first;
  for (const daemon& d : w.daemons) {
    if (!d.frozen && !d.crashed) next = std::min(next, NextDeadline(*d.set));
  }
  return next;
}

void RunDueEvents(world& w) {
  while (!w.events.empty() && w.events.begin()->first <= w.now) {
    const auto node = w.events.extract(w.events.begin());
    node.mapped()();
  }
  for (int i = 0; i < static_cast<int>(w.daemons.size()); ++i) {
    const daemon& d = w.daemons[i];
    if (d.frozen || d.crashed || NextDeadline(*d.set) > w.now) continue;
    Tick(w, i);
    if (NextDeadline(*d.set) <= w.now) w.violations.push_back("deadline in the past after OnTick");
  }
}

void Start(world& w, int index, int start) {
  daemon& d = w.daemons[index];
  d = daemon{};
  d.id = "d" + std::to_string(index) + "#" + std::to_string(start);
  d.wall_skew_ms = static_cast<int64_t>(UniformBelow(w.rng, kMaxSkew / milliseconds(1))) - 500;
  settings config = w.config;
  config.self = d.id;
  d.set = MakeShardSet(config, w.broken);
  UpdateLists(w);
}

void Thaw(world& w, int index) {
  daemon& d = w.daemons[index];
  if (!std::exchange(d.frozen, false)) return;
  for (auto& [id, since] : d.unanswered) since = w.now;
  for (const auto& fn : std::exchange(d.held, {})) fn();
  UpdateListsLater(w, index);
}

void Submit(world& w, const nlohmann::json& op) {
  const std::string id = op.at("request");
  request r;
  r.daemon = op.at("daemon");
  if (w.daemons[r.daemon].crashed) return;
  r.run_ms = op.value("run_ms", 20);
  r.result = "result of " + id;
  r.sub = ledger::Submit({"ws", op.at("key"), op.value("body", "x"), id, w.daemons[r.daemon].id},
                         w.now);
  w.requests[id] = std::move(r);
  InDaemon(w, w.requests[id].daemon, duration(0), [&w, id] { Attend(w, id); });
}

void Expect(world& w, const nlohmann::json& op) {
  const std::string told = w.requests[op.at("request")].told;
  if (told != op.at("told")) w.violations.push_back(op.dump() + " but told \"" + told + "\"");
}

void ExpectRuns(world& w, const nlohmann::json& op) {
  const size_t runs = w.dispatches[op.at("key")].size();
  if (runs != op.at("runs")) w.violations.push_back(op.dump() + " but ran " + std::to_string(runs));
}

void ApplyToDaemon(world& w, const std::string& kind, int index) {
  daemon& d = w.daemons[index];
  if (kind == "start" && d.crashed) Start(w, index, std::stoi(d.id.substr(d.id.find('#') + 1)) + 1);
  if (d.crashed) return;
  if (kind == "thaw") Thaw(w, index);
  if (kind == "stop" && !d.frozen) Send(w, index, Release(*d.set, w.now));
  d.frozen = d.frozen || kind == "freeze";
  d.crashed = kind == "crash";
  if (d.frozen || d.crashed) UpdateListsLater(w, index);
}

}  // namespace

settings TestSettings() {
  settings config;
  config.shard_count = 2;
  config.grant_time = std::chrono::seconds(2);
  config.longest_run = std::chrono::seconds(5);
  config.retention = std::chrono::seconds(25);
  config.sweep_interval = std::chrono::seconds(1);
  config.load_chunk_rows = 1;  // so that loads take several steps
  return config;
}

std::unique_ptr<world> MakeWorld(int daemons, uint64_t seed, const settings& config,
                                 const faults& broken) {
  auto w = std::make_unique<world>();
  w->config = config;
  w->broken = broken;
  w->rng.seed(seed);
  w->daemons.resize(daemons);
  for (daemon& d : w->daemons) d.crashed = true;
  for (int i = 0; i < daemons; ++i) Start(*w, i, 1);
  return w;
}

void Apply(world& w, nlohmann::json op) {
  if (op.contains("at")) {
    const int owner = std::max(0, Owner(w, op.at("key")));
    op["daemon"] = op["at"] == "owner" ? owner : (owner + 1) % static_cast<int>(w.daemons.size());
  }
  w.log.push_back(op);
  const std::string kind = op.at("op");
  if (kind == "run") return Run(w, milliseconds(op.at("ms").get<int>()));
  if (kind == "claim") return Submit(w, op);
  if (kind == "expect") return Expect(w, op);
  if (kind == "expect_runs") return ExpectRuns(w, op);
  if (kind == "table") w.table_mode = op.at("mode");
  if (kind == "split") w.split = op.at("on");
  if (kind == "split") return UpdateLists(w);
  if (op.contains("daemon")) ApplyToDaemon(w, kind, op.at("daemon"));
}

void Run(world& w, duration time) {
  const time_point end = w.now + time;
  for (time_point next = NextTime(w); next <= end; next = NextTime(w)) {
    w.now = std::max(w.now, next);
    RunDueEvents(w);
    if (w.violations.size() > 20) return;
  }
  w.now = end;
}

void Heal(world& w) {
  w.table_mode = "ok";
  w.split = false;
  for (int i = 0; i < static_cast<int>(w.daemons.size()); ++i) Thaw(w, i);
  UpdateLists(w);
}

int Owner(const world& w, const std::string& key) {
  const shard_id shard = ShardOf("ws", key, w.config.shard_count);
  const auto it = std::ranges::find_if(w.daemons, [&](const daemon& d) {
    const auto served = ServedShards(*d.set);
    return !d.crashed && std::ranges::find(served, shard) != served.end();
  });
  return it == w.daemons.end() ? -1 : static_cast<int>(it - w.daemons.begin());
}

}  // namespace balsambay::ledger::testing
