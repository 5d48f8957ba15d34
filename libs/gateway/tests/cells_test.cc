// Gateways of one cell over loopback: who follows the shared tables, and how the others learn.
#include <unistd.h>

#include <algorithm>
#include <catch2/catch.hpp>

#include "exchange/message.h"
#include "gateway/gateway.h"
#include "net/datagram.h"

namespace balsambay::gateway {
namespace {

using namespace std::chrono_literals;

// More than exchange exact loads with everybody, so that they form a cell.
constexpr int kGateways = 26;

struct cell {
  net::loop loop;
  std::vector<std::unique_ptr<gateway>> gateways;
  std::vector<bool> follows = std::vector<bool>(kGateways, true);
  std::vector<peer_address> peers;
  std::function<void(size_t)> on_apply = [](size_t) {};
  std::vector<table_change> applied = std::vector<table_change>(kGateways);
  uint64_t newest = 5;  // version of the tables
  std::vector<int> checks = std::vector<int>(kGateways, 0);

  cell() {
    // Ports of test programs that run at the same time differ.
    const int first_port = 20'000 + getpid() * 37 % 30'000;
    for (int i = 0; i < kGateways; ++i) {
      peers.push_back(
          {"g" + std::to_string(i), "a", "127.0.0.1:" + std::to_string(first_port + i)});
    }
    for (size_t i = 0; i < kGateways; ++i) {
      settings settings;
      settings.id = peers[i].id;
      settings.zone = "a";
      settings.listen = settings.listen_ready = "127.0.0.1:0";
      settings.listen_peers = peers[i].address;
      settings.seed = i + 1;
      // Of installations that have cells.
      settings.change_notice = 3s;
      store_hooks store;
      store.call = [](const lease::table_call& call, const auto& done) {
        if (std::holds_alternative<table::transaction>(call.request)) {
          return done(table::commit_reply{});
        }
        done(table::read_reply{});
      };
      store.check = [this, i](feed which) {
        ++checks[i];
        if (gateways[i]) Tell(i, which, newest);
        return true;
      };
      store.follow = [this, i](bool following) { follows[i] = following; };
      store.apply = [this, i](feed, const table_change& change) {
        applied[i] = change;
        on_apply(i);
        return applied_change{replica::change_outcome::kApplied, change.until, change.until};
      };
      gateways.push_back(Start(settings, {}, store, loop).value());
      gateways[i]->OnConfigurationFeed(true);
    }
    for (const auto& item : gateways) item->OnPeers(peers);
  }

  // A reply of the store to the gateway number `i`.
  void Tell(size_t i, feed which, uint64_t version) const {
    const time_point now = MonotonicNow();
    const auto now_ms = static_cast<uint64_t>(WholeMilliseconds(now.time_since_epoch()));
    gateways[i]->OnFeedPosition(which, version, version, {now, now, now_ms});
  }

  void TellAll(feed which, uint64_t version) const {
    for (size_t i = 0; i < gateways.size(); ++i) Tell(i, which, version);
  }

  // What a call of the gateway number `i` has brought.
  void Change(size_t i, feed which, const table_change& change) const {
    const auto now_ms = static_cast<uint64_t>(WholeMilliseconds(MonotonicNow().time_since_epoch()));
    gateways[i]->OnTableChange(which, change, now_ms);
  }

  void Run(duration time) {
    Subscribe(loop.Timers(), MonotonicNow() + time, [this](time_point) { loop.Quit(); });
    loop.Run();
  }

