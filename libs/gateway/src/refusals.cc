// Status, headers and retry times of the gateway's own replies.
#include "details/refusals.h"

#include <array>
#include <cstdio>

#include "details/fleet.h"

namespace balsambay::gateway {
namespace {

using std::chrono_literals::operator""ms;

// Callers that were refused for lack of room are told to retry after the first time plus a random
// part of the second. The first of the running requests end within this time.
constexpr duration kRoomRetryAfter = 600ms;
constexpr duration kRoomRetrySpread = 1400ms;
// Time after which a missing endpoint has usually returned or been replaced.
constexpr duration kEndpointRetryAfter = 1000ms;
// Range of the random time that is added to the retry time that an endpoint asked for.
constexpr duration kRefusalRetrySpread = 200ms;

}  // namespace

std::string RetryAfterText(duration value) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.2f", Seconds(value));
  return text.data();
}

void SendReply(gateway_state& state, const net::exchange_ptr& exchange, int status,
               std::vector<net::header> headers, std::string_view body) {
  if (state.unready) headers.push_back({"Connection", "close"});
  exchange->Respond(status, headers, body);
}

std::vector<net::header> RefusalHeaders(const refusal& refusal) {
  std::vector<net::header> headers = {{"Content-Type", "text/plain"}};
  if (refusal.retry_after > duration::zero()) {
    headers.push_back({"Retry-After", RetryAfterText(refusal.retry_after)});
  }
  return headers;
}

void SendRefusal(gateway_state& state, const net::exchange_ptr& exchange, const refusal& refusal) {
  CountRefusal(state.metrics, refusal.reason);
  SendReply(state, exchange, refusal.status, RefusalHeaders(refusal),
            std::string(refusal.reason) + "\n");
}

duration RandomRetryAfter(gateway_state& state) {
  return kRoomRetryAfter +
         duration(static_cast<duration::rep>(
             UniformUnit(state.rng) * static_cast<double>(duration(kRoomRetrySpread).count())));
}

duration EndpointRetryAfter(gateway_state& state, const call& request) {
  const time_point now = MonotonicNow();
  const auto room_at = EarliestRetryTime(state, request.service, now);
  if (!room_at) return kEndpointRetryAfter;
  const auto spread = static_cast<duration::rep>(
      UniformUnit(state.rng) * static_cast<double>(duration(kRefusalRetrySpread).count()));
  return *room_at - now + duration(spread);
}

refusal RefusalOf(gateway_state& state, net::rejection why) {
  switch (why) {
    case net::rejection::kTooLarge:
      return {413, "body_too_large"};
    case net::rejection::kSlowSender:
      return {408, "body_too_slow"};
    case net::rejection::kNoMemory:
      break;
  }
  return {503, "no_memory", RandomRetryAfter(state)};
}

}  // namespace balsambay::gateway
