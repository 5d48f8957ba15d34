// HTTP server on the loop. Each request becomes an exchange that is answered whole or as a stream,
// at once or later. Requests that break a limit are answered here and never reach the handler.
#pragma once

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/buffer_budget.h"
#include "base/result.h"
#include "base/timer_service.h"

namespace balsambay::net {

struct head_budget;

// A common limit of what the header sections of all requests hold, as the parser allocates it.
std::shared_ptr<head_budget> MakeHeadBudget(size_t bytes);
void SetLimit(head_budget& budget, size_t bytes);
size_t UsedBytes(const head_budget& budget);

struct header {
  std::string name;
  std::string value;
};

struct server_limits {
  size_t max_body_bytes = 1 << 20;
  duration body_timeout = std::chrono::seconds(10);  // from the request's headers to its whole body
  duration idle_timeout = std::chrono::seconds(120);  // for the headers of the next request
  // Limits of one header section, and of the trailers of a chunked body.
  size_t max_header_bytes = 65536;
  size_t max_header_lines = 32768;
  duration header_timeout = std::chrono::seconds(10);  // from its first byte to its end; 0: none
  // Common limit of the header sections of all requests; null: none.
  std::shared_ptr<head_budget> head_buffers = nullptr;
  // Open connections in total and of one address; 0: no limit. At the limit of the total, the
  // connection that waits longest for the headers of a request is closed for a new one.
  size_t max_connections = 0;
  size_t max_connections_per_address = 0;
  // Common limit of the bodies of all requests; null: none. A body that has arrived is not
  // reclaimed.
  std::shared_ptr<buffer_budget> body_buffers = nullptr;
  // Common limit of all replies that callers have not taken yet; null: none.
  std::shared_ptr<buffer_budget> reply_buffers = nullptr;
  // Callers that take no byte of a waiting reply for this time are disconnected; 0: never.
  duration write_timeout{0};
  // Names of header fields that a request may have once only, because readers could take different
  // ones of several. Host and the fields of the framing are always among them.
  std::vector<std::string> single_fields = {};
};

// Why a request was answered before it reached the handler: 413, 408, and 503 if there is no memory
// for its body.
enum class rejection { kTooLarge, kSlowSender, kNoMemory };

// Why a connection was closed before the caller had taken its reply.
enum class cut_reason { kNoMemory, kSlowReader };

// Why a connection was refused, or closed while no request on it was executing.
enum class close_reason : uint8_t {
  kHeaderBytes,   // a header section over its limit; 431
  kHeaderLines,   // 431
  kEmptyLines,    // before a request; 400
  kSlowHeader,    // 408
  kHeaderMemory,  // no room for the header section, 503; or closed for that of another connection
  kChunks,        // a malformed chunked body, or trailers or a chunk extension over a limit; 400
  // Malformed header sections (RFC 9112); 400. Nothing after them is read as a request.
  kRequestLine,
  kFieldLine,
  kContentLength,
  kTransferEncoding,
  kRepeatedField,  // that may stand once only
  kFraming,        // the parser found another end of the request; closed without a reply
  kConnections,    // too many connections; 503, or closed for a new one
};

std::string_view ToString(close_reason why);

// One request and its reply. After the reply has ended or the caller has hung up, calls have no
// effect.
class exchange {
 public:
  virtual ~exchange() = default;

  virtual std::string_view Method() const = 0;
  virtual std::string_view Path() const = 0;
  virtual std::string_view Query() const = 0;  // without '?', may be empty
  // Value of a request header, empty when absent; several values are joined by ", " (RFC 9110,
  // 5.3). Names are case-insensitive.
  virtual std::string_view Header(const char* name) const = 0;
  // All request headers in the order received; the views are valid during the call of `fn`.
  virtual void ForEachHeader(
      const std::function<void(std::string_view name, std::string_view value)>& fn) const = 0;
  // Valid until the reply has ended.
  virtual std::string_view Body() const = 0;

  // Sends a whole reply.
  virtual void Respond(int status, std::span<const header> headers, std::string_view body) = 0;

  // Starts a chunked reply; then any number of Write, then End.
  virtual void BeginStream(int status, std::span<const header> headers) = 0;
  virtual void Write(std::string_view data) = 0;
  virtual void End() = 0;
  // Closes the connection without completing the reply, once the bytes written so far are sent.
  virtual void Abort() = 0;

  // Bytes written but not yet taken by the socket. The owner stops producing while this is large.
  virtual size_t PendingBytes() const = 0;

  virtual bool IsOpen() const = 0;

  // Called at most once, when the caller closes its connection before the reply has ended.
  std::function<void()> on_hangup;
  // Called when PendingBytes() has fallen to zero after being positive.
  std::function<void()> on_drained;
};

using exchange_ptr = std::shared_ptr<exchange>;

class http_server {
 public:
  virtual ~http_server() = default;
  virtual int Port() const = 0;
  // Applies to requests whose headers have not arrived yet.
  virtual void SetMaxBodyBytes(size_t bytes) = 0;
  // Apply to header sections that are not complete yet.
  virtual void SetHeaderLimits(size_t max_bytes, duration timeout) = 0;
  // Applies to new connections.
  virtual void SetMaxConnections(size_t count) = 0;
  // Replies that have been started, or are still due, and are not yet in the socket's buffer.
  virtual size_t UnfinishedReplies() const = 0;
  // Answers 503 with `body` and the headers to each request that has not arrived whole, and closes
  // its connection for writing. The handler gets none of them.
  virtual void RefuseUnread(std::span<const header> headers, std::string_view body) = 0;
  // Accepts no further connections; open ones go on. Returns false and does nothing if a connection
  // waits to be accepted. Port() must not be called afterwards.
  virtual bool StopListening() = 0;
};

struct server_handlers {
  std::function<void(exchange_ptr)> on_request;
  // Builds the reply to a rejected request; the server sends it at once, even if the body has not
  // arrived, and closes the connection.
  std::function<std::string(rejection, std::vector<header>&)> on_reject;
  // Called when the server closes a connection although `bytes` of a reply were not taken. May not
  // use any exchange. Optional.
  std::function<void(cut_reason, size_t bytes)> on_cut;
  // Called for each connection that is refused, or closed while no request on it is executing.
  // `field`: name of the header field at fault; may be empty. May not use any exchange. Optional.
  std::function<void(close_reason, std::string_view field)> on_closed;
};

// Listens on `address` (IP:PORT, port 0 for any). Errors: kInvalidArgument for a bad address,
// kUnavailable when the address is in use.
result<std::unique_ptr<http_server>> ListenHttp(std::string_view address, server_limits limits,
                                                timer_service& timers, server_handlers handlers);

}  // namespace balsambay::net
