// Calls to the admin API of the daemons named on the command line.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "exit_code.h"
#include "options.h"

namespace balsambay::ctl {

// What one daemon answered.
struct daemon_reply {
  std::string daemon;         // IP:PORT
  exit_code code = kFailure;  // kOk for 2xx, kUnreachable, kUnknownOutcome or kFailure
  std::string problem;        // why, when `code` is not kOk
  unsigned status = 0;        // HTTP status, 0 without an answer
  std::string text;           // body
  nlohmann::json body;        // parsed body, null when it is no JSON or nested too deeply
};

struct admin_call {
  std::string method = "GET";
  std::string path;
  nlohmann::json body;  // null: no body
};

daemon_reply CallDaemon(const options& opts, const std::string& daemon, const admin_call& call);

// Asks every daemon in turn.
std::vector<daemon_reply> CallAll(const options& opts, const admin_call& call);

// Asks the daemons in turn until one answers. A call with a body ends at a daemon that may have
// received it. Precondition: there is at least one daemon.
daemon_reply CallAny(const options& opts, const admin_call& call);

// Percent-encodes `text` for a query.
std::string EncodeQuery(std::string_view text);

}  // namespace balsambay::ctl
