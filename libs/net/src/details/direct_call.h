// One HTTP call on a connection of its own.
#pragma once

#include <memory>

#include "net/http_client.h"

namespace balsambay::net {

// Unlike a call through libsoup, it tells a chunked reply that was cut at a chunk's end from a
// complete one, and it takes one read for each piece of a stream. `on_malformed` has to outlive the
// call.
std::shared_ptr<client_call> SendDirect(timer_service& timers,
                                        const malformed_reply_handler& on_malformed,
                                        client_request request, client_callbacks callbacks);

}  // namespace balsambay::net
