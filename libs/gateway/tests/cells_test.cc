// Gateways of one cell over loopback: which of them follow the shared tables, and how the others
// learn of changes.
#include <unistd.h>

#include <algorithm>
#include <catch2/catch.hpp>

#include "exchange/message.h"
#include "gateway/gateway.h"
#include "net/datagram.h"

namespace balsambay::gateway {
namespace {

using namespace std::chrono_literals;

// More gateways than exchange exact loads among all, so that they form a cell.
constexpr int kGateways = 26;

// The gateways of a cell with a fake store.
struct test_cell {
  net::loop loop;
  std::vector<std::unique_ptr<gateway>> gateways;
  std::vector<bool> following = std::vector<bool>(kGateways, true);
  std::vector<peer_address> peers;
  std::function<void(size_t)> on_apply = [](size_t) {};
  std::vector<table_change> applied = std::vector<table_change>(kGateways);
  uint64_t newest_version = 5;  // of the tables
  std::vector<int> checks = std::vector<int>(kGateways, 0);

  test_cell() {
    // Test programs that run at the same time use different ports.
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
      // The platform states this time for installations large enough to have cells.
      settings.change_propagation_limit = 3s;
      store_hooks store;
      store.call = [](const lease::table_call& call, const auto& done) {
        if (std::holds_alternative<table::transaction>(call.request)) {
          return done(table::commit_reply{});
        }
        done(table::read_reply{});
      };
      store.check = [this, i](feed which) {
        ++checks[i];
        if (gateways[i]) Reply(i, which, newest_version);
        return true;
      };
      store.follow = [this, i](bool enabled) { following[i] = enabled; };
      store.apply = [this, i](feed, const table_change& change) {
        applied[i] = change;
        on_apply(i);
        return applied_change{replica::change_outcome::kApplied, change.until, change.until};
      };
      gateways.push_back(Start(settings, {}, store, loop).value());
      gateways[i]->OnConfigurationFeedStatus(true);
    }
    for (const auto& started : gateways) started->OnPeers(peers);
  }

  // Delivers a reply of the store to the gateway with index `i`.
  void Reply(size_t i, feed which, uint64_t version) const {
    const time_point now = MonotonicNow();
    const auto now_ms = static_cast<uint64_t>(WholeMilliseconds(now.time_since_epoch()));
    gateways[i]->OnFeedPosition(which, version, version, {now, now, now_ms});
  }

  void ReplyToAll(feed which, uint64_t version) const {
    for (size_t i = 0; i < gateways.size(); ++i) Reply(i, which, version);
  }

  // Delivers a change that a call of the gateway with index `i` has returned.
  void DeliverChange(size_t i, feed which, const table_change& change) const {
    const auto now_ms = static_cast<uint64_t>(WholeMilliseconds(MonotonicNow().time_since_epoch()));
    gateways[i]->OnTableChange(which, change, now_ms);
  }

  void Run(duration time) {
    Subscribe(loop.Timers(), MonotonicNow() + time, [this](time_point) { loop.Quit(); });
    loop.Run();
  }

