// Sends and receives the messages between gateways: loads, engine reports, versions and rows of the
// shared tables, events of endpoints, and suspected requests. libs/exchange decides which
// gateways receive a message and how often.
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

using exchange::endpoint_event_kind;
using exchange::engine_record;
using std::chrono_literals::operator""ms;

// Interval at which the loads of peers are summed and the ages of the feeds are checked. Shorter
// than the interval of the messages.
constexpr duration kTick = 50ms;
// Endpoint events and suspects that arise within this time are sent in one message.
constexpr duration kBatchDelay = 5ms;
// Time after a failed call for the lease in which this gateway reports that it does not reach the
// store, so that another gateway observes the lease instead.
constexpr duration kLeaseFailureHold = 5000ms;
// Limits of a periodic state message, which keep it one small datagram: own engine reports, reports
// forwarded from other cells, and store contacts.
constexpr size_t kMaxOwnRecords = 16;
constexpr size_t kMaxForwardedRecords = 16;
constexpr size_t kMaxContacts = 3;
// An endpoint event that contradicts an answer younger than this is verified by a probe before it
// takes effect.
constexpr duration kOwnEvidenceLifetime = 600ms;
// Factor by which the list of gateways may be older than the other tables before it is checked:
// messages reveal gateways that join or leave before the list does.
constexpr int kGatewayAgeFactor = 4;

bool IsExact(const gateway_state& state) { return state.topology.exact; }

void AddLoads(gateway_state& state, const peer& remote) {
  for (const auto& [name, remote_load] : remote.loads) {
    endpoint* target = FindByName(state, name);
    if (target == nullptr) continue;
    target->peers.committed += remote_load.committed;
    target->peers.sequences += remote_load.sequences;
    target->peers.head_requests += remote_load.head_requests;
  }
}

// Recomputes the sums, because endpoints are added and removed between two messages.
void SumLoads(gateway_state& state) {
  for (auto& [id, target] : state.endpoints) target.peers = {};
  for (const auto& [id, remote] : state.peers) AddLoads(state, remote);
}

void SendTo(gateway_state& state, const std::string& id, const std::string& data) {
  const auto receiver = state.peers.find(id);
  if (receiver != state.peers.end()) {
    state.peer_socket->Send(receiver->second.address.address, data);
  }
}

void Send(gateway_state& state, const std::vector<size_t>& receivers, const std::string& data) {
  for (const size_t index : receivers) SendTo(state, state.members[index].id, data);
}

// Sends a message to the own cell and to some members of other cells.
void Broadcast(gateway_state& state, const exchange::message& message) {
  const std::string data = Encode(message);
  const exchange::receivers receivers = exchange::EventReceivers(state.topology, state.rng);
  Send(state, receivers.cell, data);
  Send(state, receivers.relays, data);
}

bool ReachesStore(const gateway_state& state, time_point now) {
  const bool lease_works =
      state.lease_failed_at == time_point() || now - state.lease_failed_at > kLeaseFailureHold;
  return state.configuration_reachable && lease_works;
}

// A message with the sender and its feed positions, to which the caller adds the content.
exchange::message MakeMessage(const gateway_state& state) {
  exchange::message message;
  message.sender = exchange::IdHash(state.config.id);
  for (const freshness& copy : state.feeds) {
    message.feeds.push_back({copy.changed, copy.confirmed_ms});
  }
  return message;
}

std::vector<exchange::own_load> OwnLoads(const gateway_state& state) {
  std::vector<exchange::own_load> loads;
  for (const auto& [id, target] : state.endpoints) {
    if (target.own.sequences == 0) continue;
    loads.push_back({exchange::IdHash(id), target.own.committed, target.own.sequences,
                     target.own.head_requests});
  }
  return loads;
}

engine_record RecordOf(const endpoint& target, time_point now) {
  const pipeline::layer_range held = target.held.value_or(pipeline::layer_range{});
  return {exchange::IdHash(target.listed.id),
          now - target.reported.at,
          target.reported.committed,
          target.reported.sequences,
          target.slowdown,
          held.begin,
          held.end};
}

// Takes the engine reports that wait to be forwarded: own reports, or reports from other cells, as
// `forwarding` says. At most `max_count`; the rest waits for the next message.
std::vector<engine_record> TakeRecords(gateway_state& state, report_forwarding forwarding,
                                       size_t max_count, time_point now) {
  std::vector<engine_record> records;
  for (auto& [id, target] : state.endpoints) {
    if (target.reported.forwarding != forwarding || records.size() == max_count) continue;
    target.reported.forwarding = report_forwarding::kNone;
    records.push_back(RecordOf(target, now));
  }
  return records;
}

