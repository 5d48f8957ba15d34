// HTTP server over SoupServer: listening, accepting and stopping.
#include "net/http_server.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>

#include "details/address.h"
#include "details/server_state.h"
#include "log/log.h"

namespace balsambay::net {
namespace {

using namespace std::chrono_literals;

// Connections that may wait to be accepted.
constexpr int kAcceptQueue = 1024;
// Accepted in one turn of the loop, so that the requests of others are not held up.
constexpr int kMaxAcceptedAtOnce = 64;
// Time until connections are accepted again after a failure, such as a lack of descriptors.
constexpr duration kAcceptPause = 100ms;
// Share of the idle connections that are closed when there is no descriptor for a new one.
constexpr size_t kIdleDivisor = 8;
constexpr std::string_view kTooManyConnections =
    "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

bool IsReadable(GSocket* socket) {
  return (g_socket_condition_check(socket, G_IO_IN) & G_IO_IN) != 0;
}

std::string AddressText(GSocketAddress* address) {
  gchar* text =
      g_inet_address_to_string(g_inet_socket_address_get_address(G_INET_SOCKET_ADDRESS(address)));
  std::string out = text;
  g_free(text);
  return out;
}

class soup_http_server final : public http_server {
 public:
  soup_http_server(server_limits limits, timer_service& timers, server_handlers handlers)
      : state_{std::move(limits), &timers,
               std::make_shared<const server_handlers>(std::move(handlers))},
        server_(soup_server_new("server-header", "balsambay", nullptr)) {
    connection_set& connections = *state_.connections;
    connections.limits = state_.limits;
    connections.timers = &timers;
    connections.handlers = state_.handlers;
    g_signal_connect(server_, "request-started", G_CALLBACK(OnRequestStarted), &state_);
    soup_server_add_handler(server_, nullptr, OnRequest, &state_, nullptr);
  }

  ~soup_http_server() override {
    Cancel(*state_.timers, accept_timer_);
    StopWatching();
    g_clear_object(&socket_);
    soup_server_disconnect(server_);
    g_object_unref(server_);
  }

  void SetMaxBodyBytes(size_t bytes) override { state_.limits.max_body_bytes = bytes; }

  void SetHeaderLimits(size_t max_bytes, duration timeout) override {
    state_.connections->limits.max_header_bytes = max_bytes;
    state_.connections->limits.header_timeout = timeout;
  }

  void SetMaxConnections(size_t count) override { state_.limits.max_connections = count; }

  result<void> Listen(std::string_view address) {
    GSocketAddress* parsed = ParseAddress(address);
    if (parsed == nullptr) {
      return Failure(errc::kInvalidArgument, "\"" + std::string(address) + "\" is not IP:PORT");
    }
    GError* failure = nullptr;
    socket_ = g_socket_new(g_socket_address_get_family(parsed), G_SOCKET_TYPE_STREAM,
                           G_SOCKET_PROTOCOL_TCP, &failure);
    bool listening = socket_ != nullptr;
    if (listening) {
      // More connections that come at the same moment would have to try again after a second.
      g_socket_set_listen_backlog(socket_, kAcceptQueue);
      g_socket_set_blocking(socket_, FALSE);
      listening = g_socket_bind(socket_, parsed, TRUE, &failure) != FALSE &&
                  g_socket_listen(socket_, &failure) != FALSE;
    }
    g_object_unref(parsed);
    if (listening && KeepConnections(&failure)) {
      Watch();
      return Success();
    }
    std::string detail = failure->message;
    g_error_free(failure);
    return Failure(errc::kUnavailable, std::move(detail));
  }

  int Port() const override {
    GSocketAddress* address = g_socket_get_local_address(socket_, nullptr);
    if (address == nullptr) return 0;
    const int port = g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(address));
    g_object_unref(address);
    return port;
  }

  size_t UnfinishedReplies() const override { return *state_.unfinished_replies; }

  void RefuseUnread(std::span<const header> headers, std::string_view body) override {
    for (intake* request : std::exchange(*state_.unread, {})) {
      if (!request->rejected) RespondEarly(*request, "503 Service Unavailable", headers, body);
    }
  }

  bool StopListening() override {
    if (IsReadable(socket_)) return false;
    Cancel(*state_.timers, accept_timer_);
    StopWatching();
    g_socket_close(socket_, nullptr);
    return true;
  }

 private:
  // libsoup closes each connection after its first reply unless the server has a listener. This one
  // is on a port of the loopback interface that nobody is told; what connects to it is dropped
  // (OnRequestStarted).
  bool KeepConnections(GError** failure) {
    GSocket* unused =
        g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, failure);
    if (unused == nullptr) return false;
    GInetAddress* loopback = g_inet_address_new_loopback(G_SOCKET_FAMILY_IPV4);
    GSocketAddress* any_port = g_inet_socket_address_new(loopback, 0);
    g_socket_set_listen_backlog(unused, 1);
    const bool kept =
        g_socket_bind(unused, any_port, FALSE, failure) != FALSE &&
        g_socket_listen(unused, failure) != FALSE &&
        soup_server_listen_socket(server_, unused, SoupServerListenOptions{}, failure) != FALSE;
    g_object_unref(any_port);
    g_object_unref(loopback);
    g_object_unref(unused);
    return kept;
  }

  void Watch() {
    watch_ = g_socket_create_source(socket_, G_IO_IN, nullptr);
    g_source_set_callback(watch_, G_SOURCE_FUNC(OnConnection), this, nullptr);
    g_source_attach(watch_, nullptr);
  }

