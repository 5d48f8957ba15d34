// Callers' requests: authentication, headers, bodies.
#include "details/caller_api.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

#include "base/hash.h"
#include "details/requests.h"

namespace balsambay::router {
namespace {

using nlohmann::json;

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

parse_result Authenticate(const router_state& state, request& item) {
  constexpr std::string_view kScheme = "Bearer ";
  const std::string_view value = item.exchange->Header("Authorization");
  if (!value.starts_with(kScheme)) return parse_failure{"unauthorized", "no bearer token"};
  item.workspace = inventory::FindWorkspaceByToken(state.inventory, value.substr(kScheme.size()));
  if (item.workspace.empty()) return parse_failure{"unauthorized", "the bearer token is not known"};
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

parse_result ReadDeadline(const router_state& state, request& item) {
  int64_t timeout_ms = state.inventory.policy.default_timeout_ms;
  const std::string_view value = item.exchange->Header("Balsambay-Timeout-Ms");
  if (!value.empty()) {
    const auto parsed = std::from_chars(value.data(), value.data() + value.size(), timeout_ms);
    const bool whole = parsed.ec == std::errc() && parsed.ptr == value.data() + value.size();
    if (!whole || timeout_ms < 1 || timeout_ms > kMaxTimeoutMs) {
      return BadRequest("Balsambay-Timeout-Ms must be a number from 1 to 3600000");
    }
  }
  item.deadline = item.arrived + std::chrono::milliseconds(timeout_ms);
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

// Rules decide whether a request may repeat; the caller can only forbid it as well.
parse_result ReadRepeatability(const router_state& state, request& item) {
  const std::string_view wish = item.exchange->Header("Balsambay-Repeatable");
  if (!wish.empty() && wish != "no" && wish != "yes") {
    return BadRequest("Balsambay-Repeatable must be yes or no");
  }
  const bool forbidden =
      inventory::IsNonRepeatable(state.inventory, item.workspace, item.model, item.service);
  item.answer.repeatable = !forbidden && wish != "no";
  item.idempotency_key = item.exchange->Header("Idempotency-Key");
  if (item.idempotency_key.size() > kMaxKeyBytes)
    return BadRequest("Idempotency-Key is longer than 255 bytes");
  if (!item.answer.repeatable && item.idempotency_key.empty()) {
    return BadRequest("a request that may not repeat needs the header Idempotency-Key");
  }
  if (!item.answer.repeatable) {
    item.body_digest =
        Sha256Hex(std::string(item.exchange->Path()) + '\n' + std::string(item.exchange->Body()));
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

parse_result ReadMessages(const json& body, request& item) {
  const auto messages = body.find("messages");
  if (messages == body.end() || !messages->is_array() || messages->empty()) {
    return BadRequest("\"messages\" must be an array with at least one message");
  }
  for (const json& message : *messages) {
    if (!message.is_object() || !message.contains("content") ||
        !message.at("content").is_string()) {
      return BadRequest("each message must be an object with a text \"content\"");
    }
    if (!item.prompt.empty()) item.prompt += '\n';
    item.prompt += message.at("content").get_ref<const std::string&>();
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

parse_result ReadModelBody(const router_state& state, request& item) {
  const json body = json::parse(item.exchange->Body(), nullptr, false);
  if (!body.is_object()) return BadRequest("the body is not a JSON object in UTF-8");
  const auto model = body.find("model");
  if (model == body.end() || !model->is_string()) return BadRequest("\"model\" must be a string");
  item.model = model->get<std::string>();
  const auto known = state.inventory.models.find(item.model);
  if (known == state.inventory.models.end()) {
    return parse_failure{"unknown_model", "model \"" + item.model + "\" does not exist"};
  }
  BOOST_OUTCOME_TRYV(ReadMessages(body, item));
  const json stream = body.value("stream", json(false));
  if (!stream.is_boolean()) return BadRequest("\"stream\" must be true or false");
  item.stream = stream.get<bool>();
  const json max_tokens = body.value("max_tokens", json(kDefaultMaxTokens));
  const int64_t limit = known->second.max_context_tokens;
  if (!max_tokens.is_number_integer() || max_tokens < 1 || max_tokens > limit) {
    return BadRequest("\"max_tokens\" must be an integer from 1 to " + std::to_string(limit));
  }
  item.max_tokens = max_tokens.get<uint32_t>();
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

parse_result ReadServiceBody(const router_state& state, request& item) {
  item.service = item.exchange->Path().substr(kServicePrefix.size());
  if (!state.inventory.services.contains(item.service)) {
    return parse_failure{"unknown_service", "service \"" + item.service + "\" does not exist"};
  }
  if (json::parse(item.exchange->Body(), nullptr, false).is_discarded()) {
    return BadRequest("the body is not JSON in UTF-8");
  }
  item.body = item.exchange->Body();
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

parse_result ParseRequest(const router_state& state, request& item) {
  BOOST_OUTCOME_TRYV(Authenticate(state, item));
  const bool service = item.exchange->Path().starts_with(kServicePrefix);
  BOOST_OUTCOME_TRYV(service ? ReadServiceBody(state, item) : ReadModelBody(state, item));
  BOOST_OUTCOME_TRYV(ReadDeadline(state, item));
  return ReadRepeatability(state, item);
}

}  // namespace

void HandleCallerRequest(router_state& state, const net::exchange_ptr& exchange) {
  if (state.draining) {  // the balancer was told before
    return RespondProblem(state, exchange,
                          {.reason = "draining",
                           .detail = "this entry VM is stopping",
                           .retry_after = std::chrono::seconds(1)});
  }
  if (state.version == 0) {
    return RespondProblem(state, exchange,
                          {.reason = "not_ready",
                           .detail = "no configuration yet",
                           .retry_after = std::chrono::seconds(2)});
  }
  auto item = std::make_shared<request>();
  item->exchange = exchange;
  item->arrived = MonotonicNow();
  item->number = state.next_request++;
  item->id = state.config.id + "-" + state.start_id + "-" + std::to_string(item->number);
  const parse_result parsed = ParseRequest(state, *item);
  if (parsed.has_error()) {
    return RespondProblem(state, exchange,
                          {.reason = parsed.error().reason, .detail = parsed.error().detail});
  }
  Accept(state, item);
}

}  // namespace balsambay::router
