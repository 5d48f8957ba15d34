// HTTP client: reused connections over SoupSession, connections for one call directly.
#include "net/http_client.h"

#include <libsoup/soup.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <algorithm>

#include "base/text.h"
#include "details/direct_call.h"
#include "details/socket_options.h"

namespace balsambay::net {
namespace {

constexpr gsize kReadBufferBytes = 65536;
// Entry VMs hold one connection for each request in flight, so the default of 2 a host would queue
// them.
constexpr int kMaxConnections = 20000;
// libsoup checks every idle connection for each request that it starts, so few are kept.
constexpr int kIdleSeconds = 5;

reply_head ReadHead(SoupMessage* message) {
  reply_head head{.status = static_cast<int>(soup_message_get_status(message)), .headers = {}};
  SoupMessageHeadersIter it;
  soup_message_headers_iter_init(&it, soup_message_get_response_headers(message));
  const char* name = nullptr;
  const char* value = nullptr;
  while (soup_message_headers_iter_next(&it, &name, &value) != FALSE) {
    head.headers.push_back({name, value});
  }
  return head;
}

class soup_call final : public client_call, public std::enable_shared_from_this<soup_call> {
 public:
  soup_call(timer_service& timers, client_callbacks callbacks)
      : timers_(timers), callbacks_(std::move(callbacks)), cancellable_(g_cancellable_new()) {}

  ~soup_call() override {
    balsambay::Cancel(timers_, timer_);
    if (stream_ != nullptr) g_object_unref(stream_);
    if (message_ != nullptr) g_object_unref(message_);
    g_object_unref(cancellable_);
  }

  void Start(SoupSession* session, client_request request) {
    message_ = soup_message_new(request.method.c_str(), request.url.c_str());
    if (message_ == nullptr) {
      const auto self = shared_from_this();
      timer_ = Subscribe(timers_, MonotonicNow(), [self, url = request.url](time_point) {
        self->Finish({call_failure::kConnect, "invalid URL " + url});
      });
      return;
    }
    if (!request.body.empty()) {
      GBytes* bytes = g_bytes_new(request.body.data(), request.body.size());
      soup_message_set_request_body_from_bytes(message_, "application/json", bytes);
      g_bytes_unref(bytes);
    }
    SoupMessageHeaders* headers = soup_message_get_request_headers(message_);
    for (const header& entry : request.headers) {
      soup_message_headers_replace(headers, entry.name.c_str(), entry.value.c_str());
    }
    soup_message_add_flags(message_, SOUP_MESSAGE_NO_REDIRECT);
    // libsoup reuses connections only for idempotent messages. It would also repeat them by itself
    // when a reused connection breaks; OnStarting() prevents that.
    soup_message_add_flags(message_, SOUP_MESSAGE_IDEMPOTENT);
    g_signal_connect(message_, "starting", G_CALLBACK(OnStarting), this);
    g_signal_connect(message_, "network-event", G_CALLBACK(OnNetworkEvent), this);
    const std::weak_ptr<soup_call> weak = weak_from_this();
    timer_ = Subscribe(timers_, MonotonicNow() + request.header_timeout, [weak](time_point) {
      if (const auto self = weak.lock()) self->TimeOut();
    });
    soup_session_send_async(session, message_, G_PRIORITY_DEFAULT, cancellable_, OnHeaders,
                            new std::shared_ptr<soup_call>(shared_from_this()));
  }

  void Cancel() override {
    if (finished_) return;
    finished_ = true;
    callbacks_ = {};
    balsambay::Cancel(timers_, timer_);
    g_cancellable_cancel(cancellable_);
    CloseStream();
  }

  void PauseReading() override { paused_ = true; }

  void ResumeReading() override {
    paused_ = false;
    if (!reading_ && stream_ != nullptr && !finished_) Read();
  }

 private:
  static void OnStarting(SoupMessage*, gpointer data) {
    auto* self = static_cast<soup_call*>(data);
    if (self->started_) g_cancellable_cancel(self->cancellable_);
    self->started_ = true;
  }

  // Headers and body are written separately; without this each request waits up to 40 ms for a
  // delayed ACK.
  static void OnNetworkEvent(SoupMessage*, GSocketClientEvent event, GIOStream* stream, gpointer) {
    if (event != G_SOCKET_CLIENT_CONNECTED || !G_IS_SOCKET_CONNECTION(stream)) return;
    SetStreamOptions(g_socket_connection_get_socket(G_SOCKET_CONNECTION(stream)));
  }