  std::vector<size_t> Followers() const {
    std::vector<size_t> followers;
    for (size_t i = 0; i < kGateways; ++i) {
      if (following[i] && gateways[i]) followers.push_back(i);
    }
    return followers;
  }
};

// Guards against a call by every gateway for every change of a table.
TEST_CASE("two gateways of a cell follow the tables and forward changes") {
  test_cell cell;
  cell.Run(5s);
  const std::vector<size_t> readers = cell.Followers();
  REQUIRE(readers.size() == 2);
  const table_change change{5, 7, {{"e1", 6, "new"}, {"e2", 7, std::nullopt}}};
  cell.DeliverChange(readers[0], feed::kEndpoints, change);
  cell.Run(300ms);
  for (size_t i = 0; i < kGateways; ++i) {
    if (i != readers[0]) CHECK(cell.applied[i] == change);
  }
}

// A change that is too large for messages, such as a whole configuration, is announced without its
// rows.
TEST_CASE("each gateway fetches a large change from the store") {
  test_cell cell;
  cell.ReplyToAll(feed::kConfiguration, 5);
  cell.Run(5s);
  const size_t reader = cell.Followers().front();
  const table_change change{5, 7, {{"config", 7, std::string(100'000, 'x')}}};
  cell.newest_version = 7;
  std::ranges::fill(cell.checks, 0);
  cell.DeliverChange(reader, feed::kConfiguration, change);
  cell.Reply(reader, feed::kConfiguration, 7);
  cell.Run(800ms);
  for (size_t i = 0; i < kGateways; ++i) {
    if (i != reader) CHECK(cell.checks[i] == 1);
  }
}

// Guards against a call by every gateway that learns of a newer version shortly before the readers
// of its cell forward the change.
TEST_CASE("gateways that do not follow the tables wait for the readers before they check") {
  test_cell cell;
  cell.ReplyToAll(feed::kConfiguration, 5);
  cell.Run(5s);
  const std::vector<size_t> readers = cell.Followers();
  const size_t non_reader = readers.front() == 0 ? 1 : 0;
  for (const feed which : {feed::kConfiguration, feed::kEndpoints, feed::kGateways}) {
    cell.ReplyToAll(which, 5);
  }
  cell.newest_version = 7;
  std::ranges::fill(cell.checks, 0);
  // The state messages of the readers announce version 7 to the other gateways.
  for (const size_t i : readers) cell.Reply(i, feed::kConfiguration, 7);
  cell.Run(700ms);
  cell.DeliverChange(readers[0], feed::kConfiguration, {5, 7, {{"config", 7, "new"}}});
  cell.Run(200ms);
  for (size_t i = 0; i < kGateways; ++i) {
    if (std::ranges::count(readers, i) == 0) CHECK(cell.checks[i] == 0);
  }
  CHECK(cell.applied[non_reader].until == 7);
  // Without further messages from the readers, the other gateways check the store.
  cell.Run(3s);
  CHECK(cell.checks[non_reader] >= 1);
}

// Anyone may send datagrams. Guards against a use after free, found with the address sanitizer: the
// sender is looked up, replaced by the rows of its own message, and then used.
TEST_CASE("one message may contain state and replace the list of gateways") {
  test_cell cell;
  cell.on_apply = [&cell](size_t i) { cell.gateways[i]->OnPeers(cell.peers); };
  exchange::message message;
  message.sender = exchange::IdHash("g1");
  message.is_state = message.reaches_store = true;
  message.endpoint_events = {{exchange::endpoint_event_kind::kDown, exchange::IdHash("e1"), 1}};
  message.rows = exchange::shared_change{
      .table = static_cast<int>(feed::kGateways),
      .change = {.since = 0, .until = 7, .rows = {{"member/g1", 7, std::nullopt}}}};
  const auto sender = net::BindDatagram("127.0.0.1:0", [](std::string_view) {}).value();
  sender->Send(cell.peers[0].address, exchange::Encode(message));
  cell.Run(200ms);
  CHECK(cell.applied[0].until == 7);
}

// Endpoint events are datagrams without acknowledgement. Guards against a gateway that misses the
// only message about a leaving endpoint while the list of endpoints does not show it yet.
TEST_CASE("the event of a leaving endpoint is repeated until the list shows it") {
  test_cell cell;
  const uint32_t endpoint = exchange::IdHash("e1");
  size_t leaving_events = 0;
  const auto listener =
      net::BindDatagram("127.0.0.1:" + std::to_string(19'000 + getpid() % 900), [&](std::string_view
                                                                                        data) {
        const auto message = exchange::Decode(data);
        if (!message || message->sender != exchange::IdHash("g0")) return;
        leaving_events += static_cast<size_t>(std::ranges::count(
            message->endpoint_events, endpoint, &exchange::endpoint_event::endpoint));
      }).value();
  std::vector<peer_address> peers = cell.peers;
  peers.push_back({"listener", "a", "127.0.0.1:" + std::to_string(19'000 + getpid() % 900)});
  cell.gateways[0]->OnPeers(peers);
  listed_endpoint entry;
  entry.id = "e1";
  entry.service = "s";
  entry.address = "127.0.0.1:9";
  entry.zone = "a";
  entry.incarnation = 1;
  cell.gateways[0]->OnEndpoints({&entry, 1});
  exchange::message message;
  message.sender = exchange::IdHash("g1");
  message.endpoint_events = {{exchange::endpoint_event_kind::kLeaving, endpoint, 1}};
  listener->Send(cell.peers[0].address, exchange::Encode(message));
  cell.Run(6s);
  CHECK(leaving_events >= 3);
  entry.leaving = true;
  cell.gateways[0]->OnEndpoints({&entry, 1});
  cell.Run(100ms);
  leaving_events = 0;
  cell.Run(4s);
  CHECK(leaving_events == 0);
}

// Guards against half of the gateways following the tables after the store's recovery, because the
// elected readers have not reported yet that they reach the store again.
TEST_CASE("two gateways of a cell follow the tables after an outage of the store") {
  test_cell cell;
  cell.Run(5s);
  for (const auto& member : cell.gateways) member->OnConfigurationFeedStatus(false);
  cell.Run(4s);
  REQUIRE(cell.Followers().empty());
  size_t max_followers = 0;
  const auto run_and_count = [&](duration time) {
    for (duration passed{0}; passed < time; passed += 100ms) {
      cell.Run(100ms);
      max_followers = std::max(max_followers, cell.Followers().size());
    }
  };
  // The gateways regain access to the store one after the other.
  for (const auto& member : cell.gateways) {
    member->OnConfigurationFeedStatus(true);
    run_and_count(100ms);
  }
  run_and_count(6s);
  CHECK(max_followers <= 2);
  CHECK(cell.Followers().size() == 2);
}

// Guards against a cell without a working reader while its readers are cut off from the store.
TEST_CASE("another gateway follows the tables when a reader loses access to the store") {
  test_cell cell;
  cell.Run(5s);
  const std::vector<size_t> before = cell.Followers();
  REQUIRE(before.size() == 2);
  cell.gateways[before[0]]->OnConfigurationFeedStatus(false);
  cell.Run(8s);
  const std::vector<size_t> after = cell.Followers();
  const auto working_readers =
      std::ranges::count_if(after, [&](size_t i) { return i != before[0]; });
  CHECK(working_readers == 2);
  // A gateway that is cut off does not keep making calls that fail.
  CHECK_FALSE(cell.following[before[0]]);
}

}  // namespace
}  // namespace balsambay::gateway
