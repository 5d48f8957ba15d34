// The process's only event loop: GLib's default main context, with the timer service attached to
// it.
#pragma once

#include <functional>
#include <memory>

#include "base/timer_service.h"

namespace balsambay::net {

class loop {
 public:
  loop();
  ~loop();
  loop(const loop&) = delete;
  loop& operator=(const loop&) = delete;

  timer_service& Timers() { return timers_; }

  // Runs until Quit().
  void Run();
  void Quit();

  // Calls `fn` from the loop for each arrival of `signal_number` (SIGTERM, SIGINT, SIGHUP,
  // SIGUSR1).
  void OnSignal(int signal_number, std::function<void()> fn);

 private:
  struct impl;
  timer_service timers_;
  std::unique_ptr<impl> impl_;
};

}  // namespace balsambay::net