  void StopWatching() {
    if (watch_ == nullptr) return;
    g_source_destroy(watch_);
    g_source_unref(watch_);
    watch_ = nullptr;
  }

  static gboolean OnConnection(GSocket*, GIOCondition, gpointer data) {
    auto* self = static_cast<soup_http_server*>(data);
    for (int i = 0; i < kMaxAcceptedAtOnce; ++i) {
      GError* failure = nullptr;
      GSocket* accepted = g_socket_accept(self->socket_, nullptr, &failure);
      if (accepted != nullptr) {
        self->Accept(accepted);
        continue;
      }
      const bool none = g_error_matches(failure, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) != FALSE;
      if (!none) self->PauseAccepting(failure->message);
      g_error_free(failure);
      break;
    }
    return G_SOURCE_CONTINUE;
  }

  // Takes over the reference to `socket`.
  void Accept(GSocket* socket) {
    GSocketAddress* remote = g_socket_get_remote_address(socket, nullptr);
    GSocketAddress* local = g_socket_get_local_address(socket, nullptr);
    std::string address = remote == nullptr ? std::string() : AddressText(remote);
    if (remote == nullptr || local == nullptr || !HasRoomFor(address)) {
      if (remote != nullptr) {
        send(g_socket_get_fd(socket), kTooManyConnections.data(), kTooManyConnections.size(),
             MSG_DONTWAIT | MSG_NOSIGNAL);
        ReportClosed(*state_.connections, close_reason::kConnections);
      }
      g_object_unref(socket);
    } else {
      g_socket_set_blocking(socket, FALSE);
      // Small pieces of a stream must not wait for the acknowledgement of earlier ones.
      g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, TRUE, nullptr);
      const auto connection =
          std::make_shared<client_connection>(state_.connections, socket, std::move(address));
      GIOStream* stream = MakeStream(connection);
      GSocketAddress* tagged = TagAddress(remote, connection);
      soup_server_accept_iostream(server_, stream, local, tagged, nullptr);
      g_object_unref(tagged);
      g_object_unref(stream);
    }
    g_clear_object(&remote);
    g_clear_object(&local);
  }

  // Closes the oldest idle connection if there are too many; its place is free a little later.
  bool HasRoomFor(const std::string& address) {
    const connection_set& connections = *state_.connections;
    const server_limits& limits = state_.limits;
    const auto same = connections.open_by_address.find(address);
    if (limits.max_connections_per_address > 0 && same != connections.open_by_address.end() &&
        same->second >= limits.max_connections_per_address) {
      return false;
    }
    if (limits.max_connections == 0 || connections.open < limits.max_connections) return true;
    if (CloseOldestIdle(1) == 0) return false;
    ReportClosed(connections, close_reason::kConnections);
    return true;
  }

  void PauseAccepting(const char* detail) {
    const size_t idle = state_.idle->size();
    const size_t closed = CloseOldestIdle((idle + kIdleDivisor - 1) / kIdleDivisor);
    log::Log(log::level::kError, "no connection could be accepted; accepting is resumed",
             {{"closed", closed}, {"idle", state_.idle->size()}, {"detail", std::string(detail)}});
    StopWatching();
    accept_timer_ =
        Subscribe(*state_.timers, MonotonicNow() + kAcceptPause, [this](time_point) { Watch(); });
  }

  // Their descriptors are free when libsoup has seen the end.
  size_t CloseOldestIdle(size_t most) {
    const size_t count = std::min(most, state_.idle->size());
    auto next = state_.idle->begin();
    for (size_t i = 0; i < count; ++i) {
      const intake* oldest = next->second;
      next = state_.idle->erase(next);
      ShutdownConnection(oldest->message);
    }
    return count;
  }

  server_state state_;
  SoupServer* server_;
  GSocket* socket_ = nullptr;  // that the server listens on
  GSource* watch_ = nullptr;   // of `socket_`; null while accepting is paused
  timer_id accept_timer_ = 0;
};

}  // namespace

std::string_view ToString(close_reason why) {
  switch (why) {
    case close_reason::kHeaderBytes:
      return "header_bytes";
    case close_reason::kHeaderLines:
      return "header_lines";
    case close_reason::kEmptyLines:
      return "empty_lines";
    case close_reason::kSlowHeader:
      return "slow_header";
    case close_reason::kHeaderMemory:
      return "header_memory";
    case close_reason::kChunks:
      return "chunks";
    case close_reason::kConnections:
      return "connections";
    case close_reason::kRequestLine:
      return "request_line";
    case close_reason::kFieldLine:
      return "field_line";
    case close_reason::kContentLength:
      return "content_length";
    case close_reason::kTransferEncoding:
      return "transfer_encoding";
    case close_reason::kRepeatedField:
      return "repeated_field";
    case close_reason::kFraming:
      return "framing";
  }
  return "unknown";
}

std::shared_ptr<head_budget> MakeHeadBudget(size_t bytes) {
  return std::make_shared<head_budget>(bytes);
}

void SetLimit(head_budget& budget, size_t bytes) { budget.limit_bytes = bytes; }

size_t UsedBytes(const head_budget& budget) { return budget.used_bytes; }

result<std::unique_ptr<http_server>> ListenHttp(std::string_view address, server_limits limits,
                                                timer_service& timers, server_handlers handlers) {
  auto server = std::make_unique<soup_http_server>(std::move(limits), timers, std::move(handlers));
  BOOST_OUTCOME_TRYV(server->Listen(address));
  return std::unique_ptr<http_server>(std::move(server));
}

}  // namespace balsambay::net
