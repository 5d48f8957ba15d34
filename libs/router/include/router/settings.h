// Settings of one entry daemon. The application reads them from flags and environment variables.
#pragma once

#include <string>
#include <vector>

#include "base/time.h"

namespace balsambay::router {

struct settings {
  std::string id;                  // unique among all entry daemons
  std::string zone;                // availability zone of this VM
  std::string listen;              // IP:PORT for callers, operators and metrics
  std::string peer_listen;         // IP:PORT for other entry daemons
  std::string peer_advertise;      // IP:PORT at which other entry daemons connect
  std::vector<std::string> peers;  // IP:PORT of some entry daemons of the zone (seeds)
  std::string peer_key;            // secret shared by all entry daemons
  std::string platform;            // IP:PORT of the platform; empty: none
  std::string admin_token;         // empty: the admin API refuses all requests
  std::string config_file;         // static configuration for test runs without a platform
  size_t max_body_bytes = 1 << 20;
  duration body_timeout = std::chrono::seconds(10);
  size_t max_header_bytes = 65536;
  size_t max_header_lines = 1024;
  duration header_timeout = std::chrono::seconds(10);
  size_t max_connections = 4000;
  size_t max_connections_per_address = 0;  // 0: no limit
  duration first_token_timeout = std::chrono::seconds(5);
  duration token_timeout = std::chrono::seconds(1);
  duration unready_delay =
      std::chrono::seconds(2);  // time until the load balancer sees unreadiness
  size_t max_pending_bytes =
      size_t{256} * 1024;  // buffered for one slow caller before engine output is paused
  duration slow_reader_timeout = std::chrono::seconds(30);
  // Memory at which the process is ended by whoever runs it; requests and replies hold a fixed
  // share of it together.
  size_t memory_limit_bytes = 1'000'000'000;
  uint32_t shards = 8;  // shards of at-most-once records; the same for all daemons
  uint64_t seed = 0;    // seed of the random generator; 0: taken from std::random_device
};

}  // namespace balsambay::router
