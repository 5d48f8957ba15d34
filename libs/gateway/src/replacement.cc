// Successors of running attempts.
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

// An idempotent plain call is tried elsewhere when the endpoint has not answered by the route's
// latency goal, but not sooner than this.
constexpr duration kLeastTryTime = 100ms;

// Requests move off an endpoint that leaves before it ends, which is 2 s after its notice or later.
// By then most have ended, or another engine holds its layers, so that they move in place.
constexpr duration kMoveLatest = 1800ms;
constexpr duration kMoveRetry = 150ms;
// Requests on a lost engine that still make output are looked at again after this time, which is
// less than the usual patience with a stream.
constexpr duration kLostRetry = 50ms;
// Output waits at most this long for a successor: half of the pause after which callers give up.
constexpr duration kLongestWithheld = 1000ms;

// An engine is suspected when at least this part of the requests through it has stalled: those that
// only share a path with a lost engine also run requests that go on.
constexpr double kSuspectPart = 0.8;
// Each check costs a connection. Enough for all engines of a path at once: the one that is lost
// shows by its silence while the others answer.
constexpr size_t kMaxChecksPerTick = 14;

// Requests of this gateway through one engine.
struct suspicion {
  int calls = 0;
  int stalled = 0;
};

// Whether an engine of the open path is taken for lost. One that only leaves still serves.
bool IsLost(gateway_state& state, const call_hop& part) {
  const endpoint* engine = FindEndpoint(state, part.endpoint_id);
  return engine == nullptr || engine->down;
}

bool HasEndedPart(gateway_state& state, const attempt& item) {
  return std::ranges::any_of(item.path, [&](const call_hop& part) {
    const endpoint* engine = FindEndpoint(state, part.endpoint_id);
    return engine != nullptr && engine->ended;
  });
}

bool HasLostPart(gateway_state& state, const attempt& item) {
  return std::ranges::any_of(item.path, [&](const call_hop& part) { return IsLost(state, part); });
}

// Whether an endpoint takes part in the open attempt, or in the successor that may take over.
bool RunsOn(const call& item, std::string_view endpoint_id) {
  return (item.open && HasPart(*item.open, endpoint_id)) ||
         (item.successor && HasPart(*item.successor, endpoint_id));
}

// Sends a successor of the open attempt. False when none may be sent or can be had now.
bool SeekSuccessor(gateway_state& state, const call_ptr& item, attempt_failure why) {
  const time_point now = MonotonicNow();
  if (item->successor) return true;
  if (item->open->rerouting || now < item->seek_after) return false;
  if (MayReplace(state, *item, why, now) != permission::kGranted) return false;
  if (!MayStartElsewhere(state, *item)) {
    // What failed may have recovered, and there is nothing else.
    item->avoided.clear();
    return false;
  }
  const quarantine::verdict foreseen = WouldRun(state, *item);
  if (foreseen == quarantine::verdict::kHold || foreseen == quarantine::verdict::kRefuse) {
    return false;
  }
  const bool goes_on = why == attempt_failure::kMoved || !IsStalled(state, *item->open, now);
  if (!AskAgain(state, item)) return false;
  // Progress is shown anew.
  item->open->outputs = 0;
  if (StartAttempt(state, item, CallEvents()) != start_result::kStarted) {
    PlaceAttempt(state, *item, item->open->path);
    return false;
  }
  item->replaced_for = why;
  item->withholding = item->streaming && goes_on;
  CountRepeat(state.budget, item->service, now);
  CountRetry(state.metrics, ToString(why));
  log::Log(log::level::kInfo, "successor sent",
           {{"request", item->incoming.id},
            {"reason", ToString(why)},
            {"attempt", item->successor->number},
            {"endpoint", item->successor->path.front().endpoint_id},
            {"open_attempt", item->open->number},
            {"open_endpoint", item->open->path.front().endpoint_id},
            {"silent_ms", WholeMilliseconds(now - item->open->last_progress)},
            {"withholding", item->withholding},
            {"events", item->events.events}});
  return true;
}

// Takes a request off an endpoint that leaves. `last_chance`: also by ways that delay it.
void MoveOff(gateway_state& state, const call_ptr& item, const std::string& endpoint_id,
             bool last_chance) {
  const bool is_head = item->open->path.front().endpoint_id == endpoint_id;
  if (item->successor || IsQuarantined(state, *item)) return;
  const bool may_order = !is_head && (!last_chance || MonotonicNow() >= item->reroute_after);
  if (may_order && Reroute(state, item, false, CallEvents())) return;
  if (!last_chance || SeekSuccessor(state, item, attempt_failure::kMoved)) return;
  if (may_order) Reroute(state, item, true, CallEvents());
}

