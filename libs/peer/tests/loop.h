// Helpers: drives GLib's default context and a timer service, and a TCP relay that can stall.
#pragma once

#include <array>
#include <functional>
#include <string>

#include "base/timer_service.h"
#include "details/sockets.h"

namespace balsambay::peer::testing {

struct loop {
  timer_service timers;
  std::function<void()> each_turn = [] {};

  // Runs until `done` holds or 5 s pass; returns whether it held.
  bool RunUntil(const std::function<bool()>& done, duration limit = std::chrono::seconds(5)) {
    const time_point end = MonotonicNow() + limit;
    while (!done()) {
      if (MonotonicNow() >= end) return false;
      each_turn();
      while (g_main_context_iteration(nullptr, FALSE)) {
      }
      RunDue(timers, MonotonicNow());
      g_usleep(200);
    }
    return true;
  }
  void RunFor(duration span) {
    RunUntil([] { return false; }, span);
  }
};

// Forwards one connection at a time to `upstream`. While stalled it neither reads nor writes.
class relay {
 public:
  explicit relay(const std::string& upstream) : upstream_(upstream) {
    listener_ = details::Listen(details::ParseAddress("127.0.0.1:0").value().get()).value();
  }
  std::string address() const { return details::LocalAddress(listener_.get()); }
  void Cut() { ends_ = {}; }
  void Pump() {
    if (stalled) return;
    if (GSocket* socket = g_socket_accept(listener_.get(), nullptr, nullptr)) {
      g_socket_set_blocking(socket, FALSE);
      ends_[0].socket.reset(socket);
      const auto target = details::ParseAddress(upstream_);
      ends_[1].socket = details::BeginConnect(target.value().get()).value();
    }
    Forward(ends_[0], ends_[1]);
    Forward(ends_[1], ends_[0]);
  }
  bool stalled = false;
  // Changes the bytes that come from `upstream`.
  std::function<void(std::string&)> rewrite = [](std::string&) {};

 private:
  struct end {
    details::socket_ptr socket;
    std::string pending;  // received from the other end, not yet sent
  };
  void Forward(end& from, end& to) {
    if (!from.socket || !to.socket) return;
    std::array<char, 65536> buffer;
    if (to.pending.empty()) {
      const gssize got =
          g_socket_receive(from.socket.get(), buffer.data(), buffer.size(), nullptr, nullptr);
      if (got == 0) return Cut();
      if (got > 0) to.pending.assign(buffer.data(), static_cast<size_t>(got));
      if (got > 0 && &from == &ends_[1]) rewrite(to.pending);
    }
    const gssize put =
        g_socket_send(to.socket.get(), to.pending.data(), to.pending.size(), nullptr, nullptr);
    if (put > 0) to.pending.erase(0, static_cast<size_t>(put));
  }
  std::string upstream_;
  details::socket_ptr listener_;
  std::array<end, 2> ends_;
};

}  // namespace balsambay::peer::testing
