// Time limits of a call before and after its request is sent. Guards against a silent peer that is
// given up as early as one that cannot be reached.
#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>

#include "net/http_client.h"
#include "net/loop.h"

using namespace std::chrono_literals;

namespace balsambay::net {
namespace {

// Accepts nothing. Connections beyond the backlog are not answered by the system either.
struct silent_listener {
  int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};

  silent_listener() {
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    REQUIRE(bind(fd, reinterpret_cast<sockaddr*>(&address), size) == 0);
    REQUIRE(listen(fd, 0) == 0);
    REQUIRE(getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) == 0);
  }
  ~silent_listener() { close(fd); }
  silent_listener(const silent_listener&) = delete;
  silent_listener& operator=(const silent_listener&) = delete;
};

struct timed_end {
  call_end end;
  duration after{0};
};

timed_end CallAndWait(const silent_listener& peer, duration connect_timeout,
                      duration header_timeout) {
  loop main;
  const auto client = MakeHttpClient(main.Timers());
  client_request request;
  request.url = "http://127.0.0.1:" + std::to_string(ntohs(peer.address.sin_port)) + "/";
  request.connect_timeout = connect_timeout;
  request.header_timeout = header_timeout;
  timed_end out;
  const time_point start = MonotonicNow();
  const auto call =
      client->Send(std::move(request),
                   {.on_headers = nullptr, .on_data = nullptr, .on_end = [&](const call_end& end) {
                      out = {end, MonotonicNow() - start};
                      main.Quit();
                    }});
  main.Run();
  return out;
}

TEST_CASE("a peer that takes the request and is silent has until the header timeout") {
  const silent_listener peer;
  const timed_end got = CallAndWait(peer, 50ms, 300ms);
  CHECK(got.end.failure == call_failure::kTimeout);
  CHECK(got.after >= 300ms);
}

TEST_CASE("a peer that cannot be reached ends the call at the connect timeout, with nothing sent") {
  const silent_listener peer;
  std::vector<int> fillers;
  for (int i = 0; i < 4; ++i) {
    fillers.push_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
    connect(fillers.back(), reinterpret_cast<const sockaddr*>(&peer.address), sizeof peer.address);
  }
  const timed_end got = CallAndWait(peer, 200ms, 10s);
  CHECK(got.end.failure == call_failure::kConnect);
  CHECK(got.after < 1s);
  for (const int fd : fillers) close(fd);
}

}  // namespace
}  // namespace balsambay::net
