// One synchronous HTTP request.
#pragma once

#include <string>

#include "base/result.h"
#include "base/time.h"

namespace balsambay::ctl {

struct http_request {
  std::string method;   // "GET" or "POST"
  std::string address;  // IP:PORT
  std::string path;     // with the query, percent-encoded
  std::string token;    // bearer token; empty sends none
  std::string body;     // JSON; sent when not empty
  duration timeout{};
};

struct http_reply {
  unsigned status = 0;
  std::string body;
};

// Proxies and redirects are not followed, so that the token reaches only `address`. Errors:
// kUnavailable when nothing was sent, kUnknownOutcome when the connection failed or timed out after
// the request was started, or when the reply is malformed.
result<http_reply> Send(const http_request& request);

}  // namespace balsambay::ctl
