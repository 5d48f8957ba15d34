// Simulation in virtual time, shared by the tests and the benchmark of rollouts: zones of daemons,
// a table with outages and lost replies, and operators that commit versions. Instead of membership,
// whose probes carry the versions, each daemon exchanges versions with one random peer of its zone
// every 500 ms.
#pragma once

#include <functional>
#include <map>
#include <queue>
#include <set>
#include <string>

#include "configsync/configsync.h"

namespace balsambay::configsync::testing {

using nlohmann::json;

// Passes one input of a trace file to `core`. Forms of inputs:
//   {"tick"} {"live":[ids]} {"read":id,"reply":rows|null} {"from","message"}
//   {"peer","version","age_us"}
inline effects ApplyInput(state& core, const json& input, time_point now) {
  if (input.contains("live")) {
    return SetLiveMembers(core, input["live"].get<std::vector<std::string>>(), now);
  }
  if (input.contains("message")) {
    const std::string sender = input["from"];
    return OnMessage(core, sender, MessageFromJson(input["message"]).value(), now);
  }
  if (input.contains("peer")) {
    const duration age(input["age_us"].get<int64_t>());
    return OnPeerVersion(core, input["peer"].get<std::string>(), input["version"], age, now);
  }
  if (!input.contains("read")) return OnTick(core, now);
  if (input["reply"].is_null()) return OnReadReply(core, input["read"], nullptr, now);
  const table::read_reply reply = table::ReadReplyFromJson(input["reply"]).value();
  return OnReadReply(core, input["read"], &reply, now);
}

// One daemon.
struct sim_node {
  state core;
  size_t zone = 0;
  bool running = true;
  uint64_t generation = 0;   // number of starts; replies to an earlier process are dropped
  time_point next_exchange;  // of versions with a random peer
  uint64_t messages = 0;     // sent and received
  uint64_t bytes = 0;        // CBOR, sent and received
};

struct simulation {
  random_generator rng;
  time_point now = time_point(std::chrono::seconds(1000));
  std::vector<sim_node> nodes;
  table::memory_table table;
  std::map<uint64_t, std::string> accepted;  // digests of the committed versions, from the table
  bool table_down = false;                   // outage: all table calls fail
  // Probabilities of loss.
  double request_loss = 0;         // of table requests
  double reply_loss = 0;           // of table replies
  double peer_loss = 0;            // of messages between peers
  bool count_traffic = false;      // encodes messages as CBOR and counts messages and bytes
  bool fault_apply_lower = false;  // state::fault_apply_lower of daemons that start later
  // Called after each input of node 0, with the input in the form of trace files.
  std::function<void(json input, const effects&)> observer;
  std::set<size_t> zones_without_table;  // their table calls fail
  std::vector<std::string> violations;
  validate_fn validate = [](const json& document) {
    return document.contains("bad") ? std::vector<std::string>{"/bad: not allowed"}
                                    : std::vector<std::string>{};
  };

  struct scheduled_event {
    time_point at;
    uint64_t sequence;  // order of events at the same time
    std::function<void()> action;
    bool operator>(const scheduled_event& other) const {
      return std::tie(at, sequence) > std::tie(other.at, other.sequence);
    }
  };
  std::priority_queue<scheduled_event, std::vector<scheduled_event>, std::greater<>> queue;
  uint64_t next_sequence = 0;

  simulation(size_t count, size_t zones, uint64_t seed) : rng(seed), nodes(count) {
    for (size_t i = 0; i < count; ++i) nodes[i].zone = i % zones;
    for (size_t i = 0; i < count; ++i) Start(i);
  }

  static std::string Id(size_t index) { return "vm-" + std::to_string(1000 + index); }

  void Schedule(duration delay, std::function<void()> action) {
    queue.push({now + delay, next_sequence++, std::move(action)});
  }
  // Uniform, at least 200 us and less than 200 us + `max_us`.
  duration RandomDelay(int64_t max_us) {
    return duration(200 + static_cast<int64_t>(UniformBelow(rng, static_cast<uint64_t>(max_us))));
  }

  void Start(size_t index) {
    sim_node& node = nodes[index];
    settings config;
    config.id = Id(index);
    node.core = MakeState(config, validate, rng(), now);
    node.core.fault_apply_lower = fault_apply_lower;
    node.running = true;
    ++node.generation;
    node.next_exchange = now + RandomDelay(500000);
    UpdateLive(node.zone);
  }
  void Crash(size_t index) {
    nodes[index].running = false;
    UpdateLive(nodes[index].zone);
  }