// The kMaxContacts gateways with the lowest ids that are known to reach the store, this one
// included.
std::vector<exchange::store_contact> BestContacts(const gateway_state& state, time_point now) {
  std::vector<exchange::store_contact> contacts;
  const auto add = [&](const std::string& id, time_point at) {
    contacts.push_back({exchange::IdHash(id), now - at});
  };
  bool self_added = !ReachesStore(state, now);
  for (const auto& [id, remote] : state.peers) {
    if (contacts.size() >= kMaxContacts) break;
    if (!self_added && state.config.id < id) {
      self_added = true;
      add(state.config.id, now);
    }
    if (IsStoreContact(state, remote, now)) add(id, remote.reached_store_at);
  }
  if (!self_added && contacts.size() < kMaxContacts) add(state.config.id, now);
  if (contacts.size() > kMaxContacts) contacts.resize(kMaxContacts);
  return contacts;
}

// Events of leaving endpoints in one periodic state message.
constexpr size_t kMaxLeaving = 8;

// Repeats the event of each endpoint that announced that it leaves, until the platform's list shows
// it as well, because single messages may be lost.
std::vector<exchange::endpoint_event> LeavingEvents(const gateway_state& state) {
  std::vector<exchange::endpoint_event> events;
  for (const auto& [id, target] : state.endpoints) {
    if (events.size() == kMaxLeaving) break;
    if (!target.listed.leaving || target.listed_leaving) continue;
    events.push_back(
        {endpoint_event_kind::kLeaving, exchange::IdHash(id), target.listed.incarnation});
  }
  return events;
}

void SendState(gateway_state& state, time_point now) {
  exchange::message message = MakeMessage(state);
  message.is_state = true;
  message.reaches_store = ReachesStore(state, now);
  if (IsExact(state)) message.loads = OwnLoads(state);
  message.contacts = BestContacts(state, now);
  message.endpoint_events = LeavingEvents(state);
  message.engines = TakeRecords(state, report_forwarding::kOwnReport, kMaxOwnRecords, now);
  // Repeats the quarantine's entries, one per message, because single updates may be lost.
  if (auto suspect = quarantine::NextSnapshotUpdate(state.quarantine, state.snapshot_cursor)) {
    message.suspects.push_back(std::move(*suspect));
  }
  const exchange::receivers receivers =
      exchange::StateReceivers(state.topology, state.exchange_round++, state.rng);
  if (!receivers.relays.empty()) Send(state, receivers.relays, Encode(message));
  // Reports from other cells are forwarded within the own cell only.
  const auto forwarded =
      TakeRecords(state, report_forwarding::kRemoteReport, kMaxForwardedRecords, now);
  message.engines.insert(message.engines.end(), forwarded.begin(), forwarded.end());
  Send(state, receivers.cell, Encode(message));
}

// Asks the store for changes of the table at once. `why`: reason for the metric and the log.
void CheckFeed(gateway_state& state, size_t index, std::string_view why, time_point now) {
  freshness& copy = state.feeds[index];
  const duration age = Age(copy, state.store_clock, now);
  const uint64_t version = copy.complete;
  const uint64_t known_elsewhere = NewestAnnouncedVersion(copy);
  const bool sent = state.store.check(static_cast<feed>(index));
  CountFeedCheck(state.metrics, sent ? why : "not sent");
  if (sent) OnCheckSent(copy, now);
  // Debug level if nothing was sent: the call that is still open was logged when it was sent.
  log::Log(sent ? log::level::kInfo : log::level::kDebug, "feed check requested",
           {{"feed", index},
            {"why", why},
            {"sent", sent},
            {"reads_for_cell", state.reading},
            {"version", version},
            {"known_elsewhere", known_elsewhere},
            {"unanswered", copy.unanswered},
            {"age_ms", WholeMilliseconds(age)}});
}

// After a change that cannot be applied, the copy stays out of date until the store is asked.
void LogNotApplied(gateway_state& state, size_t index, replica::change_outcome outcome,
                   uint32_t from, const table_change& change) {
  CountUnusedChange(state.metrics, ToString(outcome));
  const auto sender = state.peer_names.find(from);
  log::Log(log::level::kInfo, "forwarded feed change cannot be applied",
           {{"feed", index},
            {"reason", ToString(outcome)},
            {"from", sender == state.peer_names.end() ? std::string_view() : sender->second},
            {"since", change.since},
            {"until", change.until},
            {"version", state.feeds.at(index).complete}});
}

