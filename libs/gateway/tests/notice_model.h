// Simulates an installation in virtual time: the store, gateways with a copy of one table each, and
// the messages between them. All decisions are made by the gateway's own code; the model only
// delivers or loses calls and messages.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "details/sharing.h"
#include "replica/poller.h"
#include "replica/table_copy.h"

namespace balsambay::gateway {

struct model_options {
  size_t gateways = 77;
  size_t zones = 4;
  propagation_limits limits;
  double message_loss = 0.05;  // probability, for messages between gateways
  double call_loss = 0;        // probability, for calls to the store; the caller sees a time-out
  // Longest time from a call until its reply is processed; entry VMs have an eighth of a core.
  duration call_time = std::chrono::milliseconds(5);
  uint64_t seed = 1;
};

class propagation_model {
 public:
  explicit propagation_model(const model_options& options) : options_(options), rng_(options.seed) {
    for (size_t i = 0; i < options.gateways; ++i) {
      members_.push_back({"g" + std::to_string(i), "z" + std::to_string(i % options.zones)});
      names_[exchange::IdHash(members_.back().id)] = i;
    }
    nodes_.resize(options.gateways);
    rows_["config"] = {version_, Value(version_)};
    MakeTopologies();
    for (size_t i = 0; i < nodes_.size(); ++i) Start(i);
  }

  // --- Events.

  // Changes a row of the table and records the time at which the store acknowledges it.
  void Change(const std::string& key) {
    rows_[key] = {++version_, Value(version_)};
    history_.push_back({version_, key});
    changes_[version_] = now_;
    ReplyToWaitingCalls();
  }
  void DropHistory() { oldest_ = version_; }
  // All calls of the gateway fail until then.
  void BlockStore(size_t node, time_point until) { nodes_[node].blocked_until = until; }
  // The same for all gateways. LongestDelay() still includes them.
  void BlockStoreForAll(time_point until) { store_down_until_ = until; }
  void Freeze(size_t node, time_point until) { nodes_[node].frozen_until = until; }
  void Kill(size_t node) { nodes_[node].dead = true; }

  std::vector<size_t> Readers() const {
    std::vector<size_t> readers;
    for (size_t i = 0; i < nodes_.size(); ++i) {
      if (nodes_[i].reading && !nodes_[i].dead) readers.push_back(i);
    }
    return readers;
  }

  void Run(duration time) {
    const time_point end = now_ + time;
    while (!events_.empty() && events_.top().at <= end) {
      const event next = events_.top();
      events_.pop();
      now_ = std::max(now_, next.at);
      if (next.node != kNoNode) {
        node& target = nodes_[next.node];
        if (target.dead) continue;
        if (target.frozen_until > now_) {
          At(next.node, target.frozen_until, next.run);
          continue;
        }
      }
      next.run();
    }
    now_ = end;
  }

  // --- Results.

  time_point Now() const { return now_; }
  size_t Calls() const { return calls_; }

  // Longest time from a change until a gateway knew it. Changes that a gateway still lacks count up
  // to now. Gateways that were killed, frozen or blocked individually are left out.
  duration LongestDelay() const {
    duration longest{0};
    for (const node& candidate : nodes_) {
      if (candidate.dead || candidate.frozen_until != time_point() ||
          candidate.blocked_until != time_point()) {
        continue;
      }
      longest = std::max(longest, candidate.longest_delay);
      const auto missing = changes_.upper_bound(candidate.copy.complete);
      if (missing != changes_.end()) longest = std::max(longest, now_ - missing->second);
    }
    return longest;
  }
  // Whether all live gateways have the same rows as the store. Meaningful when no calls or messages
  // are in flight.
  bool HasConverged() const {
    return std::ranges::all_of(nodes_, [&](const node& candidate) {
      return candidate.dead || candidate.copy.rows == rows_;
    });
  }