// An endpoint that leaves goes on serving for a while. Most requests end in that time; the others
// move one after the other, since those that move together wait for each other.
void MoveLater(gateway_state& state, const call_ptr& item, const std::string& endpoint_id,
               time_point latest) {
  const time_point now = MonotonicNow();
  const duration spread = std::max<duration>(latest - now, kMoveRetry);
  const duration delay = std::min<duration>(
      kMoveRetry + duration(static_cast<duration::rep>(UniformUnit(state.rng) *
                                                       static_cast<double>(spread.count()) / 2)),
      spread);
  const std::weak_ptr<call> weak = item;
  Subscribe(state.loop.Timers(), now + delay, [&state, weak, endpoint_id, latest](time_point at) {
    const call_ptr held = weak.lock();
    if (!held || !RunsOn(*held, endpoint_id)) return;
    if (HasPart(*held->open, endpoint_id)) {
      MoveOff(state, held, endpoint_id, at + kMoveRetry >= latest);
    }
    // The order to move may still be refused.
    MoveLater(state, held, endpoint_id, latest);
  });
}

void MoveOffLost(gateway_state& state, const call_ptr& item);

void WatchLost(gateway_state& state, const call_ptr& item, duration pause) {
  Cancel(state.loop.Timers(), item->lost_timer);
  const std::weak_ptr<call> weak = item;
  item->lost_timer =
      Subscribe(state.loop.Timers(), MonotonicNow() + pause, [&state, weak](time_point) {
        const call_ptr held = weak.lock();
        if (held && held->open) MoveOffLost(state, held);
      });
}

// Takes a request off engines that are taken for lost. They may only have been silent, so the open
// attempt stays until another one makes output.
void MoveOffLost(gateway_state& state, const call_ptr& item) {
  const time_point now = MonotonicNow();
  if (!HasLostPart(state, *item->open) || IsQuarantined(state, *item)) return;
  const bool goes_on = !IsStalled(state, *item->open, now) && !HasEndedPart(state, *item->open);
  if (goes_on) return WatchLost(state, item, kLostRetry);
  WatchLost(state, item, kMoveRetry);
  if (item->successor || item->open->rerouting) return;
  const bool head_lost = IsLost(state, item->open->path.front());
  const bool may_order = !head_lost && now >= item->reroute_after;
  if (may_order && Reroute(state, item, false, CallEvents())) return;
  if (SeekSuccessor(state, item, attempt_failure::kStalled)) return;
  if (may_order) Reroute(state, item, true, CallEvents());
}

void TryElsewhere(gateway_state& state, const call_ptr& item) {
  if (item->successor) return;
  const std::string target_id = item->open->path.front().endpoint_id;
  if (!SeekSuccessor(state, item, attempt_failure::kStalled)) return;
  if (endpoint* target = FindEndpoint(state, target_id)) {
    RecordOutcome(*target, true, MonotonicNow());
  }
}

void WatchTryIn(gateway_state& state, const call_ptr& item, duration time) {
  Cancel(state.loop.Timers(), item->try_timer);
  const std::weak_ptr<call> weak = item;
  item->try_timer =
      Subscribe(state.loop.Timers(), MonotonicNow() + time, [&state, weak](time_point) {
        const call_ptr held = weak.lock();
        if (!held || !held->open) return;
        TryElsewhere(state, held);
        if (!held->successor) WatchTryIn(state, held, kMoveRetry);
      });
}

}  // namespace

bool AskAgain(gateway_state& state, const call_ptr& item) {
  EndAttempt(state, *item, attempt_end::kClosed);
  const quarantine::verdict answer = AskToRun(state, *item).answer;
  item->suspect = answer == quarantine::verdict::kAllowAlone;
  return item->suspect || answer == quarantine::verdict::kAllow;
}

void TakeOver(gateway_state& state, const call_ptr& item) {
  const time_point now = MonotonicNow();
  const attempt_ptr former = std::exchange(item->open, std::exchange(item->successor, nullptr));
  item->withholding = false;
  item->may_have_run = true;
  if (item->replaced_for == attempt_failure::kStalled) {
    item->avoided.insert(former->path.front().endpoint_id);
  }
  CountEndedRunning(state.metrics, ToString(item->replaced_for));
  log::Log(log::level::kInfo, "attempt replaced",
           {{"request", item->incoming.id},
            {"fingerprint", quarantine::ToString(item->fingerprint)},
            {"reason", ToString(item->replaced_for)},
            {"attempt", former->number},
            {"endpoint", former->path.front().endpoint_id},
            {"by", item->open->number},
            {"by_endpoint", item->open->path.front().endpoint_id},
            {"silent_ms", WholeMilliseconds(now - former->last_progress)},
            {"withheld_bytes", former->withheld.size()},
            {"events", item->events.events}});
  CloseAttempt(state, *former);
  PlaceAttempt(state, *item, item->open->path);
  if (HasLostPart(state, *item->open)) WatchLost(state, item, kLostRetry);
}

