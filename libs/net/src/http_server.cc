// HTTP server over SoupServer. A reply is kept open by pausing the message; chunks are appended
// from loop callbacks only: a handler of "wrote-chunk" that appends at once never gives the loop
// back (seen: all other requests together fell to 5 a second with 50 streams open).
#include "net/http_server.h"

#include <libsoup/soup.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/eventfd.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <map>
#include <set>
#include <vector>

#include "details/address.h"
#include "log/log.h"

namespace balsambay::net {
namespace {

using namespace std::chrono_literals;

constexpr const char* kExchangeKey = "balsambay-exchange";
// Time after a rejection in which the rest of a body is discarded. Closing at once would reset the
// connection, and the caller might lose the reply.
constexpr duration kDiscardTime = 1s;
// Up to this size, bytes of a reply do not count toward the common limit, so that refusals and
// events for callers that read them are sent even when there is no room.
constexpr size_t kUncountedReplyBytes = 16384;
// Checks of a waiting reply within `write_timeout`.
constexpr int kWriteChecks = 4;

// Connections that may wait to be accepted.
constexpr int kAcceptQueue = 1024;
// Interval of the checks that libsoup accepts connections. It stops for good after one failure,
// such as a lack of descriptors.
constexpr duration kAcceptCheckInterval = 100ms;
// One failed check may be due to a delay of the loop.
constexpr int kMaxFailedChecks = 2;
// Share of the idle connections that are closed when there is no descriptor for a new one.
constexpr size_t kIdleDivisor = 8;

struct intake;
using idle_map = std::map<uint64_t, intake*>;  // by the number of the connection's request

struct server_state {
  server_limits limits;
  timer_service* timers = nullptr;
  std::shared_ptr<const server_handlers> handlers;
  // Shared with the messages and exchanges, which may outlive the server.
  // Requests whose head has arrived, without the whole body.
  std::shared_ptr<std::set<intake*>> unread = std::make_shared<std::set<intake*>>();
  std::shared_ptr<size_t> unfinished_replies = std::make_shared<size_t>(0);
  // Connections that wait for the headers of a request, the oldest first.
  std::shared_ptr<idle_map> idle = std::make_shared<idle_map>();
  uint64_t started = 0;  // connections and further requests on them
};

void ShutdownConnection(SoupServerMessage* message) {
  GSocket* socket = soup_server_message_get_socket(message);
  if (socket != nullptr) shutdown(g_socket_get_fd(socket), SHUT_RDWR);
}

// The body of a request, and its share of the common limit.
struct request_body {
  std::string bytes;
  std::unique_ptr<buffer_share> share;
};

// Releases the memory, not only the content.
void Free(std::string& bytes) { std::string().swap(bytes); }

class soup_exchange final : public exchange, public std::enable_shared_from_this<soup_exchange> {
 public:
  soup_exchange(SoupServerMessage* message, request_body body, const server_state& server)
      : message_(message),
        uri_(soup_server_message_get_uri(message)),
        body_(std::move(body)),
        handlers_(server.handlers),
        timers_(*server.timers),
        write_timeout_(server.limits.write_timeout),
        reply_share_(server.limits.reply_buffers, [this] { Cut(cut_reason::kNoMemory); }),
        unfinished_replies_(server.unfinished_replies) {
    g_object_ref(message_);
  }

  ~soup_exchange() override {
    if (write_timer_ != 0) balsambay::Cancel(timers_, write_timer_);
    StopWatching();
    g_object_unref(message_);
  }

  std::string_view Method() const override { return soup_server_message_get_method(message_); }
  std::string_view Path() const override { return g_uri_get_path(uri_); }
  std::string_view Query() const override {
    const char* query = g_uri_get_query(uri_);
    return query == nullptr ? std::string_view() : query;
  }

  std::string_view Header(const char* name) const override {
    const char* value =
        soup_message_headers_get_one(soup_server_message_get_request_headers(message_), name);
    return value == nullptr ? std::string_view() : value;
  }

  void ForEachHeader(
      const std::function<void(std::string_view, std::string_view)>& fn) const override {
    SoupMessageHeadersIter it;
    soup_message_headers_iter_init(&it, soup_server_message_get_request_headers(message_));
    const char* name = nullptr;
    const char* value = nullptr;
    while (soup_message_headers_iter_next(&it, &name, &value) != FALSE) fn(name, value);
  }

  std::string_view Body() const override { return body_.bytes; }

  void Respond(int status, std::span<const header> headers, std::string_view body) override {
    if (!open_) return;
    SetHead(status, headers);
    soup_message_body_append(soup_server_message_get_response_body(message_), SOUP_MEMORY_COPY,
                             body.data(), body.size());
    pending_ = body.size();
    Finish();
    if (!HoldPending()) Cut(cut_reason::kNoMemory);
  }

