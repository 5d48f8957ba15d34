// Load exchange between gateways: each sends the load that its requests put on endpoints. The
// messages are small, absolute and frequent, so a lost one does no harm.
#include <algorithm>
#include <nlohmann/json.hpp>

#include "details/fleet.h"
#include "details/monitor.h"
#include "log/log.h"

namespace balsambay::gateway {
namespace {

using nlohmann::json;
using std::chrono_literals::operator""ms;

constexpr int kMessageVersion = 1;
// With few gateways each is told ten times a second; the interval grows with their number, so that
// what one gateway receives stays bounded.
constexpr duration kBaseInterval = 100ms;
constexpr size_t kPeersPerBaseInterval = 8;
// The load that a silent peer reported is dropped after this time.
constexpr duration kPeerLifetime = 2000ms;
// Larger ages make no difference.
constexpr std::chrono::milliseconds kMaxFeedAge{60'000};
// Loads of other gateways are summed and ages of feeds looked at this often: below the interval of
// the messages.
constexpr duration kTick = 50ms;
// After a failed call for the lease, a gateway does not count as one that reaches the store for
// this long, so that another one observes the lease instead.
constexpr duration kLeaseFailureHold = 5000ms;

void AddLoads(gateway_state& state, const peer& from, int sign) {
  for (const auto& [address, part] : from.loads) {
    endpoint* target = FindByAddress(state, address);
    if (target == nullptr) continue;
    target->peers.committed += sign * part.committed;
    target->peers.sequences += sign * part.sequences;
    target->peers.head_requests += sign * part.head_requests;
  }
}

void SendToAll(gateway_state& state, const json& message) {
  const std::vector<uint8_t> bytes = json::to_cbor(message);
  const std::string data(bytes.begin(), bytes.end());
  for (const auto& [id, other] : state.peers) state.peer_socket->Send(other.address.address, data);
}

// Newest change and age of the confirmation, ms, for each feed.
json DescribeFeeds(const gateway_state& state, time_point now) {
  json out = json::array();
  for (const freshness& item : state.feeds) {
    out.push_back({item.changed, WholeMilliseconds(now - item.confirmed_at)});
  }
  return out;
}

bool ReachesStore(const gateway_state& state, time_point now) {
  const bool lease_works =
      state.lease_failed_at == time_point() || now - state.lease_failed_at > kLeaseFailureHold;
  return state.configuration_fed && lease_works;
}

json DescribeLoads(const gateway_state& state) {
  const time_point now = MonotonicNow();
  json loads = json::array();
  for (const auto& [id, item] : state.endpoints) {
    if (item.own.sequences == 0) continue;
    loads.push_back({item.listed.address, static_cast<int64_t>(item.own.committed),
                     item.own.sequences, item.own.head_requests});
  }
  return {{"v", kMessageVersion},
          {"id", state.config.id},
          {"store", ReachesStore(state, now)},
          {"feeds", DescribeFeeds(state, now)},
          {"loads", loads}};
}

// Sums are made anew, because endpoints come and go between two messages.
void SumLoads(gateway_state& state) {
  for (auto& [id, item] : state.endpoints) item.peers = {};
  for (const auto& [id, other] : state.peers) AddLoads(state, other, 1);
}

void CheckFeed(gateway_state& state, size_t index, std::string_view why, time_point now) {
  freshness& item = state.feeds[index];
  log::Log(log::level::kDebug, "feed is checked",
           {{"feed", index},
            {"why", why},
            {"version", item.complete},
            {"age_ms", WholeMilliseconds(now - item.confirmed_at)}});
  item.checked_at = now;
  state.store.check(static_cast<feed>(index));
}

void ReadFeeds(gateway_state& state, const json& feeds) {
  if (!feeds.is_array() || feeds.size() != state.feeds.size()) return;
  const time_point now = MonotonicNow();
  for (size_t i = 0; i < feeds.size(); ++i) {
    const json& entry = feeds[i];
    const bool valid = entry.is_array() && entry.size() == 2 && entry[0].is_number_unsigned() &&
                       entry[1].is_number_unsigned();
    if (!valid) continue;
    const auto age = std::chrono::milliseconds(
        std::min<uint64_t>(entry[1].get<uint64_t>(), kMaxFeedAge.count()));
    if (OnPeerPosition(state.feeds[i], entry[0].get<uint64_t>(), age, now)) {
      CheckFeed(state, i, "a peer knows more", now);
    }
  }
}

void ReadLoads(gateway_state& state, std::string_view data) {
  const json message = json::from_cbor(data, true, false);
  if (!message.is_object() || message.value("v", json()) != json(kMessageVersion)) return;
  const json id = message.value("id", json());
  const json loads = message.value("loads", json());
  const json down = message.value("down", json());
  if (!id.is_string()) return;
  const auto found = state.peers.find(id.get<std::string>());
  if (found == state.peers.end()) return;
  if (down.is_string()) {
    // Another gateway may lack a path that this one has, so the engine is asked.
    endpoint* item = FindByAddress(state, down.get<std::string>());
    if (item != nullptr) AskEndpoint(state, *item, kToldByPeer);
    return;
  }
  ReadFeeds(state, message.value("feeds", json()));
  if (!loads.is_array()) return;
  peer& from = found->second;
  from.heard = MonotonicNow();
  from.reaches_store = message.value("store", json()) == json(true);
  from.loads.clear();
  for (const json& entry : loads) {
    if (!entry.is_array() || entry.size() != 4 || !entry[0].is_string()) continue;
    const bool numbers = std::all_of(entry.begin() + 1, entry.end(),
                                     [](const json& value) { return value.is_number(); });
    if (!numbers) continue;
    from.loads[entry[0].get<std::string>()] = {entry[1].get<double>(), entry[2].get<int>(),
                                               entry[3].get<int>()};
  }
  state.peer_loads_changed = true;
}

void DropSilent(gateway_state& state, time_point now) {
  for (auto& [id, other] : state.peers) {
    if (other.loads.empty() || now - other.heard < kPeerLifetime) continue;
    other.loads.clear();
    state.peer_loads_changed = true;
  }
}

void SendLoads(gateway_state& state, time_point now) {
  SendToAll(state, DescribeLoads(state));
  DropSilent(state, now);
  const auto factor = 1 + state.peers.size() / kPeersPerBaseInterval;
  const duration pause = Jitter(state.rng, kBaseInterval * factor, 0.1);
  Subscribe(state.loop.Timers(), now + pause, [&state](time_point at) { SendLoads(state, at); });
}

// With many gateways a message arrives every few ms, and each sum reads what all of them sent.
void Tick(gateway_state& state, time_point now) {
  if (std::exchange(state.peer_loads_changed, false)) SumLoads(state);
  for (size_t i = 0; i < state.feeds.size(); ++i) {
    if (IsCheckDue(state.feeds[i], now)) CheckFeed(state, i, "not confirmed", now);
  }
  Subscribe(state.loop.Timers(), now + kTick, [&state](time_point at) { Tick(state, at); });
}

}  // namespace

result<void> StartPeers(gateway_state& state) {
  BOOST_OUTCOME_TRY(socket,
                    net::BindDatagram(state.config.listen_peers,
                                      [&state](std::string_view data) { ReadLoads(state, data); }));
  state.peer_socket = std::move(socket);
  SendLoads(state, MonotonicNow());
  Tick(state, MonotonicNow());
  return Success();
}

void ReportDown(gateway_state& state, const endpoint& item) {
  SendToAll(state,
            {{"v", kMessageVersion}, {"id", state.config.id}, {"down", item.listed.address}});
}

void ConfirmFeed(gateway_state& state, feed which, uint64_t changed, uint64_t complete) {
  freshness& item = state.feeds.at(static_cast<size_t>(which));
  const time_point now = MonotonicNow();
  const bool was_check = item.checked_at > item.confirmed_at;
  OnTablePosition(item, changed, complete, now);
  if (!was_check) return;
  SendToAll(
      state,
      {{"v", kMessageVersion}, {"id", state.config.id}, {"feeds", DescribeFeeds(state, now)}});
}

void ReplacePeers(gateway_state& state, std::span<const peer_address> peers) {
  std::map<std::string, peer> next;
  for (const peer_address& address : peers) {
    if (address.id == state.config.id) continue;
    const auto known = state.peers.find(address.id);
    const bool same = known != state.peers.end() && known->second.address == address;
    next[address.id] = same ? known->second : peer{address, {}, false, {}};
    if (!same) {
      log::Log(log::level::kInfo, "peer",
               {{"id", address.id}, {"zone", address.zone}, {"address", address.address}});
    }
  }
  state.peers = std::move(next);
  SumLoads(state);
  // An equal part of the shared allowance; a peer that is not known yet may double one part.
  state.budget.own_slack = state.config.retry_slack / static_cast<double>(state.peers.size() + 1);
}

}  // namespace balsambay::gateway
