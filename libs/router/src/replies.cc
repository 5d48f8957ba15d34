// Renders and sends replies to callers.
#include "details/replies.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <nlohmann/json.hpp>

namespace balsambay::router {
namespace {

using nlohmann::json;

struct reason_status {
  std::string_view reason;
  int status;
};

constexpr std::array kReasonStatuses = {reason_status{"bad_request", 400},
                                        reason_status{"unauthorized", 401},
                                        reason_status{"unknown_model", 404},
                                        reason_status{"unknown_service", 404},
                                        reason_status{"not_found", 404},
                                        reason_status{"slow_sender", 408},
                                        reason_status{"duplicate_in_progress", 409},
                                        reason_status{"duplicate_unknown", 409},
                                        reason_status{"result_not_kept", 409},
                                        reason_status{"too_large", 413},
                                        reason_status{"key_conflict", 422},
                                        reason_status{"quarantined", 422},
                                        reason_status{"workspace_limit", 429},
                                        reason_status{"queue_full", 429},
                                        reason_status{"endpoint_failed", 502},
                                        reason_status{"deadline", 504}};

constexpr int kTimeout = 408;
constexpr int kTooManyRequests = 429;
constexpr int kBadGateway = 502;
constexpr int kServiceUnavailable = 503;

std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json MakeChunk(const caller_request& request, json delta, json finish_reason) {
  return {{"id", request.id},
          {"object", "chat.completion.chunk"},
          {"created", WallClockMs() / 1000},
          {"model", request.model},
          {"choices", json::array({{{"index", 0},
                                    {"delta", std::move(delta)},
                                    {"finish_reason", std::move(finish_reason)}}})}};
}

void StartStream(caller_request& request) {
  const std::array<net::header, 4> headers = {
      net::header{"Content-Type", "text/event-stream"}, net::header{"Cache-Control", "no-cache"},
      // The headers are sent before the outcome is known; the last event states it.
      net::header{"Balsambay-Outcome", "unknown"}, net::header{"Balsambay-Request-Id", request.id}};
  request.exchange->BeginStream(200, headers);
  request.stream_started = true;
  // The parts of a chunk around the token are rendered once, which saves most of the cost per
  // token.
  constexpr std::string_view kContent = "\"content\":";
  const std::string chunk = Dump(MakeChunk(request, {{"content", ""}}, nullptr));
  const size_t split = chunk.find(kContent) + kContent.size();
  request.chunk_prefix = "data: " + chunk.substr(0, split);
  request.chunk_suffix = chunk.substr(split + 2) + "\n\n";
}

}  // namespace

int StatusOf(const problem& error) {
  const auto it = std::ranges::find(kReasonStatuses, error.reason, &reason_status::reason);
  const int status = it == kReasonStatuses.end() ? kServiceUnavailable : it->status;
  const bool promises_not_run =
      status == kServiceUnavailable || status == kTooManyRequests || status == kTimeout;
  return promises_not_run && error.outcome != attempts::outcome::kNotRun ? kBadGateway : status;
}

std::string ProblemBody(const problem& error) {
  json body = {{"type", "urn:balsambay:reason:" + std::string(error.reason)},
               {"title", error.reason},
               {"status", StatusOf(error)},
               {"reason", error.reason},
               {"detail", error.detail},
               {"outcome", attempts::ToString(error.outcome)}};
  return Dump(body);
}

void RespondJson(const net::exchange_ptr& exchange, int status, const json& body) {
  const net::header type{"Content-Type", "application/json"};
  exchange->Respond(status, {&type, 1}, Dump(body));
}

void RespondProblem(router_state& state, const net::exchange_ptr& exchange, const problem& error) {
  CountRefusal(state.metrics, error.reason);
  std::vector<net::header> headers = {
      {"Content-Type", "application/problem+json"},
      {"Balsambay-Outcome", std::string(attempts::ToString(error.outcome))}};
  if (error.retry_after) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(*error.retry_after).count();
    headers.push_back({"Retry-After", std::to_string(std::max<int64_t>(1, seconds))});
  }
  exchange->Respond(StatusOf(error), headers, ProblemBody(error));
}

void SendTokens(caller_request& request, std::span<const std::string> tokens) {
  if (!request.stream || tokens.empty()) return;
  if (!request.stream_started) StartStream(request);
  std::string events;
  for (const std::string& token : tokens) {
    events += request.chunk_prefix;
    events += Dump(json(token));
    events += request.chunk_suffix;
  }
  request.exchange->Write(events);
}

void SendCompletion(caller_request& request, std::string_view finish_reason) {
  if (request.stream) {
    if (!request.stream_started) StartStream(request);
    json last = MakeChunk(request, json::object(), finish_reason);
    last["balsambay"] = {{"outcome", "ran"}, {"attempts", request.response.attempt}};
    request.exchange->Write("data: " + Dump(last) + "\n\ndata: [DONE]\n\n");
    request.exchange->End();
    return;
  }
  std::string content;
  std::ranges::for_each(request.response.tokens,
                        [&](const std::string& token) { content += token; });
  const json body = {
      {"id", request.id},
      {"object", "chat.completion"},
      {"created", WallClockMs() / 1000},
      {"model", request.model},
      {"choices",
       json::array({{{"index", 0},
                     {"message", {{"role", "assistant"}, {"content", std::move(content)}}},
                     {"finish_reason", finish_reason}}})},
      {"usage", {{"completion_tokens", request.response.tokens.size()}}}};
  const std::array<net::header, 3> headers = {net::header{"Content-Type", "application/json"},
                                              net::header{"Balsambay-Outcome", "ran"},
                                              net::header{"Balsambay-Request-Id", request.id}};
  request.exchange->Respond(200, headers, Dump(body));
}

void SendStreamError(router_state& state, caller_request& request, const problem& error) {
  CountRefusal(state.metrics, error.reason);
  json event = {{"error", json::parse(ProblemBody(error))}};
  event["error"]["code"] = error.reason;
  event["error"]["message"] = error.detail;
  request.exchange->Write("event: error\ndata: " + Dump(event) + "\n\n");
  request.exchange->End();
}

}  // namespace balsambay::router
