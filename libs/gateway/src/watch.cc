// Ranks of gateways as watchers of an endpoint, by rendezvous hashing (exchange/watch.h).
#include "details/watch.h"

#include <algorithm>

#include "exchange/watch.h"

namespace balsambay::gateway {
namespace {

using std::chrono_literals::operator""ms;

// Ranks are cached for this long, as they change only when gateways join or leave.
constexpr duration kRankLifetime = 1000ms;

// Gateways of other cells send no regular messages to this one, so they count as alive.
bool IsAlive(const gateway_state& state, const peer& remote, time_point now) {
  const duration lifetime = exchange::PeerTimeout(state.topology);
  return !remote.in_cell || now - state.started_at < lifetime || now - remote.heard < lifetime;
}

std::vector<std::string_view> LiveGatewaysIn(const gateway_state& state, std::string_view zone,
                                             time_point now) {
  std::vector<std::string_view> ids;
  for (const auto& [id, remote] : state.peers) {
    if (remote.address.zone == zone && IsAlive(state, remote, now)) ids.push_back(id);
  }
  return ids;
}

bool HasGateways(const gateway_state& state, std::string_view zone) {
  return std::ranges::find(state.members, zone, &exchange::member::zone) != state.members.end();
}

}  // namespace

size_t ZoneWatchRank(gateway_state& state, endpoint& target) {
  const time_point now = MonotonicNow();
  if (target.ranked_at != time_point() && now - target.ranked_at < kRankLifetime) {
    return target.watch_rank;
  }
  target.ranked_at = now;
  target.watch_rank = exchange::WatchRank(target.listed.id, state.config.id,
                                          LiveGatewaysIn(state, state.config.zone, now));
  return target.watch_rank;
}

std::vector<std::string_view> TopZoneWatchers(const gateway_state& state, const endpoint& target) {
  return exchange::FirstWatchers(
      target.listed.id, LiveGatewaysIn(state, state.config.zone, MonotonicNow()), kZoneWatchers);
}

bool IsReportWatcher(gateway_state& state, endpoint& target) {
  if (target.listed.zone == state.config.zone) return ZoneWatchRank(state, target) == 0;
  if (HasGateways(state, target.listed.zone)) return false;
  std::vector<std::string_view> ids;
  for (const auto& [id, remote] : state.peers) ids.push_back(id);
  return exchange::WatchRank(target.listed.id, state.config.id, ids) == 0;
}

bool IsStoreContact(const gateway_state& state, const peer& remote, time_point now) {
  return remote.reached_store_at != time_point() &&
         now - remote.reached_store_at < exchange::StoreContactTimeout(state.topology);
}

}  // namespace balsambay::gateway