void HandleFeedPositions(gateway_state& state, const exchange::message& message, time_point now) {
  if (message.feeds.size() != state.feeds.size()) return;
  for (size_t i = 0; i < state.feeds.size(); ++i) {
    const exchange::feed_position& position = message.feeds[i];
    if (OnPeerPosition(state.feeds[i], position.changed, position.as_of_ms, state.store_clock,
                       now)) {
      CheckFeed(state, i, "a peer knows more", now);
    }
  }
}

void HandleLoads(gateway_state& state, peer& sender, const exchange::message& message) {
  sender.loads.clear();
  for (const exchange::own_load& sent : message.loads) {
    sender.loads[sent.endpoint] = {sent.committed, sent.sequences, sent.head_requests};
  }
  state.peer_loads_changed = true;
}

void HandleContacts(gateway_state& state, const exchange::message& message, time_point now) {
  for (const exchange::store_contact& contact : message.contacts) {
    const auto id = state.peer_names.find(contact.gateway);
    if (id == state.peer_names.end()) continue;
    peer& remote = state.peers.at(id->second);
    remote.reached_store_at = std::max(remote.reached_store_at, now - contact.age);
  }
}

void HandleEngineRecords(gateway_state& state, const exchange::message& message, bool from_cell,
                         time_point now) {
  for (const engine_record& record : message.engines) {
    endpoint* target = FindByName(state, record.endpoint);
    const time_point reported_at = now - record.age;
    if (target == nullptr || reported_at <= target->reported.at) continue;
    RecordReportedLoad(*target, record.committed, record.sequences, reported_at);
    target->reported.forwarding =
        from_cell ? report_forwarding::kNone : report_forwarding::kRemoteReport;
    target->slowdown = std::max(1.0, record.slowdown);
    const pipeline::layer_range held{record.first_layer, record.end_layer};
    RecordHeldLayers(state, *target, held.Size() > 0 ? std::optional(held) : std::nullopt,
                     reported_at);
  }
}

// --- Rows of shared tables.

// Sends the rows to the members of the cell that the message names.
void ForwardRows(gateway_state& state, exchange::message message) {
  const std::vector<uint32_t> receivers = std::exchange(message.rows->forward_to, {});
  if (receivers.empty()) return;
  message.sender = exchange::IdHash(state.config.id);
  const std::string data = Encode(message);
  for (const uint32_t name : receivers) {
    const auto id = state.peer_names.find(name);
    if (id != state.peer_names.end()) SendTo(state, id->second, data);
  }
}

void ApplyRows(gateway_state& state, const exchange::message& message, time_point now) {
  const auto index = static_cast<size_t>(message.rows->table);
  const table_change& change = message.rows->change;
  freshness& copy = state.feeds[index];
  const applied_change applied = state.store.apply(static_cast<feed>(index), change);
  switch (applied.outcome) {
    case replica::change_outcome::kApplied:
      return OnChangeApplied(copy, applied.changed, applied.complete,
                             IsPlausibleTime(state.store_clock, message.rows->as_of_ms, now)
                                 ? message.rows->as_of_ms
                                 : 0);
    case replica::change_outcome::kAlreadyApplied:
      return;
    case replica::change_outcome::kGap:
    case replica::change_outcome::kUnknownBase:
      LogNotApplied(state, index, applied.outcome, message.sender, change);
      if (OnGap(copy, change.until, state.store_clock, now)) {
        CheckFeed(state, index, "a change before it is missing", now);
      }
  }
}

void HandleRows(gateway_state& state, const exchange::message& message) {
  const auto index = static_cast<size_t>(message.rows->table);
  const table_change& change = message.rows->change;
  if (index >= kFeedCount) return;
  const time_point now = MonotonicNow();
  if (!change.rows.empty()) {
    if (state.store.apply) ApplyRows(state, message, now);
  } else if (OnLargeChange(state.feeds[index], change.until, state.store_clock, now)) {
    CheckFeed(state, index, "too large to be passed on", now);
  }
  ForwardRows(state, message);
}

void BroadcastPositions(gateway_state& state) { Broadcast(state, MakeMessage(state)); }