  void TimeOut() {
    g_cancellable_cancel(cancellable_);
    Finish(
        {started_ ? call_failure::kTimeout : call_failure::kConnect, "no reply headers in time"});
  }

  void Finish(call_end end) {
    if (finished_) return;
    finished_ = true;
    balsambay::Cancel(timers_, timer_);
    // The callbacks often own this call; they are dropped only after the last one has run.
    const client_callbacks callbacks = std::exchange(callbacks_, {});
    CloseStream();
    if (callbacks.on_end) callbacks.on_end(end);
  }

  void CloseStream() {
    if (stream_ == nullptr || reading_) return;
    g_input_stream_close_async(stream_, G_PRIORITY_DEFAULT, nullptr, nullptr, nullptr);
    g_object_unref(stream_);
    stream_ = nullptr;
  }

  void Fail(GError* failure) {
    std::string detail = failure->message;
    g_error_free(failure);
    Finish({started_ ? call_failure::kBroken : call_failure::kConnect, std::move(detail)});
  }

  static void OnHeaders(GObject* session, GAsyncResult* async, gpointer data) {
    const std::unique_ptr<std::shared_ptr<soup_call>> holder(
        static_cast<std::shared_ptr<soup_call>*>(data));
    soup_call& self = **holder;
    g_signal_handlers_disconnect_by_data(self.message_, &self);
    GError* failure = nullptr;
    self.stream_ = soup_session_send_finish(SOUP_SESSION(session), async, &failure);
    if (self.finished_) {
      if (failure != nullptr) g_error_free(failure);
      self.CloseStream();
      return;
    }
    if (failure != nullptr) {
      self.Fail(failure);
      return;
    }
    balsambay::Cancel(self.timers_, self.timer_);
    if (self.callbacks_.on_headers) {
      // A copy, because the callback may cancel this call and so drop its own function object.
      const auto on_headers = self.callbacks_.on_headers;
      on_headers(ReadHead(self.message_));
    }
    if (!self.finished_ && !self.paused_) self.Read();
  }

  void Read() {
    reading_ = true;
    g_input_stream_read_bytes_async(stream_, kReadBufferBytes, G_PRIORITY_DEFAULT, cancellable_,
                                    OnRead, new std::shared_ptr<soup_call>(shared_from_this()));
  }

  static void OnRead(GObject* stream, GAsyncResult* async, gpointer data) {
    const std::unique_ptr<std::shared_ptr<soup_call>> holder(
        static_cast<std::shared_ptr<soup_call>*>(data));
    soup_call& self = **holder;
    GError* failure = nullptr;
    GBytes* bytes = g_input_stream_read_bytes_finish(G_INPUT_STREAM(stream), async, &failure);
    self.reading_ = false;
    if (self.finished_) {
      if (bytes != nullptr) g_bytes_unref(bytes);
      if (failure != nullptr) g_error_free(failure);
      self.CloseStream();
      return;
    }
    if (bytes == nullptr) {
      self.Fail(failure);
      return;
    }
    gsize size = 0;
    const auto* text = static_cast<const char*>(g_bytes_get_data(bytes, &size));
    if (size == 0) {
      // Nothing is left to read, so this does not block. The connection must be idle again before
      // the callback sends the next request; otherwise each request of a chain opens a new
      // connection.
      g_input_stream_close(self.stream_, nullptr, nullptr);
      self.Finish({});
    } else if (self.callbacks_.on_data) {
      // A copy, because the callback may cancel this call and so drop its own function object.
      const auto on_data = self.callbacks_.on_data;
      on_data({text, size});
    }
    g_bytes_unref(bytes);
    if (!self.finished_ && !self.paused_) self.Read();
  }

