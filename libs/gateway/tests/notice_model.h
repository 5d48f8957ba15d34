// An installation in virtual time: the store, gateways with a copy of one table each, and the
// messages between them. Everything that decides is the gateway's own code; the model only carries
// calls and messages, and loses them.
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
  notice_limits limits;
  double message_loss = 0.05;  // of messages between gateways
  double call_loss = 0;        // of calls of the store, which show by a time-out
  // Of a call until its reply is processed, at most: entry VMs have an eighth of a core.
  duration call_time = std::chrono::milliseconds(5);
  uint64_t seed = 1;
};

class notice_model {
 public:
  explicit notice_model(const model_options& options) : options_(options), rng_(options.seed) {
    for (size_t i = 0; i < options.gateways; ++i) {
      members_.push_back({"g" + std::to_string(i), "z" + std::to_string(i % options.zones)});
      names_[exchange::NameOf(members_.back().id)] = i;
    }
    nodes_.resize(options.gateways);
    rows_["config"] = {version_, Value(version_)};
    MakeTopologies();
    for (size_t i = 0; i < nodes_.size(); ++i) Start(i);
  }

  // --- What happens.

  // A change of the table; the time of its acknowledgement is kept.
  void Change(const std::string& key) {
    rows_[key] = {++version_, Value(version_)};
    history_.push_back({version_, key});
    changes_[version_] = now_;
    AnswerWaiting();
  }
  void DropHistory() { oldest_ = version_; }
  // All calls of the gateway fail until then.
  void CutStore(size_t node, time_point until) { nodes_[node].cut_until = until; }
  // The same for all, who do not count as disturbed by it.
  void CutStoreForAll(time_point until) { store_away_until_ = until; }
  void Freeze(size_t node, time_point until) { nodes_[node].frozen_until = until; }
  void Kill(size_t node) { nodes_[node].dead = true; }

  std::vector<size_t> Readers() const {
    std::vector<size_t> out;
    for (size_t i = 0; i < nodes_.size(); ++i) {
      if (nodes_[i].reading && !nodes_[i].dead) out.push_back(i);
    }
    return out;
  }

  void Run(duration time) {
    const time_point end = now_ + time;
    while (!events_.empty() && events_.top().at <= end) {
      const event next = events_.top();
      events_.pop();
      now_ = std::max(now_, next.at);
      if (next.node != kNobody) {
        node& item = nodes_[next.node];
        if (item.dead) continue;
        if (item.frozen_until > now_) {
          At(next.node, item.frozen_until, next.run);
          continue;
        }
      }
      next.run();
    }
    now_ = end;
  }

  // --- What was seen.

  time_point Now() const { return now_; }
  size_t Calls() const { return calls_; }

  // Longest time that a sound gateway knew less than the store; changes that it lacks count up to
  // now. Gateways that were disturbed are left out.
  duration WorstNotice() const {
    duration worst{0};
    for (const node& item : nodes_) {
      if (item.dead || item.frozen_until != time_point() || item.cut_until != time_point())
        continue;
      worst = std::max(worst, item.worst);
      const auto missing = changes_.upper_bound(item.copy.complete);
      if (missing != changes_.end()) worst = std::max(worst, now_ - missing->second);
    }
    return worst;
  }
  // Whether all gateways that live hold the store's rows, if nothing is under way.
  bool IsSame() const {
    return std::ranges::all_of(
        nodes_, [&](const node& item) { return item.dead || item.copy.rows == rows_; });
  }

