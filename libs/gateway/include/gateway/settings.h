// Settings of one gateway process. The adapter of the platform fills them from its settings file.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "base/time.h"

namespace balsambay::gateway {

struct settings {
  std::string id;              // id of the VM
  std::string zone;            // availability zone of the VM
  std::string ip;              // of the VM
  std::string listen;          // IP:PORT for requests of callers
  std::string listen_ready;    // IP:PORT for readiness checks of the load balancer
  std::string listen_peers;    // IP:PORT (UDP) for messages of other gateways
  std::string listen_metrics;  // IP:PORT for metrics; empty: none

  // The load balancer needs this long to notice that the VM is not ready; the gateway accepts
  // requests meanwhile.
  duration unready_delay = std::chrono::milliseconds(3000);
  // Time from the stop signal to the forced end of the process.
  duration stop_grace = std::chrono::milliseconds(8000);
  // Retry budget of all gateways together: at most `retry_ratio` of the requests within
  // `retry_window`, plus `retry_slack`.
  double retry_ratio = 0.2;
  duration retry_window = std::chrono::seconds(10);
  double retry_slack = 0;
  // First start of the whole installation: no earlier process has used the retry budget. Otherwise
  // the gateway sends no retries until `retry_window` after its start. Used at the start only.
  bool bootstrap = false;
  // Refuses requests by priority while a service is close to its capacity (details/overload.h).
  bool shed_by_priority = false;
  // After this time, an engine ends requests that wait for a lost engine.
  duration engine_stall = std::chrono::milliseconds(3000);
  // A copy of a shared table that has not been confirmed as current for this long is checked: about
  // half of the time that the platform allows for noticing a lost connection.
  duration feed_age_limit = std::chrono::milliseconds(1500);
  // A change of the configuration or of the list of endpoints has to be known to all gateways after
  // this time: the shorter one of the limits that the platform sets for them.
  duration change_propagation_limit = std::chrono::milliseconds(2000);
  // Memory in bytes at which the platform ends the process.
  size_t memory_limit_bytes = 256'000'000;
  // Sockets that the process may have open at the same time.
  int max_sockets = 4000;
  uint64_t seed = 0;  // of the random generator; 0: taken from the system
  bool operator==(const settings&) const = default;
};

}  // namespace balsambay::gateway
