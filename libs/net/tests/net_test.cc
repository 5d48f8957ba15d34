// Tests of the HTTP server and client on loopback.
#include <arpa/inet.h>
#include <glib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>

#include "net/address.h"
#include "net/http_client.h"
#include "net/loop.h"

using namespace std::chrono_literals;

namespace balsambay::net {
namespace {

struct fixture {
  loop main;
  std::unique_ptr<http_server> server;
  std::unique_ptr<http_client> client = MakeHttpClient(main.Timers());
  std::vector<exchange_ptr> held;
  int hangups = 0;

  explicit fixture(std::function<void(exchange_ptr)> on_request, server_limits limits = {}) {
    server_handlers handlers;
    handlers.on_request = std::move(on_request);
    handlers.on_reject = [](rejection, std::vector<header>&) { return std::string("rejected"); };
    server = ListenHttp("127.0.0.1:0", limits, main.Timers(), std::move(handlers)).value();
  }

  std::string Url(const std::string& path) {
    return "http://127.0.0.1:" + std::to_string(server->Port()) + path;
  }

  // Runs the loop until `done` or for 5 s.
  void RunUntil(const std::function<bool()>& done) {
    const time_point limit = MonotonicNow() + 5s;
    std::function<void(time_point)> poll = [&](time_point now) {
      if (done() || now > limit) return main.Quit();
      Subscribe(main.Timers(), now + 1ms, poll);
    };
    poll(MonotonicNow());
    main.Run();
  }

  whole_reply Get(client_request request) {
    whole_reply out;
    bool done = false;
    Fetch(*client, std::move(request), [&](const whole_reply& reply) {
      out = reply;
      done = true;
    });
    RunUntil([&] { return done; });
    REQUIRE(done);
    return out;
  }
};

int ConnectRaw(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  REQUIRE(connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
  return fd;
}

TEST_CASE("a whole and a streamed reply arrive complete") {
  fixture f([](const exchange_ptr& request) {
    if (request->Path() == "/whole") return request->Respond(201, {}, request->Body());
    request->BeginStream(200, {});
    request->Write("one ");
    request->Write("two");
    request->End();
  });
  const whole_reply whole = f.Get({.url = f.Url("/whole"), .headers = {}, .body = "{}"});
  CHECK(whole.status == 201);
  CHECK(whole.body == "{}");
  CHECK(f.Get({.url = f.Url("/stream"), .headers = {}, .body = "{}"}).body == "one two");
}

TEST_CASE("a refused connection is reported as nothing sent; guards the not-run outcome") {
  fixture f([](const exchange_ptr&) {});
  const whole_reply reply = f.Get({.url = "http://127.0.0.1:1/", .headers = {}, .body = "x"});
  CHECK(reply.end.failure == call_failure::kConnect);
}

TEST_CASE("a peer that reads the request and closes is not reported as nothing sent") {
  fixture f([&](const exchange_ptr&) {});
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  REQUIRE(bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
  REQUIRE(listen(listener, 4) == 0);
  socklen_t size = sizeof address;
  getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
  whole_reply out;
  bool done = false;
  Fetch(*f.client,
        {.url = "http://127.0.0.1:" + std::to_string(ntohs(address.sin_port)) + "/",
         .headers = {},
         .body = "x"},
        [&](const whole_reply& reply) {
          out = reply;
          done = true;
        });
  int accepted = -1;
  f.RunUntil([&] {
    if (accepted < 0) accepted = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK);
    char buffer[4096];
    if (accepted >= 0 && recv(accepted, buffer, sizeof buffer, 0) > 0) close(accepted);
    return done;
  });
  close(listener);
  CHECK(out.end.failure == call_failure::kBroken);
}

TEST_CASE("a caller that hangs up is noticed while its reply is pending") {
  std::vector<exchange_ptr> held;
  int hangups = 0;
  fixture f([&](const exchange_ptr& request) {
    request->on_hangup = [&] { ++hangups; };
    held.push_back(request);
  });
  const int fd = ConnectRaw(f.server->Port());
  const std::string text = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
  REQUIRE(write(fd, text.data(), text.size()) == static_cast<ssize_t>(text.size()));
  f.RunUntil([&] { return !held.empty(); });
  CHECK(hangups == 0);
  close(fd);
  f.RunUntil([&] { return hangups > 0; });
  CHECK(hangups == 1);
  CHECK_FALSE(held[0]->IsOpen());
  held[0]->Respond(200, {}, "late");
}

TEST_CASE("oversized bodies and slow senders are refused before the handler") {
  int handled = 0;
  fixture f(
      [&](const exchange_ptr& request) {
        ++handled;
        request->Respond(200, {}, "ok");
      },
      {.max_body_bytes = 100, .body_timeout = 100ms});
  CHECK(f.Get({.url = f.Url("/"), .headers = {}, .body = std::string(200, 'x')}).status == 413);
  CHECK(handled == 0);
  const int fd = ConnectRaw(f.server->Port());
  const std::string text = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\nabc";
  REQUIRE(write(fd, text.data(), text.size()) == static_cast<ssize_t>(text.size()));
  char buffer[1024] = {};
  ssize_t got = 0;
  f.RunUntil([&] { return (got = recv(fd, buffer, sizeof buffer - 1, MSG_DONTWAIT)) > 0; });
  CHECK(std::string_view(buffer).starts_with("HTTP/1.1 408"));
  close(fd);
  CHECK(handled == 0);
  CHECK(f.Get({.url = f.Url("/"), .headers = {}, .body = "small"}).status == 200);
}

// Guards against callers whose connections time out because many of them come at the same moment.
TEST_CASE("connections that arrive while the loop is busy wait to be accepted") {
  constexpr int kCallers = 100;
  fixture f([](const exchange_ptr& request) { request->Respond(200, {}, "ok"); });
  std::vector<int> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.push_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(f.server->Port()));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    connect(callers.back(), reinterpret_cast<sockaddr*>(&address), sizeof address);
  }
  const auto established = std::ranges::count_if(callers, [](int fd) {
    sockaddr_in peer{};
    socklen_t size = sizeof peer;
    return getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &size) == 0;
  });
  CHECK(established == kCallers);
  std::ranges::for_each(callers, [](int fd) { close(fd); });
}

