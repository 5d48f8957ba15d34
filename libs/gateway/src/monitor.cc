// Health monitoring of endpoints: polls the reports of engines at a fixed interval, requests
// further reports when requests stall, and detects zones that cannot be reached.
#include "details/monitor.h"

#include <algorithm>
#include <cmath>

#include "details/containment.h"
#include "details/fleet.h"
#include "details/replacement.h"
#include "details/silence.h"
#include "details/watch.h"
#include "log/log.h"

namespace balsambay::gateway {
namespace {

using std::chrono_literals::operator""ms;

constexpr duration kTickInterval = 100ms;
constexpr duration kProgressTickInterval = 40ms;
// Engines answer report requests without using a request slot, so a missing answer means that the
// engine is lost. A single one may be lost in the network.
constexpr duration kMaxReportTimeout = 400ms;
// Lower bound of the adaptive timeout. For an engine whose requests have all stalled, one missing
// answer is enough.
constexpr duration kMinReportTimeout = 100ms;
// Reports take longer when this process is short of processor time. As with the retransmission
// timeout of TCP, an answer counts as missing when it takes longer than the mean by this many mean
// deviations.
constexpr double kTimeoutDeviations = 4;
constexpr moving_weights kReportWeights{.mean = 0.125, .deviation = 0.25};
constexpr int kMissedReportsUntilDown = 2;
// A timer that fires later than this shows that this process was blocked or not scheduled; a
// missing answer is no evidence then.
constexpr duration kMaxTimerDelay = 50ms;
// Reports are some hundred ms old, so requesting them more often gives no new information.
constexpr duration kMinReportInterval = 250ms;
constexpr duration kDownProbeInterval = 500ms;
// Upper bound for watchers of lower rank, which probe less often.
constexpr duration kMaxDownProbeInterval = 5000ms;
// One of the gateways polls each engine at this interval, to learn its speed.
constexpr duration kPollInterval = 2000ms;

// Silence of all gateways of a zone after which its engines are probed; the zone counts as cut off
// if they do not answer either.
constexpr duration kZoneSilence = 600ms;
// A zone that was found cut off gets no requests for this long, unless this is found again.
constexpr duration kZoneDownTime = 600ms;
// In installations with too many gateways for each to exchange load with all others, a zone is
// suspected when at least this many of its engines and at least this fraction of them were lost
// within kZoneLossWindow.
constexpr size_t kMinLostEngines = 3;
constexpr double kMinLostFraction = 0.1;
constexpr duration kZoneLossWindow = 1000ms;

bool IsEngine(const gateway_state& state, const endpoint& target) {
  if (!state.configuration) return false;
  const catalog::service* service =
      catalog::FindService(*state.configuration, target.listed.service);
  return service != nullptr && service->pipelined.has_value();
}

// Requests a report of each engine that the report names as the cause of stalled requests.
void RequestReportsOfBlockingEngines(gateway_state& state, const engine_report& report) {
  std::set<std::string> addresses;
  std::ranges::transform(report.stalled, std::inserter(addresses, addresses.end()),
                         &stalled_request::address);
  for (const std::string& address : addresses) {
    endpoint* fault = FindByAddress(state, address);
    // The cause may be the link between two engines, so the engine itself is checked.
    if (fault != nullptr) RequestReport(state, *fault, "named by a head");
  }
}

void SendReportRequest(gateway_state& state, endpoint& target, std::string_view reason,
                       duration timeout);

duration AdaptiveReportTimeout(const gateway_state& state) {
  return std::clamp(MeanPlusDeviations(state.report_latency, kTimeoutDeviations), kMinReportTimeout,
                    kMaxReportTimeout);
}

void OnMissingReport(gateway_state& state, endpoint& target, bool refused, std::string_view reason,
                     time_point requested_at) {
  if (target.down) {
    if (refused) MarkEnded(state, target);
    return;
  }
  if (target.missed_reports++ == 0) target.silent_since = requested_at;
  if (!refused && reason != kNoProgress && target.missed_reports < kMissedReportsUntilDown) {
    return SendReportRequest(state, target, reason, AdaptiveReportTimeout(state));
  }
  target.found_down = true;
  MarkDown(state, target, "report missing, requested because: " + std::string(reason),
           refused ? loss_evidence::kProof : loss_evidence::kSilence,
           refused ? kNever : target.silent_since);
  AnnounceEndpointUpdate(state, exchange::endpoint_event_kind::kDown, target);
}

void OnReport(gateway_state& state, const std::string& id, const std::string& address,
              const net::whole_reply& reply, std::string_view reason, time_point requested_at,
              time_point due) {
  endpoint* target = FindEndpoint(state, id);
  if (target == nullptr || target->listed.address != address) return;
  target->probing = false;
  if (reply.end.failure == net::call_failure::kNoSocket) {
    // Says nothing about the engine.
    log::Log(log::level::kWarning, "no socket left to request a report", {{"endpoint", id}});
    return;
  }
  ApplyReplyMetadata(state, *target, state.wire.read_reply(reply.head));
  if (reply.end.failure != net::call_failure::kNone || reply.status != 200) {
    const time_point now = MonotonicNow();
    if (now > due + kMaxTimerDelay || now - state.loop_delayed_at < kMaxReportTimeout) {
      return SendReportRequest(state, *target, reason, kMaxReportTimeout);
    }
    const bool refused = reply.end.failure == net::call_failure::kConnect && now < due;
    return OnMissingReport(state, *target, refused, reason, requested_at);
  }
  Add(state.report_latency, MonotonicNow() - requested_at, kReportWeights);
  auto report = state.wire.read_report(reply.body);
  if (report.has_error()) {
    log::Log(log::level::kWarning, "malformed report of an engine",
             {{"endpoint", id}, {"detail", report.error().detail}});
    return;
  }
  // The engine was restarted before any report was missing.
  if (report.value().incarnation > target->listed.incarnation) {
    if (!target->down) OnEndpointLost(state, *target);
    MarkEnded(state, *target);
  }
  ApplyReport(state, *target, report.value());
  OnEndpointAlive(state, *target, report.value().incarnation, requested_at);
  RequestReportsOfBlockingEngines(state, report.value());
}

void SendReportRequest(gateway_state& state, endpoint& target, std::string_view reason,
                       duration timeout) {
  target.probing = true;
  CountReport(state.metrics, reason);
  net::client_request request = state.wire.write_report_request(target.listed.address);
  request.header_timeout = timeout;
  net::Fetch(
      *state.client, std::move(request),
      [&state, id = target.listed.id, address = target.listed.address, reason = std::string(reason),
       requested_at = MonotonicNow(), timeout](const net::whole_reply& reply) {
        OnReport(state, id, address, reply, reason, requested_at, requested_at + timeout);
      },
      kShortReplyLimits);
}

// Watchers of lower rank probe less often; they only make up for first ones that are lost.
duration DownProbeInterval(size_t rank) {
  return std::min<duration>(kDownProbeInterval * (1 + 2 * rank), kMaxDownProbeInterval);
}

void PollEngines(gateway_state& state, time_point now) {
  for (auto& [id, target] : state.endpoints) {
    if (target.probing || target.listed.leaving || !IsEngine(state, target)) continue;
    if (target.down) {
      if (now < target.next_probe) continue;
      target.next_probe = now + DownProbeInterval(ZoneWatchRank(state, target));
      SendReportRequest(state, target, "out of use", kMaxReportTimeout);
    } else if (now - target.reported.at >= kPollInterval &&
               now - target.listed_at >= kPollInterval && IsReportWatcher(state, target)) {
      SendReportRequest(state, target, "regular", kMaxReportTimeout);
    }
  }
}

// Plain endpoints cannot be probed without using a request slot, so they are taken back into use
// after a delay.
void ResumePlainEndpoints(gateway_state& state, time_point now) {
  for (auto& [id, target] : state.endpoints) {
    if (!target.down || IsEngine(state, target) || now < target.next_probe + kDownProbeInterval)
      continue;
    target.down = false;
    log::Log(log::level::kInfo, "plain endpoint back in use without a probe", {{"endpoint", id}});
  }
}

// When several engines of a zone were lost together, the whole zone may be lost: the watchers of
// the remaining engines request their reports.
void CheckZonesByLosses(gateway_state& state, time_point now) {
  struct zone_counts {
    size_t engines = 0;
    size_t lost = 0;
  };
  std::map<std::string_view, zone_counts> zones;
  for (const auto& [id, target] : state.endpoints) {
    if (target.listed.leaving || !IsEngine(state, target)) continue;
    zone_counts& zone = zones[target.listed.zone];
    ++zone.engines;
    if (target.down && now - target.down_since < kZoneLossWindow) ++zone.lost;
  }
  for (auto& [id, target] : state.endpoints) {
    const auto zone = zones.find(target.listed.zone);
    if (zone == zones.end() || zone->second.lost < kMinLostEngines) continue;
    const double lost_fraction =
        static_cast<double>(zone->second.lost) / static_cast<double>(zone->second.engines);
    if (lost_fraction < kMinLostFraction || !MayRequestReport(target, now) ||
        now - target.answered_at < kMinReportInterval)
      continue;
    if (ZoneWatchRank(state, target) < kZoneWatchers)
      RequestReport(state, target, "zone suspected");
  }
}

void CheckZones(gateway_state& state, time_point now) {
  if (!state.topology.exact) return CheckZonesByLosses(state, now);
  std::map<std::string, time_point> last_heard;  // by zone
  for (const auto& [id, gateway_peer] : state.peers) {
    if (gateway_peer.address.zone == state.config.zone) continue;
    time_point& last = last_heard[gateway_peer.address.zone];
    last = std::max(last, gateway_peer.heard);
  }
  for (const auto& [zone, last] : last_heard) {
    if (last == time_point() || now - last < kZoneSilence) continue;
    int engines = 0;
    int down = 0;
    for (auto& [id, target] : state.endpoints) {
      if (target.listed.zone != zone || !IsEngine(state, target) || target.listed.leaving) continue;
      ++engines;
      if (target.down) ++down;
      if (engines <= 2 && !target.down && !target.probing &&
          now - target.answered_at > kMinReportInterval) {
        SendReportRequest(state, target, "silent zone", kMinReportTimeout);
      }
    }
    if (down < std::min(engines, 2)) continue;
    time_point& until = state.zone_down_until[zone];
    const bool already_down = until > now;
    until = now + kZoneDownTime;
    if (already_down) continue;
    log::Log(log::level::kWarning, "zone cannot be reached",
             {{"zone", zone}, {"silent_ms", WholeMilliseconds(now - last)}});
    for (auto& [id, target] : state.endpoints) {
      if (target.listed.zone == zone && IsEngine(state, target)) {
        MarkDown(state, target, "zone cut off", loss_evidence::kProof, last);
      }
    }
  }
}

void Tick(gateway_state& state, time_point now) {
  PollEngines(state, now);
  ResumePlainEndpoints(state, now);
  UpdateSilence(state, now);
  CheckZones(state, now);
  Subscribe(state.loop.Timers(), now + kTickInterval, [&state](time_point at) { Tick(state, at); });
}

void ProgressTick(gateway_state& state, time_point now) {
  if (now > state.progress_tick_due + kMaxTimerDelay) state.loop_delayed_at = now;
  CheckProgress(state);
  state.progress_tick_due = now + kProgressTickInterval;
  Subscribe(state.loop.Timers(), now + kProgressTickInterval,
            [&state](time_point at) { ProgressTick(state, at); });
}

}  // namespace

bool MayRequestReport(const endpoint& target, time_point now) {
  return !target.probing && !target.down && now - target.checked_at >= kMinReportInterval;
}

void RequestReport(gateway_state& state, endpoint& target, std::string_view reason) {
  const time_point now = MonotonicNow();
  if (!MayRequestReport(target, now)) return;
  target.checked_at = now;
  if (IsEngine(state, target))
    SendReportRequest(state, target, reason, AdaptiveReportTimeout(state));
}

void ConfirmLoss(gateway_state& state, endpoint& target) {
  constexpr std::string_view kConnectionBroken = "broke off";
  if (target.probing || target.down || !state.configuration) return;
  target.checked_at = MonotonicNow();
  if (IsEngine(state, target))
    return SendReportRequest(state, target, kConnectionBroken, AdaptiveReportTimeout(state));
  CheckSilence(state,
               {target.listed.id, target.listed.incarnation, target.listed.address,
                target.listed.service, target.listed.zone},
               MonotonicNow());
}

void StartMonitor(gateway_state& state) {
  Tick(state, MonotonicNow());
  ProgressTick(state, MonotonicNow());
}

}  // namespace balsambay::gateway
