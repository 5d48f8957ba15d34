// Interface of an entry daemon: accepts requests of callers and routes them to endpoints.
// Command-line parsing is left to the application.
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

  // Graceful shutdown. Readiness checks fail at once; after settings::unready_delay new requests
  // are refused; `on_stopped` runs when all requests have ended and all leases are handed over. A
  // second call aborts the remaining requests at once and passes their number to `on_stopped`.
  virtual void Stop(std::function<void(int aborted_requests)> on_stopped) = 0;
};

// Creates a router, opens its listening sockets and starts to serve. `loop` must outlive the
// router; all callbacks run on its thread. Errors: kInvalidArgument, kUnavailable.
result<std::unique_ptr<router>> Start(const settings& settings, net::loop& loop);

}  // namespace balsambay::router