void GoOn(gateway_state& state, const call_ptr& item, duration pause) {
  item->withholding = false;
  item->seek_after = MonotonicNow() + pause;
  // Progress is shown anew.
  item->open->outputs = 0;
  const std::string withheld = std::exchange(item->open->withheld, {});
  if (!withheld.empty()) {
    PassOn(state, item, withheld);
    item->open->upstream->ResumeReading();
  }
  if (!IsPipelined(*item->open) && item->route->idempotent) WatchTryIn(state, item, pause);
}

void DropSuccessor(gateway_state& state, const call_ptr& item, std::string_view reason) {
  const attempt_ptr dropped = std::exchange(item->successor, nullptr);
  item->may_have_run = true;
  log::Log(log::level::kInfo, "successor dropped",
           {{"request", item->incoming.id},
            {"reason", reason},
            {"attempt", dropped->number},
            {"endpoint", dropped->path.front().endpoint_id},
            {"open_attempt", item->open->number}});
  CloseAttempt(state, *dropped);
  PlaceAttempt(state, *item, item->open->path);
  GoOn(state, item, kMoveRetry);
}

bool MustWithhold(const call& item, time_point now) {
  return item.withholding && now - item.last_output < kLongestWithheld;
}

void WatchTry(gateway_state& state, const call_ptr& item) {
  if (IsPipelined(*item->open) || !item->route->idempotent) return;
  WatchTryIn(state, item, std::max<duration>(item->route->latency_goal, kLeastTryTime));
}

void OnRerouteFailed(gateway_state& state, const call_ptr& item) {
  item->reroute_after = MonotonicNow() + kRefusalHold;
  if (HasLostPart(state, *item->open)) MoveOffLost(state, item);
}

void MoveCallsOff(gateway_state& state, const std::string& endpoint_id, bool lost) {
  const time_point now = MonotonicNow();
  std::vector<call_ptr> affected;
  for (const auto& [number, item] : state.calls) {
    if (item->open && IsPipelined(*item->open)) affected.push_back(item);
  }
  for (const call_ptr& item : affected) {
    if (lost && item->successor && HasEndedPart(state, *item->successor)) {
      DropSuccessor(state, item, "endpoint has ended");
    }
    if (!RunsOn(*item, endpoint_id)) continue;
    if (!lost) {
      MoveLater(state, item, endpoint_id, now + kMoveLatest);
    } else if (HasPart(*item->open, endpoint_id)) {
      MoveOffLost(state, item);
    }
  }
}

void CheckProgress(gateway_state& state) {
  const time_point now = MonotonicNow();
  std::map<std::string_view, suspicion> seen;
  const auto look_at = [&](const attempt_ptr& item) {
    if (!item || !IsPipelined(*item) || item->rerouting) return;
    const bool stalled = IsStalled(state, *item, now);
    for (const call_hop& part : item->path) {
      suspicion& entry = seen[part.endpoint_id];
      ++entry.calls;
      if (stalled) ++entry.stalled;
    }
  };
  for (const auto& [number, item] : state.calls) {
    look_at(item->open);
    look_at(item->successor);
  }
  std::vector<std::pair<std::string_view, suspicion>> suspects;
  std::ranges::copy_if(seen, std::back_inserter(suspects), [&](const auto& entry) {
    const suspicion& counts = entry.second;
    if (counts.stalled == 0 || counts.stalled < kSuspectPart * counts.calls) return false;
    const endpoint* suspect = FindEndpoint(state, entry.first);
    return suspect != nullptr && MayAsk(*suspect, now);
  });
  std::ranges::stable_sort(suspects, std::greater<>(),
                           [](const auto& entry) { return entry.second.stalled; });
  if (suspects.size() > kMaxChecksPerTick) suspects.resize(kMaxChecksPerTick);
  for (const auto& [id, counts] : suspects) {
    endpoint* suspect = FindEndpoint(state, id);
    if (suspect != nullptr) AskEndpoint(state, *suspect, kNoProgress);
  }
}

}  // namespace balsambay::gateway