  void BeginStream(int status, std::span<const header> headers) override {
    if (!open_) return;
    SetHead(status, headers);
    soup_message_headers_set_encoding(soup_server_message_get_response_headers(message_),
                                      SOUP_ENCODING_CHUNKED);
    soup_message_body_set_accumulate(soup_server_message_get_response_body(message_), FALSE);
    streaming_ = true;
    WatchWriting();
    soup_server_message_unpause(message_);
  }

  void Write(std::string_view data) override {
    if (!open_ || cut_ || data.empty()) return;
    pending_ += data.size();
    if (!HoldPending()) return Cut(cut_reason::kNoMemory);
    soup_message_body_append(soup_server_message_get_response_body(message_), SOUP_MEMORY_COPY,
                             data.data(), data.size());
    soup_server_message_unpause(message_);
  }

  void End() override {
    if (open_) Finish();
  }

  void Abort() override {
    if (!open_) return;
    open_ = false;
    on_hangup = nullptr;
    on_drained = nullptr;
    StopWatching();
    body_ = {};
    if (pending_ == 0) return Break();
    aborting_ = true;
  }

  size_t PendingBytes() const override { return pending_; }
  bool IsOpen() const override { return open_; }

  // Keeps the exchange alive until libsoup reports the message as finished.
  void Start() {
    self_ = shared_from_this();
    ++*unfinished_replies_;
    soup_server_message_pause(message_);
    g_signal_connect(message_, "finished", G_CALLBACK(OnFinished), this);
    g_signal_connect(message_, "wrote-body-data", G_CALLBACK(OnWroteData), this);
    GSocket* socket = soup_server_message_get_socket(message_);
    watch_ = g_socket_create_source(
        socket, static_cast<GIOCondition>(G_IO_IN | G_IO_HUP | G_IO_ERR), nullptr);
    g_source_set_callback(watch_, G_SOURCE_FUNC(OnSocketEvent), this, nullptr);
    g_source_attach(watch_, nullptr);
  }

 private:
  void SetHead(int status, std::span<const header> headers) {
    soup_server_message_set_status(message_, static_cast<guint>(status), nullptr);
    SoupMessageHeaders* out = soup_server_message_get_response_headers(message_);
    for (const header& entry : headers) {
      soup_message_headers_replace(out, entry.name.c_str(), entry.value.c_str());
    }
  }

  void Finish() {
    open_ = false;
    StopWatching();
    body_ = {};
    soup_message_body_complete(soup_server_message_get_response_body(message_));
    if (!streaming_) WatchWriting();
    soup_server_message_unpause(message_);
  }

  // Accounts for the bytes that the caller has not taken. Returns false if there is no room.
  bool HoldPending() {
    return cut_ || reply_share_.Resize(pending_ > kUncountedReplyBytes ? pending_ : 0);
  }

  // Closes the connection, so that the reply does not look complete; libsoup then ends the message
  // and frees what it holds.
  void Cut(cut_reason why) {
    if (cut_) return;
    cut_ = true;
    const auto handlers = handlers_.lock();
    if (handlers && handlers->on_cut) handlers->on_cut(why, pending_);
    ShutdownConnection(message_);
  }

  // Bytes of the reply that have left for the caller and were acknowledged.
  int64_t TakenBytes() const {
    GSocket* socket = soup_server_message_get_socket(message_);
    int queued = 0;
    if (socket != nullptr) ioctl(g_socket_get_fd(socket), SIOCOUTQ, &queued);
    return static_cast<int64_t>(written_) - queued;
  }

  void WatchWriting() {
    if (write_timeout_ <= duration::zero()) return;
    taken_at_ = MonotonicNow();
    taken_ = TakenBytes();
    CheckWritingLater();
  }

  void CheckWritingLater() {
    write_timer_ = Subscribe(timers_, MonotonicNow() + write_timeout_ / kWriteChecks,
                             [this](time_point now) { CheckWriting(now); });
  }

  void CheckWriting(time_point now) {
    const int64_t taken = TakenBytes();
    if (pending_ == 0 || taken > taken_) taken_at_ = now;
    taken_ = taken;
    if (now - taken_at_ >= write_timeout_) return Cut(cut_reason::kSlowReader);
    CheckWritingLater();
  }

  void StopWatching() {
    if (watch_ == nullptr) return;
    g_source_destroy(watch_);
    g_source_unref(watch_);
    watch_ = nullptr;
  }

  void Break() {
    ShutdownConnection(message_);
    soup_server_message_unpause(message_);
  }

  void HangUp() {
    if (!open_) return;
    open_ = false;
    StopWatching();
    const auto keep = shared_from_this();
    if (on_hangup) std::exchange(on_hangup, nullptr)();
    on_drained = nullptr;
  }