// Guards against a server that closes each connection after its first reply.
// Guards against a reader that takes one of several values.
TEST_CASE("several values of a request header are read as one list") {
  fixture f(
      [](const exchange_ptr& request) { request->Respond(200, {}, request->Header("x-part")); });
  const whole_reply reply =
      f.Get({.url = f.Url("/"), .headers = {{"X-Part", "a:1,b:2"}, {"X-Part", "c:3"}}, .body = ""});
  CHECK(reply.body == "a:1,b:2, c:3");
}

TEST_CASE("a connection serves several requests") {
  loop main;
  server_handlers handlers;
  handlers.on_request = [](const exchange_ptr& exchange) { exchange->Respond(200, {}, "whole"); };
  handlers.on_reject = [](rejection, std::vector<header>&) { return std::string(); };
  const auto server = ListenHttp("127.0.0.1:0", {}, main.Timers(), std::move(handlers)).value();
  const int caller = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(server->Port()));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  REQUIRE(connect(caller, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
  constexpr std::string_view kRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  for (int i = 0; i < 3; ++i) {
    REQUIRE(send(caller, kRequest.data(), kRequest.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(kRequest.size()));
    std::string reply;
    bool closed = false;
    const time_point limit = MonotonicNow() + 5s;
    while (!closed && !reply.ends_with("whole") && MonotonicNow() < limit) {
      g_main_context_iteration(nullptr, FALSE);
      std::array<char, 1024> piece{};
      const ssize_t got = recv(caller, piece.data(), piece.size(), MSG_DONTWAIT);
      if (got > 0) reply.append(piece.data(), static_cast<size_t>(got));
      closed = got == 0;
    }
    CHECK_FALSE(closed);
    CHECK(reply.starts_with("HTTP/1.1 200"));
  }
  close(caller);
}

TEST_CASE("a cancelled call runs no callback") {
  std::vector<exchange_ptr> held;
  fixture f([&](const exchange_ptr& request) { held.push_back(request); });
  bool called = false;
  const auto call = Fetch(*f.client, {.url = f.Url("/"), .headers = {}, .body = "x"},
                          [&](const whole_reply&) { called = true; });
  f.RunUntil([&] { return !held.empty(); });
  call->Cancel();
  f.RunUntil([&] { return !held[0]->IsOpen(); });
  CHECK_FALSE(called);
}

// Accepts connections on loopback without HTTP.
struct raw_listener {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

  raw_listener() {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
    REQUIRE(listen(fd, 4) == 0);
  }
  ~raw_listener() { close(fd); }
  raw_listener(const raw_listener&) = delete;
  raw_listener& operator=(const raw_listener&) = delete;

  std::string Url() const {
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    return "http://127.0.0.1:" + std::to_string(ntohs(address.sin_port)) + "/";
  }

  // -1: none waits.
  int Accept() const { return accept4(fd, nullptr, nullptr, SOCK_NONBLOCK); }
};

// A peer that writes `head` and then `piece` again and again until the connection is closed.
struct endless_peer {
  raw_listener listener;
  int connection = -1;
  std::string head;
  std::string piece;
  size_t written = 0;

  endless_peer(std::string first, std::string repeated)
      : head(std::move(first)), piece(std::move(repeated)) {}
  ~endless_peer() {
    if (connection >= 0) close(connection);
  }

  void Pump() {
    if (connection < 0) {
      connection = listener.Accept();
      if (connection < 0) return;
      if (send(connection, head.data(), head.size(), MSG_NOSIGNAL) < 0) return;
    }
    for (int i = 0; i < 64; ++i) {
      const ssize_t size = send(connection, piece.data(), piece.size(), MSG_NOSIGNAL);
      if (size <= 0) return;
      written += static_cast<size_t>(size);
    }
  }
};

// A server in trouble sends bytes without end; memory and time stay bounded, and the call is known
// to have failed after it was sent.
TEST_CASE("answers without end are broken off") {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string large(4096, 'x');
  const auto [name, head, piece] = GENERATE_COPY(table<std::string, std::string, std::string>(
      {{"head", ok, "X-A: " + large + "\r\n"},
       {"one header", ok + "X-A: ", large},
       {"status line", "HTTP/1.1 200 ", large},
       {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
       {"body without length", ok + "Connection: close\r\n\r\n", large},
       {"chunks", ok + "Transfer-Encoding: chunked\r\n\r\n", "1000\r\n" + large + "\r\n"},
       {"chunk header", ok + "Transfer-Encoding: chunked\r\n\r\n1;", large},
       {"trailer", ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: " + large + "\r\n"},
       {"garbage", "", "no answer at all\r\n"}}));
  CAPTURE(name);
  fixture f([](const exchange_ptr&) {});
  endless_peer peer(head, piece);
  whole_reply out;
  bool done = false;
  const time_point begin = MonotonicNow();
  Fetch(*f.client,
        {.url = peer.listener.Url(), .headers = {}, .body = "x", .header_timeout = 300ms},
        [&](const whole_reply& reply) {
          out = reply;
          done = true;
        },
        {.body_bytes = 1 << 20, .body_time = 300ms});
  f.RunUntil([&] {
    peer.Pump();
    return done;
  });
  REQUIRE(done);
  CHECK(out.end.failure != call_failure::kNone);
  CHECK(out.end.failure != call_failure::kConnect);
  CHECK(out.body.size() <= 1 << 20);
  CHECK(MonotonicNow() - begin < 1500ms);
}

TEST_CASE("a body without end that answers a GET is broken off") {
  fixture f([](const exchange_ptr&) {});
  endless_peer peer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                    "1000\r\n" + std::string(4096, 'x') + "\r\n");
  bool done = false;
  call_end end;
  Fetch(*f.client, {.method = "GET", .url = peer.listener.Url(), .headers = {}, .body = ""},
        [&](const whole_reply& reply) {
          end = reply.end;
          done = true;
        },
        {.body_bytes = 1 << 20, .body_time = 300ms});
  f.RunUntil([&] {
    peer.Pump();
    return done;
  });
  REQUIRE(done);
  CHECK(end.failure == call_failure::kBroken);
}

// A peer that answers each request with its number on the connection, and sends its first answer
// again: in the same bytes, or just before the answer to the next request on that connection.
struct repeating_peer {
  raw_listener listener;
  bool late = false;
  int requests = 0;
  std::vector<int> connections;

  explicit repeating_peer(bool repeats_late) : late(repeats_late) {}
  ~repeating_peer() {
    for (const int fd : connections) close(fd);
  }

  static std::string Answer(int number) {
    return "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + std::to_string(number);
  }

  void Pump() {
    const int accepted = listener.Accept();
    if (accepted >= 0) connections.push_back(accepted);
    for (const int fd : connections) {
      std::array<char, 4096> buffer{};
      const ssize_t size = recv(fd, buffer.data(), buffer.size(), 0);
      if (size <= 0) continue;
      ++requests;
      const bool repeats = late ? requests > 1 && fd == connections.front() : requests == 1;
      const std::string data = (late && repeats ? Answer(1) : "") + Answer(requests) +
                               (!late && repeats ? Answer(1) : "");
      send(fd, data.data(), data.size(), MSG_NOSIGNAL);
    }
  }
};

// Guards against the next caller getting an answer that is not its own.
TEST_CASE("a second copy of an answer is not taken for the next one") {
  const bool late = GENERATE(false, true);
  CAPTURE(late);
  fixture f([](const exchange_ptr&) {});
  repeating_peer peer(late);
  for (int i = 1; i <= 3; ++i) {
    whole_reply out;
    bool done = false;
    Fetch(*f.client,
          {.method = "GET",
           .url = peer.listener.Url(),
           .headers = {},
           .body = "",
           .header_timeout = 300ms},
          [&](const whole_reply& reply) {
            out = reply;
            done = true;
          });
    f.RunUntil([&] {
      peer.Pump();
      return done;
    });
    REQUIRE(done);
    CHECK((out.end.failure != call_failure::kNone || out.body == std::to_string(i)));
  }
}

TEST_CASE("addresses are IPv4, or IPv6 in brackets or without, with a port") {
  for (const char* text : {"127.0.0.1:80", "[::1]:80", "::1:80"}) CHECK(IsAddress(text));
  for (const char* text :
       {"localhost:80", "127.0.0.1", "[::1]", "[127.0.0.1:80", "[::1]:0", ":80"}) {
    CAPTURE(text);
    CHECK_FALSE(IsAddress(text));
  }
}

}  // namespace
}  // namespace balsambay::net
