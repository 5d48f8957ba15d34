// Poll loop of the relay.
#include "relay.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <deque>
#include <list>
#include <string>
#include <vector>

#include "process.h"

namespace balsambay::system_test {
namespace {

using clock = std::chrono::steady_clock;

struct piece {
  clock::time_point due;
  std::string data;
};

// One direction of a connection.
struct flow {
  int from = -1;
  int to = -1;
  bool ended = false;
  std::deque<piece> queue;
};

struct connection {
  int client = -1;
  int server = -1;
  std::array<flow, 2> flows;
};

sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// Close-on-exec: a listener inherited by a child process would keep the port open after a cut.
int Listen(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int reuse = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
  const sockaddr_in address = Loopback(port);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      listen(fd, 256) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

void CloseConnection(connection& link) {
  close(link.client);
  close(link.server);
}

// Reads what is there; returns false when the connection is broken.
bool Pull(flow& direction, int delay_ms) {
  std::array<char, 65536> buffer;
  const ssize_t got = recv(direction.from, buffer.data(), buffer.size(), MSG_DONTWAIT);
  if (got > 0) {
    direction.queue.push_back({clock::now() + std::chrono::milliseconds(delay_ms),
                               std::string(buffer.data(), static_cast<size_t>(got))});
    return true;
  }
  if (got == 0) direction.ended = true;
  return got == 0 || errno == EAGAIN;
}

bool Push(flow& direction) {
  while (!direction.queue.empty() && direction.queue.front().due <= clock::now()) {
    std::string& data = direction.queue.front().data;
    const ssize_t sent = send(direction.to, data.data(), data.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (sent < 0) return errno == EAGAIN;
    data.erase(0, static_cast<size_t>(sent));
    if (!data.empty()) return true;
    direction.queue.pop_front();
  }
  if (direction.ended && direction.queue.empty()) shutdown(direction.to, SHUT_WR);
  return true;
}

bool Serve(connection& link, int delay_ms) {
  for (flow& direction : link.flows) {
    if (!direction.ended && !Pull(direction, delay_ms)) return false;
    if (!Push(direction)) return false;
  }
  const bool over = link.flows[0].ended && link.flows[1].ended && link.flows[0].queue.empty() &&
                    link.flows[1].queue.empty();
  return !over;
}

void Accept(int listener, int target_port, std::list<connection>& links) {
  const int client = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (client < 0) return;
  const int server = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(target_port);
  if (connect(server, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    close(client);
    close(server);
    return;
  }
  fcntl(server, F_SETFL, O_NONBLOCK);
  links.push_back(
      {client, server, {flow{client, server, false, {}}, flow{server, client, false, {}}}});
}

}  // namespace

relay::relay(int target_port) : target_port_(target_port), port_(FreePort()) {
  listener_ = Listen(port_);
  thread_ = std::thread([this] { Run(); });
}

relay::~relay() {
  stop_ = true;
  thread_.join();
  if (listener_ >= 0) close(listener_);
}

void relay::Run() {
  std::list<connection> links;
  while (!stop_) {
    const link_mode mode = mode_;
    if (mode == link_mode::kCut) {
      for (connection& link : links) CloseConnection(link);
      links.clear();
      if (listener_ >= 0) close(listener_);
      listener_ = -1;
    } else if (listener_ < 0) {
      listener_ = Listen(port_);
    }
    std::vector<pollfd> waits;
    if (listener_ >= 0) waits.push_back({listener_, POLLIN, 0});
    if (mode == link_mode::kPass) {
      for (const connection& link : links) {
        if (!link.flows[0].ended) waits.push_back({link.client, POLLIN, 0});
        if (!link.flows[1].ended) waits.push_back({link.server, POLLIN, 0});
      }
    }
    poll(waits.data(), waits.size(), 2);
    if (listener_ >= 0) Accept(listener_, target_port_, links);
    if (mode != link_mode::kPass) continue;
    for (auto it = links.begin(); it != links.end();) {
      if (Serve(*it, delay_ms_)) {
        ++it;
        continue;
      }
      CloseConnection(*it);
      it = links.erase(it);
    }
  }
  for (connection& link : links) CloseConnection(link);
}

}  // namespace balsambay::system_test
