// Replies to callers: problem documents, completions and event streams.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "details/state.h"

namespace balsambay::router {

struct problem {
  std::string_view reason;  // stable code, see docs/design.md section 6
  std::string detail;
  attempts::outcome outcome = attempts::outcome::kNotRun;
  std::optional<duration> retry_after = std::nullopt;  // sent as Retry-After
};

// Sends a complete JSON reply; used by the admin API.
void RespondJson(const net::exchange_ptr& exchange, int status, const nlohmann::json& body);

// Sends an RFC 9457 problem document with its headers and counts it under its reason.
void RespondProblem(router_state& state, const net::exchange_ptr& exchange, const problem& error);

// JSON text of a problem document.
std::string ProblemBody(const problem& error);
// HTTP status of a problem; 503 for reasons without an entry of their own. Statuses that tell the
// caller that the request was not run are replaced by 502 when it may have run.
int StatusOf(const problem& error);

// Sends tokens as server-sent events and starts the stream with the first ones. Sends nothing when
// the caller did not ask for a stream.
void SendTokens(caller_request& request, std::span<const std::string> tokens);

// Ends a completed model request with the whole completion or, on a stream, with the final events.
void SendCompletion(caller_request& request, std::string_view finish_reason);

// Ends a started stream with an error event and counts the reason.
void SendStreamError(router_state& state, caller_request& request, const problem& error);

}  // namespace balsambay::router
