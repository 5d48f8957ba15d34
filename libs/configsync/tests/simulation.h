// Virtual zones of daemons, a table with outages and lost replies, and operators. Shared by the
// tests and the benchmark. Membership is replaced by an exchange of versions with one random zone
// peer every 500 ms, which is what its probes carry.
#pragma once

#include <functional>
#include <map>
#include <queue>
#include <set>
#include <string>

#include "configsync/configsync.h"

namespace balsambay::configsync::testing {

using nlohmann::json;

// Feeds one input in the form of trace files, one of
//   {"tick"} {"live":[ids]} {"read":id,"reply":rows|null} {"from","message"}
//   {"peer","version","age_us"}
inline effects Feed(state& core, const json& input, time_point now) {
  if (input.contains("live")) {
    return SetLive(core, input["live"].get<std::vector<std::string>>(), now);
  }
  if (input.contains("message")) {
    const std::string from = input["from"];
    return OnMessage(core, from, MessageFromJson(input["message"]).value(), now);
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

struct sim_node {
  state core;
  size_t zone = 0;
  bool running = true;
  uint64_t generation = 0;  // counts restarts; replies to an earlier process are dropped
  time_point next_report;
  uint64_t messages = 0;
  uint64_t bytes = 0;  // CBOR, sent and received
};

struct simulation {
  random_generator rng;
  time_point now = time_point(std::chrono::seconds(1000));
  std::vector<sim_node> nodes;
  table::memory_table table;
  std::map<uint64_t, std::string> accepted;  // version -> digest, from the table
  bool table_down = false;
  double lost_requests = 0;
  double lost_replies = 0;
  double loss = 0;       // of peer messages
  bool measure = false;  // pass messages through CBOR and count bytes
  bool fault_apply_lower = false;
  // Called for each input of node 0 with its description in the form of trace files.
  std::function<void(json input, const effects&)> observe;
  std::set<size_t> cut_zones;  // cut off from the table
  std::vector<std::string> violations;
  validate_fn validate = [](const json& document) {
    return document.contains("bad") ? std::vector<std::string>{"/bad: not allowed"}
                                    : std::vector<std::string>{};
  };

  struct timed {
    time_point at;
    uint64_t order;
    std::function<void()> run;
    bool operator>(const timed& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };
  std::priority_queue<timed, std::vector<timed>, std::greater<>> queue;
  uint64_t next_order = 0;

  simulation(size_t count, size_t zones, uint64_t seed) : rng(seed), nodes(count) {
    for (size_t i = 0; i < count; ++i) nodes[i].zone = i % zones;
    for (size_t i = 0; i < count; ++i) Start(i);
  }

  static std::string Id(size_t index) { return "vm-" + std::to_string(1000 + index); }

  void After(duration delay, std::function<void()> run) {
    queue.push({now + delay, next_order++, std::move(run)});
  }
  duration Delay(int64_t max_us) {
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
    node.next_report = now + Delay(500000);
    UpdateLive(node.zone);
  }
  void Crash(size_t index) {
    nodes[index].running = false;
    UpdateLive(nodes[index].zone);
  }

  std::vector<std::string> LiveOf(size_t zone) const {
    std::vector<std::string> ids;
    for (size_t i = 0; i < nodes.size(); ++i) {
      if (nodes[i].zone == zone && nodes[i].running) ids.push_back(Id(i));
    }
    return ids;
  }
  void UpdateLive(size_t zone) {
    const std::vector<std::string> ids = LiveOf(zone);
    for (size_t i = 0; i < nodes.size(); ++i) {
      if (nodes[i].zone != zone || !nodes[i].running || nodes[i].core.config.id.empty()) continue;
      Carry(i, {{"live", ids}});
    }
  }

  // Runs one input of a node, checks the invariants and carries out the effects.
  void Carry(size_t index, const json& input) {
    sim_node& node = nodes[index];
    const uint64_t before = node.core.version;
    const effects out = Feed(node.core, input, now);
    if (observe && index == 0) observe(input, out);
    Check(node, before, out.applied);
    for (const table_read& read : out.reads) SendRead(index, read);
    for (const peer_send& next : out.sends) {
      Transmit(index, static_cast<size_t>(std::stoul(next.to.substr(3)) - 1000), next.content);
    }
  }

  void Check(const sim_node& node, uint64_t before, bool applied) {
    if (node.core.version < before) violations.push_back("version fell");
    if (!applied) return;
    const auto found = accepted.find(node.core.version);
    const bool same = found != accepted.end() && found->second == Digest(node.core.document);
    if (!same) violations.push_back("document differs from the accepted one");
    if (node.core.document.contains("bad")) violations.push_back("bad document in force");
  }

  void Count(sim_node& node, message& content) const {
    if (!measure) return;
    const std::vector<uint8_t> wire = json::to_cbor(ToJson(content));
    ++node.messages;
    node.bytes += wire.size();
    content = MessageFromJson(json::from_cbor(wire)).value();
  }

  void Transmit(size_t from, size_t to, message content) {
    Count(nodes[from], content);
    if (UniformUnit(rng) < loss || nodes[from].zone != nodes[to].zone) return;
    After(Delay(2800), [this, from, to, content]() mutable {
      if (!nodes[to].running) return;
      Count(nodes[to], content);
      Carry(to, {{"from", Id(from)}, {"message", ToJson(content)}});
    });
  }

  // A call to the table; `done` gets the reply, or nothing when request or reply is lost.
  template <class Reply>
  void Call(size_t zone, std::function<Reply()> apply, std::function<void(const Reply*)> done) {
    const auto give_up = [this, done] {
      After(std::chrono::milliseconds(500), [done] { done(nullptr); });
    };
    const bool lost = table_down || cut_zones.contains(zone) || UniformUnit(rng) < lost_requests;
    if (lost) return give_up();
    After(Delay(5000), [this, apply, done, give_up] {
      if (table_down) return give_up();
      const Reply reply = apply();
      NoteAccepted();
      if (UniformUnit(rng) < lost_replies) return give_up();
      After(Delay(5000), [done, reply] { done(&reply); });
    });
  }

  void NoteAccepted() {
    const auto row = table.rows.find(kHeadKey);
    if (row == table.rows.end()) return;
    const head value = HeadFromText(row->second.value).value();
    accepted.emplace(value.version, value.digest);
  }

  void SendRead(size_t index, const table_read& read) {
    const uint64_t generation = nodes[index].generation;
    Call<table::read_reply>(
        nodes[index].zone, [this, read] { return table::Read(table, read.request); },
        [this, index, generation, read](const table::read_reply* reply) {
          if (!nodes[index].running || nodes[index].generation != generation) return;
          const json rows = reply == nullptr ? json() : table::ToJson(*reply);
          Carry(index, {{"read", read.id}, {"reply", rows}});
        });
  }

  // Runs a commit; `operators` keep their state here.
  std::vector<std::unique_ptr<committer>> operators;
  const committer& Commit(commit_request request, int attempts = 20) {
    operators.push_back(
        std::make_unique<committer>(StartCommit(std::move(request), validate, attempts).value()));
    StepOperator(*operators.back());
    return *operators.back();
  }
  void StepOperator(committer& work) {
    const std::optional<table_call> call = NextCall(work);
    if (!call) return;
    Call<table_reply>(
        nodes.size(),
        [this, call]() -> table_reply {
          if (const auto* read = std::get_if<table::read_request>(&*call))
            return table::Read(table, *read);
          return table::Commit(table, std::get<table::transaction>(*call));
        },
        [this, &work](const table_reply* reply) {
          OnReply(work, reply == nullptr ? table_reply() : *reply);
          StepOperator(work);
        });
  }

  void Report(size_t index) {
    sim_node& node = nodes[index];
    node.next_report = now + std::chrono::milliseconds(500);
    std::vector<size_t> peers;
    for (size_t i = 0; i < nodes.size(); ++i) {
      if (i != index && nodes[i].running && nodes[i].zone == node.zone) peers.push_back(i);
    }
    if (peers.empty()) return;
    const size_t peer = peers[UniformBelow(rng, peers.size())];
    SendReport(index, peer);
    SendReport(peer, index);
  }
  void SendReport(size_t from, size_t to) {
    if (UniformUnit(rng) < loss) return;
    const uint64_t version = nodes[from].core.version;
    const duration age = Age(nodes[from].core, now);
    After(Delay(2800), [this, from, to, version, age] {
      if (!nodes[to].running) return;
      Carry(to, {{"peer", Id(from)}, {"version", version}, {"age_us", age.count()}});
    });
  }

  void RunFor(duration span) {
    const time_point end = now + span;
    while (true) {
      size_t first = 0;
      time_point wake = kNever;
      for (size_t i = 0; i < nodes.size(); ++i) {
        if (!nodes[i].running) continue;
        const time_point next = std::min(NextDeadline(nodes[i].core), nodes[i].next_report);
        if (next < wake) {
          wake = next;
          first = i;
        }
      }
      const time_point event = queue.empty() ? kNever : queue.top().at;
      if (std::min(wake, event) > end) break;
      now = std::max(now, std::min(wake, event));
      if (event <= wake) {
        const auto run = queue.top().run;
        queue.pop();
        run();
      } else {
        if (nodes[first].next_report <= now) Report(first);
        Carry(first, {{"tick", true}});
      }
    }
    now = end;
  }

  bool RunUntil(const std::function<bool()>& done, duration limit) {
    const time_point end = now + limit;
    while (!done()) {
      if (now >= end) return false;
      RunFor(std::chrono::milliseconds(10));
    }
    return true;
  }

  uint64_t HeadVersion() const { return accepted.empty() ? 0 : accepted.rbegin()->first; }
  bool AllAt(uint64_t version) const {
    return std::ranges::all_of(nodes, [version](const sim_node& node) {
      return !node.running || (node.core.version == version && IsReady(node.core));
    });
  }
};

// A request that changes the document of `base`.
inline commit_request Edit(const state& base, const std::string& nonce) {
  commit_request out{base.document, base.version, base.document, nonce};
  if (!out.document.is_object()) out.document = json::object();
  out.document["edits"][nonce] = {{"by", nonce}};
  return out;
}

}  // namespace balsambay::configsync::testing