 private:
  static constexpr size_t kNobody = SIZE_MAX;
  static constexpr duration kTick = std::chrono::milliseconds(50);
  static constexpr duration kReaderTick = std::chrono::milliseconds(500);
  static constexpr duration kMessageTime = std::chrono::milliseconds(1);
  static constexpr duration kProbeTimeout = std::chrono::milliseconds(500);
  static constexpr duration kWatchTimeout = std::chrono::milliseconds(25'800);

  struct event {
    time_point at;
    uint64_t order = 0;
    size_t node = kNobody;
    std::function<void()> run;
    bool operator<(const event& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };
  struct node {
    replica::table_copy copy;
    replica::poller poll;
    freshness fresh;
    remote_clock clock;
    exchange::topology topology;
    std::map<size_t, cell_member> others;  // of the cell
    bool reaches_store = false;            // as its last call showed
    time_point store_back_at{};
    bool reading = true;
    size_t round = 0;
    uint64_t step = 0;  // calls and sleeps of earlier steps are void
    duration worst{0};
    time_point cut_until{};
    time_point frozen_until{};
    bool dead = false;
  };
  struct waiting_call {
    size_t node = 0;
    uint64_t step = 0;
    uint64_t since = 0;
    time_point asked;
  };
  struct store_reply {
    uint64_t version = 0;
    uint64_t now_ms = 0;
    bool gone = false;
    replica::stored_rows rows;  // of a whole read; else those that changed
  };

  static std::string Value(uint64_t version) {
    return std::string(200, 'x') + std::to_string(version);
  }

  void At(size_t node, time_point at, std::function<void()> run) {
    events_.push({at, next_event_++, node, std::move(run)});
  }
  void After(size_t node, duration time, std::function<void()> run) {
    At(node, now_ + time, std::move(run));
  }
  bool IsCut(const node& item) const { return item.cut_until > now_ || store_away_until_ > now_; }
  duration Spread(duration most) {
    return duration(
        static_cast<duration::rep>(UniformUnit(rng_) * static_cast<double>(most.count())));
  }
  bool Chance(double part) { return UniformUnit(rng_) < part; }
  uint64_t StoreMs() const {
    return static_cast<uint64_t>(WholeMilliseconds(now_.time_since_epoch()));
  }

  // The topology of each gateway follows from that of one member of its cell.
  void MakeTopologies() {
    std::vector<bool> done(nodes_.size(), false);
    for (size_t i = 0; i < nodes_.size(); ++i) {
      if (done[i]) continue;
      const auto made = exchange::MakeTopology(members_, members_[i].id, members_[i].zone);
      std::vector<size_t> whole = made.cell;
      whole.push_back(i);
      for (const size_t member : whole) {
        done[member] = true;
        nodes_[member].topology = made;
        nodes_[member].topology.cell = whole;
        std::erase(nodes_[member].topology.cell, member);
      }
    }
  }

  void Start(size_t index) {
    node& item = nodes_[index];
    item.fresh.spread = UniformUnit(rng_);
    for (const size_t other : item.topology.cell) item.others[other] = {members_[other].id};
    Adapt(item);
    After(index, Spread(std::chrono::milliseconds(300)), [=, this] { Call(index, true, false); });
    After(index, Spread(kTick), [=, this] { Tick(index); });
    After(index, Spread(kReaderTick), [=, this] { ReaderTick(index); });
    After(index, Spread(item.topology.interval), [=, this] { SendState(index); });
  }

  void Adapt(node& item) {
    AdaptFreshness(item.fresh, {item.topology.exact, item.reading, nodes_.size()}, options_.limits,
                   1);
    // As platform/src/run.cc has it for the list of endpoints.
    item.poll.gather =
        std::clamp<duration>(std::chrono::milliseconds(8) * nodes_.size(),
                             std::chrono::milliseconds(250), std::chrono::milliseconds(800));
  }

  // --- Calls.

  void Do(size_t index, const replica::poll_step& step) {
    using replica::poll_action;
    node& item = nodes_[index];
    if (step.action == poll_action::kNone) return;
    ++item.step;
    if (step.action == poll_action::kSleep) {
      After(index, Jitter(rng_, step.sleep, 0.2), [this, index, expected = item.step] {
        if (nodes_[index].step == expected) Do(index, OnWake(nodes_[index].poll));
      });
    } else if (step.action != poll_action::kStop) {
      Call(index, step.action == poll_action::kRead, step.action == poll_action::kWait);
    }
  }

  void Call(size_t index, bool whole, bool waits) {
    const node& item = nodes_[index];
    ++calls_;
    const waiting_call call{index, item.step, item.copy.complete, now_};
    After(index, waits ? kWatchTimeout : kProbeTimeout, [this, call] { OnTimeout(call); });
    if (IsCut(item)) return;
    if (Chance(options_.call_loss)) return;
    After(kNobody, Spread(options_.call_time / 2), [this, call, whole, waits] {
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

  void AnswerWaiting() {
    for (const waiting_call& call : std::exchange(waiting_, {})) Reply(call, false);
  }

  void Reply(const waiting_call& call, bool whole) {
    // A call of a gateway that is cut off is lost.
    if (IsCut(nodes_[call.node])) return;
    store_reply out{version_, StoreMs(), !whole && call.since < oldest_, {}};
    if (whole) out.rows = rows_;
    for (const auto& [key, row] : rows_) {
      if (!whole && row.version > call.since) out.rows[key] = row;
    }
    After(call.node, Spread(options_.call_time / 2),
          [this, call, whole, out] { OnReply(call, whole, out); });
  }

  void OnTimeout(const waiting_call& call) {
    node& item = nodes_[call.node];
    if (item.step != call.step) return;
    item.reaches_store = false;
    Do(call.node, OnFailure(item.poll));
  }

  void OnReply(const waiting_call& call, bool whole, const store_reply& reply) {
    node& item = nodes_[call.node];
    if (item.step != call.step) return;
    if (!std::exchange(item.reaches_store, true)) item.store_back_at = now_;
    if (reply.gone) return Do(call.node, OnHistoryGone(item.poll));
    const replica::table_copy before = item.copy;
    replica::table_change change{item.copy.unchanged_since, reply.version, {}};
    if (whole) {
      const auto difference = replica::Replace(item.copy, reply.rows, reply.version);
      if (!difference) return Do(call.node, OnFailure(item.poll));
      change = *difference;
    } else {
      for (const auto& [key, row] : reply.rows) {
        if (row.version > item.copy.complete) change.rows.push_back({key, row.version, row.value});
      }
      std::ranges::sort(change.rows, {}, &exchange::changed_row::version);
    }
    if (!change.rows.empty()) Share(call.node, replica::WithDeltas(change, before), reply.now_ms);
    if (!whole) replica::Apply(item.copy, change);
    Note(item, before.complete);
    const bool awaited = IsAwaited(item.fresh, item.clock, now_);
    Observe(item.clock, {call.asked, now_, reply.now_ms});
    OnTablePosition(item.fresh, item.copy.changed, item.copy.complete, reply.now_ms, now_);
    if (awaited) {
      const exchange::receivers to = exchange::NewsReceivers(item.topology, rng_);
      SendAll(to, PositionOf(call.node));
    }
    Do(call.node, OnAnswer(item.poll, !whole && !change.rows.empty()));
  }

  // Changes after `before` are known now.
  void Note(node& item, uint64_t before) {
    for (auto it = changes_.upper_bound(before);
         it != changes_.end() && it->first <= item.copy.complete; ++it) {
      item.worst = std::max(item.worst, now_ - it->second);
    }
  }

  // --- Messages.

  exchange::message PositionOf(size_t index) const {
    exchange::message out;
    out.from = exchange::NameOf(members_[index].id);
    out.feeds = {{nodes_[index].fresh.changed, nodes_[index].fresh.confirmed_ms}};
    return out;
  }

  void Send(size_t to, const std::shared_ptr<const exchange::message>& message) {
    if (Chance(options_.message_loss)) return;
    After(to, kMessageTime, [this, to, message] { OnMessage(to, *message); });
  }
  void SendAll(const exchange::receivers& to, exchange::message message) {
    const auto shared = std::make_shared<const exchange::message>(std::move(message));
    for (const size_t index : to.cell) Send(index, shared);
    for (const size_t index : to.relays) Send(index, shared);
  }

  void SendState(size_t index) {
    node& item = nodes_[index];
    exchange::message message = PositionOf(index);
    message.is_state = true;
    message.reaches_store = item.reaches_store;
    SendAll(exchange::StateReceivers(item.topology, item.round++, rng_), std::move(message));
    After(index, Jitter(rng_, item.topology.interval, 0.1), [=, this] { SendState(index); });
  }

  void Share(size_t index, const replica::table_change& change, uint64_t as_of_ms) {
    const node& item = nodes_[index];
    if (item.topology.exact || !TellsCell(item.reading, change, item.fresh)) return;
    const exchange::shared_change told{.table = 0, .change = change, .as_of_ms = as_of_ms};
    for (const row_message& part :
         TellCell(told, exchange::NameOf(members_[index].id), item.topology, members_, rng_)) {
      Send(part.to, std::make_shared<const exchange::message>(part.message));
    }
  }

  void OnMessage(size_t index, const exchange::message& message) {
    node& item = nodes_[index];
    const size_t from = names_.at(message.from);
    for (const exchange::feed_position& position : message.feeds) {
      if (OnPeerPosition(item.fresh, position.changed, position.as_of_ms, item.clock, now_)) {
        Check(index);
      }
    }
    const auto sender = item.others.find(from);
    if (message.is_state && sender != item.others.end()) {
      sender->second.heard = now_;
      sender->second.reaches_store = message.reaches_store;
    }
    if (message.rows) OnRows(index, message);
  }

  void OnRows(size_t index, const exchange::message& message) {
    node& item = nodes_[index];
    const exchange::shared_change& rows = *message.rows;
    if (rows.change.rows.empty()) {
      if (OnLargeChange(item.fresh, rows.change.until, item.clock, now_)) Check(index);
    } else {
      const uint64_t before = item.copy.complete;
      const replica::applied done = replica::Apply(item.copy, rows.change);
      Note(item, before);
      if (done.outcome == replica::change_outcome::kApplied) {
        OnApplied(item.fresh, item.copy.changed, item.copy.complete, rows.as_of_ms);
      } else if (done.outcome != replica::change_outcome::kKnown &&
                 OnGap(item.fresh, rows.change.until, item.clock, now_)) {
        Check(index);
      }
    }
    if (rows.pass_to.empty()) return;
    exchange::message passed_on = message;
    passed_on.from = exchange::NameOf(members_[index].id);
    passed_on.rows->pass_to.clear();
    const auto shared = std::make_shared<const exchange::message>(std::move(passed_on));
    for (const uint32_t name : rows.pass_to) Send(names_.at(name), shared);
  }

  // --- Timers.

  void Check(size_t index) {
    const replica::poll_step step = OnCheck(nodes_[index].poll);
    if (step.action == replica::poll_action::kNone) return;
    OnCheck(nodes_[index].fresh, now_);
    Do(index, step);
  }

  void Tick(size_t index) {
    if (IsCheckDue(nodes_[index].fresh, nodes_[index].clock, now_)) Check(index);
    After(index, kTick, [=, this] { Tick(index); });
  }

  void ReaderTick(size_t index) {
    node& item = nodes_[index];
    std::vector<cell_member> others;
    for (const auto& [other, known] : item.others) others.push_back(known);
    const reader_times times{now_, exchange::Lifetime(item.topology), started_, item.store_back_at};
    const bool reading = item.topology.exact ||
                         (item.reaches_store && ReadsForCell(members_[index].id, others, times));
    if (std::exchange(item.reading, reading) != reading) {
      Adapt(item);
      Do(index, OnFollowing(item.poll, reading));
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

  // The store.
  uint64_t version_ = 10;
  uint64_t oldest_ = 0;
  replica::stored_rows rows_;
  std::vector<std::pair<uint64_t, std::string>> history_;
  std::map<uint64_t, time_point> changes_;  // by version
  std::vector<waiting_call> waiting_;
  time_point store_away_until_{};
};

}  // namespace balsambay::gateway