  std::vector<std::string> LiveIds(size_t zone) const {
    std::vector<std::string> ids;
    for (size_t i = 0; i < nodes.size(); ++i) {
      if (nodes[i].zone == zone && nodes[i].running) ids.push_back(Id(i));
    }
    return ids;
  }
  void UpdateLive(size_t zone) {
    const std::vector<std::string> ids = LiveIds(zone);
    for (size_t i = 0; i < nodes.size(); ++i) {
      if (nodes[i].zone != zone || !nodes[i].running || nodes[i].core.config.id.empty()) continue;
      Deliver(i, {{"live", ids}});
    }
  }

  // Passes one input to a node, checks the invariants and carries out the effects.
  void Deliver(size_t index, const json& input) {
    sim_node& node = nodes[index];
    const uint64_t version_before = node.core.version;
    const effects effects = ApplyInput(node.core, input, now);
    if (observer && index == 0) observer(input, effects);
    CheckInvariants(node, version_before, effects.applied);
    for (const table_read& read : effects.reads) SendRead(index, read);
    for (const peer_message& send : effects.sends) {
      SendMessage(index, static_cast<size_t>(std::stoul(send.receiver.substr(3)) - 1000),
                  send.content);
    }
  }

  void CheckInvariants(const sim_node& node, uint64_t version_before, bool applied) {
    if (node.core.version < version_before) violations.push_back("version decreased");
    if (!applied) return;
    const auto found = accepted.find(node.core.version);
    const bool same_document =
        found != accepted.end() && found->second == Digest(node.core.document);
    if (!same_document) violations.push_back("document in force differs from the committed one");
    if (node.core.document.contains("bad")) violations.push_back("invalid document in force");
  }

  // Counts a message of `node` and replaces it by its decoded encoding.
  void CountTraffic(sim_node& node, message& content) const {
    if (!count_traffic) return;
    const std::vector<uint8_t> encoded = json::to_cbor(ToJson(content));
    ++node.messages;
    node.bytes += encoded.size();
    content = MessageFromJson(json::from_cbor(encoded)).value();
  }

  void SendMessage(size_t sender, size_t receiver, message content) {
    CountTraffic(nodes[sender], content);
    if (UniformUnit(rng) < peer_loss || nodes[sender].zone != nodes[receiver].zone) return;
    Schedule(RandomDelay(2800), [this, sender, receiver, content]() mutable {
      if (!nodes[receiver].running) return;
      CountTraffic(nodes[receiver], content);
      Deliver(receiver, {{"from", Id(sender)}, {"message", ToJson(content)}});
    });
  }

  // Makes a table call. `on_reply` gets the reply, or nullptr if the request or the reply is lost.
  template <class Reply>
  void CallTable(size_t zone, std::function<Reply()> apply,
                 std::function<void(const Reply*)> on_reply) {
    const auto fail_after_timeout = [this, on_reply] {
      Schedule(std::chrono::milliseconds(500), [on_reply] { on_reply(nullptr); });
    };
    const bool request_lost =
        table_down || zones_without_table.contains(zone) || UniformUnit(rng) < request_loss;
    if (request_lost) return fail_after_timeout();
    Schedule(RandomDelay(5000), [this, apply, on_reply, fail_after_timeout] {
      if (table_down) return fail_after_timeout();
      const Reply reply = apply();
      RecordAcceptedVersion();
      if (UniformUnit(rng) < reply_loss) return fail_after_timeout();
      Schedule(RandomDelay(5000), [on_reply, reply] { on_reply(&reply); });
    });
  }

  void RecordAcceptedVersion() {
    const auto row = table.rows.find(kHeadKey);
    if (row == table.rows.end()) return;
    const head committed = HeadFromText(row->second.value).value();
    accepted.emplace(committed.version, committed.digest);
  }

  void SendRead(size_t index, const table_read& read) {
    const uint64_t generation = nodes[index].generation;
    CallTable<table::read_reply>(
        nodes[index].zone, [this, read] { return table::Read(table, read.request); },
        [this, index, generation, read](const table::read_reply* reply) {
          if (!nodes[index].running || nodes[index].generation != generation) return;
          const json rows = reply == nullptr ? json() : table::ToJson(*reply);
          Deliver(index, {{"read", read.id}, {"reply", rows}});
        });
  }

