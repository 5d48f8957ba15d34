// Event loop of the experiment.
#include "simulation.h"

#include <algorithm>
#include <queue>

#include "base/hash.h"
#include "scenario.h"

namespace balsambay::experiment {
namespace {

using planner::endpoint_index;
using routing::endpoint_view;

constexpr int kDaemonsPerZone = 2;
constexpr double kReportPeriod = 0.5;
constexpr double kReportDelayMin = 0.1;
constexpr double kReportDelayMax = 0.4;
constexpr double kPeerPeriod = 0.25;
constexpr double kPeerDelay = 0.02;
constexpr double kEntryLink = 0.0003;
constexpr double kCacheEventDelayMax = 2.0;
constexpr int kCacheEventsLostOfTen = 2;
// A lost stage is seen by the connection reset; the plan follows later.
constexpr double kDetectSeconds = 0.05;
constexpr double kReplanSeconds = 0.1;
constexpr int kEngineCacheTokens = 20'000;
constexpr int kTokensPerBlock = 64;

enum class event_kind {
  kArrival,    // a: request
  kPrefill,    // a: run, b: attempt, c: stage
  kDecode,     // a: run, b: attempt, c: stage
  kPieceDone,  // a: engine
  kToken,      // a: run, b: attempt; at the daemon
  kRunLost,    // a: run, b: attempt
  kReportTick,
  kReport,  // a: engine, b: requests
  kPeerTick,
  kPeerSummary,  // a: sender; uses simulation::snapshots
  kCacheEvent,   // a: engine, b: prefix, c: tokens
  kKill,
  kNoticeDown,
  kReplan,
};

struct event {
  double at = 0;
  uint64_t sequence = 0;  // keeps the order of events at the same time
  event_kind kind = event_kind::kArrival;
  uint32_t a = 0;
  uint32_t b = 0;
  uint32_t c = 0;
  bool operator>(const event& other) const {
    return at != other.at ? at > other.at : sequence > other.sequence;
  }
};

struct run_state {
  uint32_t request = 0;
  uint32_t daemon = 0;
  uint32_t attempt = 0;
  double arrived = 0;
  double last_token = -1;
  double estimated = 0;
  int delivered = 0;
  int cached = 0;
  bool done = false;
  bool prefill_counted = false;
  planner::route route = {};
  std::vector<uint8_t> has_slot = {};  // by stage
  std::vector<endpoint_index> excluded = {};
};

struct daemon {
  routing::router router;
  routing::prefix_table prefixes;
  random_generator rng;
  std::vector<endpoint_view> views = {};
  std::vector<double> report_at = {};        // by endpoint; negative: none
  std::vector<std::vector<int>> peers = {};  // by daemon, by endpoint
  double peers_at = -1;
};

struct simulation {
  const planner::topology& topo;
  const std::vector<load_request>& load;
  const simulation_options& options;
  planner::plan plan = {};
  std::vector<fake_engine> engines = {};
  std::vector<daemon> daemons = {};
  std::vector<run_state> runs = {};
  std::vector<double> link_free = {};            // by link: time at which it is idle
  std::vector<std::vector<int>> snapshots = {};  // by daemon: own requests by endpoint
  std::priority_queue<event, std::vector<event>, std::greater<>> events = {};
  random_generator rng = random_generator(1);
  uint64_t sequence = 0;
  uint32_t next_request = 0;
  double now = 0;
  simulation_result out = {};
};

void Post(simulation& s, double at, event_kind kind, uint32_t a = 0, uint32_t b = 0,
          uint32_t c = 0) {
  s.events.push({.at = at, .sequence = s.sequence++, .kind = kind, .a = a, .b = b, .c = c});
}

const load_request& RequestOf(const simulation& s, const run_state& run) {
  return s.load[run.request % s.load.size()];
}

void CountWork(simulation& s, double tokens) {
  const auto bucket = static_cast<size_t>(s.now / kBucketSeconds);
  if (bucket < s.out.work.size()) s.out.work[bucket] += tokens;
}

void KickEngine(simulation& s, endpoint_index e) {
  if (StartPiece(s.engines[e])) {
    Post(s, s.now + s.engines[e].piece_seconds, event_kind::kPieceDone, e);
  }
}

// Time at which `tokens` hidden states sent now arrive. A link sends one message after the other.
double LinkArrival(simulation& s, endpoint_index from, endpoint_index to, int tokens) {
  const planner::topology_link* link = planner::FindLink(s.topo, from, to);
  if (link == nullptr) return s.now;
  double& free_at = s.link_free[static_cast<size_t>(link - s.topo.links.data())];
  free_at = std::max(free_at, s.now) + tokens / link->hidden_states_per_second;
  return free_at + link->latency_us * 1e-6;
}

// Brings ages up to date and fills in what peers reported.
void RefreshViews(simulation& s, daemon& d) {
  const auto age = [&](double since) {
    return since < 0 ? routing::kNoReport : duration(static_cast<int64_t>((s.now - since) * 1e6));
  };
  for (size_t e = 0; e < d.views.size(); ++e) {
    d.views[e].report_age = age(d.report_at[e]);
    d.views[e].peer_summary_age = age(d.peers_at);
    int peers = 0;
    for (const std::vector<int>& summary : d.peers) peers += summary[e];
    d.views[e].peer_requests = peers;
  }
}

std::vector<uint64_t> PrefixHashes(const load_request& request) {
  std::vector<uint64_t> hashes;
  hashes.reserve(static_cast<size_t>(request.prefix_tokens / kTokensPerBlock));
  for (int i = 0; i < request.prefix_tokens / kTokensPerBlock; ++i) {
    hashes.push_back((uint64_t{request.prefix} << 32) + static_cast<uint64_t>(i));
  }
  return hashes;
}

time_point TimeOf(const simulation& s) {
  return time_point(duration(static_cast<int64_t>(s.now * 1e6)));
}

void Dispatch(simulation& s, uint32_t id) {
  run_state& run = s.runs[id];
  daemon& d = s.daemons[run.daemon];
  const load_request& request = RequestOf(s, run);
  RefreshViews(s, d);
  const auto hits = FindPrefixHolders(d.prefixes, PrefixHashes(request), TimeOf(s));
  const routing::route_request wanted{.prompt_tokens = request.prompt_tokens + run.delivered,
                                      .output_tokens = request.output_tokens - run.delivered,
                                      .prefix_hits = hits,
                                      .excluded = run.excluded};
  const auto choice = ChooseRoute(d.router, wanted, d.views, s.options.how, d.rng);
  if (!choice.has_value() ||
      !planner::ValidateRoute(choice.value().stages, s.topo.model).has_value()) {
    run.done = true;
    ++s.out.refused;
    return;
  }
  run.route = choice.value().stages;
  run.has_slot.assign(run.route.size(), 0);
  if (run.attempt == 0) {
    run.estimated = static_cast<double>(choice.value().estimate.time_to_first_token.count()) * 1e-6;
  }
  // What the engines really hold, not what the table says.
  run.cached = request.prefix_tokens;
  for (const planner::stage& st : run.route) {
    ++d.views[st.endpoint].own_requests;
    run.cached = std::min(run.cached, LookUpPrefix(s.engines[st.endpoint], request.prefix));
  }
  Post(s, s.now + kEntryLink, event_kind::kPrefill, id, run.attempt, 0);
}

void Arrive(simulation& s) {
  run_state run;
  run.request = s.next_request++;
  run.daemon = static_cast<uint32_t>(UniformBelow(s.rng, s.daemons.size()));
  run.arrived = s.now;
  s.runs.push_back(run);
  Dispatch(s, static_cast<uint32_t>(s.runs.size() - 1));
}

bool IsCurrent(const simulation& s, uint32_t run, uint32_t attempt) {
  return !s.runs[run].done && s.runs[run].attempt == attempt;
}

void LoseRun(simulation& s, uint32_t id, uint32_t attempt) {
  Post(s, s.now + kDetectSeconds, event_kind::kRunLost, id, attempt);
}

void StartPrefill(simulation& s, const stage_work& work) {
  run_state& run = s.runs[work.run];
  const endpoint_index e = run.route[work.stage].endpoint;
  run.has_slot[work.stage] = 1;
  ++s.engines[e].used_slots;
  if (AddWork(s.engines[e], work)) KickEngine(s, e);
}

stage_work MakeWork(const simulation& s, uint32_t id, uint32_t stage, bool prefill) {
  const run_state& run = s.runs[id];
  const planner::stage& st = run.route[stage];
  const planner::topology_endpoint& e = s.topo.endpoints[st.endpoint];
  const double part =
      static_cast<double>(st.layers.end - st.layers.first) / (e.layers.end - e.layers.first);
  const int uncached = RequestOf(s, run).prompt_tokens + run.delivered - run.cached;
  const int tokens = prefill ? std::max(1, uncached) : 1;
  const double rate = prefill ? e.prefill_tokens_per_second : e.tokens_per_second;
  return {.run = id,
          .attempt = run.attempt,
          .stage = stage,
          .tokens = tokens,
          .seconds = tokens * part / rate,
          .is_prefill = prefill};
}

void ReachStage(simulation& s, const event& ev, bool prefill) {
  if (!IsCurrent(s, ev.a, ev.b)) return;
  const endpoint_index e = s.runs[ev.a].route[ev.c].endpoint;
  fake_engine& engine = s.engines[e];
  if (!engine.alive) return LoseRun(s, ev.a, ev.b);
  const stage_work work = MakeWork(s, ev.a, ev.c, prefill);
  if (!prefill) {
    if (AddWork(engine, work)) KickEngine(s, e);
  } else if (engine.used_slots < engine.max_runs) {
    StartPrefill(s, work);
  } else {
    engine.waiting_for_slot.push_back(work);
  }
}

void GiveSlots(simulation& s, endpoint_index e) {
  fake_engine& engine = s.engines[e];
  while (engine.used_slots < engine.max_runs && !engine.waiting_for_slot.empty()) {
    const stage_work work = engine.waiting_for_slot.front();
    engine.waiting_for_slot.pop_front();
    if (IsCurrent(s, work.run, work.attempt)) StartPrefill(s, work);
  }
}

// Gives back slots and counts of the current attempt. `attempt` or `done` must already have
// changed.
void ReleaseRoute(simulation& s, run_state& run) {
  for (size_t i = 0; i < run.route.size(); ++i) {
    const endpoint_index e = run.route[i].endpoint;
    --s.daemons[run.daemon].views[e].own_requests;
    if (run.has_slot[i] == 0) continue;
    --s.engines[e].used_slots;
    GiveSlots(s, e);
  }
}

void StoreInCaches(simulation& s, const run_state& run) {
  const load_request& request = RequestOf(s, run);
  for (const planner::stage& st : run.route) {
    StorePrefix(s.engines[st.endpoint], request.prefix, request.prefix_tokens);
    if (UniformBelow(s.rng, 10) < kCacheEventsLostOfTen) continue;
    Post(s, s.now + UniformUnit(s.rng) * kCacheEventDelayMax, event_kind::kCacheEvent, st.endpoint,
         run.request);
  }
}

void EndPiece(simulation& s, endpoint_index e) {
  fake_engine& engine = s.engines[e];
  if (!engine.alive) return;
  const std::optional<stage_work> work = FinishPiece(engine);
  KickEngine(s, e);
  if (!work.has_value() || !IsCurrent(s, work->run, work->attempt)) return;
  const run_state& run = s.runs[work->run];
  const bool last = work->stage + 1 == run.route.size();
  const endpoint_index next = run.route[last ? 0 : work->stage + 1].endpoint;
  if (last) {
    if (work->is_prefill) StoreInCaches(s, run);
    Post(s, LinkArrival(s, e, next, 0) + kEntryLink, event_kind::kToken, work->run, work->attempt);
    return;
  }
  const event_kind kind = work->is_prefill ? event_kind::kPrefill : event_kind::kDecode;
  Post(s, LinkArrival(s, e, next, work->tokens), kind, work->run, work->attempt, work->stage + 1);
}

void CountToken(simulation& s, run_state& run) {
  const load_request& request = RequestOf(s, run);
  if (run.delivered == 0) {
    s.out.first_tokens.push_back({.at = s.now,
                                  .seconds = s.now - run.arrived,
                                  .estimated = run.estimated,
                                  .prompt_tokens = request.prompt_tokens - run.cached});
    s.out.prompt_tokens += request.prompt_tokens;
    s.out.cached_tokens += run.cached;
    CountWork(s, EquivalentTokens(0, request.prompt_tokens - run.cached, kPrefillSpeedup));
  } else {
    s.out.gaps.push_back({.at = s.now, .seconds = s.now - run.last_token});
  }
  ++run.delivered;
  run.last_token = s.now;
  CountWork(s, 1);
}

void TakeToken(simulation& s, uint32_t id, uint32_t attempt) {
  if (!IsCurrent(s, id, attempt)) return;
  run_state& run = s.runs[id];
  CountToken(s, run);
  if (run.delivered < RequestOf(s, run).output_tokens) {
    // The head starts the next token when it has this one; the daemon only listens.
    Post(s, s.now - kEntryLink, event_kind::kDecode, id, attempt, 0);
    return;
  }
  run.done = true;
  ++s.out.finished;
  ReleaseRoute(s, run);
  if (s.options.runs_in_flight > 0) Post(s, s.now, event_kind::kArrival);
}

void RetryRun(simulation& s, uint32_t id, uint32_t attempt) {
  if (!IsCurrent(s, id, attempt)) return;
  run_state& run = s.runs[id];
  ++run.attempt;
  ++s.out.attempts_lost;
  ReleaseRoute(s, run);
  for (const planner::stage& st : run.route) {
    if (!s.engines[st.endpoint].alive) run.excluded.push_back(st.endpoint);
  }
  Dispatch(s, id);
}

void Kill(simulation& s) {
  const endpoint_index victim = s.options.victim;
  s.engines[victim] = {.alive = false};
  for (uint32_t id = 0; id < s.runs.size(); ++id) {
    const run_state& run = s.runs[id];
    const bool hit = std::ranges::any_of(
        run.route, [&](const planner::stage& st) { return st.endpoint == victim; });
    if (!run.done && hit) LoseRun(s, id, run.attempt);
  }
  Post(s, s.now + kDetectSeconds, event_kind::kNoticeDown);
  Post(s, s.now + kDetectSeconds + kReplanSeconds, event_kind::kReplan);
}

std::vector<uint8_t> UsableNow(const simulation& s) {
  std::vector<uint8_t> usable;
  for (const fake_engine& e : s.engines) usable.push_back(e.alive ? 1 : 0);
  return usable;
}

void InstallPlan(simulation& s, planner::plan plan) {
  s.plan = std::move(plan);
  for (size_t i = 0; i < s.daemons.size(); ++i) {
    const auto zone = static_cast<uint32_t>(i / kDaemonsPerZone);
    s.daemons[i].router = routing::MakeRouter(s.topo, s.plan, zone);
  }
}

void NoticeDown(simulation& s) {
  for (daemon& d : s.daemons) {
    d.views[s.options.victim].usable = false;
    RemoveEndpoint(d.prefixes, s.options.victim);
  }
  InstallPlan(s, planner::RemoveUnusableRoutes(s.topo, s.plan, UsableNow(s)));
}

void SendReports(simulation& s) {
  for (uint32_t e = 0; e < s.engines.size(); ++e) {
    const double delay = kReportDelayMin + UniformUnit(s.rng) * (kReportDelayMax - kReportDelayMin);
    if (!s.engines[e].alive) continue;
    Post(s, s.now + delay, event_kind::kReport, e, static_cast<uint32_t>(CountRuns(s.engines[e])));
  }
  Post(s, s.now + kReportPeriod, event_kind::kReportTick);
}

// The report is dated by its arrival, because a daemon cannot know when the engine measured.
void TakeReport(simulation& s, const event& ev) {
  for (daemon& d : s.daemons) {
    d.views[ev.a].reported_requests = static_cast<int>(ev.b);
    d.report_at[ev.a] = s.now;
  }
}

void SendSummaries(simulation& s) {
  for (size_t i = 0; i < s.daemons.size(); ++i) {
    s.snapshots[i].clear();
    for (const endpoint_view& v : s.daemons[i].views) s.snapshots[i].push_back(v.own_requests);
    Post(s, s.now + kPeerDelay, event_kind::kPeerSummary, static_cast<uint32_t>(i));
  }
  Post(s, s.now + kPeerPeriod, event_kind::kPeerTick);
}

void TakeSummary(simulation& s, uint32_t sender) {
  for (size_t i = 0; i < s.daemons.size(); ++i) {
    if (i == sender) continue;
    s.daemons[i].peers[sender] = s.snapshots[sender];
    s.daemons[i].peers_at = s.now;
  }
}

void TakeCacheEvent(simulation& s, const event& ev) {
  const auto hashes = PrefixHashes(s.load[ev.b % s.load.size()]);
  for (daemon& d : s.daemons) {
    if (!hashes.empty()) RecordCachedPrefix(d.prefixes, hashes.back(), ev.a, TimeOf(s));
  }
}

void Handle(simulation& s, const event& ev) {
  switch (ev.kind) {
    case event_kind::kArrival:
      return Arrive(s);
    case event_kind::kPrefill:
      return ReachStage(s, ev, true);
    case event_kind::kDecode:
      return ReachStage(s, ev, false);
    case event_kind::kPieceDone:
      return EndPiece(s, ev.a);
    case event_kind::kToken:
      return TakeToken(s, ev.a, ev.b);
    case event_kind::kRunLost:
      return RetryRun(s, ev.a, ev.b);
    case event_kind::kReportTick:
      return SendReports(s);
    case event_kind::kReport:
      return TakeReport(s, ev);
    case event_kind::kPeerTick:
      return SendSummaries(s);
    case event_kind::kPeerSummary:
      return TakeSummary(s, ev.a);
    case event_kind::kCacheEvent:
      return TakeCacheEvent(s, ev);
    case event_kind::kKill:
      return Kill(s);
    case event_kind::kNoticeDown:
      return NoticeDown(s);
    case event_kind::kReplan:
      return InstallPlan(s, planner::MakePlan(s.topo, UsableNow(s)).value());
  }
}

void MakeDaemons(simulation& s) {
  const size_t count = s.topo.zones.size() * kDaemonsPerZone;
  const size_t endpoints = s.topo.endpoints.size();
  for (size_t i = 0; i < count; ++i) {
    daemon d{.router = {}, .prefixes = {}, .rng = random_generator(s.options.seed * 100 + i)};
    d.views.resize(endpoints);
    for (size_t e = 0; e < endpoints; ++e) d.views[e].max_runs = s.topo.endpoints[e].max_runs;
    d.report_at.assign(endpoints, -1);
    d.peers.assign(count, std::vector<int>(endpoints, 0));
    s.daemons.push_back(std::move(d));
  }
  s.snapshots.resize(count);
  InstallPlan(s, planner::MakePlan(s.topo, UsableNow(s)).value());
}

void Prepare(simulation& s) {
  s.rng.seed(s.options.seed);
  for (const planner::topology_endpoint& e : s.topo.endpoints) {
    s.engines.push_back({.max_runs = e.max_runs, .cache_capacity = kEngineCacheTokens});
  }
  s.link_free.assign(s.topo.links.size(), 0);
  s.out.work.assign(static_cast<size_t>(s.options.seconds / kBucketSeconds), 0);
  MakeDaemons(s);
  Post(s, 0, event_kind::kReportTick);
  Post(s, 0, event_kind::kPeerTick);
  if (s.options.kill_at >= 0) Post(s, s.options.kill_at, event_kind::kKill);
  // A closed loop starts over one second, so that the first prompts do not all arrive at once.
  for (int i = 0; i < s.options.runs_in_flight; ++i) {
    Post(s, i / static_cast<double>(s.options.runs_in_flight), event_kind::kArrival);
  }
  if (s.options.runs_in_flight > 0) return;
  for (const load_request& r : s.load) Post(s, r.arrival, event_kind::kArrival);
}

}  // namespace

simulation_result Simulate(const planner::topology& topo, const std::vector<load_request>& load,
                           const simulation_options& options) {
  simulation s{.topo = topo, .load = load, .options = options};
  Prepare(s);
  while (!s.events.empty() && s.events.top().at < options.seconds) {
    const event ev = s.events.top();
    s.events.pop();
    s.now = std::max(s.now, ev.at);
    Handle(s, ev);
  }
  return std::move(s.out);
}

}  // namespace balsambay::experiment