// --- Reader election.

constexpr duration kReaderTickInterval = 500ms;

bool ShouldFollowTables(const gateway_state& state, time_point now) {
  // The lease holder bases its decisions on the list of endpoints.
  if (IsExact(state) || lease::MayAct(state.lease, now)) return true;
  // Without access to the store, a gateway that does not follow the tables makes fewer failing
  // calls.
  if (!state.configuration_reachable) return false;
  std::vector<cell_member> others;
  for (const auto& [id, remote] : state.peers) {
    if (remote.in_cell) others.push_back({id, remote.heard, remote.reaches_store});
  }
  return IsElectedReader(
      state.config.id, others,
      {now, exchange::PeerTimeout(state.topology), state.started_at, state.store_recovered_at});
}

void UpdateReaderRole(gateway_state& state, time_point now) {
  const bool reading = ShouldFollowTables(state, now);
  if (std::exchange(state.reading, reading) == reading || !state.store.follow) return;
  log::Log(log::level::kInfo, reading ? "follows the shared tables" : "leaves the shared tables",
           {{"cell", state.topology.cell.size()}, {"exact", IsExact(state)}});
  AdaptFeeds(state);
  state.store.follow(reading);
}

void ReaderTick(gateway_state& state, time_point now) {
  UpdateReaderRole(state, now);
  Subscribe(state.loop.Timers(), now + kReaderTickInterval,
            [&state](time_point at) { ReaderTick(state, at); });
}

// --- Events of endpoints.

// Shortest interval between checks of the list of gateways because of unknown senders. Anyone may
// send datagrams, so they must not cause unlimited calls to the store.
constexpr duration kUnknownSenderInterval = 3000ms;

void QueueEndpointEvent(gateway_state& state, const exchange::endpoint_event& event) {
  state.endpoint_events.push_back(event);
  if (state.endpoint_events.size() > 1) return;
  Subscribe(state.loop.Timers(), MonotonicNow() + kBatchDelay, [&state](time_point) {
    exchange::message message = MakeMessage(state);
    message.endpoint_events = std::exchange(state.endpoint_events, {});
    Broadcast(state, message);
  });
}

// Asks the first watchers of this zone to find out whether the endpoint is lost for this zone, too.
void NotifyWatchers(gateway_state& state, const endpoint& target) {
  exchange::message message = MakeMessage(state);
  message.endpoint_events = {{endpoint_event_kind::kSuspect, exchange::IdHash(target.listed.id),
                              target.listed.incarnation}};
  const std::string data = Encode(message);
  for (const std::string_view id : TopZoneWatchers(state, target)) {
    SendTo(state, std::string(id), data);
  }
}

void OnDownEvent(gateway_state& state, endpoint& target, const peer& sender) {
  if (target.down) return;
  if (sender.address.zone != state.config.zone) {
    // The other zone may lack a network path that this zone has.
    if (ZoneWatchRank(state, target) < kZoneWatchers) {
      return RequestReport(state, target, kReportedByPeer);
    }
    if (!IsExact(state)) NotifyWatchers(state, target);
    return;
  }
  const bool answered = target.answered_at != time_point() &&
                        MonotonicNow() - target.answered_at < kOwnEvidenceLifetime;
  if (answered) return RequestReport(state, target, kReportedByPeer);
  MarkDown(state, target, "told by " + sender.address.id, loss_evidence::kSilence);
  if (!sender.in_cell) AnnounceEndpointUpdate(state, endpoint_event_kind::kDown, target);
}

void OnRecoveredEvent(gateway_state& state, endpoint& target, const peer& sender) {
  if (!target.down || sender.address.zone != state.config.zone) return;
  if (target.found_down) {
    // The sender may have a network path that this gateway lacks, so probe the endpoint at once.
    target.next_probe = MonotonicNow();
    return;
  }
  MarkUp(state, target, "told by " + sender.address.id);
  if (!sender.in_cell) AnnounceEndpointUpdate(state, endpoint_event_kind::kRecovered, target);
}

void HandleEndpointEvents(gateway_state& state, const exchange::message& message,
                          const peer& sender) {
  for (const exchange::endpoint_event& event : message.endpoint_events) {
    endpoint* target = FindByName(state, event.endpoint);
    if (target == nullptr || target->listed.incarnation != event.incarnation) continue;
    switch (event.kind) {
      case endpoint_event_kind::kDown:
        OnDownEvent(state, *target, sender);
        break;
      case endpoint_event_kind::kRecovered:
        OnRecoveredEvent(state, *target, sender);
        break;
      case endpoint_event_kind::kLeaving:
        MarkLeaving(state, *target, sender.address.id);
        break;
      case endpoint_event_kind::kSuspect:
        RequestReport(state, *target, kReportedByPeer);
        break;
    }
  }
}

