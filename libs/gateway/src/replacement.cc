// Replacement of running attempts: successors at other endpoints, and rerouting behind the head.
#include "details/replacement.h"

#include <algorithm>

#include "details/attempt.h"
#include "details/calls.h"
#include "details/containment.h"
#include "details/fleet.h"
#include "details/monitor.h"
#include "details/retries.h"
#include "log/log.h"

namespace balsambay::gateway {
namespace {

using std::chrono_literals::operator""ms;

// An idempotent request to a plain endpoint that has not answered within the route's latency goal
// is also sent to another endpoint (hedged request), but not sooner than this.
constexpr duration kMinHedgeDelay = 100ms;

// Requests move off a leaving endpoint within this time: it ends 2 s after its notice or later. By
// then most requests have ended, or another engine holds its layers, so that they can be rerouted
// without moving to another head.
constexpr duration kMaxMoveDelay = 1800ms;
constexpr duration kMoveRetryInterval = 150ms;
// Requests on a lost engine that still make output are checked again after this time, which is less
// than the usual time after which a stream counts as stalled.
constexpr duration kLostRecheckInterval = 50ms;
// Output is withheld at most this long in favor of a successor: half of the pause between outputs
// after which callers give up.
constexpr duration kMaxWithholdTime = 1000ms;

// An engine is suspected when at least this fraction of the attempts through it has stalled.
// Engines that only share a path with a lost engine also run attempts that progress.
constexpr double kMinStalledFraction = 0.8;
// Limits the cost of checks, one connection each. Enough to check all engines of a path at once:
// the lost one is found by its silence while the others answer.
constexpr size_t kMaxChecksPerTick = 14;

// Attempts of this gateway through one engine.
struct stall_counts {
  int attempts = 0;
  int stalled = 0;
};

// Whether the engine counts as lost. A leaving engine still serves and does not.
bool IsLost(gateway_state& state, const call_hop& path_hop) {
  const endpoint* engine = FindEndpoint(state, path_hop.endpoint_id);
  return engine == nullptr || engine->down;
}

bool HasEndedEngine(gateway_state& state, const attempt& current) {
  return std::ranges::any_of(current.path, [&](const call_hop& path_hop) {
    const endpoint* engine = FindEndpoint(state, path_hop.endpoint_id);
    return engine != nullptr && engine->ended;
  });
}

bool HasLostEngine(gateway_state& state, const attempt& current) {
  return std::ranges::any_of(current.path,
                             [&](const call_hop& path_hop) { return IsLost(state, path_hop); });
}

// Whether the endpoint is on the path of the open attempt or of its successor.
bool RunsOn(const call& request, std::string_view endpoint_id) {
  return (request.open && UsesEndpoint(*request.open, endpoint_id)) ||
         (request.successor && UsesEndpoint(*request.successor, endpoint_id));
}

// Sends a successor of the open attempt; true also if there is one already. False when a limit, the
// quarantine or a lack of endpoints prevents it now.
bool TrySendSuccessor(gateway_state& state, const call_ptr& request, attempt_failure reason) {
  const time_point now = MonotonicNow();
  if (request->successor) return true;
  if (request->open->rerouting || now < request->successor_not_before) return false;
  if (MaySendSuccessor(state, *request, reason, now) != retry_verdict::kGranted) return false;
  if (!HasSuccessorTarget(state, *request)) {
    // No other endpoint is available, and the avoided ones may have recovered.
    request->avoided.clear();
    return false;
  }
  const quarantine::verdict expected = PredictAdmission(state, *request);
  if (expected == quarantine::verdict::kHold || expected == quarantine::verdict::kRefuse) {
    return false;
  }
  const bool still_progressing =
      reason == attempt_failure::kMoved || !IsStalled(state, *request->open, now);
  if (!RegisterRun(state, request)) return false;
  // The attempt has to show progress to the quarantine again.
  request->open->outputs = 0;
  if (StartAttempt(state, request, CallAttemptCallbacks()) != start_result::kStarted) {
    RecordAttemptPath(state, *request, request->open->path);
    return false;
  }
  request->replaced_for = reason;
  request->withholding = request->streaming && still_progressing;
  CountRepeat(state.budget, request->service, now);
  CountRetry(state.metrics, ToString(reason));
  log::Log(log::level::kInfo, "successor sent",
           {{"request", request->incoming.id},
            {"reason", ToString(reason)},
            {"attempt", request->successor->number},
            {"endpoint", request->successor->path.front().endpoint_id},
            {"open_attempt", request->open->number},
            {"open_endpoint", request->open->path.front().endpoint_id},
            {"silent_ms", WholeMilliseconds(now - request->open->last_progress)},
            {"withholding", request->withholding},
            {"events", request->events.events}});
  return true;
}

// Moves a request off a leaving endpoint. `last_chance`: also in ways that delay the request.
void MoveOffLeaving(gateway_state& state, const call_ptr& request, const std::string& endpoint_id,
                    bool last_chance) {
  const bool is_head = request->open->path.front().endpoint_id == endpoint_id;
  if (request->successor || IsQuarantined(state, *request)) return;
  const bool may_reroute =
      !is_head && (!last_chance || MonotonicNow() >= request->reroute_not_before);
  if (may_reroute && Reroute(state, request, false, CallAttemptCallbacks())) return;
  if (!last_chance || TrySendSuccessor(state, request, attempt_failure::kMoved)) return;
  if (may_reroute) Reroute(state, request, true, CallAttemptCallbacks());
}

// Moves a request off a leaving endpoint after a random delay. The endpoint serves for a while, so
// most requests end before they have to move. The others are spread over the time until `latest`,
// because requests that move together wait for each other.
void ScheduleMove(gateway_state& state, const call_ptr& request, const std::string& endpoint_id,
                  time_point latest) {
  const time_point now = MonotonicNow();
  const duration spread = std::max<duration>(latest - now, kMoveRetryInterval);
  const duration delay = std::min<duration>(
      kMoveRetryInterval + duration(static_cast<duration::rep>(
                               UniformUnit(state.rng) * static_cast<double>(spread.count()) / 2)),
      spread);
  const std::weak_ptr<call> weak = request;
  Subscribe(state.loop.Timers(), now + delay, [&state, weak, endpoint_id, latest](time_point at) {
    const call_ptr locked = weak.lock();
    if (!locked || !RunsOn(*locked, endpoint_id)) return;
    if (UsesEndpoint(*locked->open, endpoint_id)) {
      MoveOffLeaving(state, locked, endpoint_id, at + kMoveRetryInterval >= latest);
    }
    // The engines may refuse the order to reroute, so the request is checked again.
    ScheduleMove(state, locked, endpoint_id, latest);
  });
}

void MoveOffLost(gateway_state& state, const call_ptr& request);

// Repeats MoveOffLost() after `delay`.
void ScheduleLostRecheck(gateway_state& state, const call_ptr& request, duration delay) {
  Cancel(state.loop.Timers(), request->lost_timer);
  const std::weak_ptr<call> weak = request;
  request->lost_timer =
      Subscribe(state.loop.Timers(), MonotonicNow() + delay, [&state, weak](time_point) {
        const call_ptr locked = weak.lock();
        if (locked && locked->open) MoveOffLost(state, locked);
      });
}

// Moves a request off lost engines. They may only be silent for a while, so the open attempt stays
// until its successor makes output.
void MoveOffLost(gateway_state& state, const call_ptr& request) {
  const time_point now = MonotonicNow();
  if (!HasLostEngine(state, *request->open) || IsQuarantined(state, *request)) return;
  const bool still_progressing =
      !IsStalled(state, *request->open, now) && !HasEndedEngine(state, *request->open);
  if (still_progressing) return ScheduleLostRecheck(state, request, kLostRecheckInterval);
  ScheduleLostRecheck(state, request, kMoveRetryInterval);
  if (request->successor || request->open->rerouting) return;
  const bool head_lost = IsLost(state, request->open->path.front());
  const bool may_reroute = !head_lost && now >= request->reroute_not_before;
  if (may_reroute && Reroute(state, request, false, CallAttemptCallbacks())) return;
  if (TrySendSuccessor(state, request, attempt_failure::kStalled)) return;
  if (may_reroute) Reroute(state, request, true, CallAttemptCallbacks());
}

// Sends an idempotent request to a second endpoint while the open attempt continues.
void SendHedge(gateway_state& state, const call_ptr& request) {
  if (request->successor) return;
  const std::string target_id = request->open->path.front().endpoint_id;
  if (!TrySendSuccessor(state, request, attempt_failure::kStalled)) return;
  if (endpoint* target = FindEndpoint(state, target_id)) {
    RecordOutcome(*target, true, MonotonicNow());
  }
}

void ScheduleHedge(gateway_state& state, const call_ptr& request, duration delay) {
  Cancel(state.loop.Timers(), request->retry_timer);
  const std::weak_ptr<call> weak = request;
  request->retry_timer =
      Subscribe(state.loop.Timers(), MonotonicNow() + delay, [&state, weak](time_point) {
        const call_ptr locked = weak.lock();
        if (!locked || !locked->open) return;
        SendHedge(state, locked);
        if (!locked->successor) ScheduleHedge(state, locked, kMoveRetryInterval);
      });
}

}  // namespace

bool RegisterRun(gateway_state& state, const call_ptr& request) {
  EndAttempt(state, *request, attempt_end::kClosed);
  const quarantine::verdict verdict = AdmitAttempt(state, *request).answer;
  request->suspect = verdict == quarantine::verdict::kAllowIsolated;
  return request->suspect || verdict == quarantine::verdict::kAllow;
}

void PromoteSuccessor(gateway_state& state, const call_ptr& request) {
  const time_point now = MonotonicNow();
  const attempt_ptr former =
      std::exchange(request->open, std::exchange(request->successor, nullptr));
  request->withholding = false;
  request->may_have_run = true;
  if (request->replaced_for == attempt_failure::kStalled) {
    request->avoided.insert(former->path.front().endpoint_id);
  }
  CountCancelledAttempt(state.metrics, ToString(request->replaced_for));
  log::Log(log::level::kInfo, "attempt replaced",
           {{"request", request->incoming.id},
            {"fingerprint", quarantine::ToString(request->fingerprint)},
            {"reason", ToString(request->replaced_for)},
            {"attempt", former->number},
            {"endpoint", former->path.front().endpoint_id},
            {"by", request->open->number},
            {"by_endpoint", request->open->path.front().endpoint_id},
            {"silent_ms", WholeMilliseconds(now - former->last_progress)},
            {"withheld_bytes", former->withheld.size()},
            {"events", request->events.events}});
  CloseAttempt(state, *former);
  RecordAttemptPath(state, *request, request->open->path);
  if (HasLostEngine(state, *request->open))
    ScheduleLostRecheck(state, request, kLostRecheckInterval);
}

void ContinueOpenAttempt(gateway_state& state, const call_ptr& request, duration delay) {
  request->withholding = false;
  request->successor_not_before = MonotonicNow() + delay;
  // The attempt has to show progress to the quarantine again.
  request->open->outputs = 0;
  const std::string withheld = std::exchange(request->open->withheld, {});
  if (!withheld.empty()) {
    ForwardToCaller(state, request, withheld);
    request->open->upstream->ResumeReading();
  }
  if (!IsPipelined(*request->open) && request->route->idempotent)
    ScheduleHedge(state, request, delay);
}

void DropSuccessor(gateway_state& state, const call_ptr& request, std::string_view reason) {
  const attempt_ptr dropped = std::exchange(request->successor, nullptr);
  request->may_have_run = true;
  log::Log(log::level::kInfo, "successor dropped",
           {{"request", request->incoming.id},
            {"reason", reason},
            {"attempt", dropped->number},
            {"endpoint", dropped->path.front().endpoint_id},
            {"open_attempt", request->open->number}});
  CloseAttempt(state, *dropped);
  RecordAttemptPath(state, *request, request->open->path);
  ContinueOpenAttempt(state, request, kMoveRetryInterval);
}

bool MustWithhold(const call& request, time_point now) {
  return request.withholding && now - request.last_output < kMaxWithholdTime;
}

void StartHedgeTimer(gateway_state& state, const call_ptr& request) {
  if (IsPipelined(*request->open) || !request->route->idempotent) return;
  ScheduleHedge(state, request, std::max<duration>(request->route->latency_goal, kMinHedgeDelay));
}

void OnRerouteFailed(gateway_state& state, const call_ptr& request) {
  request->reroute_not_before = MonotonicNow() + kRefusalBackoff;
  if (HasLostEngine(state, *request->open)) MoveOffLost(state, request);
}

void MoveRequestsOff(gateway_state& state, const std::string& endpoint_id, bool lost) {
  const time_point now = MonotonicNow();
  std::vector<call_ptr> affected;
  for (const auto& [number, request] : state.calls) {
    if (request->open && IsPipelined(*request->open)) affected.push_back(request);
  }
  for (const call_ptr& request : affected) {
    if (lost && request->successor && HasEndedEngine(state, *request->successor)) {
      DropSuccessor(state, request, "endpoint has ended");
    }
    if (!RunsOn(*request, endpoint_id)) continue;
    if (!lost) {
      ScheduleMove(state, request, endpoint_id, now + kMaxMoveDelay);
    } else if (UsesEndpoint(*request->open, endpoint_id)) {
      MoveOffLost(state, request);
    }
  }
}

void CheckProgress(gateway_state& state) {
  const time_point now = MonotonicNow();
  std::map<std::string_view, stall_counts> counts_by_engine;
  const auto count_attempt = [&](const attempt_ptr& checked) {
    if (!checked || !IsPipelined(*checked) || checked->rerouting) return;
    const bool stalled = IsStalled(state, *checked, now);
    for (const call_hop& path_hop : checked->path) {
      stall_counts& counts = counts_by_engine[path_hop.endpoint_id];
      ++counts.attempts;
      if (stalled) ++counts.stalled;
    }
  };
  for (const auto& [number, request] : state.calls) {
    count_attempt(request->open);
    count_attempt(request->successor);
  }
  std::vector<std::pair<std::string_view, stall_counts>> suspects;
  std::ranges::copy_if(counts_by_engine, std::back_inserter(suspects), [&](const auto& entry) {
    const stall_counts& counts = entry.second;
    if (counts.stalled == 0 || counts.stalled < kMinStalledFraction * counts.attempts) return false;
    const endpoint* suspect = FindEndpoint(state, entry.first);
    return suspect != nullptr && MayRequestReport(*suspect, now);
  });
  std::ranges::stable_sort(suspects, std::greater<>(),
                           [](const auto& entry) { return entry.second.stalled; });
  if (suspects.size() > kMaxChecksPerTick) suspects.resize(kMaxChecksPerTick);
  for (const auto& [id, counts] : suspects) {
    endpoint* suspect = FindEndpoint(state, id);
    if (suspect != nullptr) RequestReport(state, *suspect, kNoProgress);
  }
}

}  // namespace balsambay::gateway
