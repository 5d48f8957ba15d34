// Sockets of the scripted endpoint.
#include "scripted_endpoint.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <stdexcept>

namespace balsambay::system_test {
namespace {

constexpr guint kPumpIntervalMs = 1;
constexpr int kWritesPerPump = 8;
constexpr std::string_view kHeadEnd = "\r\n\r\n";

size_t LengthOf(std::string_view head) {
  constexpr std::string_view kName = "Content-Length: ";
  const size_t at = head.find(kName);
  if (at == std::string_view::npos) return 0;
  return std::strtoul(std::string(head.substr(at + kName.size(), 20)).c_str(), nullptr, 10);
}

// An unread rest of the request would turn the end of the connection into a reset.
bool IsWhole(std::string_view request) {
  const size_t head = request.find(kHeadEnd);
  if (head == std::string_view::npos) return false;
  return request.size() >= head + kHeadEnd.size() + LengthOf(request.substr(0, head));
}

}  // namespace

scripted_endpoint::scripted_endpoint(reply_function reply_to, scripted_faults how)
    : reply_to_(std::move(reply_to)),
      how_(std::move(how)),
      listener_(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  constexpr int kBacklog = 64;
  if (bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      listen(listener_, kBacklog) != 0) {
    throw std::runtime_error("scripted endpoint cannot listen");
  }
  timer_ = g_timeout_add(kPumpIntervalMs, OnTimer, this);
}

scripted_endpoint::~scripted_endpoint() {
  g_source_remove(timer_);
  close(listener_);
  for (const connection& open : connections_) close(open.fd);
}

int scripted_endpoint::Port() const {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

gboolean scripted_endpoint::OnTimer(gpointer data) {
  auto& self = *static_cast<scripted_endpoint*>(data);
  for (;;) {
    const int accepted = accept4(self.listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (accepted < 0) break;
    self.connections_.emplace_back().fd = accepted;
  }
  for (connection& open : self.connections_) self.Pump(open);
  std::erase_if(self.connections_, [](const connection& open) { return open.fd < 0; });
  return G_SOURCE_CONTINUE;
}

void scripted_endpoint::Pump(connection& open) {
  if (!open.replying) return ReadRequest(open);
  const bool ends = !how_.more || open.is_status;
  if (!ends) return SendMore(open);
  if (!Write(open, how_.piece_bytes) || open.output.empty()) End(open);
}

void scripted_endpoint::ReadRequest(connection& open) {
  std::array<char, 65536> buffer{};
  const ssize_t size = recv(open.fd, buffer.data(), buffer.size(), 0);
  if (size == 0) return End(open);
  if (size > 0) open.request.append(buffer.data(), static_cast<size_t>(size));
  if (!IsWhole(open.request)) return;
  open.replying = true;
  open.output = reply_to_(open.request);
  open.is_status = open.request.starts_with("GET /v1/status");
}

bool scripted_endpoint::Write(connection& open, size_t limit) {
  const ssize_t sent =
      send(open.fd, open.output.data(), std::min(limit, open.output.size()), MSG_NOSIGNAL);
  if (sent < 0) return errno == EAGAIN;
  open.output.erase(0, static_cast<size_t>(sent));
  return true;
}

void scripted_endpoint::SendMore(connection& open) const {
  for (int i = 0; i < kWritesPerPump; ++i) {
    if (open.output.empty()) open.output = how_.more(open.request, open.pieces++);
    if (!Write(open, open.output.size())) return End(open);
    if (!open.output.empty()) return;
  }
  char byte = 0;
  if (recv(open.fd, &byte, 1, 0) == 0) End(open);
}

void scripted_endpoint::End(connection& open) const {
  const linger abort{.l_onoff = 1, .l_linger = 0};
  if (how_.resets) setsockopt(open.fd, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
  close(open.fd);
  open.fd = -1;
}

std::string WholeReply(std::string_view body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         std::string(body);
}

std::string Chunk(std::string_view data) {
  std::array<char, 16> size{};
  std::snprintf(size.data(), size.size(), "%zx", data.size());
  return size.data() + ("\r\n" + std::string(data) + "\r\n");
}

std::vector<size_t> CutLengths(std::string_view whole, size_t step) {
  std::vector<size_t> lengths;
  for (size_t length = 0; length < whole.size(); length += step) lengths.push_back(length);
  return lengths;
}

}  // namespace balsambay::system_test