// --- Suspected and quarantined requests.

// Suspects in one datagram.
constexpr size_t kMaxSuspects = 6;

void SendSuspects(gateway_state& state) {
  const auto queued = std::exchange(state.suspects, {});
  exchange::message message = MakeMessage(state);
  for (const auto& [fingerprint, update] : queued) {
    message.suspects.push_back(update);
    if (message.suspects.size() < kMaxSuspects) continue;
    Broadcast(state, message);
    message.suspects.clear();
  }
  if (!message.suspects.empty()) Broadcast(state, message);
}

// Merges the updates of the sender, and forwards those from other cells.
void HandleSuspects(gateway_state& state, const exchange::message& message, const peer& sender) {
  const auto changed = MergeQuarantineUpdates(state, sender.address.id, message.suspects);
  if (sender.in_cell) return;
  for (const quarantine::fingerprint& fingerprint : changed) {
    if (const auto update = quarantine::UpdateOf(state.quarantine, fingerprint)) {
      AnnounceSuspects(state, {&*update, 1});
    }
  }
}

// The sender is a new gateway, or is not in the local list of gateways yet.
void OnUnknownSender(gateway_state& state, time_point now) {
  const auto index = static_cast<size_t>(feed::kGateways);
  freshness& copy = state.feeds.at(index);
  if (now - copy.checked_at < kUnknownSenderInterval || copy.confirmed_ms == 0) return;
  CheckFeed(state, index, "unknown sender", now);
}

void HandleState(gateway_state& state, peer& sender, const exchange::message& message,
                 time_point now) {
  sender.heard = now;
  sender.reaches_store = message.reaches_store;
  if (message.reaches_store) sender.reached_store_at = now;
  HandleContacts(state, message, now);
  HandleEngineRecords(state, message, sender.in_cell, now);
  if (IsExact(state)) HandleLoads(state, sender, message);
}

void OnMessage(gateway_state& state, std::string_view data) {
  const auto message = exchange::Decode(data);
  if (!message) return;
  const time_point now = MonotonicNow();
  const auto id = state.peer_names.find(message->sender);
  if (id == state.peer_names.end()) return OnUnknownSender(state, now);
  peer& sender = state.peers.at(id->second);
  HandleFeedPositions(state, *message, now);
  HandleEndpointEvents(state, *message, sender);
  HandleSuspects(state, *message, sender);
  if (message->is_state) HandleState(state, sender, *message, now);
  // Last, because rows of the list of gateways may replace the peer that `sender` refers to.
  if (message->rows) HandleRows(state, *message);
}

void DropLoadsOfSilentPeers(gateway_state& state, time_point now) {
  const duration lifetime = exchange::PeerTimeout(state.topology);
  for (auto& [id, remote] : state.peers) {
    if (remote.loads.empty() || now - remote.heard < lifetime) continue;
    remote.loads.clear();
    state.peer_loads_changed = true;
  }
}

void SendStatePeriodically(gateway_state& state, time_point now) {
  SendState(state, now);
  DropLoadsOfSilentPeers(state, now);
  const duration interval = Jitter(state.rng, state.topology.interval, 0.1);
  Subscribe(state.loop.Timers(), now + interval,
            [&state](time_point at) { SendStatePeriodically(state, at); });
}

