// Ports of test programs that run at the same time.
#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>

#include "net/http_server.h"
#include "net/loop.h"
#include "process.h"

namespace balsambay::system_test {
namespace {

bool CanTake(const char* ip, int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, ip, &address.sin_addr);
  const bool taken = bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
  close(fd);
  return taken;
}

// Guards against two test programs that use one port: at another loopback address, or while the
// process that listens on it is down.
TEST_CASE("a port is handed out to one program, and can be listened on again and again") {
  const int port = FreePort();
  for (const char* ip : {"127.0.0.1", "127.0.0.2", "0.0.0.0"}) {
    INFO(ip);
    CHECK_FALSE(CanTake(ip, port));
  }
  net::loop loop;
  for (int i = 0; i < 2; ++i) {
    const auto server = net::ListenHttp("127.0.0.2:" + std::to_string(port), {}, loop.Timers(), {});
    CHECK(server.has_value());
  }
}

}  // namespace
}  // namespace balsambay::system_test
