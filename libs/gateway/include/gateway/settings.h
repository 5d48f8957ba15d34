// Settings of one gateway process.
#pragma once

#include <cstdint>
#include <string>

#include "base/time.h"

namespace balsambay::gateway {

struct settings {
  std::string id;    // of the VM
  std::string zone;  // availability zone of the VM
  std::string ip;
  std::string listen;          // IP:PORT for callers
  std::string listen_ready;    // IP:PORT for the balancer's readiness checks
  std::string listen_peers;    // IP:PORT (UDP) for other gateways
  std::string listen_metrics;  // IP:PORT; empty: none

  // The balancer needs this long to notice that the VM is not ready; requests are taken meanwhile.
  duration unready_delay = std::chrono::milliseconds(3000);
  // From the signal to the forced end of the process.
  duration stop_grace = std::chrono::milliseconds(8000);
  // Retries of all gateways together: at most `retry_ratio` of the requests of `retry_window`, and
  // `retry_slack` more.
  double retry_ratio = 0.2;
  duration retry_window = std::chrono::seconds(10);
  double retry_slack = 0;
  // An engine cuts off work that depends on a lost engine after this time.
  duration engine_stall = std::chrono::milliseconds(3000);
  // What is known of a shared table is checked when it has not been confirmed for this long: about
  // half of the time that the platform allows for noticing a lost connection.
  duration feed_age_limit = std::chrono::milliseconds(1500);
  // A change of the configuration or of the list of endpoints is known everywhere after this time:
  // the shortest one that the platform names.
  duration change_notice = std::chrono::milliseconds(2000);
  uint64_t seed = 0;  // of random choices; 0 takes one from the system
  bool operator==(const settings&) const = default;
};

}  // namespace balsambay::gateway