  // Commits that operators have started, also those that are done.
  std::vector<std::unique_ptr<committer>> committers;
  // Starts a commit, which then runs with the simulation.
  const committer& Commit(commit_request request, int max_calls = 20) {
    committers.push_back(
        std::make_unique<committer>(StartCommit(std::move(request), validate, max_calls).value()));
    ContinueCommit(*committers.back());
    return *committers.back();
  }
  void ContinueCommit(committer& commit) {
    const std::optional<table_call> call = NextCall(commit);
    if (!call) return;
    CallTable<table_reply>(
        nodes.size(),
        [this, call]() -> table_reply {
          if (const auto* read = std::get_if<table::read_request>(&*call))
            return table::Read(table, *read);
          return table::Commit(table, std::get<table::transaction>(*call));
        },
        [this, &commit](const table_reply* reply) {
          OnReply(commit, reply == nullptr ? table_reply() : *reply);
          ContinueCommit(commit);
        });
  }

  // Exchanges versions with a random live peer of the zone, as membership does.
  void ExchangeVersions(size_t index) {
    sim_node& node = nodes[index];
    node.next_exchange = now + std::chrono::milliseconds(500);
    std::vector<size_t> peers;
    for (size_t i = 0; i < nodes.size(); ++i) {
      if (i != index && nodes[i].running && nodes[i].zone == node.zone) peers.push_back(i);
    }
    if (peers.empty()) return;
    const size_t peer = peers[UniformBelow(rng, peers.size())];
    SendVersion(index, peer);
    SendVersion(peer, index);
  }
  void SendVersion(size_t sender, size_t receiver) {
    if (UniformUnit(rng) < peer_loss) return;
    const uint64_t version = nodes[sender].core.version;
    const duration age = ConfirmationAge(nodes[sender].core, now);
    Schedule(RandomDelay(2800), [this, sender, receiver, version, age] {
      if (!nodes[receiver].running) return;
      Deliver(receiver, {{"peer", Id(sender)}, {"version", version}, {"age_us", age.count()}});
    });
  }

  // Advances the time by `span` and carries out all events and deadlines in between.
  void RunFor(duration span) {
    const time_point end = now + span;
    while (true) {
      size_t next_node = 0;
      time_point next_deadline = kNever;
      for (size_t i = 0; i < nodes.size(); ++i) {
        if (!nodes[i].running) continue;
        const time_point deadline = std::min(NextDeadline(nodes[i].core), nodes[i].next_exchange);
        if (deadline < next_deadline) {
          next_deadline = deadline;
          next_node = i;
        }
      }
      const time_point next_event = queue.empty() ? kNever : queue.top().at;
      if (std::min(next_deadline, next_event) > end) break;
      now = std::max(now, std::min(next_deadline, next_event));
      if (next_event <= next_deadline) {
        const auto action = queue.top().action;
        queue.pop();
        action();
      } else {
        if (nodes[next_node].next_exchange <= now) ExchangeVersions(next_node);
        Deliver(next_node, {{"tick", true}});
      }
    }
    now = end;
  }

  // Returns false if `condition` does not hold within `limit`. Checks it every 10 ms.
  bool RunUntil(const std::function<bool()>& condition, duration limit) {
    const time_point end = now + limit;
    while (!condition()) {
      if (now >= end) return false;
      RunFor(std::chrono::milliseconds(10));
    }
    return true;
  }

  uint64_t HeadVersion() const { return accepted.empty() ? 0 : accepted.rbegin()->first; }
  // Whether all running nodes are ready and have `version` in force.
  bool AllAt(uint64_t version) const {
    return std::ranges::all_of(nodes, [version](const sim_node& node) {
      return !node.running || (node.core.version == version && IsReady(node.core));
    });
  }
};

// Returns a request that adds an edit to the document in force at `base`. The edit is named
// `nonce`.
inline commit_request Edit(const state& base, const std::string& nonce) {
  commit_request request{base.document, base.version, base.document, nonce};
  if (!request.document.is_object()) request.document = json::object();
  request.document["edits"][nonce] = {{"by", nonce}};
  return request;
}

}  // namespace balsambay::configsync::testing