// Sums the loads here rather than on each message: with many gateways a message arrives every few
// ms, and each sum reads the loads of all of them.
void Tick(gateway_state& state, time_point now) {
  if (std::exchange(state.peer_loads_changed, false)) SumLoads(state);
  for (size_t i = 0; i < state.feeds.size(); ++i) {
    if (!IsCheckDue(state.feeds[i], state.store_clock, now)) continue;
    const bool behind = NewestAnnouncedVersion(state.feeds[i]) != 0;
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
  SendStatePeriodically(state, MonotonicNow());
  ReaderTick(state, MonotonicNow());
  Tick(state, MonotonicNow());
  return Success();
}

void AnnounceEndpointUpdate(gateway_state& state, exchange::endpoint_event_kind kind,
                            const endpoint& item) {
  QueueEndpointEvent(state, {kind, exchange::IdHash(item.listed.id), item.listed.incarnation});
}

void AnnounceSuspects(gateway_state& state, std::span<const quarantine::update> updates) {
  if (updates.empty()) return;
  const bool queued = !state.suspects.empty();
  for (const quarantine::update& update : updates) state.suspects[update.key] = update;
  if (queued) return;
  Subscribe(state.loop.Timers(), MonotonicNow() + kBatchDelay,
            [&state](time_point) { SendSuspects(state); });
}

void RecordFeedPosition(gateway_state& state, feed which, uint64_t changed, uint64_t complete,
                        const clock_sample& sample) {
  freshness& copy = state.feeds.at(static_cast<size_t>(which));
  const time_point now = MonotonicNow();
  const bool announce = ShouldAnnounceReply(copy, state.store_clock, now);
  Observe(state.store_clock, sample);
  OnStoreReply(copy, changed, complete, sample.remote_ms, now);
  if (announce) BroadcastPositions(state);
}

bool SharesChanges(const gateway_state& state) { return !IsExact(state); }

void ShareChange(gateway_state& state, feed which, const table_change& change, uint64_t as_of_ms) {
  if (!SharesChanges(state)) return;
  if (!ShouldShareWithCell(state.reading, change, state.feeds.at(static_cast<size_t>(which)))) {
    return;
  }
  const exchange::shared_change shared{
      .table = static_cast<int>(which), .change = change, .as_of_ms = as_of_ms};
  const uint32_t self = exchange::IdHash(state.config.id);
  for (const cell_message& addressed :
       MakeCellMessages(shared, self, state.topology, state.members, state.rng)) {
    Send(state, {addressed.receiver}, Encode(addressed.message));
  }
}

void CheckFeedNow(gateway_state& state, feed which, std::string_view why) {
  const auto index = static_cast<size_t>(which);
  const time_point now = MonotonicNow();
  if (IsCheckAllowed(state.feeds.at(index), now)) CheckFeed(state, index, why, now);
}

void AdaptFeeds(gateway_state& state) {
  const table_role role{IsExact(state), state.reading, state.members.size()};
  const propagation_limits limits{state.config.feed_age_limit,
                                  state.config.change_propagation_limit};
  for (size_t i = 0; i < state.feeds.size(); ++i) {
    const bool is_gateway_list = static_cast<feed>(i) == feed::kGateways;
    ConfigureFreshness(state.feeds[i], role, limits, is_gateway_list ? kGatewayAgeFactor : 1);
  }
}

void ReplacePeers(gateway_state& state, std::span<const peer_address> peers) {
  std::map<std::string, peer> next;
  state.peer_names.clear();
  for (const peer_address& address : peers) {
    if (address.id == state.config.id) continue;
    const auto existing = state.peers.find(address.id);
    const bool unchanged = existing != state.peers.end() && existing->second.address == address;
    next[address.id] = unchanged ? existing->second : peer{.address = address};
    state.peer_names[exchange::IdHash(address.id)] = address.id;
    if (!unchanged) {
      log::Log(log::level::kInfo, "peer gateway added or changed",
               {{"id", address.id}, {"zone", address.zone}, {"address", address.address}});
    }
  }
  state.peers = std::move(next);
  state.members.clear();
  for (const auto& [id, remote] : state.peers) state.members.push_back({id, remote.address.zone});
  state.zone_peers = std::ranges::count(state.members, state.config.zone, &exchange::member::zone);
  state.members.push_back({state.config.id, state.config.zone});
  state.topology = exchange::MakeTopology(state.members, state.config.id, state.config.zone);
  for (auto& [id, remote] : state.peers) remote.in_cell = false;
  for (const size_t index : state.topology.cell) {
    state.peers.at(state.members[index].id).in_cell = true;
  }
  AdaptFeeds(state);
  log::Log(log::level::kInfo, "peer gateways updated",
           {{"count", state.peers.size()},
            {"exact", state.topology.exact},
            {"cell", state.topology.cell.size()},
            {"interval_ms", WholeMilliseconds(state.topology.interval)}});
  SumLoads(state);
  UpdateShare(state);
}

void UpdateShare(gateway_state& state) {
  if (!state.peers_known) return;
  SetShare(state.budget, state.config.retry_slack / static_cast<double>(state.peers.size() + 1),
           MonotonicNow());
}

}  // namespace balsambay::gateway
