// A TCP relay between two processes under test, on a thread of its own. Links can be cut, stalled
// or delayed.
#pragma once

#include <atomic>
#include <thread>

namespace balsambay::system_test {

enum class link_mode {
  kPass,
  kCut,    // closes all connections and accepts no new ones
  kStall,  // keeps connections open but forwards nothing
};

class relay {
 public:
  // Listens on a free port and forwards to 127.0.0.1:`target_port`.
  explicit relay(int target_port);
  ~relay();
  relay(const relay&) = delete;
  relay& operator=(const relay&) = delete;

  int Port() const { return port_; }
  void SetMode(link_mode mode) { mode_ = mode; }
  // Holds each piece of data for this long before it is forwarded.
  void SetDelayMs(int delay_ms) { delay_ms_ = delay_ms; }

 private:
  void Run();

  int target_port_;
  int port_;
  int listener_ = -1;
  std::atomic<link_mode> mode_ = link_mode::kPass;
  std::atomic<int> delay_ms_ = 0;
  std::atomic<bool> stop_ = false;
  std::thread thread_;
};

}  // namespace balsambay::system_test
