// Replies of the gateway itself to requests that it refuses or gives up.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "details/state.h"

namespace balsambay::gateway {

// Final reply of the gateway to a request that it refuses or gives up.
struct refusal {
  int status = 503;
  std::string_view reason;
  duration retry_after{0};  // 0: no Retry-After header
};

// Value of the header, in seconds.
std::string RetryAfterText(duration value);

void SendReply(gateway_state& state, const net::exchange_ptr& exchange, int status,
               std::vector<net::header> headers, std::string_view body);

std::vector<net::header> RefusalHeaders(const refusal& refusal);

// Counts the refusal and sends it.
void SendRefusal(gateway_state& state, const net::exchange_ptr& exchange, const refusal& refusal);

// Random time, so that refused callers do not all return at once.
duration RandomRetryAfter(gateway_state& state);

// If all endpoints have asked not to be called for a while, callers are told to retry when the
// first of these times ends, plus a small random time, so that they do not all return at once.
duration EndpointRetryAfter(gateway_state& state, const call& request);

// Reply to a request that was rejected before its body had arrived.
refusal RefusalOf(gateway_state& state, net::rejection why);

}  // namespace balsambay::gateway
