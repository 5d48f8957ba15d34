// Simulated network of membership daemons in virtual time, with message delay and loss, broken
// links, crashes and process pauses. Used by the tests and the benchmark.
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

// Daemon of the simulation.
struct sim_node {
  state core;  // protocol state
  bool running = true;
  time_point paused_until;
  time_point next_tick;
  std::vector<member_event> events;          // all events so far
  std::map<std::string, std::string> facts;  // latest value by origin/key
  uint64_t messages = 0;                     // sent and received
  uint64_t bytes = 0;                        // of these messages in CBOR
};

// Message in transit. Ordered by arrival time, then by order of sending.
struct delivery {
  time_point arrival;
  uint64_t send_order = 0;
  size_t sender = 0;    // node index
  size_t receiver = 0;  // node index
  message content;
  std::vector<uint8_t> wire;  // CBOR form; only if simulation::measure
  bool operator>(const delivery& other) const {
    return std::tie(arrival, send_order) > std::tie(other.arrival, other.send_order);
  }
};

struct simulation {
  random_generator rng;
  time_point now = time_point(std::chrono::seconds(1000));
  std::vector<sim_node> nodes;
  std::map<std::string, size_t> index_by_address;
  double loss_probability = 0;  // per message
  bool measure = false;         // encode messages as CBOR, count bytes and time
  std::chrono::steady_clock::duration processing_time{0};  // real time in the library and the codec
  // Whether messages from one node to another are lost, by node index.
  std::function<bool(size_t sender, size_t receiver)> is_link_broken = [](size_t, size_t) {
    return false;
  };
  // Called for each message and tick of node 0; the message is nullptr for ticks.
  std::function<void(const message*, const effects&)> observe;
  std::priority_queue<delivery, std::vector<delivery>, std::greater<>> network;
  uint64_t next_send_order = 0;

  static std::string Id(size_t index) { return "vm-" + std::to_string(1000 + index); }
  static std::string Address(size_t index) {
    return "10.0." + std::to_string(index / 200) + "." + std::to_string(index % 200) + ":7000";
  }
  // Virtual wall-clock time.
  uint64_t NowMs() const { return static_cast<uint64_t>(now.time_since_epoch().count() / 1000); }

  explicit simulation(size_t count, uint64_t seed) : rng(seed), nodes(count) {
    for (size_t i = 0; i < count; ++i) Start(i);
  }

  // Settings of a daemon that starts now.
  settings SettingsOf(size_t index) const {
    settings settings;
    settings.id = Id(index);
    settings.address = Address(index);
    settings.zone = "z1";
    settings.seeds = {Address(0), Address(1), Address(2)};
    settings.incarnation = NowMs();
    return settings;
  }

  // Starts or replaces the daemon of a node.
  void Start(size_t index) {
    nodes[index] = sim_node{};
    index_by_address[Address(index)] = index;
    nodes[index].core = MakeState(SettingsOf(index), rng(), now);
  }
  void Crash(size_t index) { nodes[index].running = false; }
  void Pause(size_t index, duration pause) { nodes[index].paused_until = now + pause; }

  // Returns nodes.size() for an unknown address.
  size_t IndexOf(const std::string& address) const {
    const auto found = index_by_address.find(address);
    return found == index_by_address.end() ? nodes.size() : found->second;
  }

  // Calls `fn`, and adds its run time to `processing_time` if `measure` is set.
  template <class Fn>
  auto Timed(Fn fn) {
    if (!measure) return fn();
    const auto start = std::chrono::steady_clock::now();
    auto result = fn();
    processing_time += std::chrono::steady_clock::now() - start;
    return result;
  }

  void Transmit(size_t sender, outgoing_message& outgoing) {
    const size_t receiver = IndexOf(outgoing.address);
    std::vector<uint8_t> wire;
    if (measure) wire = Timed([&] { return nlohmann::json::to_cbor(ToJson(outgoing.content)); });
    CountMessage(nodes[sender], wire);
    if (receiver == nodes.size() || is_link_broken(sender, receiver) ||
        UniformUnit(rng) < loss_probability) {
      return;
    }
    // 0.2 to 3 ms. The one-way delay within a zone is below 1 ms; higher delays make messages
    // arrive out of order.
    const duration delay(200 + UniformBelow(rng, 2800));
    network.push({now + delay, next_send_order++, sender, receiver, std::move(outgoing.content),
                  std::move(wire)});
  }

