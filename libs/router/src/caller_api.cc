// Authenticates callers and parses the headers and bodies of their requests.
#include "details/caller_api.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

#include "base/hash.h"
#include "details/requests.h"

namespace balsambay::router {
namespace {

using nlohmann::json;

constexpr const char* kAuthorization = "Authorization";
constexpr const char* kTimeout = "Balsambay-Timeout-Ms";
constexpr const char* kRepeatable = "Balsambay-Repeatable";
constexpr const char* kIdempotencyKey = "Idempotency-Key";

constexpr std::string_view kServicePrefix = "/v1/services/";
constexpr int64_t kMaxTimeoutMs = 3'600'000;
constexpr size_t kMaxKeyBytes = 255;
constexpr int64_t kDefaultMaxTokens = 256;

struct parse_failure {
  std::string_view reason;
  std::string detail;
};

using parse_result =
    BOOST_OUTCOME_V2_NAMESPACE::basic_result<void, parse_failure,
                                             BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

parse_failure BadRequest(std::string detail) { return {"bad_request", std::move(detail)}; }

parse_result Authenticate(const router_state& state, caller_request& request) {
  constexpr std::string_view kScheme = "Bearer ";
  const std::string_view value = request.exchange->Header(kAuthorization);
  if (!value.starts_with(kScheme)) return parse_failure{"unauthorized", "no bearer token"};
  request.workspace =
      inventory::FindWorkspaceByToken(state.inventory, value.substr(kScheme.size()));
  if (request.workspace.empty())
    return parse_failure{"unauthorized", "the bearer token is not known"};
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

parse_result ReadDeadline(const router_state& state, caller_request& request) {
  int64_t timeout_ms = state.inventory.policy.default_timeout_ms;
  const std::string_view value = request.exchange->Header(kTimeout);
  if (!value.empty()) {
    const auto parsed = std::from_chars(value.data(), value.data() + value.size(), timeout_ms);
    const bool fully_parsed = parsed.ec == std::errc() && parsed.ptr == value.data() + value.size();
    if (!fully_parsed || timeout_ms < 1 || timeout_ms > kMaxTimeoutMs) {
      return BadRequest("Balsambay-Timeout-Ms must be a number from 1 to 3600000");
    }
  }
  request.deadline = request.arrived + std::chrono::milliseconds(timeout_ms);
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

// The rules of the configuration decide whether a request may be repeated; the caller can only
// forbid it in addition.
parse_result ReadRepeatability(const router_state& state, caller_request& request) {
  const std::string_view header = request.exchange->Header(kRepeatable);
  if (!header.empty() && header != "no" && header != "yes") {
    return BadRequest("Balsambay-Repeatable must be yes or no");
  }
  const bool forbidden = inventory::IsNonRepeatable(state.inventory, request.workspace,
                                                    request.model, request.service);
  request.response.repeatable = !forbidden && header != "no";
  request.idempotency_key = request.exchange->Header(kIdempotencyKey);
  if (request.idempotency_key.size() > kMaxKeyBytes)
    return BadRequest("Idempotency-Key is longer than 255 bytes");
  if (!request.response.repeatable && request.idempotency_key.empty()) {
    return BadRequest("a request that may not repeat needs the header Idempotency-Key");
  }
  if (!request.response.repeatable) {
    request.body_digest = Sha256Hex(std::string(request.exchange->Path()) + '\n' +
                                    std::string(request.exchange->Body()));
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

parse_result ReadMessages(const json& body, caller_request& request) {
  const auto messages = body.find("messages");
  if (messages == body.end() || !messages->is_array() || messages->empty()) {
    return BadRequest("\"messages\" must be an array with at least one message");
  }
  for (const json& message : *messages) {
    if (!message.is_object() || !message.contains("content") ||
        !message.at("content").is_string()) {
      return BadRequest("each message must be an object with a text \"content\"");
    }
    if (!request.prompt.empty()) request.prompt += '\n';
    request.prompt += message.at("content").get_ref<const std::string&>();
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

parse_result ReadModelBody(const router_state& state, caller_request& request) {
  const json body = json::parse(request.exchange->Body(), nullptr, false);
  if (!body.is_object()) return BadRequest("the body is not a JSON object in UTF-8");
  const auto model = body.find("model");
  if (model == body.end() || !model->is_string()) return BadRequest("\"model\" must be a string");
  request.model = model->get<std::string>();
  const auto model_entry = state.inventory.models.find(request.model);
  if (model_entry == state.inventory.models.end()) {
    return parse_failure{"unknown_model", "model \"" + request.model + "\" does not exist"};
  }
  BOOST_OUTCOME_TRYV(ReadMessages(body, request));
  const json stream = body.value("stream", json(false));
  if (!stream.is_boolean()) return BadRequest("\"stream\" must be true or false");
  request.stream = stream.get<bool>();
  const json max_tokens = body.value("max_tokens", json(kDefaultMaxTokens));
  const int64_t limit = model_entry->second.max_context_tokens;
  if (!max_tokens.is_number_integer() || max_tokens < 1 || max_tokens > limit) {
    return BadRequest("\"max_tokens\" must be an integer from 1 to " + std::to_string(limit));
  }
  request.max_tokens = max_tokens.get<uint32_t>();
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

parse_result ReadServiceBody(const router_state& state, caller_request& request) {
  request.service = request.exchange->Path().substr(kServicePrefix.size());
  if (!state.inventory.services.contains(request.service)) {
    return parse_failure{"unknown_service", "service \"" + request.service + "\" does not exist"};
  }
  if (json::parse(request.exchange->Body(), nullptr, false).is_discarded()) {
    return BadRequest("the body is not JSON in UTF-8");
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

parse_result ParseRequest(const router_state& state, caller_request& request) {
  BOOST_OUTCOME_TRYV(Authenticate(state, request));
  const bool service = request.exchange->Path().starts_with(kServicePrefix);
  BOOST_OUTCOME_TRYV(service ? ReadServiceBody(state, request) : ReadModelBody(state, request));
  BOOST_OUTCOME_TRYV(ReadDeadline(state, request));
  return ReadRepeatability(state, request);
}

}  // namespace

std::vector<std::string> SingleHeaders() {
  return {kAuthorization, kTimeout, kRepeatable, kIdempotencyKey};
}

void HandleCallerRequest(router_state& state, const net::exchange_ptr& exchange) {
  if (state.draining) {  // readiness checks have failed for unready_delay already
    return RespondProblem(state, exchange,
                          {.reason = "draining",
                           .detail = "this entry VM is stopping",
                           .retry_after = std::chrono::seconds(1)});
  }
  if (state.config_version == 0) {
    return RespondProblem(state, exchange,
                          {.reason = "not_ready",
                           .detail = "no configuration yet",
                           .retry_after = std::chrono::seconds(2)});
  }
  auto request = std::make_shared<caller_request>();
  request->exchange = exchange;
  request->arrived = MonotonicNow();
  request->gate_id = state.next_gate_id++;
  request->id = state.config.id + "-" + state.start_id + "-" + std::to_string(request->gate_id);
  const parse_result parsed = ParseRequest(state, *request);
  if (parsed.has_error()) {
    return RespondProblem(state, exchange,
                          {.reason = parsed.error().reason, .detail = parsed.error().detail});
  }
  AcceptRequest(state, request);
}

}  // namespace balsambay::router
