// Orders of gateways for each endpoint.
#include "details/watch.h"

#include <algorithm>

#include "exchange/watch.h"

namespace balsambay::gateway {
namespace {

using std::chrono_literals::operator""ms;

// Ranks change when gateways come or go, so they are kept for a while.
constexpr duration kRankLifetime = 1000ms;

// Gateways of other cells are not heard in turn; they count as alive.
bool IsAlive(const gateway_state& state, const peer& other, time_point now) {
  const duration lifetime = exchange::Lifetime(state.topology);
  return !other.in_cell || now - state.started_at < lifetime || now - other.heard < lifetime;
}

std::vector<std::string_view> LivingIn(const gateway_state& state, std::string_view zone,
                                       time_point now) {
  std::vector<std::string_view> out;
  for (const auto& [id, other] : state.peers) {
    if (other.address.zone == zone && IsAlive(state, other, now)) out.push_back(id);
  }
  return out;
}

bool HasGateways(const gateway_state& state, std::string_view zone) {
  return std::ranges::find(state.members, zone, &exchange::member::zone) != state.members.end();
}

}  // namespace

size_t ZoneWatchRank(gateway_state& state, endpoint& item) {
  const time_point now = MonotonicNow();
  if (item.ranked_at != time_point() && now - item.ranked_at < kRankLifetime) {
    return item.watch_rank;
  }
  item.ranked_at = now;
  item.watch_rank =
      exchange::WatchRank(item.listed.id, state.config.id, LivingIn(state, state.config.zone, now));
  return item.watch_rank;
}

std::vector<std::string_view> FirstZoneWatchers(const gateway_state& state, const endpoint& item) {
  return exchange::FirstWatchers(item.listed.id, LivingIn(state, state.config.zone, MonotonicNow()),
                                 kZoneWatchers);
}

bool IsRegularWatcher(gateway_state& state, endpoint& item) {
  if (item.listed.zone == state.config.zone) return ZoneWatchRank(state, item) == 0;
  if (HasGateways(state, item.listed.zone)) return false;
  std::vector<std::string_view> all;
  for (const auto& [id, other] : state.peers) all.push_back(id);
  return exchange::WatchRank(item.listed.id, state.config.id, all) == 0;
}

bool IsStoreContact(const gateway_state& state, const peer& other, time_point now) {
  return other.reached_store_at != time_point() &&
         now - other.reached_store_at < exchange::ContactLifetime(state.topology);
}

}  // namespace balsambay::gateway
