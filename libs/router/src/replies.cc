// Rendering of replies.
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

constexpr std::array kStatuses = {reason_status{"bad_request", 400},
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

constexpr int kServiceUnavailable = 503;

std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json Chunk(const request& item, json delta, json finish_reason) {
  return {{"id", item.id},
          {"object", "chat.completion.chunk"},
          {"created", WallClockMs() / 1000},
          {"model", item.model},
          {"choices", json::array({{{"index", 0},
                                    {"delta", std::move(delta)},
                                    {"finish_reason", std::move(finish_reason)}}})}};
}

void StartStream(request& item) {
  const std::array<net::header, 4> headers = {
      net::header{"Content-Type", "text/event-stream"}, net::header{"Cache-Control", "no-cache"},
      // Sent before the end is known; the last event states the final outcome.
      net::header{"Balsambay-Outcome", "unknown"}, net::header{"Balsambay-Request-Id", item.id}};
  item.exchange->BeginStream(200, headers);
  item.stream_started = true;
  // Everything of a chunk but the token itself; rendering it once saves most of the cost of a
  // token.
  constexpr std::string_view kContent = "\"content\":";
  const std::string whole = Dump(Chunk(item, {{"content", ""}}, nullptr));
  const size_t split = whole.find(kContent) + kContent.size();
  item.chunk_prefix = "data: " + whole.substr(0, split);
  item.chunk_suffix = whole.substr(split + 2) + "\n\n";
}

}  // namespace

int StatusOf(std::string_view reason) {
  const auto it = std::ranges::find(kStatuses, reason, &reason_status::reason);
  return it == kStatuses.end() ? kServiceUnavailable : it->status;
}

std::string ProblemBody(const problem& error) {
  json body = {{"type", "urn:balsambay:reason:" + std::string(error.reason)},
               {"title", error.reason},
               {"status", StatusOf(error.reason)},
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
  exchange->Respond(StatusOf(error.reason), headers, ProblemBody(error));
}

void SendTokens(request& item, std::span<const std::string> tokens) {
  if (!item.stream || tokens.empty()) return;
  if (!item.stream_started) StartStream(item);
  std::string out;
  for (const std::string& token : tokens) {
    out += item.chunk_prefix;
    out += Dump(json(token));
    out += item.chunk_suffix;
  }
  item.exchange->Write(out);
}

void SendCompletion(request& item, std::string_view finish_reason) {
  if (item.stream) {
    if (!item.stream_started) StartStream(item);
    json last = Chunk(item, json::object(), finish_reason);
    last["balsambay"] = {{"outcome", "ran"}, {"attempts", item.answer.attempt}};
    item.exchange->Write("data: " + Dump(last) + "\n\ndata: [DONE]\n\n");
    item.exchange->End();
    return;
  }
  std::string content;
  std::ranges::for_each(item.answer.tokens, [&](const std::string& token) { content += token; });
  const json body = {
      {"id", item.id},
      {"object", "chat.completion"},
      {"created", WallClockMs() / 1000},
      {"model", item.model},
      {"choices",
       json::array({{{"index", 0},
                     {"message", {{"role", "assistant"}, {"content", std::move(content)}}},
                     {"finish_reason", finish_reason}}})},
      {"usage", {{"completion_tokens", item.answer.tokens.size()}}}};
  const std::array<net::header, 3> headers = {net::header{"Content-Type", "application/json"},
                                              net::header{"Balsambay-Outcome", "ran"},
                                              net::header{"Balsambay-Request-Id", item.id}};
  item.exchange->Respond(200, headers, Dump(body));
}

void SendStreamError(router_state& state, request& item, const problem& error) {
  CountRefusal(state.metrics, error.reason);
  json event = {{"error", json::parse(ProblemBody(error))}};
  event["error"]["code"] = error.reason;
  event["error"]["message"] = error.detail;
  item.exchange->Write("event: error\ndata: " + Dump(event) + "\n\n");
  item.exchange->End();
}

}  // namespace balsambay::router
