// Bytes, ages and spread of news in whole installations; messages of any content.
#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

#include "installation.h"

namespace balsambay::exchange {
namespace {

using namespace std::chrono_literals;

// Ages of what living gateways know of the engines of their zone, sorted.
std::vector<double> AgesInZone(const installation& all) {
  std::vector<double> out;
  for (const auto& self : all.gateways) {
    if (!self.alive) continue;
    for (size_t engine = self.zone; engine < all.spec.engines; engine += all.spec.zones) {
      const auto known = self.reported.find(engine);
      const time_point at = known == self.reported.end() ? time_point() : known->second;
      out.push_back(Seconds(all.now - at));
    }
  }
  std::ranges::sort(out);
  return out;
}

double Told(const installation& all, duration within, time_point since) {
  double told = 0;
  double living = 0;
  for (const auto& self : all.gateways) {
    if (!self.alive) continue;
    ++living;
    if (self.learned && *self.learned - since <= within) ++told;
  }
  return told / living;
}

// Guards against control traffic that grows with the installation: each gateway may spend 6 KB/s.
TEST_CASE("no gateway sends or receives more than its share") {
  const auto [gateways, zones, engines] =
      GENERATE(table<size_t, size_t, size_t>({{30, 3, 39},
                                              {66, 3, 101},
                                              {195, 5, 222},
                                              {300, 5, 300},
                                              {2975, 5, 3400},
                                              {3000, 20, 10'000}}));
  CAPTURE(gateways, zones, engines);
  installation all({.gateways = gateways, .zones = zones, .engines = engines});
  all.Run(20s);
  const double seconds = Seconds(all.now - time_point());
  double sent = 0;
  double received = 0;
  for (const auto& self : all.gateways) {
    sent = std::max(sent, self.sent / seconds);
    received = std::max(received, self.received / seconds);
  }
  CAPTURE(sent, received);
  CHECK(sent <= kBytesPerSecond);
  CHECK(received <= kBytesPerSecond);
}

// What paths are chosen by in one zone is younger than the time that most requests take, also when
// nearly a third of the messages are lost.
TEST_CASE("reports of the zone's engines are known while they matter") {
  const double loss = GENERATE(0.0, 0.3);
  CAPTURE(loss);
  installation all({.gateways = 195, .zones = 5, .engines = 222, .loss = loss});
  all.Run(30s);
  const std::vector<double> ages = AgesInZone(all);
  const double median = ages[ages.size() / 2];
  const double p99 = ages[ages.size() * 99 / 100];
  CAPTURE(median, p99);
  CHECK(median < 3);
  CHECK(p99 < (loss == 0 ? 5 : 12));
}

// Guards against gateways that go on sending work to an endpoint that has said it leaves.
TEST_CASE("news reach every gateway at once") {
  const auto [gateways, zones, loss, least] =
      GENERATE(table<size_t, size_t, double, double>({{8, 3, 0.0, 1.0},
                                                      {195, 5, 0.0, 1.0},
                                                      {195, 5, 0.3, 1.0},
                                                      {3000, 20, 0.0, 1.0},
                                                      {3000, 20, 0.3, 0.99}}));
  CAPTURE(gateways, zones, loss);
  installation all({.gateways = gateways, .zones = zones, .engines = 0, .loss = loss});
  all.Run(2s);
  const time_point since = all.now;
  all.Tell(0);
  all.Run(1s);
  CHECK(Told(all, 300ms, since) >= least);
}

TEST_CASE("news spread although a fifth of the gateways is gone") {
  installation all({.gateways = 195, .zones = 5, .engines = 0});
  for (size_t i = 0; i < all.gateways.size(); i += 5) all.gateways[(i + i / 5) % 195].alive = false;
  all.gateways[0].alive = true;
  all.Run(1s);
  const time_point since = all.now;
  all.Tell(0);
  all.Run(1s);
  CHECK(Told(all, 300ms, since) == 1);
}

TEST_CASE("a zone that is cut off goes on telling its own gateways") {
  installation all({.gateways = 195, .zones = 5, .engines = 222});
  all.Run(10s);
  all.cut_zones = {2};
  all.Run(20s);
  const std::vector<double> ages = AgesInZone(all);
  CHECK(ages[ages.size() * 99 / 100] < 5);
}

TEST_CASE("gateways of the same list form the same cells") {
  rc::prop("any list", [] {
    const auto count = *rc::gen::inRange<size_t>(25, 260);
    const auto zones = *rc::gen::inRange<size_t>(1, 5);
    std::vector<member> members;
    for (size_t i = 0; i < count; ++i) {
      members.push_back({"g" + std::to_string(i), "z" + std::to_string(i % zones)});
    }
    const auto a = *rc::gen::inRange<size_t>(0, count);
    const topology own = MakeTopology(members, members[a].id, members[a].zone);
    size_t known = own.cell.size() + 1;
    for (const auto& cell : own.others) known += cell.size();
    RC_ASSERT(known == count);
    for (const size_t b : own.cell) {
      const topology other = MakeTopology(members, members[b].id, members[b].zone);
      RC_ASSERT(members[a].zone == members[b].zone);
      RC_ASSERT(std::ranges::find(other.cell, a) != other.cell.end());
    }
  });
}

// A gateway that is not in the list yet is told by the others when they hear of it.
TEST_CASE("a gateway that is not listed yet sends to its zone") {
  std::vector<member> members;
  for (size_t i = 0; i < 30; ++i) members.push_back({"g" + std::to_string(i), "z"});
  const topology own = MakeTopology(members, "new", "z");
  CHECK(own.cell.size() == 30);
}

// Guards against endpoints that nobody or everybody asks.
TEST_CASE("each endpoint has one first watcher, and the next one takes over") {
  const std::vector<std::string_view> ids = {"g1", "g2", "g3", "g4", "g5"};
  for (int i = 0; i < 50; ++i) {
    const std::string endpoint = "e" + std::to_string(i);
    std::vector<size_t> ranks;
    for (const std::string_view self : ids) {
      std::vector<std::string_view> others;
      std::ranges::copy_if(ids, std::back_inserter(others),
                           [&](std::string_view id) { return id != self; });
      ranks.push_back(WatchRank(endpoint, self, others));
    }
    std::ranges::sort(ranks);
    CHECK(ranks == std::vector<size_t>{0, 1, 2, 3, 4});
  }
}

message RandomMessage() {
  message out;
  out.from = *rc::gen::arbitrary<uint32_t>();
  out.is_state = *rc::gen::arbitrary<bool>();
  out.reaches_store = out.is_state && *rc::gen::arbitrary<bool>();
  for (int i = *rc::gen::inRange(0, 4); i > 0; --i) {
    out.feeds.push_back({*rc::gen::arbitrary<uint64_t>(), *rc::gen::arbitrary<uint64_t>()});
    out.loads.push_back({*rc::gen::arbitrary<uint32_t>(), 1.0 * *rc::gen::inRange(0, 1 << 30),
                         *rc::gen::inRange(0, 500), *rc::gen::inRange(0, 100)});
    out.engines.push_back({*rc::gen::arbitrary<uint32_t>(), *rc::gen::inRange(0, 1000) * 10ms,
                           1024.0 * *rc::gen::inRange(0, 1 << 20), *rc::gen::inRange(0, 200), 2.0,
                           *rc::gen::inRange(0, 80), *rc::gen::inRange(0, 81)});
    out.contacts.push_back({*rc::gen::arbitrary<uint32_t>(), *rc::gen::inRange(0, 1000) * 10ms});
    out.news.push_back({*rc::gen::element(news_kind::kDown, news_kind::kBack, news_kind::kLeaving,
                                          news_kind::kSuspect),
                        *rc::gen::arbitrary<uint32_t>(), *rc::gen::arbitrary<uint64_t>()});
  }
  if (*rc::gen::arbitrary<bool>()) {
    out.rows =
        shared_change{*rc::gen::inRange(0, 3),
                      {*rc::gen::arbitrary<uint64_t>(),
                       *rc::gen::arbitrary<uint64_t>(),
                       {{"a", 7, "value"}, {"b", 9, std::nullopt}, {"c", 10, "\x80\xff", 3}}},
                      *rc::gen::arbitrary<uint64_t>(),
                      {1, 4'000'000'000}};
  }
  for (int i = *rc::gen::inRange(0, 3); i > 0; --i) {
    out.suspects.push_back(
        {.daemon = "",
         .key = {*rc::gen::arbitrary<uint64_t>(), *rc::gen::arbitrary<uint64_t>()},
         .losses = {{"e1", *rc::gen::arbitrary<uint64_t>()}},
         .cleared = {{"e2", 2}, {"e3", 3}},
         .condemned = *rc::gen::arbitrary<bool>(),
         .claim =
             *rc::gen::element(quarantine::claim_kind::kNone, quarantine::claim_kind::kHolding),
         .endpoints = {"e4", "e5"},
         .half = {{"e6", *rc::gen::arbitrary<uint64_t>()}}});
  }
  return out;
}

TEST_CASE("messages are read as they were written") {
  rc::prop("any message", [] {
    const message sent = RandomMessage();
    const auto read = Decode(Encode(sent));
    RC_ASSERT(read.has_value());
    RC_ASSERT(*read == sent);
  });
}

// Datagrams may come from anybody.
TEST_CASE("damaged messages are refused or read, never worse") {
  rc::prop("one byte changed or cut", [] {
    std::string data = Encode(RandomMessage());
    const auto at = *rc::gen::inRange<size_t>(0, data.size());
    if (*rc::gen::arbitrary<bool>()) {
      data[at] = *rc::gen::arbitrary<char>();
    } else {
      data.resize(at);
    }
    const auto read = Decode(data);
    if (read) {
      for (const engine_record& item : read->engines) RC_ASSERT(item.age >= duration::zero());
    }
  });
  CHECK_FALSE(Decode("").has_value());
  CHECK_FALSE(Decode("nonsense").has_value());
}

}  // namespace
}  // namespace balsambay::exchange
