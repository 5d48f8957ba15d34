// One attempt of a service call: the body goes to the endpoint as it is, the reply comes back
// whole.
#include "details/service_calls.h"

#include <array>

#include "details/dispatch.h"
#include "details/requests.h"
#include "details/route_choice.h"

namespace balsambay::router {
namespace {

using attempts::attempt_failure;

constexpr size_t kMaxReplyBytes = 16 << 20;

struct service_reply {
  int status = 0;
  bool not_started = false;
  bool leaving = false;
  std::string content_type;
  std::string body;
};

void Complete(router_state& state, const request_ptr& item, uint32_t attempt,
              const service_reply& reply) {
  attempts::OnEnd(item->answer, attempt, 0);
  const std::array<net::header, 3> headers = {
      net::header{"Content-Type",
                  reply.content_type.empty() ? "application/json" : reply.content_type},
      net::header{"Balsambay-Outcome", "ran"}, net::header{"Balsambay-Request-Id", item->id}};
  item->exchange->Respond(reply.status, headers, reply.body);
  Retire(state, item);
}

void OnReplyEnd(router_state& state, const request_ptr& item, uint32_t attempt,
                const service_reply& reply, const net::call_end& end) {
  const std::string endpoint = item->route.front().endpoint;
  if (end.failure == net::call_failure::kConnect) {
    return HandleAttemptFailure(state, item, attempt, attempt_failure::kNotSent, "connect_failed",
                                endpoint, end.detail);
  }
  if (end.failure == net::call_failure::kTimeout) {
    return HandleAttemptFailure(state, item, attempt, attempt_failure::kStalled, "stalled",
                                endpoint, end.detail);
  }
  if (end.failure != net::call_failure::kNone) {
    return HandleAttemptFailure(state, item, attempt, attempt_failure::kBroken, "reset", endpoint,
                                end.detail);
  }
  if (reply.not_started) {
    return HandleAttemptFailure(state, item, attempt, attempt_failure::kRefused,
                                reply.leaving ? "refused" : "overloaded", endpoint,
                                "refused before starting");
  }
  if (reply.body.size() > kMaxReplyBytes) {
    return HandleAttemptFailure(state, item, attempt, attempt_failure::kBroken, "reset", endpoint,
                                "reply too large");
  }
  Complete(state, item, attempt, reply);
}

net::client_request MakeCall(const router_state& state, const request& item,
                             const std::string& address) {
  net::client_request call;
  call.url = "http://" + address + "/v1/call/" + item.service;
  call.headers = {{"Balsambay-Request-Id", item.id}};
  call.body = item.body.empty() ? "{}" : item.body;
  call.fresh_connection = !item.answer.repeatable;
  call.header_timeout = state.config.first_token_timeout;
  return call;
}

}  // namespace

void DispatchServiceCall(router_state& state, const request_ptr& item) {
  const inventory::endpoint* chosen = ChooseServiceEndpoint(state, *item);
  if (chosen == nullptr) {
    return GiveUp(state, item, "no_route", "no endpoint of service " + item->service + " is usable",
                  std::chrono::seconds(5));
  }
  item->route = {{chosen->id, chosen->address, 0, 0}};
  attempts::Advance(item->phase, attempts::phase_event::kDispatched);
  const uint32_t attempt = attempts::BeginAttempt(item->answer);
  CountInFlight(state, *item, 1);
  auto reply = std::make_shared<service_reply>();
  const std::weak_ptr<request> weak = item;
  net::client_callbacks callbacks;
  callbacks.on_headers = [reply](int status, const auto& get) {
    reply->status = status;
    reply->not_started = status == 503 && get("Balsambay-Not-Started") == "1";
    reply->leaving = get("Balsambay-Leaving") == "1";
    reply->content_type = get("Content-Type");
  };
  callbacks.on_data = [reply](std::string_view data) {
    // One byte above the limit is kept as the mark of a reply that is too large.
    if (reply->body.size() <= kMaxReplyBytes) reply->body += data;
  };
  callbacks.on_end = [&state, weak, reply, attempt](const net::call_end& end) {
    if (const auto held = weak.lock()) OnReplyEnd(state, held, attempt, *reply, end);
  };
  item->call = state.client->Send(MakeCall(state, *item, chosen->address), std::move(callbacks));
}

}  // namespace balsambay::router
