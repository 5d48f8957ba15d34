// Virtual network of membership daemons with delay, loss, cuts, crashes and pauses. Shared by the
// tests and the benchmark.
#pragma once

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <queue>
#include <string>

#include "membership/membership.h"

namespace balsambay::membership::testing {

struct sim_node {
  state core;
  bool running = true;
  time_point paused_until;
  time_point wake;
  std::vector<event> events;
  std::map<std::string, std::string> facts;  // origin/key -> value
  uint64_t messages = 0;                     // sent and received
  uint64_t bytes = 0;
};

struct delivery {
  time_point at;
  uint64_t order = 0;
  size_t from = 0;
  size_t to = 0;
  message content;
  std::vector<uint8_t> wire;  // CBOR form, when measuring
  bool operator>(const delivery& other) const {
    return std::tie(at, order) > std::tie(other.at, other.order);
  }
};

struct simulation {
  random_generator rng;
  time_point now = time_point(std::chrono::seconds(1000));
  std::vector<sim_node> nodes;
  std::map<std::string, size_t> index_of;  // by address
  double loss = 0;
  bool measure = false;                         // pass messages through CBOR, count bytes and time
  std::chrono::steady_clock::duration busy{0};  // real time in the protocol and its codec
  std::function<bool(size_t from, size_t to)> is_cut = [](size_t, size_t) { return false; };
  // Called for each input of node 0; the message is null for ticks.
  std::function<void(const message*, const effects&)> observe;
  std::priority_queue<delivery, std::vector<delivery>, std::greater<>> network;
  uint64_t next_order = 0;

  static std::string Id(size_t index) { return "vm-" + std::to_string(1000 + index); }
  static std::string Address(size_t index) {
    return "10.0." + std::to_string(index / 200) + "." + std::to_string(index % 200) + ":7000";
  }
  // Virtual wall clock.
  uint64_t NowMs() const { return static_cast<uint64_t>(now.time_since_epoch().count() / 1000); }

  explicit simulation(size_t count, uint64_t seed) : rng(seed), nodes(count) {
    for (size_t i = 0; i < count; ++i) Start(i);
  }

  settings SettingsOf(size_t index) const {
    settings out;
    out.id = Id(index);
    out.address = Address(index);
    out.zone = "z1";
    out.seeds = {Address(0), Address(1), Address(2)};
    out.incarnation = NowMs();
    return out;
  }

  void Start(size_t index) {
    nodes[index] = sim_node{};
    index_of[Address(index)] = index;
    nodes[index].core = MakeState(SettingsOf(index), rng(), now);
  }
  void Crash(size_t index) { nodes[index].running = false; }
  void Pause(size_t index, duration span) { nodes[index].paused_until = now + span; }

  size_t IndexOf(const std::string& address) const {
    const auto found = index_of.find(address);
    return found == index_of.end() ? nodes.size() : found->second;
  }

  template <class Fn>
  auto Timed(Fn fn) {
    if (!measure) return fn();
    const auto start = std::chrono::steady_clock::now();
    auto out = fn();
    busy += std::chrono::steady_clock::now() - start;
    return out;
  }

  void Transmit(size_t from, send& out) {
    const size_t to = IndexOf(out.address);
    std::vector<uint8_t> wire;
    if (measure) wire = Timed([&] { return nlohmann::json::to_cbor(ToJson(out.content)); });
    Count(nodes[from], wire);
    if (to == nodes.size() || is_cut(from, to) || UniformUnit(rng) < loss) return;
    // Below 1 ms one way within a zone; up to 3 ms here, so that messages overtake each other.
    const duration delay(200 + UniformBelow(rng, 2800));
    network.push({now + delay, next_order++, from, to, std::move(out.content), std::move(wire)});
  }

  void Count(sim_node& node, const std::vector<uint8_t>& wire) const {
    if (!measure) return;
    ++node.messages;
    node.bytes += wire.size();
  }

  void Carry(size_t index, effects out) {
    sim_node& node = nodes[index];
    node.events.insert(node.events.end(), out.events.begin(), out.events.end());
    for (const fact& item : out.facts) node.facts[item.origin + "/" + item.key] = item.value;
    for (send& next : out.sends) Transmit(index, next);
    node.wake = NextWake(node);
  }

  void Deliver(delivery next) {
    sim_node& node = nodes[next.to];
    if (!node.running) return;
    if (node.paused_until > now) {
      next.at = node.paused_until;
      network.push(std::move(next));
      return;
    }
    Count(node, next.wire);
    effects out = Timed([&] {
      if (!next.wire.empty()) {
        next.content = MessageFromJson(nlohmann::json::from_cbor(next.wire)).value();
      }
      return OnMessage(node.core, next.content, now);
    });
    if (observe && next.to == 0) observe(&next.content, out);
    Carry(next.to, std::move(out));
  }

  void Tick(size_t index) {
    effects out = Timed([&] { return OnTick(nodes[index].core, now); });
    if (observe && index == 0) observe(nullptr, out);
    Carry(index, std::move(out));
  }

  time_point NextWake(const sim_node& node) const {
    if (!node.running) return kNever;
    return std::max(NextDeadline(node.core), node.paused_until);
  }

  void RunFor(duration span) {
    const time_point end = now + span;
    // Inputs from outside, such as a crash, may have changed any wake-up time.
    for (sim_node& node : nodes) node.wake = NextWake(node);
    while (true) {
      const auto next_node = std::ranges::min_element(nodes, {}, &sim_node::wake);
      const auto first = static_cast<size_t>(next_node - nodes.begin());
      const time_point wake = next_node->wake;
      const time_point arrival = network.empty() ? kNever : network.top().at;
      if (std::min(wake, arrival) > end) break;
      now = std::max(now, std::min(wake, arrival));
      if (arrival <= wake) {
        delivery next = network.top();
        network.pop();
        Deliver(std::move(next));
      } else {
        Tick(first);
      }
    }
    now = end;
  }

  bool RunUntil(const std::function<bool()>& done, duration limit) {
    const time_point end = now + limit;
    while (!done()) {
      if (now >= end) return false;
      RunFor(std::chrono::milliseconds(50));
    }
    return true;
  }

  // Every running node sees exactly the running nodes as live.
  bool IsConverged() const {
    std::vector<std::string> expected;
    for (const sim_node& node : nodes) {
      if (node.running && !node.core.leaving) expected.push_back(node.core.config.id);
    }
    std::ranges::sort(expected);
    return std::ranges::all_of(nodes, [&expected](const sim_node& node) {
      return !node.running || node.core.leaving || LiveIds(node.core) == expected;
    });
  }

  member_status StatusAt(size_t observer, size_t subject) const {
    const auto& members = nodes[observer].core.members;
    const auto found = members.find(nodes[subject].core.config.id);
    return found == members.end() ? member_status::kUnknown : found->second.status;
  }
};

}  // namespace balsambay::membership::testing
