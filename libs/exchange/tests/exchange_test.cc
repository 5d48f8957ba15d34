// Tests of traffic, age of information and spread of endpoint events in simulated installations,
// and of message encoding.
#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "installation.h"

namespace balsambay::exchange {
namespace {

using namespace std::chrono_literals;

// Ages in seconds of the newest reports that each live gateway has of the engines in its zone,
// sorted.
std::vector<double> ReportAgesInZone(const installation& all) {
  std::vector<double> ages;
  for (const auto& self : all.gateways) {
    if (!self.alive) continue;
    for (size_t engine = self.zone; engine < all.spec.engines; engine += all.spec.zones) {
      const auto report = self.report_times.find(engine);
      const time_point at = report == self.report_times.end() ? time_point() : report->second;
      ages.push_back(Seconds(all.now - at));
    }
  }
  std::ranges::sort(ages);
  return ages;
}

// Fraction of the live gateways that learned the event within `limit` after `since`.
double InformedFraction(const installation& all, duration limit, time_point since) {
  double informed = 0;
  double live = 0;
  for (const auto& self : all.gateways) {
    if (!self.alive) continue;
    ++live;
    if (self.learned_at && *self.learned_at - since <= limit) ++informed;
  }
  return informed / live;
}

// Guards against control traffic that grows with the installation: each gateway may send and
// receive 6 KB/s.
TEST_CASE("no gateway exceeds its bandwidth limit in either direction") {
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
  double max_sent_rate = 0;
  double max_received_rate = 0;
  for (const auto& self : all.gateways) {
    max_sent_rate = std::max(max_sent_rate, self.sent_bytes / seconds);
    max_received_rate = std::max(max_received_rate, self.received_bytes / seconds);
  }
  CAPTURE(max_sent_rate, max_received_rate);
  CHECK(max_sent_rate <= kMaxBytesPerSecond);
  CHECK(max_received_rate <= kMaxBytesPerSecond);
}

// Paths in a zone are selected by these reports. They must be younger than the duration of most
// requests, even if nearly a third of the messages is lost.
TEST_CASE("reports of engines in the same zone are only a few seconds old") {
  const double loss = GENERATE(0.0, 0.3);
  CAPTURE(loss);
  installation all({.gateways = 195, .zones = 5, .engines = 222, .loss = loss});
  all.Run(30s);
  const std::vector<double> ages = ReportAgesInZone(all);
  const double median = ages[ages.size() / 2];
  const double p99 = ages[ages.size() * 99 / 100];
  CAPTURE(median, p99);
  CHECK(median < 3);
  CHECK(p99 < (loss == 0 ? 5 : 12));
}

// Guards against gateways that continue to send requests to an endpoint that has announced that it
// will leave.
TEST_CASE("an endpoint event reaches nearly all gateways within 300 ms") {
  const auto [gateways, zones, loss, min_fraction] =
      GENERATE(table<size_t, size_t, double, double>({{8, 3, 0.0, 1.0},
                                                      {195, 5, 0.0, 1.0},
                                                      {195, 5, 0.3, 1.0},
                                                      {3000, 20, 0.0, 1.0},
                                                      {3000, 20, 0.3, 0.99}}));
  CAPTURE(gateways, zones, loss);
  installation all({.gateways = gateways, .zones = zones, .engines = 0, .loss = loss});
  all.Run(2s);
  const time_point since = all.now;
  all.SendEvent(0);
  all.Run(1s);
  CHECK(InformedFraction(all, 300ms, since) >= min_fraction);
}

TEST_CASE("an endpoint event reaches all live gateways when a fifth of the gateways is gone") {
  installation all({.gateways = 195, .zones = 5, .engines = 0});
  for (size_t i = 0; i < all.gateways.size(); i += 5) all.gateways[(i + i / 5) % 195].alive = false;
  all.gateways[0].alive = true;
  all.Run(1s);
  const time_point since = all.now;
  all.SendEvent(0);
  all.Run(1s);
  CHECK(InformedFraction(all, 300ms, since) == 1);
}

TEST_CASE("gateways in an isolated zone continue to receive reports of their zone") {
  installation all({.gateways = 195, .zones = 5, .engines = 222});
  all.Run(10s);
  all.isolated_zones = {2};
  all.Run(20s);
  const std::vector<double> ages = ReportAgesInZone(all);
  CHECK(ages[ages.size() * 99 / 100] < 5);
}

TEST_CASE("all gateways derive the same cells from the same members") {
  rc::prop("random members", [] {
    const auto count = *rc::gen::inRange<size_t>(25, 260);
    const auto zones = *rc::gen::inRange<size_t>(1, 5);
    std::vector<member> members;
    for (size_t i = 0; i < count; ++i) {
      members.push_back({"g" + std::to_string(i), "z" + std::to_string(i % zones)});
    }
    const auto a = *rc::gen::inRange<size_t>(0, count);
    const topology own = MakeTopology(members, members[a].id, members[a].zone);
    size_t covered = own.cell.size() + 1;
    for (const auto& cell : own.other_cells) covered += cell.size();
    RC_ASSERT(covered == count);
    for (const size_t b : own.cell) {
      const topology of_peer = MakeTopology(members, members[b].id, members[b].zone);
      RC_ASSERT(members[a].zone == members[b].zone);
      RC_ASSERT(std::ranges::find(of_peer.cell, a) != of_peer.cell.end());
    }
  });
}

// The other gateways send to an unlisted gateway as soon as they learn of it.
TEST_CASE("a gateway that is not in the member list yet sends to the cell of its zone") {
  std::vector<member> members;
  for (size_t i = 0; i < 30; ++i) members.push_back({"g" + std::to_string(i), "z"});
  const topology own = MakeTopology(members, "new", "z");
  CHECK(own.cell.size() == 30);
}

// Guards against endpoints that no gateway or every gateway polls.
TEST_CASE("the watchers of an endpoint have distinct consecutive ranks") {
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
  message result;
  result.sender = *rc::gen::arbitrary<uint32_t>();
  result.is_state = *rc::gen::arbitrary<bool>();
  result.reaches_store = result.is_state && *rc::gen::arbitrary<bool>();
  for (int i = *rc::gen::inRange(0, 4); i > 0; --i) {
    result.feeds.push_back({*rc::gen::arbitrary<uint64_t>(), *rc::gen::arbitrary<uint64_t>()});
    result.loads.push_back({*rc::gen::arbitrary<uint32_t>(), 1.0 * *rc::gen::inRange(0, 1 << 30),
                            *rc::gen::inRange(0, 500), *rc::gen::inRange(0, 100)});
    result.engines.push_back({*rc::gen::arbitrary<uint32_t>(), *rc::gen::inRange(0, 1000) * 10ms,
                              1024.0 * *rc::gen::inRange(0, 1 << 20), *rc::gen::inRange(0, 200),
                              2.0, *rc::gen::inRange(0, 80), *rc::gen::inRange(0, 81)});
    result.contacts.push_back({*rc::gen::arbitrary<uint32_t>(), *rc::gen::inRange(0, 1000) * 10ms});
    result.endpoint_events.push_back(
        {*rc::gen::element(endpoint_event_kind::kDown, endpoint_event_kind::kRecovered,
                           endpoint_event_kind::kLeaving, endpoint_event_kind::kSuspect),
         *rc::gen::arbitrary<uint32_t>(), *rc::gen::arbitrary<uint64_t>()});
  }
  if (*rc::gen::arbitrary<bool>()) {
    result.rows =
        shared_change{*rc::gen::inRange(0, 3),
                      {*rc::gen::arbitrary<uint64_t>(),
                       *rc::gen::arbitrary<uint64_t>(),
                       {{"a", 7, "value"}, {"b", 9, std::nullopt}, {"c", 10, "\x80\xff", 3}}},
                      *rc::gen::arbitrary<uint64_t>(),
                      {1, 4'000'000'000}};
  }
  for (int i = *rc::gen::inRange(0, 3); i > 0; --i) {
    result.suspects.push_back(
        {.daemon = "",
         .key = {*rc::gen::arbitrary<uint64_t>(), *rc::gen::arbitrary<uint64_t>()},
         .losses = {{"e1", *rc::gen::arbitrary<uint64_t>()}},
         .cleared = {{"e2", 2}, {"e3", 3}},
         .quarantined = *rc::gen::arbitrary<bool>(),
         .claim =
             *rc::gen::element(quarantine::claim_kind::kNone, quarantine::claim_kind::kHolding),
         .endpoints = {"e4", "e5"},
         .half_losses = {{"e6", *rc::gen::arbitrary<uint64_t>()}}});
  }
  return result;
}

TEST_CASE("decoding an encoded message yields the same message") {
  rc::prop("random messages", [] {
    const message original = RandomMessage();
    const auto decoded = Decode(Encode(original));
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(*decoded == original);
  });
}

// Datagrams may come from any sender, so invalid data must not crash the daemon.
TEST_CASE("a corrupted message is rejected or decoded to valid values") {
  rc::prop("one byte replaced, or the end truncated", [] {
    std::string data = Encode(RandomMessage());
    const auto at = *rc::gen::inRange<size_t>(0, data.size());
    if (*rc::gen::arbitrary<bool>()) {
      data[at] = *rc::gen::arbitrary<char>();
    } else {
      data.resize(at);
    }
    const auto decoded = Decode(data);
    if (decoded) {
      for (const engine_record& record : decoded->engines)
        RC_ASSERT(record.age >= duration::zero());
    }
  });
  CHECK_FALSE(Decode("").has_value());
  CHECK_FALSE(Decode("nonsense").has_value());
}

// Guards against older builds that take the features of requests for contents: they would refuse
// common ones, and store records about them.
TEST_CASE("updates of features are encoded apart from those of contents") {
  quarantine::update content;
  content.key = {1, 2};
  content.losses = {{"e1", 1}};
  quarantine::update feature;
  feature.key = {3, 4};
  feature.losses = {{"e2", 7}};
  feature.quarantined = feature.is_feature = true;
  feature.sources = {{5, 6}, {7, 8}};
  feature.loss_rounds = 1;
  feature.feature_runs = 9;
  message sent;
  sent.sender = IdHash("g1");
  sent.suspects = {content, feature};
  const std::string data = Encode(sent);
  const auto received = Decode(data);
  REQUIRE(received);
  CHECK(received->suspects == sent.suspects);
  CHECK(nlohmann::json::from_cbor(data).at("q").size() == 1);
}

}  // namespace
}  // namespace balsambay::exchange
