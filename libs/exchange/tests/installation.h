// Simulation of an installation in virtual time: every gateway sends its state and forwards
// endpoint events as the daemon does, over a network that loses messages and can be partitioned.
#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "exchange/message.h"
#include "exchange/topology.h"
#include "exchange/watch.h"

namespace balsambay::exchange {

struct installation_spec {
  size_t gateways = 0;
  size_t zones = 1;
  size_t engines = 0;
  double loss = 0;  // probability that the network loses a message
};

struct installation {
  struct gateway {
    topology view;
    size_t zone = 0;
    time_point next_state;  // when the next state message is sent
    size_t round = 0;
    bool alive = true;
    double sent_bytes = 0;      // with headers
    double received_bytes = 0;  // with headers
    // Time of the newest report that this gateway knows, by engine.
    std::map<size_t, time_point> report_times;
    std::set<size_t> to_forward;  // engines whose reports came from another cell
    std::vector<size_t> watched;
    std::optional<time_point> learned_at;  // when the event of the test arrived
  };

  struct packet {
    time_point due;
    size_t receiver = 0;
    size_t sender = 0;
    std::vector<std::pair<size_t, time_point>> reports;  // engine and time of its report
    bool is_event = false;
  };

  installation_spec spec;
  std::vector<member> members;
  std::vector<gateway> gateways;
  std::deque<packet> in_flight;
  std::set<size_t> isolated_zones;  // whose gateways reach only their own zone
  random_generator rng{20261204};
  time_point now{};

  static constexpr duration kTimeStep = std::chrono::milliseconds(20);
  static constexpr duration kNetworkDelay = std::chrono::milliseconds(3);
  static constexpr double kHeaderBytes = 28;

  explicit installation(installation_spec parameters) : spec(parameters) {
    for (size_t i = 0; i < spec.gateways; ++i) {
      members.push_back({"front-zone" + std::to_string(i % spec.zones) + "-" + std::to_string(i),
                         "zone" + std::to_string(i % spec.zones)});
    }
    for (size_t i = 0; i < spec.gateways; ++i) {
      gateway added;
      added.zone = i % spec.zones;
      added.view = MakeTopology(members, members[i].id, members[i].zone);
      added.next_state = time_point(Jitter(rng, added.view.interval, 1) / 2);
      gateways.push_back(std::move(added));
    }
    for (size_t engine = 0; engine < spec.engines; ++engine) AssignWatcher(engine);
  }

  // Engine e is in zone e % zones and is watched by the gateway of rank 0 there.
  void AssignWatcher(size_t engine) {
    const std::string name = "engine" + std::to_string(engine);
    size_t first = engine % spec.zones;
    for (size_t i = first; i < spec.gateways; i += spec.zones) {
      const std::string_view first_id = members[first].id;
      if (i != first && WatchRank(name, members[i].id, {&first_id, 1}) == 0) first = i;
    }
    gateways[first].watched.push_back(engine);
  }

  bool Reaches(size_t sender, size_t receiver) const {
    const size_t a = gateways[sender].zone;
    const size_t b = gateways[receiver].zone;
    return a == b || (!isolated_zones.contains(a) && !isolated_zones.contains(b));
  }

  void Send(size_t sender, const std::vector<size_t>& targets, const packet& content,
            double bytes) {
    for (const size_t target : targets) {
      gateways[sender].sent_bytes += bytes;
      if (!Reaches(sender, target) || UniformUnit(rng) < spec.loss) continue;
      gateways[target].received_bytes += bytes;
      if (!gateways[target].alive) continue;
      packet copy = content;
      copy.due = now + kNetworkDelay;
      copy.sender = sender;
      copy.receiver = target;
      in_flight.push_back(std::move(copy));
    }
  }

  // Size of a state message with these reports, with headers.
  double StateMessageBytes(const std::vector<std::pair<size_t, time_point>>& reports) const {
    message sample;
    sample.sender = 4'000'000'000;
    sample.is_state = true;
    // Versions and times are those of a store that has run for a month.
    sample.feeds = {{4'000'000'000, 2'600'000'000},
                    {4'000'000'000, 2'600'000'000},
                    {4'000'000'000, 2'600'000'000}};
    sample.contacts = {
        {4'000'000'000, kTimeStep}, {4'000'000'000, kTimeStep}, {4'000'000'000, kTimeStep}};
    for (const auto& [engine, at] : reports) {
      sample.engines.push_back({4'000'000'000, now - at, 5e6, 90, 1.0, 40, 60});
    }
    return kHeaderBytes + static_cast<double>(Encode(sample).size());
  }

  void SendState(size_t index) {
    gateway& self = gateways[index];
    packet own;
    for (const size_t engine : self.watched) {
      self.report_times[engine] = now;
      own.reports.emplace_back(engine, now);
    }
    packet with_forwarded = own;
    for (const size_t engine : self.to_forward) {
      if (with_forwarded.reports.size() < kMaxReportsInCell) {
        with_forwarded.reports.emplace_back(engine, self.report_times[engine]);
      }
    }
    self.to_forward.clear();
    const receivers targets = StateReceivers(self.view, self.round++, rng);
    Send(index, targets.cell, with_forwarded, StateMessageBytes(with_forwarded.reports));
    Send(index, targets.relays, own, StateMessageBytes(own.reports));
    self.next_state = now + Jitter(rng, self.view.interval, 0.1);
  }

  // The gateway learns the event of the test and forwards it, once.
  void SendEvent(size_t index) {
    gateway& self = gateways[index];
    if (self.learned_at) return;
    self.learned_at = now;
    packet event;
    event.is_event = true;
    const receivers targets = EventReceivers(self.view, rng);
    message sample;
    sample.sender = 4'000'000'000;
    sample.endpoint_events = {{endpoint_event_kind::kLeaving, 4'000'000'000, 1'796'000'000'000}};
    const double bytes = kHeaderBytes + static_cast<double>(Encode(sample).size());
    Send(index, targets.cell, event, bytes);
    Send(index, targets.relays, event, bytes);
  }

  void Receive(const packet& content) {
    gateway& self = gateways[content.receiver];
    if (content.is_event) return SendEvent(content.receiver);
    const bool in_cell = std::ranges::find(self.view.cell, content.sender) != self.view.cell.end();
    for (const auto& [engine, at] : content.reports) {
      const auto known = self.report_times.find(engine);
      if (known != self.report_times.end() && known->second >= at) continue;
      self.report_times[engine] = at;
      if (!in_cell) self.to_forward.insert(engine);
    }
  }

  void Run(duration time) {
    for (const time_point end = now + time; now < end; now += kTimeStep) {
      // All packets take the same time, so they arrive in the order in which they were sent.
      while (!in_flight.empty() && in_flight.front().due <= now) {
        const packet first = std::move(in_flight.front());
        in_flight.pop_front();
        Receive(first);
      }
      for (size_t i = 0; i < gateways.size(); ++i) {
        if (gateways[i].alive && gateways[i].next_state <= now) SendState(i);
      }
    }
  }

  // Reports up to which a state message to the own cell is filled with forwarded reports.
  static constexpr size_t kMaxReportsInCell = 16;
};

}  // namespace balsambay::exchange
