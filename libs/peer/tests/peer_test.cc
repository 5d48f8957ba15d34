// Tests of peer links on loopback, with ports chosen by the kernel.
#include "peer/peer.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "details/handshake.h"
#include "loop.h"
#include "websocket_link.h"

namespace balsambay::peer {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using testing::loop;
using testing::relay;

struct endpoint {
  std::vector<json> received;
  int ups = 0;
  int downs = 0;
  std::unique_ptr<peer_node> node;

  endpoint(loop& l, const std::string& id, const std::string& key = "secret",
           const std::string& listen = "127.0.0.1:0") {
    peer_settings settings{.id = id, .listen_address = listen, .key = key};
    settings.max_message_bytes = 100000;
    settings.max_send_buffer_bytes = 300000;
    settings.handshake_timeout = milliseconds(400);
    settings.ping_interval = milliseconds(100);
    settings.pong_timeout = milliseconds(400);
    settings.first_backoff = milliseconds(20);
    settings.max_backoff = milliseconds(100);
    node = peer_node::Create(
               l.timers, settings,
               {[this](std::string_view, const json& m) { received.push_back(m); },
                [this](std::string_view) { ++ups; }, [this](std::string_view) { ++downs; }})
               .value();
  }
};

// A client that can authenticate and then send any bytes.
struct raw_client {
  bool up = false;
  bool ended = false;
  details::handshake auth;
  std::shared_ptr<websocket_link> link;