  timer_service& timers_;
  client_callbacks callbacks_;
  GCancellable* cancellable_;
  SoupMessage* message_ = nullptr;
  GInputStream* stream_ = nullptr;
  timer_id timer_ = 0;
  bool started_ = false;  // bytes of the request may have been written
  bool finished_ = false;
  bool paused_ = false;
  bool reading_ = false;
};

class soup_http_client final : public http_client {
 public:
  explicit soup_http_client(timer_service& timers)
      : timers_(timers),
        session_(soup_session_new_with_options("max-conns", kMaxConnections, "max-conns-per-host",
                                               kMaxConnections, "timeout", 0, "idle-timeout",
                                               kIdleSeconds, "proxy-resolver", nullptr, nullptr)) {
    // Bodies pass through unchanged, so no encoding is asked for.
    soup_session_remove_feature_by_type(session_, SOUP_TYPE_CONTENT_DECODER);
  }
  // Callbacks may refer to the owner of the client, so none runs after it is gone.
  ~soup_http_client() override {
    for (const std::weak_ptr<client_call>& open : direct_) {
      if (const auto call = open.lock()) call->Cancel();
    }
    g_object_unref(session_);
  }

  timer_service& Timers() override { return timers_; }

  std::shared_ptr<client_call> Send(client_request request, client_callbacks callbacks) override {
    if (request.fresh_connection) {
      if (direct_.size() >= prune_at_) PruneDirect();
      auto direct = SendDirect(timers_, std::move(request), std::move(callbacks));
      direct_.push_back(direct);
      return direct;
    }
    auto call = std::make_shared<soup_call>(timers_, std::move(callbacks));
    call->Start(session_, std::move(request));
    return call;
  }

 private:
  void PruneDirect() {
    std::erase_if(direct_, [](const auto& entry) { return entry.expired(); });
    prune_at_ = std::max(kPruneAt, 2 * direct_.size());
  }

  static constexpr size_t kPruneAt = 64;

  timer_service& timers_;
  SoupSession* session_;
  std::vector<std::weak_ptr<client_call>> direct_;  // calls that may be open
  size_t prune_at_ = kPruneAt;
};

// A reply that is collected whole. Owned by the callbacks of its call.
struct fetch : std::enable_shared_from_this<fetch> {
  fetch(timer_service& service, const fetch_limits& bounds,
        std::function<void(const whole_reply&)> when_done)
      : timers(service), limits(bounds), done(std::move(when_done)) {}
  ~fetch() { Cancel(timers, body_timer); }

  void OnHeaders(const reply_head& head) {
    reply.status = head.status;
    reply.head = head;
    body_timer =
        Subscribe(timers, MonotonicNow() + limits.body_time, [weak = weak_from_this()](time_point) {
          if (const auto self = weak.lock()) self->Break("reply takes too long");
        });
  }

  void OnData(std::string_view data) {
    if (reply.body.size() + data.size() > limits.body_bytes) return Break("reply is too large");
    reply.body += data;
  }

  void OnEnd(const call_end& end) {
    Cancel(timers, body_timer);
    reply.end = end;
    done(reply);
  }

  void Break(std::string detail) {
    const auto keep = shared_from_this();
    if (const auto open = call.lock()) open->Cancel();
    OnEnd({call_failure::kBroken, std::move(detail)});
  }

  timer_service& timers;
  fetch_limits limits;
  std::function<void(const whole_reply&)> done;
  std::weak_ptr<client_call> call;
  whole_reply reply;
  timer_id body_timer = 0;
};

}  // namespace

std::string_view reply_head::Get(std::string_view name) const {
  const auto it = std::ranges::find_if(
      headers, [&](const header& entry) { return EqualsIgnoreCase(entry.name, name); });
  return it == headers.end() ? std::string_view() : it->value;
}

std::unique_ptr<http_client> MakeHttpClient(timer_service& timers) {
  return std::make_unique<soup_http_client>(timers);
}

std::shared_ptr<client_call> Fetch(http_client& client, client_request request,
                                   std::function<void(const whole_reply&)> done,
                                   const fetch_limits& limits) {
  auto fetched = std::make_shared<fetch>(client.Timers(), limits, std::move(done));
  client_callbacks callbacks;
  callbacks.on_headers = [fetched](const reply_head& head) { fetched->OnHeaders(head); };
  callbacks.on_data = [fetched](std::string_view data) { fetched->OnData(data); };
  callbacks.on_end = [fetched](const call_end& end) { fetched->OnEnd(end); };
  const auto call = client.Send(std::move(request), std::move(callbacks));
  fetched->call = call;
  return call;
}

}  // namespace balsambay::net
