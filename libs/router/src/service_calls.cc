// One attempt of a service call: the body is sent to the endpoint unchanged, and the reply is
// buffered and passed to the caller as a whole.
#include "details/service_calls.h"

#include <algorithm>
#include <array>

#include "details/dispatch.h"
#include "details/endpoint_monitor.h"
#include "details/planning.h"
#include "details/requests.h"
#include "details/stored_result.h"

namespace balsambay::router {
namespace {

using admission::retry_reason;
using attempts::attempt_failure;

constexpr size_t kMaxReplyBytes = 16 << 20;
constexpr duration kNoRouteRetryAfter = std::chrono::seconds(5);

struct service_reply {
  int status = 0;
  bool not_started = false;
  bool leaving = false;
  bool ends_with_connection = false;  // has neither a length nor chunks
  std::string content_type;
};

// Whether only the end of the connection marks the end of the reply.
bool EndsWithConnection(const net::reply_head& head) {
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  const bool has_body = head.status != kNoContent && head.status != kNotModified;
  return has_body && head.Get("Content-Length").empty() && head.Get("Transfer-Encoding").empty();
}

void FinishCall(router_state& state, const request_ptr& request, uint32_t attempt,
                const service_reply& reply) {
  const std::string& body = request->reply_body;
  const open_attempt* const current = FindOpenAttempt(*request, attempt);
  if (current == nullptr) return;
  attempts::OnEnd(request->response, attempt, 0);
  ReportEvidence(state, current->route.front().endpoint, health::evidence_kind::kSuccess,
                 MonotonicNow() - current->started);
  const std::string type = reply.content_type.empty() ? "application/json" : reply.content_type;
  const std::array<net::header, 3> headers = {net::header{"Content-Type", type},
                                              net::header{"Balsambay-Outcome", "ran"},
                                              net::header{"Balsambay-Request-Id", request->id}};
  request->exchange->Respond(reply.status, headers, body);
  CompleteRequest(state, request,
                  request->submission ? EncodeServiceResult(reply.status, type, body) : "");
}

std::optional<attempt_error> ToAttemptError(const service_reply& reply, bool is_empty,
                                            const net::call_end& end) {
  switch (end.failure) {
    case net::call_failure::kConnect:
    case net::call_failure::kNoSocket:
      return attempt_error{attempt_failure::kNotSent, retry_reason::kConnectFailed, "", end.detail};
    case net::call_failure::kTimeout:
      return attempt_error{attempt_failure::kStalled, retry_reason::kStalled, "", end.detail};
    case net::call_failure::kBroken:
      return attempt_error{attempt_failure::kBroken, retry_reason::kReset, "", end.detail};
    case net::call_failure::kNone:
      break;
  }
  if (reply.not_started) {
    return attempt_error{attempt_failure::kRefused,
                         reply.leaving ? retry_reason::kRefused : retry_reason::kOverloaded, "",
                         "refused before starting"};
  }
  // The end of the connection right after the head does not show that the endpoint has sent all.
  if (reply.ends_with_connection && is_empty)
    return attempt_error{attempt_failure::kBroken, retry_reason::kReset, "",
                         "reply without a length ended after its head"};
  return std::nullopt;
}

void FailCall(router_state& state, const request_ptr& request, uint32_t attempt,
              attempt_error error) {
  const open_attempt* const current = FindOpenAttempt(*request, attempt);
  if (current == nullptr) return;
  error.endpoint = current->route.front().endpoint;
  HandleAttemptFailure(state, request, attempt, error);
}

void OnReplyData(router_state& state, const request_ptr& request, uint32_t attempt,
                 std::string_view data) {
  std::string& body = request->reply_body;
  const size_t needed = body.size() + data.size();
  if (needed > kMaxReplyBytes) {
    return FailCall(state, request, attempt,
                    {attempt_failure::kBroken, retry_reason::kReset, "", "reply too large"});
  }
  if (needed > body.capacity()) {
    const size_t capacity = std::min(std::max(needed, 2 * body.capacity()), kMaxReplyBytes);
    if (!HoldAnswer(state, request, capacity)) return;
    body.reserve(capacity);
  }
  body += data;
}

void OnReplyEnd(router_state& state, const request_ptr& request, uint32_t attempt,
                const service_reply& reply, const net::call_end& end) {
  if (request->buffer->IsReclaimed()) return FailForMemory(state, request);
  const auto error = ToAttemptError(reply, request->reply_body.empty(), end);
  if (error) return FailCall(state, request, attempt, *error);
  FinishCall(state, request, attempt, reply);
}

net::client_request MakeCall(const caller_request& request, const open_attempt& attempt) {
  net::client_request call;
  call.url = "http://" + attempt.route.front().address + "/v1/call/" + request.service;
  call.headers = {{"Balsambay-Request-Id", request.id}};
  const std::string_view body = request.exchange->Body();
  call.body = body.empty() ? "{}" : body;
  // The only limit on the time to the reply headers is the caller's deadline.
  call.header_timeout = request.deadline - attempt.started;
  return call;
}

net::client_callbacks MakeCallbacks(router_state& state, const request_ptr& request) {
  auto reply = std::make_shared<service_reply>();
  const std::weak_ptr<caller_request> weak = request;
  net::client_callbacks callbacks;
  callbacks.on_headers = [reply](const net::reply_head& head) {
    reply->status = head.status;
    reply->not_started = head.status == 503 && head.Get("Balsambay-Not-Started") == "1";
    reply->leaving = head.Get("Balsambay-Leaving") == "1";
    reply->ends_with_connection = EndsWithConnection(head);
    reply->content_type = head.Get("Content-Type");
  };
  const uint32_t attempt = request->response.attempt;
  callbacks.on_data = [&state, weak, attempt](std::string_view data) {
    if (const auto locked = weak.lock()) OnReplyData(state, locked, attempt, data);
  };
  callbacks.on_end = [&state, weak, reply, attempt](const net::call_end& end) {
    if (const auto locked = weak.lock()) OnReplyEnd(state, locked, attempt, *reply, end);
  };
  return callbacks;
}

}  // namespace

void DispatchServiceCall(router_state& state, const request_ptr& request) {
  const inventory::endpoint* chosen = ChooseServiceEndpoint(state, *request);
  if (chosen == nullptr) {
    return FailRequest(state, request, "no_route",
                       "no endpoint of service " + request->service + " is usable",
                       kNoRouteRetryAfter);
  }
  open_attempt* const attempt =
      BeginDispatch(state, request, {{chosen->id, chosen->address, 0, 0}});
  if (attempt == nullptr) return;
  request->reply_body.clear();
  attempt->call = state.client->Send(MakeCall(*request, *attempt), MakeCallbacks(state, request));
}

}  // namespace balsambay::router
