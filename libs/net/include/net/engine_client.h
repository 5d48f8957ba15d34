// Adapter to the model engines: the only place that knows their wire protocol. A run is handed to
// the first stage (the head) together with the whole route; stages forward hidden states to each
// other and the last stage's tokens come back through the head.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/buffer_budget.h"
#include "net/http_client.h"

namespace balsambay::net {

struct run_stage {
  std::string endpoint;
  std::string address;  // IP:PORT
  int first_layer = 0;
  int end_layer = 0;
};

struct run_request {
  std::string run_id;
  uint32_t attempt = 0;
  std::string model;
  std::vector<run_stage> stages;  // not empty, in layer order
  std::string prompt;
  std::vector<std::string> delivered;  // tokens that the new attempt replays
  uint32_t max_tokens = 0;
  int priority = 0;
  bool repeatable = true;
  duration connect_timeout = std::chrono::seconds(10);  // until the first byte is written
  duration header_timeout = std::chrono::seconds(10);
  // Common limit of the incomplete lines of all runs; null: none.
  std::shared_ptr<buffer_budget> buffers = nullptr;
};

enum class run_failure : uint8_t {
  kNotSent,    // no byte was written
  kRefused,    // the head proved that it did not start
  kLeaving,    // as kRefused, because the endpoint is leaving
  kStageLost,  // the head lost another stage, named in `endpoint`
  kTimeout,    // no reply headers in time
  kBroken,     // connection broken, truncated or malformed reply
  kNoMemory,   // `buffers` has no room for a line of the reply
};

struct run_events {
  // `tokens` are consecutive from `first_index`. One call for all that arrived together.
  std::function<void(uint32_t attempt, uint32_t first_index, std::span<const std::string> tokens)>
      on_tokens;
  std::function<void(uint32_t attempt, uint32_t token_count, std::string_view finish_reason)>
      on_end;
  // At most once; never after on_end.
  std::function<void(uint32_t attempt, run_failure failure, std::string_view endpoint,
                     std::string_view detail)>
      on_failed;
};

class engine_run {
 public:
  virtual ~engine_run() = default;
  // Tells the head to stop and drops the connection. No event follows.
  virtual void Cancel() = 0;
  virtual void PauseReading() = 0;
  virtual void ResumeReading() = 0;
};

std::shared_ptr<engine_run> StartRun(http_client& client, run_request request, run_events events);

}  // namespace balsambay::net
