// Sends table calls as JSON over HTTP.
#include "details/table_client.h"

#include <nlohmann/json.hpp>

namespace balsambay::router {
namespace {

using nlohmann::json;

constexpr duration kTableTimeout = std::chrono::seconds(2);
constexpr size_t kMaxTableReplyBytes = size_t{64} << 20;  // a shard with its stored results

template <class Decoded>
lease::table_outcome ToOutcome(Decoded decoded) {
  if (decoded.has_error()) return lease::unknown_outcome{};
  return std::move(decoded).value();
}

lease::table_outcome DecodeReply(bool is_transaction, const net::whole_reply& reply) {
  if (reply.end.failure != net::call_failure::kNone || reply.status != 200)
    return lease::unknown_outcome{};
  const json body = json::parse(reply.body, nullptr, false);
  if (is_transaction) return ToOutcome(table::CommitReplyFromJson(body));
  return ToOutcome(table::ReadReplyFromJson(body));
}

}  // namespace

void SendTableCall(router_state& state, const lease::table_call& call,
                   std::function<void(const lease::table_outcome&)> done) {
  const bool is_transaction = std::holds_alternative<table::transaction>(call.request);
  net::client_request request;
  request.url = "http://" + state.config.platform +
                (is_transaction ? "/v1/table/transact" : "/v1/table/read");
  request.body =
      std::visit([](const auto& message) { return table::ToJson(message).dump(); }, call.request);
  request.header_timeout = kTableTimeout;
  net::Fetch(*state.client, std::move(request),
             [is_transaction, done = std::move(done)](const net::whole_reply& reply) {
               done(DecodeReply(is_transaction, reply));
             },
             {.body_bytes = kMaxTableReplyBytes});
}

}  // namespace balsambay::router
