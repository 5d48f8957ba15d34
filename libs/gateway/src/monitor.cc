// Reports of engines: regular ones in turn, further ones when requests stall.
#include "details/monitor.h"

#include <algorithm>
#include <cmath>

#include "base/hash.h"
#include "details/calls.h"
#include "details/fleet.h"
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
constexpr double kMeanWeight = 0.125;
constexpr double kDeviationWeight = 0.25;
constexpr int kMissedReports = 2;
// A timer that runs this late shows that this process was held up; silence proves nothing then.
constexpr duration kHeldUp = 50ms;
// A report is some hundred ms old, so asking more often tells nothing new.
constexpr duration kCheckInterval = 250ms;
constexpr duration kDownProbeInterval = 500ms;
// Each engine is asked this often by one of the gateways, for its speed.
constexpr duration kRoundInterval = 2000ms;

// A zone counts as cut off when all its gateways are silent for this long and its engines do not
// answer either.
constexpr duration kZoneSilence = 600ms;
constexpr duration kZoneDown = 600ms;

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

void LearnReportTime(gateway_state& state, duration taken) {
  const double ms = Milliseconds(taken);
  state.report_deviation_ms +=
      kDeviationWeight * (std::abs(ms - state.report_ms) - state.report_deviation_ms);
  state.report_ms += kMeanWeight * (ms - state.report_ms);
}

duration CheckTimeout(const gateway_state& state) {
  const double ms = state.report_ms + kDeviations * state.report_deviation_ms;
  return std::clamp<duration>(FromMilliseconds(ms), kCheckTimeout, kReportTimeout);
}

void OnNoReport(gateway_state& state, endpoint& item, bool refused, std::string_view why) {
  item.next_probe = MonotonicNow() + kDownProbeInterval;
  if (item.down) return;
  ++item.missed_reports;
  if (!refused && why != kNoProgress && item.missed_reports < kMissedReports) {
    return Ask(state, item, why, CheckTimeout(state));
  }
  MarkDown(state, item, "no report, asked because: " + std::string(why));
  if (why != kToldByPeer) ReportDown(state, item);
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
    return OnNoReport(state, *item, refused, why);
  }
  LearnReportTime(state, MonotonicNow() - asked);
  auto report = state.wire.read_report(reply.body);
  if (report.has_error()) {
    log::Log(log::level::kWarning, "report cannot be read",
             {{"endpoint", id}, {"detail", report.error().detail}});
    return;
  }
  ApplyReport(state, *item, report.value());
  AskStalled(state, report.value());
}

void Ask(gateway_state& state, endpoint& item, std::string_view why, duration timeout) {
  item.probing = true;
  net::client_request request = state.wire.write_report_request(item.listed.address);
  request.header_timeout = timeout;
  request.fresh_connection = true;
  net::Fetch(
      *state.client, std::move(request),
      [&state, id = item.listed.id, address = item.listed.address, reason = std::string(why),
       asked = MonotonicNow(), timeout](const net::whole_reply& reply) {
        OnReport(state, id, address, reply, reason, asked, asked + timeout);
      },
      kShortReply);
}

// Whether this gateway is the one that asks the engine in regular rounds: the highest hash among
// the gateways that are heard, those of the engine's zone first.
bool IsOwnTurn(const gateway_state& state, const endpoint& item, time_point now) {
  const auto rank = [&](std::string_view id, std::string_view zone) {
    return std::pair(zone == item.listed.zone, Hash64(item.listed.id, Hash64(id)));
  };
  const auto own = rank(state.config.id, state.config.zone);
  return std::ranges::none_of(state.peers, [&](const auto& entry) {
    const peer& other = entry.second;
    return now - other.heard < kZoneSilence && rank(entry.first, other.address.zone) > own;
  });
}

void AskInTurn(gateway_state& state, time_point now) {
  for (auto& [id, item] : state.endpoints) {
    if (item.probing || item.listed.leaving || !IsEngine(state, item)) continue;
    if (item.down) {
      if (now >= item.next_probe) {
        item.next_probe = now + kDownProbeInterval;
        Ask(state, item, "out of use", kReportTimeout);
      }
    } else if (now - item.reported_at >= kRoundInterval && IsOwnTurn(state, item, now)) {
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

void CheckZones(gateway_state& state, time_point now) {
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
      if (engines <= 2 && !item.down && !item.probing && now - item.reported_at > kCheckInterval) {
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
      if (item.listed.zone == zone && IsEngine(state, item)) MarkDown(state, item, "zone cut off");
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

void StartMonitor(gateway_state& state) {
  Tick(state, MonotonicNow());
  ProgressTick(state, MonotonicNow());
}

}  // namespace balsambay::gateway