  // A readable socket without data means that the caller has closed its side.
  static gboolean OnSocketEvent(GSocket* socket, GIOCondition condition, gpointer data) {
    auto* self = static_cast<soup_exchange*>(data);
    char byte = 0;
    const ssize_t got = recv(g_socket_get_fd(socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    const bool pipelined = got > 0 && (condition & (G_IO_HUP | G_IO_ERR)) == 0;
    const auto keep = self->shared_from_this();
    self->StopWatching();
    if (pipelined) return G_SOURCE_REMOVE;
    SoupServerMessage* message = self->message_;
    self->HangUp();
    ShutdownConnection(message);
    soup_server_message_unpause(message);
    return G_SOURCE_REMOVE;
  }

  static void OnFinished(SoupServerMessage* message, gpointer data) {
    auto* self = static_cast<soup_exchange*>(data);
    const auto keep = std::move(self->self_);
    --*self->unfinished_replies_;
    Cancel(self->timers_, self->write_timer_);
    self->pending_ = 0;
    (void)self->reply_share_.Resize(0);
    g_signal_handlers_disconnect_by_data(message, data);
    self->HangUp();
  }

  static void OnWroteData(SoupServerMessage*, guint size, gpointer data) {
    auto* self = static_cast<soup_exchange*>(data);
    const bool was_pending = self->pending_ > 0;
    self->written_ += size;
    self->pending_ -= std::min<size_t>(self->pending_, size);
    if (!self->streaming_) return;  // libsoup frees a whole reply only when it has been sent
    (void)self->HoldPending();      // does not grow
    if (!was_pending || self->pending_ > 0) return;
    if (self->aborting_) {
      self->aborting_ = false;
      self->Break();
    } else if (self->open_ && self->on_drained) {
      self->on_drained();
    }
  }

  SoupServerMessage* message_;
  GUri* uri_;
  request_body body_;
  GSource* watch_ = nullptr;
  std::weak_ptr<const server_handlers> handlers_;
  timer_service& timers_;
  duration write_timeout_;
  buffer_share reply_share_;
  timer_id write_timer_ = 0;
  time_point taken_at_;  // last time at which the caller took a byte, or nothing was pending
  int64_t taken_ = 0;    // at the last check
  size_t written_ = 0;   // bytes of the reply's body that were given to the socket
  size_t pending_ = 0;   // bytes of the reply's body that were not
  bool cut_ = false;     // the connection was closed by Cut()
  bool open_ = true;     // false once the reply has ended or the caller has hung up
  bool streaming_ = false;
  bool aborting_ = false;  // the connection is closed when `pending_` has fallen to zero
  std::shared_ptr<soup_exchange> self_;
  std::shared_ptr<size_t> unfinished_replies_;
};

// Limits of one request before it reaches the handler, and its body. Owned by the message.
struct intake {
  server_state* server = nullptr;  // gone when an exchange outlives its server
  timer_service* timers = nullptr;
  SoupServerMessage* message = nullptr;
  timer_id timer = 0;
  request_body body;
  bool rejected = false;
  std::shared_ptr<std::set<intake*>> unread = nullptr;
  uint64_t number = 0;                       // key in `idle`
  std::shared_ptr<idle_map> idle = nullptr;  // that it may be in
};

void DeleteIntake(gpointer data) {
  auto* state = static_cast<intake*>(data);
  state->unread->erase(state);
  Cancel(*state->timers, state->timer);
  state->idle->erase(state->number);
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

// Ends a request that has not arrived whole. Replies on the raw socket, because libsoup replies
// only after the whole body. The rest of the body is discarded for a limited time.
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
  GSocket* socket = soup_server_message_get_socket(state.message);
  if (socket == nullptr) return;
  send(g_socket_get_fd(socket), text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  shutdown(g_socket_get_fd(socket), SHUT_WR);
  Cancel(*state.timers, state.timer);
  state.timer = Subscribe(*state.timers, MonotonicNow() + kDiscardTime,
                          [&state](time_point) { ShutdownConnection(state.message); });
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
  const auto length = static_cast<size_t>(
      soup_message_headers_get_content_length(soup_server_message_get_request_headers(message)));
  if (length > state->server->limits.max_body_bytes) return Reject(*state, rejection::kTooLarge);
  if (!ReserveBody(state->body, length)) Reject(*state, rejection::kNoMemory);
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

void OnRequestStarted(SoupServer*, SoupServerMessage* message, gpointer data) {
  auto* server = static_cast<server_state*>(data);
  // Small pieces of a stream must not wait for the acknowledgement of earlier ones.
  GSocket* socket = soup_server_message_get_socket(message);
  if (socket != nullptr) g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, TRUE, nullptr);
  soup_message_body_set_accumulate(soup_server_message_get_request_body(message), FALSE);
  auto* state = new intake{.server = server,
                           .timers = server->timers,
                           .message = message,
                           .body = {},
                           .unread = server->unread,
                           .number = ++server->started,
                           .idle = server->idle};
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
  if (state->rejected) return;
  state->body.share->Pin();
  auto made = std::make_shared<soup_exchange>(message, std::move(state->body), *server);
  made->Start();
  server->handlers->on_request(made);
}

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
