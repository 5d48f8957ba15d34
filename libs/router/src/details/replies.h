// What callers see: problem documents, completions and event streams.
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
  std::optional<duration> retry_after = std::nullopt;  // when it makes sense to come back
};

// Whole JSON reply, for operators.
void RespondJson(const net::exchange_ptr& exchange, int status, const nlohmann::json& body);

// RFC 9457 problem document with headers, counted under its reason.
void RespondProblem(router_state& state, const net::exchange_ptr& exchange, const problem& error);

std::string ProblemBody(const problem& error);
int StatusOf(std::string_view reason);

// Sends tokens as server-sent events, starting the stream with the first ones. For whole replies
// nothing is sent.
void SendTokens(caller_request& request, std::span<const std::string> tokens);

// Ends a completed model request with the whole answer or the final events.
void SendCompletion(caller_request& request, std::string_view finish_reason);

// Ends a stream that has started with an explicit error event.
void SendStreamError(router_state& state, caller_request& request, const problem& error);

}  // namespace balsambay::router
