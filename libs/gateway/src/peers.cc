// Exchange with other gateways: loads, reports of engines, how current the shared tables are, and
// news of endpoints. Whom to tell and how often is decided in libs/exchange.
#include <algorithm>

#include "details/containment.h"
#include "details/fleet.h"
#include "details/monitor.h"
#include "details/sharing.h"
#include "details/watch.h"
#include "exchange/message.h"
#include "log/log.h"

namespace balsambay::gateway {
namespace {

using exchange::engine_record;
using exchange::news_kind;
using std::chrono_literals::operator""ms;

// Loads of other gateways are summed and ages of feeds looked at this often: below the interval of
// the messages.
constexpr duration kTick = 50ms;
// News that come together go out in one message.
constexpr duration kNewsDelay = 5ms;
// After a failed call for the lease, a gateway does not count as one that reaches the store for
// this long, so that another one observes the lease instead.
constexpr duration kLeaseFailureHold = 5000ms;
// Most entries of a message of state, so that it stays one small datagram.
constexpr size_t kMostRecords = 16;
constexpr size_t kMostPassedOn = 16;
constexpr size_t kMostContacts = 3;
// News that contradict an answer that is younger than this are checked instead of believed.
constexpr duration kOwnEvidence = 600ms;
// The list of gateways may be this much older than the other tables before it is checked: those
// that come or go are noticed by their messages first.
constexpr int kGatewayAgeFactor = 4;

bool IsExact(const gateway_state& state) { return state.topology.exact; }

void AddLoads(gateway_state& state, const peer& from) {
  for (const auto& [name, part] : from.loads) {
    endpoint* target = FindByName(state, name);
    if (target == nullptr) continue;
    target->peers.committed += part.committed;
    target->peers.sequences += part.sequences;
    target->peers.head_requests += part.head_requests;
  }
}

// Sums are made anew, because endpoints come and go between two messages.
void SumLoads(gateway_state& state) {
  for (auto& [id, item] : state.endpoints) item.peers = {};
  for (const auto& [id, other] : state.peers) AddLoads(state, other);
}

void SendTo(gateway_state& state, const std::string& id, const std::string& data) {
  const auto found = state.peers.find(id);
  if (found != state.peers.end()) state.peer_socket->Send(found->second.address.address, data);
}

void Send(gateway_state& state, const std::vector<size_t>& to, const std::string& data) {
  for (const size_t index : to) SendTo(state, state.members[index].id, data);
}

// To the own cell and to some members of others.
void Announce(gateway_state& state, const exchange::message& message) {
  const std::string data = Encode(message);
  const exchange::receivers to = exchange::NewsReceivers(state.topology, state.rng);
  Send(state, to.cell, data);
  Send(state, to.relays, data);
}

bool ReachesStore(const gateway_state& state, time_point now) {
  const bool lease_works =
      state.lease_failed_at == time_point() || now - state.lease_failed_at > kLeaseFailureHold;
  return state.configuration_fed && lease_works;
}

exchange::message MakeMessage(const gateway_state& state) {
  exchange::message out;
  out.from = exchange::NameOf(state.config.id);
  for (const freshness& item : state.feeds) {
    out.feeds.push_back({item.changed, item.confirmed_ms});
  }
  return out;
}

std::vector<exchange::own_load> OwnLoads(const gateway_state& state) {
  std::vector<exchange::own_load> out;
  for (const auto& [id, item] : state.endpoints) {
    if (item.own.sequences == 0) continue;
    out.push_back(
        {exchange::NameOf(id), item.own.committed, item.own.sequences, item.own.head_requests});
  }
  return out;
}

engine_record RecordOf(const endpoint& item, time_point now) {
  const pipeline::layer_range held = item.held.value_or(pipeline::layer_range{});
  return {exchange::NameOf(item.listed.id),
          now - item.reported.at,
          item.reported.committed,
          item.reported.sequences,
          item.slowdown,
          held.begin,
          held.end};
}

// Records that wait to be told: own reports, or those that came from other cells.
std::vector<engine_record> TakeRecords(gateway_state& state, record_duty duty, size_t most,
                                       time_point now) {
  std::vector<engine_record> out;
  for (auto& [id, item] : state.endpoints) {
    if (item.reported.duty != duty || out.size() == most) continue;
    item.reported.duty = record_duty::kNone;
    out.push_back(RecordOf(item, now));
  }
  return out;
}

// The gateways with the lowest ids that are known to reach the store.
std::vector<exchange::store_contact> BestContacts(const gateway_state& state, time_point now) {
  std::vector<exchange::store_contact> out;
  const auto add = [&](const std::string& id, time_point at) {
    out.push_back({exchange::NameOf(id), now - at});
  };
  bool self_added = !ReachesStore(state, now);
  for (const auto& [id, other] : state.peers) {
    if (out.size() >= kMostContacts) break;
    if (!self_added && state.config.id < id) {
      self_added = true;
      add(state.config.id, now);
    }
    if (IsStoreContact(state, other, now)) add(id, other.reached_store_at);
  }
  if (!self_added && out.size() < kMostContacts) add(state.config.id, now);
  if (out.size() > kMostContacts) out.resize(kMostContacts);
  return out;
}

// Of one message of state.
constexpr size_t kMostLeaving = 8;

// Endpoints that have said that they leave, until the list says so, too: makes up for news that
// were lost.
std::vector<exchange::endpoint_news> LeavingNews(const gateway_state& state) {
  std::vector<exchange::endpoint_news> out;
  for (const auto& [id, item] : state.endpoints) {
    if (out.size() == kMostLeaving) break;
    if (!item.listed.leaving || item.listed_leaving) continue;
    out.push_back({news_kind::kLeaving, exchange::NameOf(id), item.listed.incarnation});
  }
  return out;
}

void SendState(gateway_state& state, time_point now) {
  exchange::message message = MakeMessage(state);
  message.is_state = true;
  message.reaches_store = ReachesStore(state, now);
  if (IsExact(state)) message.loads = OwnLoads(state);
  message.contacts = BestContacts(state, now);
  message.news = LeavingNews(state);
  message.engines = TakeRecords(state, record_duty::kTell, kMostRecords, now);
  // Makes up for lost messages, one entry at a time.
  if (auto item = quarantine::NextOfSnapshot(state.quarantine, state.snapshot_cursor)) {
    message.suspects.push_back(std::move(*item));
  }
  const exchange::receivers to =
      exchange::StateReceivers(state.topology, state.exchange_round++, state.rng);
  if (!to.relays.empty()) Send(state, to.relays, Encode(message));
  const auto passed_on = TakeRecords(state, record_duty::kPassOn, kMostPassedOn, now);
  message.engines.insert(message.engines.end(), passed_on.begin(), passed_on.end());
  Send(state, to.cell, Encode(message));
}

void CheckFeed(gateway_state& state, size_t index, std::string_view why, time_point now) {
  freshness& item = state.feeds[index];
  const duration age = Age(item, state.store_clock, now);
  const uint64_t version = item.complete;
  const uint64_t known_elsewhere = KnownElsewhere(item);
  const bool sent = state.store.check(static_cast<feed>(index));
  CountFeedCheck(state.metrics, sent ? why : "not sent");
  if (sent) OnCheck(item, now);
  // What is under way already has a line of its own.
  log::Log(sent ? log::level::kInfo : log::level::kDebug, "feed is checked",
           {{"feed", index},
            {"why", why},
            {"sent", sent},
            {"reads_for_cell", state.reading},
            {"version", version},
            {"known_elsewhere", known_elsewhere},
            {"unanswered", item.unanswered},
            {"age_ms", WholeMilliseconds(age)}});
}

// A change that cannot be used leaves this gateway behind until it asks the store.
void LogNotApplied(gateway_state& state, size_t index, replica::change_outcome outcome,
                   uint32_t from, const table_change& change) {
  CountNotApplied(state.metrics, ToString(outcome));
  const auto name = state.peer_names.find(from);
  log::Log(log::level::kInfo, "change cannot be applied",
           {{"feed", index},
            {"reason", ToString(outcome)},
            {"from", name == state.peer_names.end() ? std::string_view() : name->second},
            {"since", change.since},
            {"until", change.until},
            {"version", state.feeds.at(index).complete}});
}

void ReadFeeds(gateway_state& state, const exchange::message& message, time_point now) {
  if (message.feeds.size() != state.feeds.size()) return;
  for (size_t i = 0; i < state.feeds.size(); ++i) {
    const exchange::feed_position& position = message.feeds[i];
    if (OnPeerPosition(state.feeds[i], position.changed, position.as_of_ms, state.store_clock,
                       now)) {
      CheckFeed(state, i, "a peer knows more", now);
    }
  }
}

void ReadLoads(gateway_state& state, peer& from, const exchange::message& message) {
  from.loads.clear();
  for (const exchange::own_load& item : message.loads) {
    from.loads[item.endpoint] = {item.committed, item.sequences, item.head_requests};
  }
  state.peer_loads_changed = true;
}

void ReadContacts(gateway_state& state, const exchange::message& message, time_point now) {
  for (const exchange::store_contact& item : message.contacts) {
    const auto id = state.peer_names.find(item.gateway);
    if (id == state.peer_names.end()) continue;
    peer& other = state.peers.at(id->second);
    other.reached_store_at = std::max(other.reached_store_at, now - item.age);
  }
}

void ReadRecords(gateway_state& state, const exchange::message& message, bool from_cell,
                 time_point now) {
  for (const engine_record& record : message.engines) {
    endpoint* item = FindByName(state, record.endpoint);
    const time_point at = now - record.age;
    if (item == nullptr || at <= item->reported.at) continue;
    NoteUse(*item, record.committed, record.sequences, at);
    item->reported.duty = from_cell ? record_duty::kNone : record_duty::kPassOn;
    item->slowdown = std::max(1.0, record.slowdown);
    const pipeline::layer_range held{record.first_layer, record.end_layer};
    NoteHeld(state, *item, held.Size() > 0 ? std::optional(held) : std::nullopt, at);
  }
}

// --- Rows of shared tables.

void PassRowsOn(gateway_state& state, exchange::message message) {
  const std::vector<uint32_t> receivers = std::exchange(message.rows->pass_to, {});
  if (receivers.empty()) return;
  message.from = exchange::NameOf(state.config.id);
  const std::string data = Encode(message);
  for (const uint32_t name : receivers) {
    const auto id = state.peer_names.find(name);
    if (id != state.peer_names.end()) SendTo(state, id->second, data);
  }
}

void ApplyRows(gateway_state& state, const exchange::message& message, time_point now) {
  const auto index = static_cast<size_t>(message.rows->table);
  const table_change& change = message.rows->change;
  freshness& item = state.feeds[index];
  const applied_change done = state.store.apply(static_cast<feed>(index), change);
  switch (done.outcome) {
    case replica::change_outcome::kApplied:
      return OnApplied(item, done.changed, done.complete, message.rows->as_of_ms);
    case replica::change_outcome::kKnown:
      return;
    case replica::change_outcome::kGap:
    case replica::change_outcome::kUnknownBase:
      LogNotApplied(state, index, done.outcome, message.from, change);
      if (OnGap(item, change.until, state.store_clock, now)) {
        CheckFeed(state, index, "a change before it is missing", now);
      }
  }
}

void OnRows(gateway_state& state, const exchange::message& message) {
  const auto index = static_cast<size_t>(message.rows->table);
  const table_change& change = message.rows->change;
  if (index >= kFeeds) return;
  const time_point now = MonotonicNow();
  if (!change.rows.empty()) {
    if (state.store.apply) ApplyRows(state, message, now);
  } else if (OnLargeChange(state.feeds[index], change.until, state.store_clock, now)) {
    CheckFeed(state, index, "too large to be passed on", now);
  }
  PassRowsOn(state, message);
}

void TellPositions(gateway_state& state) { Announce(state, MakeMessage(state)); }

// --- Readers.

constexpr duration kReaderTick = 500ms;

bool ShouldRead(const gateway_state& state, time_point now) {
  // The holder of the lease decides by the list of endpoints.
  if (IsExact(state) || lease::MayAct(state.lease, now)) return true;
  // Calls that fail are made more rarely by those that do not follow.
  if (!state.configuration_fed) return false;
  std::vector<cell_member> others;
  for (const auto& [id, other] : state.peers) {
    if (other.in_cell) others.push_back({id, other.heard, other.reaches_store});
  }
  return ReadsForCell(
      state.config.id, others,
      {now, exchange::Lifetime(state.topology), state.started_at, state.store_back_at});
}

void UpdateReading(gateway_state& state, time_point now) {
  const bool reading = ShouldRead(state, now);
  if (std::exchange(state.reading, reading) == reading || !state.store.follow) return;
  log::Log(log::level::kInfo, reading ? "follows the shared tables" : "leaves the shared tables",
           {{"cell", state.topology.cell.size()}, {"exact", IsExact(state)}});
  AdaptFeeds(state);
  state.store.follow(reading);
}

void ReadInTurn(gateway_state& state, time_point now) {
  UpdateReading(state, now);
  Subscribe(state.loop.Timers(), now + kReaderTick,
            [&state](time_point at) { ReadInTurn(state, at); });
}

// --- News.

// Datagrams may come from anybody.
constexpr duration kUnknownSenderPause = 3000ms;

void QueueNews(gateway_state& state, const exchange::endpoint_news& news) {
  state.news.push_back(news);
  if (state.news.size() > 1) return;
  Subscribe(state.loop.Timers(), MonotonicNow() + kNewsDelay, [&state](time_point) {
    exchange::message message = MakeMessage(state);
    message.news = std::exchange(state.news, {});
    Announce(state, message);
  });
}

// The zone's first watchers find out whether the endpoint is lost for this zone, too.
void TellWatchers(gateway_state& state, const endpoint& item) {
  exchange::message message = MakeMessage(state);
  message.news = {{news_kind::kSuspect, exchange::NameOf(item.listed.id), item.listed.incarnation}};
  const std::string data = Encode(message);
  for (const std::string_view id : FirstZoneWatchers(state, item)) {
    SendTo(state, std::string(id), data);
  }
}

void OnDownNews(gateway_state& state, endpoint& item, const peer& from) {
  if (item.down) return;
  if (from.address.zone != state.config.zone) {
    // Another zone may lack a way that this one has.
    if (ZoneWatchRank(state, item) < kZoneWatchers) return AskEndpoint(state, item, kToldByPeer);
    if (!IsExact(state)) TellWatchers(state, item);
    return;
  }
  const bool answered =
      item.answered_at != time_point() && MonotonicNow() - item.answered_at < kOwnEvidence;
  if (answered) return AskEndpoint(state, item, kToldByPeer);
  MarkDown(state, item, "told by " + from.address.id, loss_evidence::kSilence);
  if (!from.in_cell) TellNews(state, news_kind::kDown, item);
}

void OnBackNews(gateway_state& state, endpoint& item, const peer& from) {
  if (!item.down || from.address.zone != state.config.zone) return;
  if (item.found_down) {
    // This gateway may lack a way that the other one has.
    item.next_probe = MonotonicNow();
    return;
  }
  MarkBack(state, item, "told by " + from.address.id);
  if (!from.in_cell) TellNews(state, news_kind::kBack, item);
}

void ReadNews(gateway_state& state, const exchange::message& message, const peer& from) {
  for (const exchange::endpoint_news& news : message.news) {
    endpoint* item = FindByName(state, news.endpoint);
    if (item == nullptr || item->listed.incarnation != news.incarnation) continue;
    switch (news.kind) {
      case news_kind::kDown:
        OnDownNews(state, *item, from);
        break;
      case news_kind::kBack:
        OnBackNews(state, *item, from);
        break;
      case news_kind::kLeaving:
        NoteLeaving(state, *item, from.address.id);
        break;
      case news_kind::kSuspect:
        AskEndpoint(state, *item, kToldByPeer);
        break;
    }
  }
}

// --- Suspected and refused requests.

// Of one datagram.
constexpr size_t kMostSuspects = 6;

void SendSuspects(gateway_state& state) {
  const auto all = std::exchange(state.suspects, {});
  exchange::message message = MakeMessage(state);
  for (const auto& [key, item] : all) {
    message.suspects.push_back(item);
    if (message.suspects.size() < kMostSuspects) continue;
    Announce(state, message);
    message.suspects.clear();
  }
  if (!message.suspects.empty()) Announce(state, message);
}

// What comes from another cell is passed on in the own one.
void ReadSuspects(gateway_state& state, const exchange::message& message, const peer& from) {
  const auto changed = MergeSuspects(state, from.address.id, message.suspects);
  if (from.in_cell) return;
  for (const quarantine::fingerprint& key : changed) {
    if (const auto item = quarantine::UpdateOf(state.quarantine, key)) {
      TellSuspects(state, {&*item, 1});
    }
  }
}

// A gateway that is new, or one of which the list here knows nothing yet.
void OnUnknownSender(gateway_state& state, time_point now) {
  const auto index = static_cast<size_t>(feed::kGateways);
  freshness& item = state.feeds.at(index);
  if (now - item.checked_at < kUnknownSenderPause || item.confirmed_ms == 0) return;
  CheckFeed(state, index, "unknown sender", now);
}

void ReadState(gateway_state& state, peer& from, const exchange::message& message, time_point now) {
  from.heard = now;
  from.reaches_store = message.reaches_store;
  if (message.reaches_store) from.reached_store_at = now;
  ReadContacts(state, message, now);
  ReadRecords(state, message, from.in_cell, now);
  if (IsExact(state)) ReadLoads(state, from, message);
}

void OnMessage(gateway_state& state, std::string_view data) {
  const auto message = exchange::Decode(data);
  if (!message) return;
  const time_point now = MonotonicNow();
  const auto id = state.peer_names.find(message->from);
  if (id == state.peer_names.end()) return OnUnknownSender(state, now);
  peer& from = state.peers.at(id->second);
  ReadFeeds(state, *message, now);
  ReadNews(state, *message, from);
  ReadSuspects(state, *message, from);
  if (message->is_state) ReadState(state, from, *message, now);
  // Last, since rows of the list of gateways replace `from`.
  if (message->rows) OnRows(state, *message);
}

void DropSilent(gateway_state& state, time_point now) {
  const duration lifetime = exchange::Lifetime(state.topology);
  for (auto& [id, other] : state.peers) {
    if (other.loads.empty() || now - other.heard < lifetime) continue;
    other.loads.clear();
    state.peer_loads_changed = true;
  }
}

void SendInTurn(gateway_state& state, time_point now) {
  SendState(state, now);
  DropSilent(state, now);
  const duration pause = Jitter(state.rng, state.topology.interval, 0.1);
  Subscribe(state.loop.Timers(), now + pause, [&state](time_point at) { SendInTurn(state, at); });
}

// With many gateways a message arrives every few ms, and each sum reads what all of them sent.
void Tick(gateway_state& state, time_point now) {
  if (std::exchange(state.peer_loads_changed, false)) SumLoads(state);
  for (size_t i = 0; i < state.feeds.size(); ++i) {
    if (!IsCheckDue(state.feeds[i], state.store_clock, now)) continue;
    const bool behind = KnownElsewhere(state.feeds[i]) != 0;
    CheckFeed(state, i, behind ? "others know more" : "not confirmed", now);
  }
  Subscribe(state.loop.Timers(), now + kTick, [&state](time_point at) { Tick(state, at); });
}

}  // namespace

result<void> StartPeers(gateway_state& state) {
  BOOST_OUTCOME_TRY(socket,
                    net::BindDatagram(state.config.listen_peers,
                                      [&state](std::string_view data) { OnMessage(state, data); }));
  state.peer_socket = std::move(socket);
  ReplacePeers(state, {});
  SendInTurn(state, MonotonicNow());
  ReadInTurn(state, MonotonicNow());
  Tick(state, MonotonicNow());
  return Success();
}

void TellNews(gateway_state& state, exchange::news_kind kind, const endpoint& item) {
  QueueNews(state, {kind, exchange::NameOf(item.listed.id), item.listed.incarnation});
}

void TellSuspects(gateway_state& state, std::span<const quarantine::update> updates) {
  if (updates.empty()) return;
  const bool queued = !state.suspects.empty();
  for (const quarantine::update& item : updates) state.suspects[item.key] = item;
  if (queued) return;
  Subscribe(state.loop.Timers(), MonotonicNow() + kNewsDelay,
            [&state](time_point) { SendSuspects(state); });
}

void ConfirmFeed(gateway_state& state, feed which, uint64_t changed, uint64_t complete,
                 const clock_sample& sample) {
  freshness& item = state.feeds.at(static_cast<size_t>(which));
  const time_point now = MonotonicNow();
  const bool awaited = IsAwaited(item, state.store_clock, now);
  Observe(state.store_clock, sample);
  OnTablePosition(item, changed, complete, sample.remote_ms, now);
  if (awaited) TellPositions(state);
}

bool SharesChanges(const gateway_state& state) { return !IsExact(state); }

void ShareChange(gateway_state& state, feed which, const table_change& change, uint64_t as_of_ms) {
  if (!SharesChanges(state)) return;
  if (!TellsCell(state.reading, change, state.feeds.at(static_cast<size_t>(which)))) return;
  const exchange::shared_change told{
      .table = static_cast<int>(which), .change = change, .as_of_ms = as_of_ms};
  const uint32_t self = exchange::NameOf(state.config.id);
  for (const row_message& part : TellCell(told, self, state.topology, state.members, state.rng)) {
    Send(state, {part.to}, Encode(part.message));
  }
}

void CheckFeedNow(gateway_state& state, feed which, std::string_view why) {
  const auto index = static_cast<size_t>(which);
  const time_point now = MonotonicNow();
  if (MayCheck(state.feeds.at(index), now)) CheckFeed(state, index, why, now);
}

void AdaptFeeds(gateway_state& state) {
  const table_role role{IsExact(state), state.reading, state.members.size()};
  const notice_limits limits{state.config.feed_age_limit, state.config.change_notice};
  for (size_t i = 0; i < state.feeds.size(); ++i) {
    const bool gateways = static_cast<feed>(i) == feed::kGateways;
    AdaptFreshness(state.feeds[i], role, limits, gateways ? kGatewayAgeFactor : 1);
  }
}

void ReplacePeers(gateway_state& state, std::span<const peer_address> peers) {
  std::map<std::string, peer> next;
  state.peer_names.clear();
  for (const peer_address& address : peers) {
    if (address.id == state.config.id) continue;
    const auto known = state.peers.find(address.id);
    const bool same = known != state.peers.end() && known->second.address == address;
    next[address.id] = same ? known->second : peer{.address = address};
    state.peer_names[exchange::NameOf(address.id)] = address.id;
    if (!same) {
      log::Log(log::level::kInfo, "peer",
               {{"id", address.id}, {"zone", address.zone}, {"address", address.address}});
    }
  }
  state.peers = std::move(next);
  state.members.clear();
  for (const auto& [id, item] : state.peers) state.members.push_back({id, item.address.zone});
  state.zone_peers = std::ranges::count(state.members, state.config.zone, &exchange::member::zone);
  state.members.push_back({state.config.id, state.config.zone});
  state.topology = exchange::MakeTopology(state.members, state.config.id, state.config.zone);
  for (auto& [id, item] : state.peers) item.in_cell = false;
  for (const size_t index : state.topology.cell) {
    state.peers.at(state.members[index].id).in_cell = true;
  }
  AdaptFeeds(state);
  log::Log(log::level::kInfo, "peers",
           {{"count", state.peers.size()},
            {"exact", state.topology.exact},
            {"cell", state.topology.cell.size()},
            {"interval_ms", WholeMilliseconds(state.topology.interval)}});
  SumLoads(state);
  // An equal part of the shared allowance; a peer that is not known yet may double one part.
  state.budget.own_slack = state.config.retry_slack / static_cast<double>(state.peers.size() + 1);
}

}  // namespace balsambay::gateway