 private:
  static constexpr size_t kNoNode = SIZE_MAX;  // events of the store
  static constexpr duration kTick = std::chrono::milliseconds(50);
  static constexpr duration kReaderTick = std::chrono::milliseconds(500);
  static constexpr duration kMessageTime = std::chrono::milliseconds(1);
  static constexpr duration kProbeTimeout = std::chrono::milliseconds(500);
  static constexpr duration kWatchTimeout = std::chrono::milliseconds(25'800);

  struct event {
    time_point at;
    uint64_t sequence = 0;  // order of events of the same time
    size_t node = kNoNode;
    std::function<void()> run;
    bool operator<(const event& other) const {
      return std::pair(at, sequence) > std::pair(other.at, other.sequence);
    }
  };
  // One gateway.
  struct node {
    replica::table_copy copy;
    replica::poller poll;
    freshness table_freshness;
    remote_clock clock;
    exchange::topology topology;
    std::map<size_t, cell_member> cell_members;  // the other gateways of the cell, by index
    bool reaches_store = false;                  // according to its last call
    time_point store_recovered_at{};
    bool reading = true;
    size_t round = 0;
    uint64_t step = 0;  // calls and timers of earlier steps are ignored
    duration longest_delay{0};
    time_point blocked_until{};
    time_point frozen_until{};
    bool dead = false;
  };
  struct waiting_call {
    size_t node = 0;
    uint64_t step = 0;
    uint64_t since = 0;
    time_point sent_at;
  };
  struct store_reply {
    uint64_t version = 0;
    uint64_t now_ms = 0;
    bool history_gone = false;  // the changes that were asked for are no longer stored
    replica::stored_rows rows;  // all rows for a whole read, otherwise the changed ones
  };

  static std::string Value(uint64_t version) {
    return std::string(200, 'x') + std::to_string(version);
  }

  void At(size_t node, time_point at, std::function<void()> run) {
    events_.push({at, next_event_++, node, std::move(run)});
  }
  void After(size_t node, duration delay, std::function<void()> run) {
    At(node, now_ + delay, std::move(run));
  }
  bool IsBlocked(const node& self) const {
    return self.blocked_until > now_ || store_down_until_ > now_;
  }
  // A random duration in [0, max).
  duration RandomUpTo(duration max) {
    return duration(
        static_cast<duration::rep>(UniformUnit(rng_) * static_cast<double>(max.count())));
  }
  bool Chance(double probability) { return UniformUnit(rng_) < probability; }
  uint64_t StoreMs() const {
    return static_cast<uint64_t>(WholeMilliseconds(now_.time_since_epoch()));
  }

  // Computes the topology once per cell, and derives those of the other members from it.
  void MakeTopologies() {
    std::vector<bool> done(nodes_.size(), false);
    for (size_t i = 0; i < nodes_.size(); ++i) {
      if (done[i]) continue;
      const auto topology = exchange::MakeTopology(members_, members_[i].id, members_[i].zone);
      std::vector<size_t> cell = topology.cell;
      cell.push_back(i);
      for (const size_t member : cell) {
        done[member] = true;
        nodes_[member].topology = topology;
        nodes_[member].topology.cell = cell;
        std::erase(nodes_[member].topology.cell, member);
      }
    }
  }

  void Start(size_t index) {
    node& self = nodes_[index];
    self.table_freshness.check_jitter = UniformUnit(rng_);
    for (const size_t member : self.topology.cell) {
      self.cell_members[member] = {members_[member].id};
    }
    Configure(self);
    After(index, RandomUpTo(std::chrono::milliseconds(300)),
          [=, this] { Call(index, true, false); });
    After(index, RandomUpTo(kTick), [=, this] { Tick(index); });
    After(index, RandomUpTo(kReaderTick), [=, this] { ReaderTick(index); });
    After(index, RandomUpTo(self.topology.interval), [=, this] { SendState(index); });
  }

  void Configure(node& self) {
    ConfigureFreshness(self.table_freshness, {self.topology.exact, self.reading, nodes_.size()},
                       options_.limits, 1);
    // The same values as in platform/src/run.cc for the list of endpoints.
    self.poll.coalescing_delay =
        std::clamp<duration>(std::chrono::milliseconds(8) * nodes_.size(),
                             std::chrono::milliseconds(250), std::chrono::milliseconds(800));
  }

  // --- Calls to the store.

  void Execute(size_t index, const replica::poll_step& step) {
    using replica::poll_action;
    node& self = nodes_[index];
    if (step.action == poll_action::kNone) return;
    ++self.step;
    if (step.action == poll_action::kSleep) {
      After(index, Jitter(rng_, step.sleep, 0.2), [this, index, expected = self.step] {
        if (nodes_[index].step == expected) Execute(index, OnWake(nodes_[index].poll));
      });
    } else if (step.action != poll_action::kCancel) {
      Call(index, step.action == poll_action::kReadTable, step.action == poll_action::kLongPoll);
    }
  }

  void Call(size_t index, bool whole, bool waits) {
    const node& self = nodes_[index];
    ++calls_;
    const waiting_call call{index, self.step, self.copy.complete, now_};
    After(index, waits ? kWatchTimeout : kProbeTimeout, [this, call] { OnTimeout(call); });
    if (IsBlocked(self)) return;
    if (Chance(options_.call_loss)) return;
    After(kNoNode, RandomUpTo(options_.call_time / 2), [this, call, whole, waits] {
      if (!whole && waits && !HasChanges(call.since) && call.since >= oldest_) {
        waiting_.push_back(call);
      } else {
        Reply(call, whole);
      }
    });
  }

  bool HasChanges(uint64_t since) const {
    return !history_.empty() && history_.back().first > since;
  }

  void ReplyToWaitingCalls() {
    for (const waiting_call& call : std::exchange(waiting_, {})) Reply(call, false);
  }

  void Reply(const waiting_call& call, bool whole) {
    // The replies to a blocked gateway are lost.
    if (IsBlocked(nodes_[call.node])) return;
    store_reply reply{version_, StoreMs(), !whole && call.since < oldest_, {}};
    if (whole) reply.rows = rows_;
    for (const auto& [key, row] : rows_) {
      if (!whole && row.version > call.since) reply.rows[key] = row;
    }
    After(call.node, RandomUpTo(options_.call_time / 2),
          [this, call, whole, reply] { OnReply(call, whole, reply); });
  }

  void OnTimeout(const waiting_call& call) {
    node& self = nodes_[call.node];
    if (self.step != call.step) return;
    self.reaches_store = false;
    Execute(call.node, OnFailure(self.poll));
  }

  void OnReply(const waiting_call& call, bool whole, const store_reply& reply) {
    node& self = nodes_[call.node];
    if (self.step != call.step) return;
    if (!std::exchange(self.reaches_store, true)) self.store_recovered_at = now_;
    if (reply.history_gone) return Execute(call.node, OnHistoryGone(self.poll));
    const replica::table_copy before = self.copy;
    replica::table_change change{self.copy.unchanged_since, reply.version, {}};
    if (whole) {
      const auto difference = replica::ReplaceRows(self.copy, reply.rows, reply.version);
      if (!difference) return Execute(call.node, OnFailure(self.poll));
      change = *difference;
    } else {
      for (const auto& [key, row] : reply.rows) {
        if (row.version > self.copy.complete) change.rows.push_back({key, row.version, row.value});
      }
      std::ranges::sort(change.rows, {}, &exchange::changed_row::version);
    }
    if (!change.rows.empty()) Share(call.node, replica::WithDeltas(change, before), reply.now_ms);
    if (!whole) replica::Apply(self.copy, change);
    RecordDelays(self, before.complete);
    const bool announce = ShouldAnnounceReply(self.table_freshness, self.clock, now_);
    Observe(self.clock, {call.sent_at, now_, reply.now_ms});
    OnStoreReply(self.table_freshness, self.copy.changed, self.copy.complete, reply.now_ms, now_);
    if (announce) {
      const exchange::receivers receivers = exchange::EventReceivers(self.topology, rng_);
      SendAll(receivers, PositionMessage(call.node));
    }
    Execute(call.node, OnSuccess(self.poll, !whole && !change.rows.empty()));
  }

  // Records the delays of the changes after the version `before` that the gateway knows now.
  void RecordDelays(node& self, uint64_t before) {
    for (auto it = changes_.upper_bound(before);
         it != changes_.end() && it->first <= self.copy.complete; ++it) {
      self.longest_delay = std::max(self.longest_delay, now_ - it->second);
    }
  }

  // --- Messages.

  exchange::message PositionMessage(size_t index) const {
    exchange::message message;
    message.sender = exchange::IdHash(members_[index].id);
    message.feeds = {
        {nodes_[index].table_freshness.changed, nodes_[index].table_freshness.confirmed_ms}};
    return message;
  }

  void Send(size_t receiver, const std::shared_ptr<const exchange::message>& message) {
    if (Chance(options_.message_loss)) return;
    After(receiver, kMessageTime, [this, receiver, message] { OnMessage(receiver, *message); });
  }
  void SendAll(const exchange::receivers& receivers, exchange::message message) {
    const auto shared = std::make_shared<const exchange::message>(std::move(message));
    for (const size_t index : receivers.cell) Send(index, shared);
    for (const size_t index : receivers.relays) Send(index, shared);
  }

  void SendState(size_t index) {
    node& self = nodes_[index];
    exchange::message message = PositionMessage(index);
    message.is_state = true;
    message.reaches_store = self.reaches_store;
    SendAll(exchange::StateReceivers(self.topology, self.round++, rng_), std::move(message));
    After(index, Jitter(rng_, self.topology.interval, 0.1), [=, this] { SendState(index); });
  }

  void Share(size_t index, const replica::table_change& change, uint64_t as_of_ms) {
    const node& self = nodes_[index];
    if (self.topology.exact || !ShouldShareWithCell(self.reading, change, self.table_freshness)) {
      return;
    }
    const exchange::shared_change shared{.table = 0, .change = change, .as_of_ms = as_of_ms};
    for (const cell_message& addressed : MakeCellMessages(
             shared, exchange::IdHash(members_[index].id), self.topology, members_, rng_)) {
      Send(addressed.receiver, std::make_shared<const exchange::message>(addressed.message));
    }
  }

  void OnMessage(size_t index, const exchange::message& message) {
    node& self = nodes_[index];
    const size_t sender_index = names_.at(message.sender);
    for (const exchange::feed_position& position : message.feeds) {
      if (OnPeerPosition(self.table_freshness, position.changed, position.as_of_ms, self.clock,
                         now_)) {
        Check(index);
      }
    }
    const auto sender = self.cell_members.find(sender_index);
    if (message.is_state && sender != self.cell_members.end()) {
      sender->second.last_heard = now_;
      sender->second.reaches_store = message.reaches_store;
    }
    if (message.rows) OnRows(index, message);
  }

  void OnRows(size_t index, const exchange::message& message) {
    node& self = nodes_[index];
    const exchange::shared_change& shared = *message.rows;
    if (shared.change.rows.empty()) {
      if (OnLargeChange(self.table_freshness, shared.change.until, self.clock, now_)) Check(index);
    } else {
      const uint64_t before = self.copy.complete;
      const replica::apply_result applied = replica::Apply(self.copy, shared.change);
      RecordDelays(self, before);
      if (applied.outcome == replica::change_outcome::kApplied) {
        OnChangeApplied(self.table_freshness, self.copy.changed, self.copy.complete,
                        shared.as_of_ms);
      } else if (applied.outcome != replica::change_outcome::kAlreadyApplied &&
                 OnGap(self.table_freshness, shared.change.until, self.clock, now_)) {
        Check(index);
      }
    }
    if (shared.forward_to.empty()) return;
    exchange::message forwarded = message;
    forwarded.sender = exchange::IdHash(members_[index].id);
    forwarded.rows->forward_to.clear();
    const auto shared_message = std::make_shared<const exchange::message>(std::move(forwarded));
    for (const uint32_t name : shared.forward_to) Send(names_.at(name), shared_message);
  }

  // --- Timers.

  void Check(size_t index) {
    const replica::poll_step step = OnCheck(nodes_[index].poll);
    if (step.action == replica::poll_action::kNone) return;
    OnCheckSent(nodes_[index].table_freshness, now_);
    Execute(index, step);
  }

  void Tick(size_t index) {
    if (IsCheckDue(nodes_[index].table_freshness, nodes_[index].clock, now_)) Check(index);
    After(index, kTick, [=, this] { Tick(index); });
  }

  void ReaderTick(size_t index) {
    node& self = nodes_[index];
    std::vector<cell_member> others;
    for (const auto& [member_index, member] : self.cell_members) others.push_back(member);
    const reader_election_times times{now_, exchange::PeerTimeout(self.topology), started_,
                                      self.store_recovered_at};
    const bool reading = self.topology.exact ||
                         (self.reaches_store && IsElectedReader(members_[index].id, others, times));
    if (std::exchange(self.reading, reading) != reading) {
      Configure(self);
      Execute(index, OnFollowing(self.poll, reading));
    }
    After(index, kReaderTick, [=, this] { ReaderTick(index); });
  }

  model_options options_;
  random_generator rng_;
  time_point now_ = time_point() + std::chrono::seconds(1000);
  const time_point started_ = now_;
  std::vector<exchange::member> members_;
  std::map<uint32_t, size_t> names_;
  std::vector<node> nodes_;
  std::priority_queue<event> events_;
  uint64_t next_event_ = 0;
  size_t calls_ = 0;

  // State of the store.
  uint64_t version_ = 10;
  uint64_t oldest_ = 0;  // changes after this version are in the history
  replica::stored_rows rows_;
  std::vector<std::pair<uint64_t, std::string>> history_;
  std::map<uint64_t, time_point> changes_;  // times of acknowledgement, by version
  std::vector<waiting_call> waiting_;
  time_point store_down_until_{};
};

}  // namespace balsambay::gateway
