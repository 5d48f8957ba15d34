// Requests before they reach the handler: limits of their bodies and of the time they take.
#include <sys/socket.h>

#include <algorithm>
#include <vector>

#include "details/server_state.h"

namespace balsambay::net {
namespace {

using namespace std::chrono_literals;

constexpr const char* kExchangeKey = "balsambay-exchange";
// Time after a rejection in which the rest of a body is discarded. Closing at once would reset the
// connection, and the caller might lose the reply.
constexpr duration kDiscardTime = 1s;

// Releases the memory, not only the content.
void Free(std::string& bytes) { std::string().swap(bytes); }

void DeleteIntake(gpointer data) {
  auto* state = static_cast<intake*>(data);
  state->unread->erase(state);
  Cancel(*state->timers, state->timer);
  state->idle->erase(state->number);
  if (state->connection) state->connection->EndRequest(state->head_bytes, state->executed);
  delete state;
}

const char* StatusLine(rejection why) {
  switch (why) {
    case rejection::kTooLarge:
      return "413 Request Entity Too Large";
    case rejection::kSlowSender:
      return "408 Request Timeout";
    case rejection::kNoMemory:
      return "503 Service Unavailable";
  }
  return "500 Internal Server Error";
}

void Reject(intake& state, rejection why) {
  if (state.rejected) return;
  std::vector<header> headers;
  const std::string body = state.server->handlers->on_reject(why, headers);
  RespondEarly(state, StatusLine(why), headers, body);
}

// The body was given up for those of other requests. A share may not be destroyed in between.
void OnReclaim(intake& state) {
  Free(state.body.bytes);
  Cancel(*state.timers, state.timer);
  state.timer = Subscribe(*state.timers, MonotonicNow(),
                          [&state](time_point) { Reject(state, rejection::kNoMemory); });
}

intake* IntakeOf(SoupServerMessage* message) {
  return static_cast<intake*>(g_object_get_data(G_OBJECT(message), kExchangeKey));
}

// Makes room for a body of `bytes` bytes. Returns false if the limit of all bodies forbids it.
bool ReserveBody(request_body& body, size_t bytes) {
  if (!body.share->Resize(bytes)) return false;
  body.bytes.reserve(bytes);
  return true;
}

// Makes room for a body whose length is not known and that has `bytes` bytes so far. The capacity
// is at least doubled, so that the body is copied only a few times.
bool GrowBody(request_body& body, size_t bytes, size_t max_bytes) {
  const size_t capacity = std::max(body.share->Bytes(), body.bytes.size());
  if (bytes <= capacity) return true;
  const size_t ample = std::min(max_bytes, std::max(bytes, 2 * capacity));
  return ReserveBody(body, ample) || ReserveBody(body, bytes);
}

void OnGotChunk(SoupServerMessage* message, GBytes* chunk, gpointer) {
  intake* state = IntakeOf(message);
  if (state->rejected || state->body.share->IsReclaimed()) return;
  const size_t max_bytes = state->server->limits.max_body_bytes;
  const size_t size = state->body.bytes.size() + g_bytes_get_size(chunk);
  if (size > std::max(max_bytes, state->body.share->Bytes())) {
    return Reject(*state, rejection::kTooLarge);
  }
  if (!GrowBody(state->body, size, max_bytes)) return Reject(*state, rejection::kNoMemory);
  gsize chunk_bytes = 0;
  const auto* data = static_cast<const char*>(g_bytes_get_data(chunk, &chunk_bytes));
  state->body.bytes.append(data, chunk_bytes);
}

void OnGotHeaders(SoupServerMessage* message, gpointer) {
  intake* state = IntakeOf(message);
  state->unread->insert(state);
  state->idle->erase(state->number);
  Cancel(*state->server->timers, state->timer);
  state->timer =
      Subscribe(*state->server->timers, MonotonicNow() + state->server->limits.body_timeout,
                [state](time_point) { Reject(*state, rejection::kSlowSender); });
  SoupMessageHeaders* headers = soup_server_message_get_request_headers(message);
  const auto head_bytes = state->connection->TakeHeadBytes();
  state->head_bytes = head_bytes.value_or(0);
  const auto length = state->connection->BeginBody(
      soup_message_headers_get_encoding(headers), soup_message_headers_get_content_length(headers));
  if (!head_bytes || !length) {
    // Not a request that the caller sent as one.
    state->rejected = true;
    return ShutdownConnection(message);
  }
  if (*length > state->server->limits.max_body_bytes) return Reject(*state, rejection::kTooLarge);
  if (!ReserveBody(state->body, *length)) Reject(*state, rejection::kNoMemory);
}

void OnGotBody(SoupServerMessage* message, gpointer) {
  intake* state = IntakeOf(message);
  state->unread->erase(state);
  if (state->body.share && state->body.share->IsReclaimed()) {
    Reject(*state, rejection::kNoMemory);
  } else {
    Cancel(*state->server->timers, state->timer);
  }
}

}  // namespace

void RespondEarly(intake& state, std::string_view status, std::span<const header> headers,
                  std::string_view body) {
  state.rejected = true;
  Free(state.body.bytes);
  state.body.share.reset();
  std::string text = "HTTP/1.1 " + std::string(status) + "\r\nConnection: close\r\n";
  for (const header& entry : headers) text += entry.name + ": " + entry.value + "\r\n";
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
  // What libsoup sends after the body finds the connection closed.
  soup_server_message_set_status(state.message, SOUP_STATUS_SERVICE_UNAVAILABLE, nullptr);
  GSocket* socket = state.connection->Socket();
  send(g_socket_get_fd(socket), text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  shutdown(g_socket_get_fd(socket), SHUT_WR);
  Cancel(*state.timers, state.timer);
  state.timer = Subscribe(*state.timers, MonotonicNow() + kDiscardTime,
                          [&state](time_point) { ShutdownConnection(state.message); });
}

void OnRequestStarted(SoupServer*, SoupServerMessage* message, gpointer data) {
  auto* server = static_cast<server_state*>(data);
  if (!ConnectionOf(message)) {
    // Accepted by libsoup itself, on the port of soup_http_server::KeepConnections().
    if (GSocket* socket = soup_server_message_get_socket(message))
      shutdown(g_socket_get_fd(socket), SHUT_RDWR);
    return;
  }
  soup_message_body_set_accumulate(soup_server_message_get_request_body(message), FALSE);
  auto* state = new intake{.server = server,
                           .timers = server->timers,
                           .message = message,
                           .body = {},
                           .unread = server->unread,
                           .number = ++server->started,
                           .idle = server->idle,
                           .connection = ConnectionOf(message)};
  server->idle->emplace(state->number, state);
  state->body.share =
      std::make_unique<buffer_share>(server->limits.body_buffers, [state] { OnReclaim(*state); });
  g_object_set_data_full(G_OBJECT(message), kExchangeKey, state, DeleteIntake);
  state->timer = Subscribe(*server->timers, MonotonicNow() + server->limits.idle_timeout,
                           [state](time_point) { ShutdownConnection(state->message); });
  g_signal_connect(message, "got-headers", G_CALLBACK(OnGotHeaders), nullptr);
  g_signal_connect(message, "got-chunk", G_CALLBACK(OnGotChunk), nullptr);
  g_signal_connect(message, "got-body", G_CALLBACK(OnGotBody), nullptr);
}

void OnRequest(SoupServer*, SoupServerMessage* message, const char*, GHashTable*, gpointer data) {
  auto* server = static_cast<server_state*>(data);
  intake* state = IntakeOf(message);
  if (state == nullptr || state->rejected || state->connection->IsEvicted()) return;
  state->body.share->Pin();
  state->executed = true;
  state->connection->BeginExecution();
  server->handlers->on_request(StartExchange(message, std::move(state->body), *server));
}

}  // namespace balsambay::net
