// Exchanges over messages of libsoup's server. A reply is kept open by pausing the message; chunks
// are appended from loop callbacks only: a handler of "wrote-chunk" that appends at once never
// gives the loop back (seen: all other requests together fell to 5 a second with 50 streams open).
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>

#include "details/server_state.h"

namespace balsambay::net {
namespace {

using namespace std::chrono_literals;

// Up to this size, bytes of a reply do not count toward the common limit, so that refusals and
// events for callers that read them are sent even when there is no room.
constexpr size_t kUncountedReplyBytes = 16384;
// Checks of a waiting reply within `write_timeout`.
constexpr int kWriteChecks = 4;

class soup_exchange final : public exchange, public std::enable_shared_from_this<soup_exchange> {
 public:
  soup_exchange(SoupServerMessage* message, request_body body, const server_state& server)
      : message_(message),
        connection_(ConnectionOf(message)),
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
        soup_message_headers_get_list(soup_server_message_get_request_headers(message_), name);
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
    GSocket* socket = connection_->Socket();
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
    GSocket* socket = connection_->Socket();
    int queued = 0;
    ioctl(g_socket_get_fd(socket), SIOCOUTQ, &queued);
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
  std::shared_ptr<client_connection> connection_;
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

}  // namespace

void ShutdownConnection(SoupServerMessage* message) {
  const auto connection = ConnectionOf(message);
  if (connection) connection->Shutdown();
}

exchange_ptr StartExchange(SoupServerMessage* message, request_body body,
                           const server_state& server) {
  auto made = std::make_shared<soup_exchange>(message, std::move(body), server);
  made->Start();
  return made;
}

}  // namespace balsambay::net
