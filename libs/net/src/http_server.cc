// HTTP server over SoupServer: listening, accepting and stopping.
#include "net/http_server.h"

#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include "details/address.h"
#include "details/server_state.h"
#include "log/log.h"

namespace balsambay::net {
namespace {

using namespace std::chrono_literals;

// Connections that may wait to be accepted.
constexpr int kAcceptQueue = 1024;
// Interval of the checks that libsoup accepts connections. It stops for good after one failure,
// such as a lack of descriptors.
constexpr duration kAcceptCheckInterval = 100ms;
// One failed check may be due to a delay of the loop.
constexpr int kMaxFailedChecks = 2;
// Share of the idle connections that are closed when there is no descriptor for a new one.
constexpr size_t kIdleDivisor = 8;

bool IsReadable(GSocket* socket) {
  return (g_socket_condition_check(socket, G_IO_IN) & G_IO_IN) != 0;
}

// Puts a descriptor that never becomes readable in the place of the listening one, because libsoup
// watches it until soup_server_disconnect(), which also closes the connections of all callers.
void CloseListener(GSocket* socket) {
  const int idle = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
  if (idle < 0) return;
  dup2(idle, g_socket_get_fd(socket));
  close(idle);
}

class soup_http_server final : public http_server {
 public:
  soup_http_server(server_limits limits, timer_service& timers, server_handlers handlers)
      : state_{std::move(limits), &timers,
               std::make_shared<const server_handlers>(std::move(handlers))},
        server_(soup_server_new("server-header", "balsambay", nullptr)) {
    g_signal_connect(server_, "request-started", G_CALLBACK(OnRequestStarted), &state_);
    soup_server_add_handler(server_, nullptr, OnRequest, &state_, nullptr);
  }

  ~soup_http_server() override {
    Cancel(*state_.timers, check_timer_);
    g_clear_object(&socket_);
    soup_server_disconnect(server_);
    g_object_unref(server_);
  }

  void SetMaxBodyBytes(size_t bytes) override { state_.limits.max_body_bytes = bytes; }

  result<void> Listen(std::string_view address) {
    GSocketAddress* parsed = ParseAddress(address);
    if (parsed == nullptr) {
      return Failure(errc::kInvalidArgument, "\"" + std::string(address) + "\" is not IP:PORT");
    }
    GError* failure = nullptr;
    const bool listening =
        soup_server_listen(server_, parsed, static_cast<SoupServerListenOptions>(0), &failure);
    g_object_unref(parsed);
    if (listening) {
      GSList* sockets = soup_server_get_listeners(server_);
      socket_ = G_SOCKET(g_object_ref(sockets->data));
      g_slist_free(sockets);
      g_socket_set_blocking(socket_, FALSE);
      // GIO queues ten connections; more that come at the same moment would have to try again after
      // a second.
      listen(g_socket_get_fd(socket_), kAcceptQueue);
      CheckAcceptingLater();
      return Success();
    }
    std::string detail = failure->message;
    g_error_free(failure);
    return Failure(errc::kUnavailable, std::move(detail));
  }

  int Port() const override {
    GSList* uris = soup_server_get_uris(server_);
    const int port = uris == nullptr ? 0 : g_uri_get_port(static_cast<GUri*>(uris->data));
    g_slist_free_full(uris, reinterpret_cast<GDestroyNotify>(g_uri_unref));
    return port;
  }

  size_t UnfinishedReplies() const override { return *state_.unfinished_replies; }

  void RefuseUnread(std::span<const header> headers, std::string_view body) override {
    for (intake* request : std::exchange(*state_.unread, {})) {
      if (!request->rejected) RespondEarly(*request, "503 Service Unavailable", headers, body);
    }
  }

  bool StopListening() override {
    GSList* listeners = soup_server_get_listeners(server_);
    bool waiting = false;
    for (const GSList* entry = listeners; entry != nullptr; entry = entry->next) {
      waiting = waiting || IsReadable(static_cast<GSocket*>(entry->data));
    }
    for (const GSList* entry = listeners; entry != nullptr && !waiting; entry = entry->next) {
      CloseListener(static_cast<GSocket*>(entry->data));
    }
    g_slist_free(listeners);
    return !waiting;
  }

 private:
  void CheckAcceptingLater() {
    check_timer_ = Subscribe(*state_.timers, MonotonicNow() + kAcceptCheckInterval,
                             [this](time_point) { CheckAccepting(); });
  }

  // A connection that waits over several checks, while none is accepted, shows that libsoup does
  // not accept any more. Listening again on the same socket leaves one unused listener behind.
  void CheckAccepting() {
    const bool waits = g_socket_condition_check(socket_, G_IO_IN) != 0;
    const bool accepted = std::exchange(started_before_, state_.started) != state_.started;
    failed_checks_ = waits && !accepted ? failed_checks_ + 1 : 0;
    const bool stopped = failed_checks_ >= kMaxFailedChecks;
    CheckAcceptingLater();
    if (!stopped) return;
    failed_checks_ = 0;
    const size_t closed = CloseOldestIdle();
    log::Log(log::level::kError, "no connection could be accepted; accepting is resumed",
             {{"closed", closed}, {"idle", state_.idle->size()}});
    GError* failure = nullptr;
    if (soup_server_listen_socket(server_, socket_, static_cast<SoupServerListenOptions>(0),
                                  &failure) != FALSE) {
      return;
    }
    log::Log(log::level::kError, "accepting connections could not be resumed",
             {{"detail", std::string(failure->message)}});
    g_error_free(failure);
  }

  // Their descriptors are free when libsoup has seen the end.
  size_t CloseOldestIdle() {
    const size_t count = (state_.idle->size() + kIdleDivisor - 1) / kIdleDivisor;
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
  timer_id check_timer_ = 0;
  int failed_checks_ = 0;  // checks in a row that found a waiting connection and none accepted
  uint64_t started_before_ = 0;
};

}  // namespace

result<std::unique_ptr<http_server>> ListenHttp(std::string_view address, server_limits limits,
                                                timer_service& timers, server_handlers handlers) {
  auto server = std::make_unique<soup_http_server>(std::move(limits), timers, std::move(handlers));
  BOOST_OUTCOME_TRYV(server->Listen(address));
  return std::unique_ptr<http_server>(std::move(server));
}

}  // namespace balsambay::net
