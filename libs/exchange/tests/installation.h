// A whole installation in virtual time: every gateway sends its state and passes on news as the
// daemon does, over a network that loses messages and can be cut.
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
  double loss = 0;
};

struct installation {
  struct gateway {
    topology view;
    size_t zone = 0;
    time_point next;
    size_t round = 0;
    bool alive = true;
    double sent = 0;                        // bytes, with headers
    double received = 0;                    // likewise
    std::map<size_t, time_point> reported;  // engine -> time of the newest report known here
    std::set<size_t> passing_on;            // engines whose reports came from another cell
    std::vector<size_t> watched;
    std::optional<time_point> learned;  // the news of the test
  };

  struct packet {
    time_point due;
    size_t to = 0;
    size_t from = 0;
    std::vector<std::pair<size_t, time_point>> reports;
    bool news = false;
  };

  installation_spec spec;
  std::vector<member> members;
  std::vector<gateway> gateways;
  std::deque<packet> flying;
  std::set<size_t> cut_zones;  // reach only themselves
  random_generator rng{20261204};
  time_point now{};

  static constexpr duration kStep = std::chrono::milliseconds(20);
  static constexpr duration kDelay = std::chrono::milliseconds(3);
  static constexpr double kHeaderBytes = 28;

  explicit installation(installation_spec values) : spec(values) {
    for (size_t i = 0; i < spec.gateways; ++i) {
      members.push_back({"front-zone" + std::to_string(i % spec.zones) + "-" + std::to_string(i),
                         "zone" + std::to_string(i % spec.zones)});
    }
    for (size_t i = 0; i < spec.gateways; ++i) {
      gateway made;
      made.zone = i % spec.zones;
      made.view = MakeTopology(members, members[i].id, members[i].zone);
      made.next = time_point(Jitter(rng, made.view.interval, 1) / 2);
      gateways.push_back(std::move(made));
    }
    for (size_t engine = 0; engine < spec.engines; ++engine) Watch(engine);
  }

  // Engine e stands in zone e % zones and is watched by the first in its order there.
  void Watch(size_t engine) {
    const std::string name = "engine" + std::to_string(engine);
    size_t first = engine % spec.zones;
    for (size_t i = first; i < spec.gateways; i += spec.zones) {
      const std::string_view other = members[first].id;
      if (i != first && WatchRank(name, members[i].id, {&other, 1}) == 0) first = i;
    }
    gateways[first].watched.push_back(engine);
  }

  bool Reaches(size_t from, size_t to) const {
    const size_t a = gateways[from].zone;
    const size_t b = gateways[to].zone;
    return a == b || (!cut_zones.contains(a) && !cut_zones.contains(b));
  }

  void Send(size_t from, const std::vector<size_t>& to, const packet& content, double bytes) {
    for (const size_t target : to) {
      gateways[from].sent += bytes;
      if (!Reaches(from, target) || UniformUnit(rng) < spec.loss) continue;
      gateways[target].received += bytes;
      if (!gateways[target].alive) continue;
      packet copy = content;
      copy.due = now + kDelay;
      copy.from = from;
      copy.to = target;
      flying.push_back(std::move(copy));
    }
  }

  double BytesOf(const std::vector<std::pair<size_t, time_point>>& reports) const {
    message sample;
    sample.from = 4'000'000'000;
    sample.is_state = true;
    // Versions and times of a store that has run for a month.
    sample.feeds = {{4'000'000'000, 2'600'000'000},
                    {4'000'000'000, 2'600'000'000},
                    {4'000'000'000, 2'600'000'000}};
    sample.contacts = {{4'000'000'000, kStep}, {4'000'000'000, kStep}, {4'000'000'000, kStep}};
    for (const auto& [engine, at] : reports) {
      sample.engines.push_back({4'000'000'000, now - at, 5e6, 90, 1.0, 40, 60});
    }
    return kHeaderBytes + static_cast<double>(Encode(sample).size());
  }

  void SendState(size_t index) {
    gateway& self = gateways[index];
    packet own;
    for (const size_t engine : self.watched) {
      self.reported[engine] = now;
      own.reports.emplace_back(engine, now);
    }
    packet whole = own;
    for (const size_t engine : self.passing_on) {
      if (whole.reports.size() < kMostPassedOn) {
        whole.reports.emplace_back(engine, self.reported[engine]);
      }
    }
    self.passing_on.clear();
    const receivers to = StateReceivers(self.view, self.round++, rng);
    Send(index, to.cell, whole, BytesOf(whole.reports));
    Send(index, to.relays, own, BytesOf(own.reports));
    self.next = now + Jitter(rng, self.view.interval, 0.1);
  }

  void Tell(size_t index) {
    gateway& self = gateways[index];
    if (self.learned) return;
    self.learned = now;
    packet news;
    news.news = true;
    const receivers to = NewsReceivers(self.view, rng);
    message sample;
    sample.from = 4'000'000'000;
    sample.news = {{news_kind::kLeaving, 4'000'000'000, 1'796'000'000'000}};
    const double bytes = kHeaderBytes + static_cast<double>(Encode(sample).size());
    Send(index, to.cell, news, bytes);
    Send(index, to.relays, news, bytes);
  }

  void Receive(const packet& content) {
    gateway& self = gateways[content.to];
    if (content.news) return Tell(content.to);
    const bool in_cell = std::ranges::find(self.view.cell, content.from) != self.view.cell.end();
    for (const auto& [engine, at] : content.reports) {
      const auto known = self.reported.find(engine);
      if (known != self.reported.end() && known->second >= at) continue;
      self.reported[engine] = at;
      if (!in_cell) self.passing_on.insert(engine);
    }
  }

  void Run(duration time) {
    for (const time_point end = now + time; now < end; now += kStep) {
      // All packets take the same time, so they arrive in the order in which they were sent.
      while (!flying.empty() && flying.front().due <= now) {
        const packet first = std::move(flying.front());
        flying.pop_front();
        Receive(first);
      }
      for (size_t i = 0; i < gateways.size(); ++i) {
        if (gateways[i].alive && gateways[i].next <= now) SendState(i);
      }
    }
  }

  // Endpoint records that one message of state passes on.
  static constexpr size_t kMostPassedOn = 16;
};

}  // namespace balsambay::exchange
