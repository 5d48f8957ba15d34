// An entry daemon without its command line.
#pragma once

#include <functional>
#include <memory>

#include "base/result.h"
#include "net/loop.h"
#include "router/settings.h"

namespace balsambay::router {

class router {
 public:
  virtual ~router() = default;

  virtual int Port() const = 0;

  // Graceful stop: unready at once, no new work after the balancer's delay, then `on_stopped` when
  // all requests have ended and leases are handed over. A second call ends what is left at once.
  virtual void Stop(std::function<void(int aborted_requests)> on_stopped) = 0;
};

// Listens and starts to serve. `loop` must outlive the router. Errors: kInvalidArgument,
// kUnavailable.
result<std::unique_ptr<router>> Start(const settings& settings, net::loop& loop);

}  // namespace balsambay::router