  raw_client(const std::string& address, const std::string& key) {
    auth.outgoing = true;
    auth.own = {"raw", details::RandomHex(), details::RandomHex()};
    const auto send = [this](const json& m) {
      const std::vector<uint8_t> bytes = json::to_cbor(m);
      link->Send({reinterpret_cast<const char*>(bytes.data()), bytes.size()});
    };
    link = StartClientLink(
        details::BeginConnect(details::ParseAddress(address).value().get()).value().release(),
        address, {1 << 20, 1 << 20},
        {[this, send] { send(details::HelloMessage(auth.own)); },
         [this, send, key](std::string_view bytes) {
           const auto step = details::Advance(auth, key, json::from_cbor(bytes));
           if (!step.reply.is_null()) send(step.reply);
           up = step.verdict == details::handshake_verdict::kDone;
         },
         [] {}, [this](link_end) { ended = true; }});
  }
};

TEST_CASE("two nodes exchange messages after mutual authentication and count them") {
  loop l;
  endpoint a(l, "a");
  endpoint b(l, "b");
  CHECK_FALSE(a.node->Send("b", {{"n", 0}}));
  REQUIRE(a.node->Connect(b.node->LocalAddress()));
  REQUIRE(l.RunUntil([&] { return a.ups == 1 && b.ups == 1; }));
  CHECK(a.node->Send("b", {{"n", 1}}));
  CHECK(b.node->Send("a", {{"n", 2}}));
  REQUIRE(l.RunUntil([&] { return a.received.size() == 1 && b.received.size() == 1; }));
  CHECK(b.received[0] == json{{"n", 1}});
  CHECK(a.node->Counters().messages_out == 1);
  CHECK(b.node->Counters().messages_in == 1);
  CHECK(a.node->Counters().bytes_out == b.node->Counters().bytes_in);
  CHECK(a.node->Counters().send_refused == 1);
  a.node->Close();
  CHECK(l.RunUntil([&] { return b.downs == 1; }));
}

TEST_CASE("simultaneous connects end in one link; guards against both sides closing the other's") {
  loop l;
  endpoint a(l, "a");
  endpoint b(l, "b");
  REQUIRE(a.node->Connect(b.node->LocalAddress()));
  REQUIRE(b.node->Connect(a.node->LocalAddress()));
  int sent = 0;
  const auto send_both = [&] {
    if (!a.node->IsUp("b") || !b.node->IsUp("a") || sent == 200) return;
    ++sent;
    CHECK(a.node->Send("b", sent));
    CHECK(b.node->Send("a", sent));
  };
  l.each_turn = send_both;
  l.RunFor(milliseconds(1200));
  CHECK(a.received.size() == 200);
  CHECK(b.received.size() == 200);
  CHECK(a.ups + a.downs + b.ups + b.downs == 2);
  CHECK(a.node->Counters().connect_attempts == 1);
  CHECK(b.node->Counters().connect_attempts == 1);
}

TEST_CASE("a wrong key never yields a link, in either direction") {
  loop l;
  endpoint a(l, "a");
  endpoint b(l, "b", "other");
  REQUIRE(a.node->Connect(b.node->LocalAddress()));
  REQUIRE(b.node->Connect(a.node->LocalAddress()));
  l.RunFor(milliseconds(300));
  CHECK(a.node->Counters().auth_failures > 0);
  CHECK(b.node->Counters().auth_failures > 0);
  CHECK(a.ups + b.ups == 0);
}

TEST_CASE(
    "messages before authentication and unfinished handshakes close the link and are counted") {
  loop l;
  endpoint a(l, "a");
  raw_client early(a.node->LocalAddress(), "secret");
  early.auth.phase = details::handshake_phase::kDone;  // sends a hello and ignores the other
  const std::string message = "\xa1\x61t\x61x";        // {"t": "x"}
  REQUIRE(l.RunUntil([&] { return early.link->Send(message); }));
  REQUIRE(l.RunUntil([&] { return early.ended; }));
  CHECK(a.node->Counters().unauthenticated_messages == 1);
  CHECK(a.received.empty());
  raw_client silent(a.node->LocalAddress(), "secret");
  silent.auth.phase = details::handshake_phase::kDone;
  REQUIRE(l.RunUntil([&] { return silent.ended; }));
  CHECK(a.node->Counters().handshake_timeouts == 1);
}

TEST_CASE("a proof that is sent back to its prover is refused; guards against reflection") {
  using details::handshake_verdict;
  details::handshake victim;
  victim.outgoing = true;
  victim.own = {"a", details::RandomHex(), details::RandomHex()};
  details::hello mirror = victim.own;
  mirror.id = "b";
  const auto proof = details::Advance(victim, "secret", details::HelloMessage(mirror));
  REQUIRE(proof.verdict == handshake_verdict::kContinue);
  CHECK(details::Advance(victim, "secret", proof.reply).verdict == handshake_verdict::kWrongProof);
}

TEST_CASE("oversized, malformed and deeply nested messages close the link and are counted") {
  loop l;
  endpoint a(l, "a");
  const auto provoke = [&](const std::string& payload) {
    raw_client client(a.node->LocalAddress(), "secret");
    REQUIRE(l.RunUntil([&] { return client.up; }));
    CHECK(client.link->Send(payload));
    REQUIRE(l.RunUntil([&] { return client.ended; }));
  };
  provoke(std::string(100001, 'x'));
  CHECK(a.node->Counters().oversized_messages == 1);
  provoke("\xff\xff");
  CHECK(a.node->Counters().malformed_messages == 1);
  provoke(std::string(90000, '\x81'));  // 90,000 nested arrays
  CHECK(a.node->Counters().malformed_messages == 2);
  CHECK(a.received.empty());
  CHECK(a.ups == 3);
  CHECK(a.downs == 3);
}

TEST_CASE("a peer that stops reading fills a bounded buffer and is dropped, then reconnects") {
  loop l;
  endpoint a(l, "a");
  endpoint b(l, "b");
  relay between(b.node->LocalAddress());
  l.each_turn = [&] { between.Pump(); };
  REQUIRE(a.node->Connect(between.address()));
  REQUIRE(l.RunUntil([&] { return a.ups == 1 && b.ups == 1; }));
  between.stalled = true;
  const json large = std::string(50000, 'x');
  int accepted = 0;
  while (a.node->Send("b", large)) REQUIRE(++accepted < 1000);
  CHECK(a.node->Counters().send_refused == 1);
  // Both ends must notice the stalled path by themselves.
  REQUIRE(l.RunUntil([&] { return a.downs == 1 && b.downs == 1; }));
  CHECK(a.node->Counters().pong_timeouts == 1);
  between.Cut();
  between.stalled = false;
  REQUIRE(l.RunUntil([&] { return a.ups == 2 && b.ups == 2; }));
  CHECK(a.node->Send("b", "again"));
  REQUIRE(l.RunUntil([&] { return !b.received.empty() && b.received.back() == "again"; }));
}

// Guards against a link to a process whose reply to the handshake is no reply in HTTP's grammar.
TEST_CASE("a malformed reply to the handshake opens no link, a sound one close to it does") {
  constexpr std::string_view kStatus = "HTTP/1.1 101 ";
  struct handshake_reply {
    std::string status;
    std::string line;  // the first field line
    bool sound = false;
  };
  const auto reply = GENERATE_COPY(values<handshake_reply>({{"HTTP/1.1 000 ", "X-Y: 1"},
                                                            {"HTTP/1.1 0101 ", "X-Y: 1"},
                                                            {"HTTP/1.1  101 ", "X-Y: 1"},
                                                            {"HTTP/1.1 101 ", "X Y: 1"},
                                                            {"HTTP/1.1 101 ", "X-Y : 1"},
                                                            {"HTTP/1.1 101 ", " X-Y: 1"},
                                                            {"HTTP/1.1 101 ", "X-Y\t: 1"},
                                                            {"HTTP/1.1 101 ", "X\x01Y: 1"},
                                                            {"HTTP/1.1 101 ", ": 1"},
                                                            {"HTTP/1.1 101 ", "X-Y: 1", true},
                                                            {"HTTP/1.1 101 ", "X-Y:1 2", true},
                                                            {"HTTP/1.1 101 Odd ", "X-Y:", true}}));
  CAPTURE(reply.status, reply.line);
  loop l;
  endpoint a(l, "a");
  endpoint b(l, "b");
  relay between(b.node->LocalAddress());
  between.rewrite = [&](std::string& bytes) {
    if (!bytes.starts_with(kStatus)) return;
    bytes.insert(bytes.find("\r\n") + 2, reply.line + "\r\n");
    bytes.replace(0, kStatus.size(), reply.status);
  };
  l.each_turn = [&] { between.Pump(); };
  REQUIRE(a.node->Connect(between.address()));
  CHECK(l.RunUntil([&] { return a.ups == 1; }, milliseconds(500)) == reply.sound);
}

TEST_CASE("a silent peer is dropped within ping interval and timeout; a short stall is survived") {
  loop l;
  endpoint a(l, "a");
  endpoint b(l, "b");
  relay between(b.node->LocalAddress());
  l.each_turn = [&] { between.Pump(); };
  REQUIRE(a.node->Connect(between.address()));
  REQUIRE(l.RunUntil([&] { return a.ups == 1 && b.ups == 1; }));
  between.stalled = true;
  l.RunFor(milliseconds(200));
  between.stalled = false;
  l.RunFor(milliseconds(600));
  CHECK(a.downs == 0);
  between.stalled = true;
  // 100 ms interval + 400 ms timeout + two sweeps of 25 ms, doubled for a busy machine.
  CHECK(l.RunUntil([&] { return a.downs == 1 && b.downs == 1; }, milliseconds(1100)));
}

TEST_CASE("a pause of this process does not drop healthy links") {
  loop l;
  endpoint a(l, "a");
  endpoint b(l, "b");
  REQUIRE(a.node->Connect(b.node->LocalAddress()));
  REQUIRE(l.RunUntil([&] { return a.ups == 1 && b.ups == 1; }));
  l.RunFor(milliseconds(110));
  g_usleep(700000);
  l.RunFor(milliseconds(600));
  CHECK(a.downs + b.downs == 0);
}

TEST_CASE("a restarted peer is found again at its address, and Drop leads to a new link") {
  loop l;
  endpoint a(l, "a");
  auto b = std::make_unique<endpoint>(l, "b");
  const std::string address = b->node->LocalAddress();
  REQUIRE(a.node->Connect(address));
  REQUIRE(l.RunUntil([&] { return a.ups == 1; }));
  b.reset();
  REQUIRE(l.RunUntil([&] { return a.downs == 1; }));
  b = std::make_unique<endpoint>(l, "b", "secret", address);
  REQUIRE(l.RunUntil([&] { return a.ups == 2 && b->ups == 1; }));
  a.node->Drop("b");
  REQUIRE(l.RunUntil([&] { return a.ups == 3 && b->ups == 2; }));
  CHECK(a.node->Send("b", 1));
  CHECK(l.RunUntil([&] { return b->received.size() == 1; }));
}

TEST_CASE("bad settings and addresses are errors; a link to itself is refused") {
  loop l;
  CHECK(
      peer_node::Create(l.timers, {.id = "a", .listen_address = "x", .key = "k"}, {}).has_error());
  CHECK(peer_node::Create(l.timers, {.id = "a", .listen_address = "127.0.0.1:0", .key = ""}, {})
            .has_error());
  endpoint a(l, "a");
  CHECK(a.node->Connect("localhost:1").has_error());
  CHECK(a.node->Connect("127.0.0.1:99999").has_error());
  REQUIRE(a.node->Connect(a.node->LocalAddress()));
  REQUIRE(l.RunUntil([&] { return a.node->Counters().rejected_links > 0; }));
  CHECK(a.ups == 0);
}

}  // namespace
}  // namespace balsambay::peer