  std::vector<size_t> Followers() const {
    std::vector<size_t> out;
    for (size_t i = 0; i < kGateways; ++i) {
      if (follows[i] && gateways[i]) out.push_back(i);
    }
    return out;
  }
};

// Guards against a call of every gateway for every change of a table.
TEST_CASE("two gateways of a cell follow the tables and pass changes on") {
  cell all;
  all.Run(5s);
  const std::vector<size_t> readers = all.Followers();
  REQUIRE(readers.size() == 2);
  const table_change change{5, 7, {{"e1", 6, "new"}, {"e2", 7, std::nullopt}}};
  all.Change(readers[0], feed::kEndpoints, change);
  all.Run(300ms);
  for (size_t i = 0; i < kGateways; ++i) {
    if (i != readers[0]) CHECK(all.applied[i] == change);
  }
}

// A change that is too large for messages, such as a whole configuration: the others ask for it.
TEST_CASE("a large change is asked for by each gateway") {
  cell all;
  all.TellAll(feed::kConfiguration, 5);
  all.Run(5s);
  const size_t reader = all.Followers().front();
  const table_change change{5, 7, {{"config", 7, std::string(100'000, 'x')}}};
  all.newest = 7;
  std::ranges::fill(all.checks, 0);
  all.Change(reader, feed::kConfiguration, change);
  all.Tell(reader, feed::kConfiguration, 7);
  all.Run(800ms);
  for (size_t i = 0; i < kGateways; ++i) {
    if (i != reader) CHECK(all.checks[i] == 1);
  }
}

// Guards against a call of every gateway that hears of a change in another way, shortly before its
// own cell's readers pass it on.
TEST_CASE("those that do not follow a table leave changes to the readers for a while") {
  cell all;
  all.TellAll(feed::kConfiguration, 5);
  all.Run(5s);
  const std::vector<size_t> readers = all.Followers();
  const size_t other = readers.front() == 0 ? 1 : 0;
  for (const feed which : {feed::kConfiguration, feed::kEndpoints, feed::kGateways}) {
    all.TellAll(which, 5);
  }
  all.newest = 7;
  std::ranges::fill(all.checks, 0);
  // The others hear of version 7 with the states of these gateways.
  for (const size_t i : readers) all.Tell(i, feed::kConfiguration, 7);
  all.Run(700ms);
  all.Change(readers[0], feed::kConfiguration, {5, 7, {{"config", 7, "new"}}});
  all.Run(200ms);
  for (size_t i = 0; i < kGateways; ++i) {
    if (std::ranges::count(readers, i) == 0) CHECK(all.checks[i] == 0);
  }
  CHECK(all.applied[other].until == 7);
  // Without the readers' message, they ask.
  all.Run(3s);
  CHECK(all.checks[other] >= 1);
}

// Datagrams may come from anybody. Guards against a sender that is looked up, replaced by the rows
// of its own message, and then used (seen with the address sanitizer).
TEST_CASE("a message may replace the list of gateways and tell state at once") {
  cell all;
  all.on_apply = [&all](size_t i) { all.gateways[i]->OnPeers(all.peers); };
  exchange::message message;
  message.from = exchange::NameOf("g1");
  message.is_state = message.reaches_store = true;
  message.news = {{exchange::news_kind::kDown, exchange::NameOf("e1"), 1}};
  message.rows = exchange::shared_change{
      .table = static_cast<int>(feed::kGateways),
      .change = {.since = 0, .until = 7, .rows = {{"member/g1", 7, std::nullopt}}}};
  const auto sender = net::BindDatagram("127.0.0.1:0", [](std::string_view) {}).value();
  sender->Send(all.peers[0].address, exchange::Encode(message));
  all.Run(200ms);
  CHECK(all.applied[0].until == 7);
}

// News are datagrams without acknowledgement. Guards against a gateway that misses the only message
// about an endpoint that leaves, while the list does not say so yet.
TEST_CASE("that an endpoint leaves is told again until the list says so") {
  cell all;
  const uint32_t endpoint = exchange::NameOf("e1");
  size_t told = 0;
  const auto listener =
      net::BindDatagram("127.0.0.1:" + std::to_string(19'000 + getpid() % 900),
                        [&](std::string_view data) {
                          const auto message = exchange::Decode(data);
                          if (!message || message->from != exchange::NameOf("g0")) return;
                          told += static_cast<size_t>(std::ranges::count(
                              message->news, endpoint, &exchange::endpoint_news::endpoint));
                        })
          .value();
  std::vector<peer_address> peers = all.peers;
  peers.push_back({"listener", "a", "127.0.0.1:" + std::to_string(19'000 + getpid() % 900)});
  all.gateways[0]->OnPeers(peers);
  listed_endpoint entry;
  entry.id = "e1";
  entry.service = "s";
  entry.address = "127.0.0.1:9";
  entry.zone = "a";
  entry.incarnation = 1;
  all.gateways[0]->OnEndpoints({&entry, 1});
  exchange::message message;
  message.from = exchange::NameOf("g1");
  message.news = {{exchange::news_kind::kLeaving, endpoint, 1}};
  listener->Send(all.peers[0].address, exchange::Encode(message));
  all.Run(6s);
  CHECK(told >= 3);
  entry.leaving = true;
  all.gateways[0]->OnEndpoints({&entry, 1});
  all.Run(100ms);
  told = 0;
  all.Run(4s);
  CHECK(told == 0);
}

// Guards against half of the gateways following the tables at the store's return, since those that
// should had not yet said that they reach it again.
TEST_CASE("two gateways of a cell follow the tables again after the store was away for all") {
  cell all;
  all.Run(5s);
  for (const auto& item : all.gateways) item->OnConfigurationFeed(false);
  all.Run(4s);
  REQUIRE(all.Followers().empty());
  size_t most = 0;
  const auto watch = [&](duration time) {
    for (duration passed{0}; passed < time; passed += 100ms) {
      all.Run(100ms);
      most = std::max(most, all.Followers().size());
    }
  };
  // Their checks meet the store one after the other.
  for (const auto& item : all.gateways) {
    item->OnConfigurationFeed(true);
    watch(100ms);
  }
  watch(6s);
  CHECK(most <= 2);
  CHECK(all.Followers().size() == 2);
}

// Guards against a cell that nobody reads for while its readers are cut off from the store.
TEST_CASE("another gateway follows the tables when a reader does not reach the store") {
  cell all;
  all.Run(5s);
  const std::vector<size_t> before = all.Followers();
  REQUIRE(before.size() == 2);
  all.gateways[before[0]]->OnConfigurationFeed(false);
  all.Run(8s);
  const std::vector<size_t> after = all.Followers();
  const auto reaching = std::ranges::count_if(after, [&](size_t i) { return i != before[0]; });
  CHECK(reaching == 2);
  // Its calls would fail one after the other.
  CHECK_FALSE(all.follows[before[0]]);
}

}  // namespace
}  // namespace balsambay::gateway