  void CountMessage(sim_node& node, const std::vector<uint8_t>& wire) const {
    if (!measure) return;
    ++node.messages;
    node.bytes += wire.size();
  }

  // Carries out the effects of a call to the library for one node.
  void CarryOut(size_t index, effects effects) {
    sim_node& node = nodes[index];
    node.events.insert(node.events.end(), effects.events.begin(), effects.events.end());
    for (const fact& fact : effects.facts) node.facts[fact.origin + "/" + fact.key] = fact.value;
    for (outgoing_message& outgoing : effects.outgoing_messages) Transmit(index, outgoing);
    node.next_tick = NextTick(node);
  }

  // A message to a crashed node is lost; a message to a paused node arrives at the end of the
  // pause.
  void Deliver(delivery delivery) {
    sim_node& node = nodes[delivery.receiver];
    if (!node.running) return;
    if (node.paused_until > now) {
      delivery.arrival = node.paused_until;
      network.push(std::move(delivery));
      return;
    }
    CountMessage(node, delivery.wire);
    effects effects = Timed([&] {
      if (!delivery.wire.empty()) {
        delivery.content = MessageFromJson(nlohmann::json::from_cbor(delivery.wire)).value();
      }
      return OnMessage(node.core, delivery.content, now);
    });
    if (observe && delivery.receiver == 0) observe(&delivery.content, effects);
    CarryOut(delivery.receiver, std::move(effects));
  }

  void Tick(size_t index) {
    effects effects = Timed([&] { return OnTick(nodes[index].core, now); });
    if (observe && index == 0) observe(nullptr, effects);
    CarryOut(index, std::move(effects));
  }

  time_point NextTick(const sim_node& node) const {
    if (!node.running) return kNever;
    return std::max(NextDeadline(node.core), node.paused_until);
  }

  // Processes all ticks and arrivals that are due within `period`.
  void RunFor(duration period) {
    const time_point end = now + period;
    // Calls of the test, such as Crash() or Pause(), may have changed the next tick of any node.
    for (sim_node& node : nodes) node.next_tick = NextTick(node);
    while (true) {
      const auto next_node = std::ranges::min_element(nodes, {}, &sim_node::next_tick);
      const auto index = static_cast<size_t>(next_node - nodes.begin());
      const time_point tick = next_node->next_tick;
      const time_point arrival = network.empty() ? kNever : network.top().arrival;
      if (std::min(tick, arrival) > end) break;
      now = std::max(now, std::min(tick, arrival));
      if (arrival <= tick) {
        delivery delivery = network.top();
        network.pop();
        Deliver(std::move(delivery));
      } else {
        Tick(index);
      }
    }
    now = end;
  }

  // Runs until `condition` holds, which is checked every 50 ms. Returns false after `timeout`.
  bool RunUntil(const std::function<bool()>& condition, duration timeout) {
    const time_point end = now + timeout;
    while (!condition()) {
      if (now >= end) return false;
      RunFor(std::chrono::milliseconds(50));
    }
    return true;
  }

  // Whether the live members of every running node are exactly the running nodes. A leaving node
  // counts as not running.
  bool IsConverged() const {
    std::vector<std::string> expected;
    for (const sim_node& node : nodes) {
      if (node.running && !node.core.leaving) expected.push_back(node.core.config.id);
    }
    std::ranges::sort(expected);
    return std::ranges::all_of(nodes, [&expected](const sim_node& node) {
      return !node.running || node.core.leaving || LiveMemberIds(node.core) == expected;
    });
  }

  member_status StatusAt(size_t observer, size_t subject) const {
    const auto& members = nodes[observer].core.members;
    const auto found = members.find(nodes[subject].core.config.id);
    return found == members.end() ? member_status::kUnknown : found->second.status;
  }
};

}  // namespace balsambay::membership::testing
