// HTTP client on the loop. Its main promise: a failed call says whether any byte of the request can
// have reached the peer, which decides between "not run" and "unknown". Each call has a connection
// of its own, so that no answer can be that of an earlier call.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/timer_service.h"
#include "net/http_server.h"

namespace balsambay::net {

struct client_request {
  std::string method = "POST";
  std::string url;  // http://IP:PORT/PATH
  std::vector<header> headers;
  std::string body;  // sent as application/json unless `headers` name a Content-Type
  duration header_timeout = std::chrono::seconds(10);  // until the reply's headers
  // Until the first byte is written; nothing has reached the peer before.
  duration connect_timeout = duration::max();
  // Most bytes of the reply that are received at once, and so after PauseReading(); at most 64 KB.
  size_t read_bytes = 65536;
};

// Head of a reply, in the order received.
struct reply_head {
  int status = 0;
  std::vector<header> headers;
  // Value of a header, empty when absent. Names are case-insensitive.
  std::string_view Get(std::string_view name) const;
};

enum class call_failure {
  kNone,
  kConnect,   // no byte of the request was written
  kTimeout,   // headers did not come in time; the request may have arrived
  kBroken,    // the connection broke, or the reply is malformed, after the request was started
  kNoSocket,  // this process has no socket left; nothing was sent, nothing is known of the peer
};

struct call_end {
  call_failure failure = call_failure::kNone;
  std::string detail;
};

class client_call {
 public:
  virtual ~client_call() = default;
  // Closes the connection; no callback runs afterwards.
  virtual void Cancel() = 0;
  // Stops reading the reply body, so that the peer's sending is slowed down by TCP.
  virtual void PauseReading() = 0;
  virtual void ResumeReading() = 0;
};

struct client_callbacks {
  std::function<void(const reply_head& head)> on_headers;
  std::function<void(std::string_view data)> on_data;
  std::function<void(const call_end&)> on_end;  // exactly once, unless cancelled
};

class http_client {
 public:
  virtual ~http_client() = default;
  virtual std::shared_ptr<client_call> Send(client_request request, client_callbacks callbacks) = 0;
  // Of the loop that the calls run on.
  virtual timer_service& Timers() = 0;
};

// Called for each reply that breaks the grammar of HTTP, before its call ends as kBroken. `reason`:
// "status_line", "field_name", "field_line", "chunk" or "other".
using malformed_reply_handler =
    std::function<void(std::string_view address, std::string_view reason, std::string_view detail)>;

std::unique_ptr<http_client> MakeHttpClient(timer_service& timers,
                                            malformed_reply_handler on_malformed = nullptr);

struct whole_reply {
  call_end end;
  int status = 0;
  reply_head head;
  std::string body;
};

// Limits of a reply that is collected whole. One that breaks a limit ends as kBroken.
struct fetch_limits {
  size_t body_bytes = size_t{64} << 20;
  duration body_time = std::chrono::seconds(10);  // from the headers to the end of the body
};

// Sends a request and collects the whole reply.
std::shared_ptr<client_call> Fetch(http_client& client, client_request request,
                                   std::function<void(const whole_reply&)> done,
                                   const fetch_limits& limits = {});

}  // namespace balsambay::net
