// Reports of engines: regular ones in turn, further ones when requests stall.
#include "details/monitor.h"

#include <algorithm>
#include <cmath>

#include "details/containment.h"
#include "details/fleet.h"
#include "details/replacement.h"
#include "details/watch.h"
#include "log/log.h"

namespace balsambay::gateway {
namespace {

using std::chrono_literals::operator""ms;

constexpr duration kTick = 100ms;
constexpr duration kProgressTick = 40ms;
// Engines answer reports without a slot, so missing answers mean that they are gone. One may be
// lost on the way.
constexpr duration kReportTimeout = 400ms;
// For an engine whose requests have all stalled, one missing answer is enough.
constexpr duration kCheckTimeout = 100ms;
// Reports take longer when this process is short of processor time; as for retransmissions of TCP,
// an answer is missing when it takes longer than the mean by this many mean deviations.
constexpr double kDeviations = 4;
constexpr moving_weights kReportWeights{.mean = 0.125, .deviation = 0.25};
constexpr int kMissedReports = 2;
// A timer that runs this late shows that this process was held up; silence proves nothing then.
constexpr duration kHeldUp = 50ms;
// A report is some hundred ms old, so asking more often tells nothing new.
constexpr duration kCheckInterval = 250ms;
constexpr duration kDownProbeInterval = 500ms;
// For later watchers, whose rank raises the interval.
constexpr duration kLongestDownProbe = 5000ms;
// Each engine is asked this often by one of the gateways, for its speed.
constexpr duration kRoundInterval = 2000ms;

// A zone counts as cut off when all its gateways are silent for this long and its engines do not
// answer either.
constexpr duration kZoneSilence = 600ms;
constexpr duration kZoneDown = 600ms;
// With more gateways than send to each other in turn: a zone is suspected when this many of its
// engines and this part of them were lost lately.
constexpr size_t kSuspectLeast = 3;
constexpr double kSuspectPart = 0.1;
constexpr duration kSuspectWindow = 1000ms;

bool IsEngine(const gateway_state& state, const endpoint& item) {
  if (!state.configuration) return false;
  const catalog::service* service = catalog::FindService(*state.configuration, item.listed.service);
  return service != nullptr && service->pipelined.has_value();
}

void AskStalled(gateway_state& state, const engine_report& report) {
  std::set<std::string> addresses;
  std::ranges::transform(report.stalled, std::inserter(addresses, addresses.end()),
                         &stalled_request::address);
  for (const std::string& address : addresses) {
    endpoint* fault = FindByAddress(state, address);
    // The fault may be a link between engines, so the engine itself is asked.
    if (fault != nullptr) AskEndpoint(state, *fault, "named by a head");
  }
}

void Ask(gateway_state& state, endpoint& item, std::string_view why, duration timeout);

duration CheckTimeout(const gateway_state& state) {
  return std::clamp(Beyond(state.report_time, kDeviations), kCheckTimeout, kReportTimeout);
}

void OnNoReport(gateway_state& state, endpoint& item, bool refused, std::string_view why,
                time_point asked) {
  if (item.down) {
    if (refused) NoteEnded(state, item);
    return;
  }
  if (item.missed_reports++ == 0) item.silent_since = asked;
  if (!refused && why != kNoProgress && item.missed_reports < kMissedReports) {
    return Ask(state, item, why, CheckTimeout(state));
  }
  item.found_down = true;
  MarkDown(state, item, "no report, asked because: " + std::string(why),
           refused ? loss_evidence::kProof : loss_evidence::kSilence,
           refused ? kNever : item.silent_since);
  TellNews(state, exchange::news_kind::kDown, item);
}

void OnReport(gateway_state& state, const std::string& id, const std::string& address,
              const net::whole_reply& reply, std::string_view why, time_point asked,
              time_point due) {
  endpoint* item = FindEndpoint(state, id);
  if (item == nullptr || item->listed.address != address) return;
  item->probing = false;
  ApplyFacts(state, *item, state.wire.read_reply(reply.head));
  if (reply.end.failure != net::call_failure::kNone || reply.status != 200) {
    const time_point now = MonotonicNow();
    if (now > due + kHeldUp || now - state.held_up_at < kReportTimeout) {
      return Ask(state, *item, why, kReportTimeout);
    }
    const bool refused = reply.end.failure == net::call_failure::kConnect && now < due;
    return OnNoReport(state, *item, refused, why, asked);
  }
  Add(state.report_time, MonotonicNow() - asked, kReportWeights);
  auto report = state.wire.read_report(reply.body);
  if (report.has_error()) {
    log::Log(log::level::kWarning, "report cannot be read",
             {{"endpoint", id}, {"detail", report.error().detail}});
    return;
  }
  // Started again before anything was missed.
  if (report.value().incarnation > item->listed.incarnation) {
    if (!item->down) NoteLost(state, *item);
    NoteEnded(state, *item);
  }
  ApplyReport(state, *item, report.value());
  NoteAlive(state, *item, report.value().incarnation, asked);
  AskStalled(state, report.value());
}

void Ask(gateway_state& state, endpoint& item, std::string_view why, duration timeout) {
  item.probing = true;
  CountReport(state.metrics, why);
  net::client_request request = state.wire.write_report_request(item.listed.address);
  request.header_timeout = timeout;
  net::Fetch(
      *state.client, std::move(request),
      [&state, id = item.listed.id, address = item.listed.address, reason = std::string(why),
       asked = MonotonicNow(), timeout](const net::whole_reply& reply) {
        OnReport(state, id, address, reply, reason, asked, asked + timeout);
      },
      kShortReply);
}

// A plain endpoint answers in turn, so only a refused connection shows that it is gone.
void OnHealth(gateway_state& state, const std::string& id, const net::whole_reply& reply,
              time_point asked) {
  endpoint* item = FindEndpoint(state, id);
  if (item == nullptr) return;
  item->probing = false;
  const bool timely = MonotonicNow() < asked + kReportTimeout;
  if (reply.end.failure == net::call_failure::kConnect && timely) {
    MarkDown(state, *item, "refuses connections", loss_evidence::kProof);
  } else if (reply.end.failure == net::call_failure::kNone) {
    NoteAlive(state, *item, item->listed.incarnation, asked);
  }
}

void AskHealth(gateway_state& state, endpoint& item) {
  const catalog::service* service = catalog::FindService(*state.configuration, item.listed.service);
  if (service == nullptr || service->health_path.empty()) return;
  item.probing = true;
  net::client_request request;
  request.method = "GET";
  request.url = "http://" + item.listed.address + service->health_path;
  request.header_timeout = kReportTimeout;
  net::Fetch(
      *state.client, std::move(request),
      [&state, id = item.listed.id, asked = MonotonicNow()](const net::whole_reply& reply) {
        OnHealth(state, id, reply, asked);
      },
      kShortReply);
}

// Later watchers look less often, in case the first ones are gone.
duration DownProbeInterval(size_t rank) {
  return std::min<duration>(kDownProbeInterval * (1 + 2 * rank), kLongestDownProbe);
}

void AskInTurn(gateway_state& state, time_point now) {
  for (auto& [id, item] : state.endpoints) {
    if (item.probing || item.listed.leaving || !IsEngine(state, item)) continue;
    if (item.down) {
      if (now < item.next_probe) continue;
      item.next_probe = now + DownProbeInterval(ZoneWatchRank(state, item));
      Ask(state, item, "out of use", kReportTimeout);
    } else if (now - item.reported.at >= kRoundInterval && now - item.listed_at >= kRoundInterval &&
               IsRegularWatcher(state, item)) {
      Ask(state, item, "regular", kReportTimeout);
    }
  }
}

// Plain endpoints cannot be asked without taking a slot, so they are tried again after a while.
void ReviveServices(gateway_state& state, time_point now) {
  for (auto& [id, item] : state.endpoints) {
    if (!item.down || IsEngine(state, item) || now < item.next_probe + kDownProbeInterval) continue;
    item.down = false;
    log::Log(log::level::kInfo, "endpoint is tried again", {{"endpoint", id}});
  }
}

// Engines of one zone that were lost together may be the first of all: the watchers ask the others.
void CheckSuspectZones(gateway_state& state, time_point now) {
  struct counts {
    size_t engines = 0;
    size_t lost = 0;
  };
  std::map<std::string_view, counts> zones;
  for (const auto& [id, item] : state.endpoints) {
    if (item.listed.leaving || !IsEngine(state, item)) continue;
    counts& zone = zones[item.listed.zone];
    ++zone.engines;
    if (item.down && now - item.down_since < kSuspectWindow) ++zone.lost;
  }
  for (auto& [id, item] : state.endpoints) {
    const auto zone = zones.find(item.listed.zone);
    if (zone == zones.end() || zone->second.lost < kSuspectLeast) continue;
    const double part =
        static_cast<double>(zone->second.lost) / static_cast<double>(zone->second.engines);
    if (part < kSuspectPart || !MayAsk(item, now) || now - item.answered_at < kCheckInterval)
      continue;
    if (ZoneWatchRank(state, item) < kZoneWatchers) AskEndpoint(state, item, "zone suspected");
  }
}

void CheckZones(gateway_state& state, time_point now) {
  if (!state.topology.exact) return CheckSuspectZones(state, now);
  std::map<std::string, time_point> heard;
  for (const auto& [id, other] : state.peers) {
    if (other.address.zone == state.config.zone) continue;
    time_point& last = heard[other.address.zone];
    last = std::max(last, other.heard);
  }
  for (const auto& [zone, last] : heard) {
    if (last == time_point() || now - last < kZoneSilence) continue;
    int engines = 0;
    int down = 0;
    for (auto& [id, item] : state.endpoints) {
      if (item.listed.zone != zone || !IsEngine(state, item) || item.listed.leaving) continue;
      ++engines;
      if (item.down) ++down;
      if (engines <= 2 && !item.down && !item.probing && now - item.answered_at > kCheckInterval) {
        Ask(state, item, "silent zone", kCheckTimeout);
      }
    }
    if (down < std::min(engines, 2)) continue;
    time_point& until = state.zone_down_until[zone];
    const bool known = until > now;
    until = now + kZoneDown;
    if (known) continue;
    log::Log(log::level::kWarning, "zone cannot be reached",
             {{"zone", zone}, {"silent_ms", WholeMilliseconds(now - last)}});
    for (auto& [id, item] : state.endpoints) {
      if (item.listed.zone == zone && IsEngine(state, item)) {
        MarkDown(state, item, "zone cut off", loss_evidence::kProof, last);
      }
    }
  }
}

void Tick(gateway_state& state, time_point now) {
  AskInTurn(state, now);
  ReviveServices(state, now);
  CheckZones(state, now);
  Subscribe(state.loop.Timers(), now + kTick, [&state](time_point at) { Tick(state, at); });
}

void ProgressTick(gateway_state& state, time_point now) {
  if (now > state.progress_due + kHeldUp) state.held_up_at = now;
  CheckProgress(state);
  state.progress_due = now + kProgressTick;
  Subscribe(state.loop.Timers(), now + kProgressTick,
            [&state](time_point at) { ProgressTick(state, at); });
}

}  // namespace

bool MayAsk(const endpoint& item, time_point now) {
  return !item.probing && !item.down && now - item.checked_at >= kCheckInterval;
}

void AskEndpoint(gateway_state& state, endpoint& item, std::string_view why) {
  const time_point now = MonotonicNow();
  if (!MayAsk(item, now)) return;
  item.checked_at = now;
  if (IsEngine(state, item)) Ask(state, item, why, CheckTimeout(state));
}

void ConfirmLoss(gateway_state& state, endpoint& item) {
  constexpr std::string_view kBrokeOff = "broke off";
  if (item.probing || item.down || !state.configuration) return;
  item.checked_at = MonotonicNow();
  if (IsEngine(state, item)) return Ask(state, item, kBrokeOff, CheckTimeout(state));
  CountReport(state.metrics, kBrokeOff);
  AskHealth(state, item);
}

void StartMonitor(gateway_state& state) {
  Tick(state, MonotonicNow());
  ProgressTick(state, MonotonicNow());
}

}  // namespace balsambay::gateway
