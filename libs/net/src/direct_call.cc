// HTTP over a GIO socket with http_parser. libsoup 3.2 reports a chunked reply whose connection is
// closed between two chunks as complete, so it cannot carry replies that must not be cut unnoticed.
#include "details/direct_call.h"

#include <gio/gio.h>
#include <http_parser.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <string>

#include "base/text.h"
#include "details/address.h"
#include "details/socket_options.h"
#include "net/reply_scanner.h"

namespace balsambay::net {
namespace {

constexpr std::string_view kScheme = "http://";
constexpr size_t kReadBufferBytes = 65536;
// Reason of replies that the scanner takes and http_parser refuses: for a length, a value or a
// size.
constexpr std::string_view kOtherFault = "other";

struct target {
  std::string_view address;
  std::string_view path;  // with query
};

target SplitUrl(std::string_view url) {
  if (url.starts_with(kScheme)) url.remove_prefix(kScheme.size());
  const size_t slash = url.find('/');
  if (slash == std::string_view::npos) return {url, "/"};
  return {url.substr(0, slash), url.substr(slash)};
}

bool HasHeader(const client_request& request, std::string_view name) {
  return std::ranges::any_of(
      request.headers, [&](const header& entry) { return EqualsIgnoreCase(entry.name, name); });
}

std::string RenderRequest(const client_request& request) {
  const target to = SplitUrl(request.url);
  std::string out = request.method + " " + std::string(to.path) + " HTTP/1.1\r\n";
  const auto add = [&out](std::string_view name, std::string_view value) {
    out.append(name).append(": ").append(value).append("\r\n");
  };
  if (!HasHeader(request, "Host")) add("Host", to.address);
  for (const header& entry : request.headers) add(entry.name, entry.value);
  if (!HasHeader(request, "Connection")) add("Connection", "close");
  if (!request.body.empty() && !HasHeader(request, "Content-Type")) {
    add("Content-Type", "application/json");
  }
  const bool may_have_body = request.method != "GET" && request.method != "HEAD";
  if (may_have_body || !request.body.empty()) {
    add("Content-Length", std::to_string(request.body.size()));
  }
  return out + "\r\n" + request.body;
}

class direct_call final : public client_call, public std::enable_shared_from_this<direct_call> {
 public:
  direct_call(timer_service& timers, const malformed_reply_handler& on_malformed,
              client_callbacks callbacks)
      : timers_(timers), on_malformed_(on_malformed), callbacks_(std::move(callbacks)) {
    http_parser_init(&parser_, HTTP_RESPONSE);
    parser_.data = this;
  }

  ~direct_call() override { Close(); }

  void Start(const client_request& request) {
    is_head_ = request.method == "HEAD";
    output_ = RenderRequest(request);
    address_ = SplitUrl(request.url).address;
    read_bytes_ = std::min(request.read_bytes, kReadBufferBytes);
    header_deadline_ = MonotonicNow() + request.header_timeout;
    WaitUntil(MonotonicNow() + std::min(request.connect_timeout, request.header_timeout));
    self_ = shared_from_this();
    GSocketAddress* address = ParseAddress(address_);
    if (address == nullptr) return FailLater("invalid URL " + request.url);
    GError* failure = nullptr;
    socket_ = g_socket_new(g_socket_address_get_family(address), G_SOCKET_TYPE_STREAM,
                           G_SOCKET_PROTOCOL_TCP, &failure);
    if (socket_ != nullptr) {
      g_socket_set_blocking(socket_, FALSE);
      SetStreamOptions(socket_);
      const bool connected = g_socket_connect(socket_, address, nullptr, &failure) != FALSE;
      const bool pending = g_error_matches(failure, G_IO_ERROR, G_IO_ERROR_PENDING) != FALSE;
      if (connected || pending) {
        g_clear_error(&failure);
        Watch(G_IO_OUT);
      }
    }
    g_object_unref(address);
    if (failure == nullptr) return;
    FailLater(failure->message,
              socket_ == nullptr ? call_failure::kNoSocket : call_failure::kConnect);
    g_error_free(failure);
  }

  void Cancel() override {
    if (finished_) return;
    finished_ = true;
    callbacks_ = {};
    Close();
  }

  void PauseReading() override {
    paused_ = true;
    if (sent_) Unwatch();
  }

  void ResumeReading() override {
    paused_ = false;
    if (sent_ && !finished_ && source_ == nullptr) Watch(G_IO_IN);
  }

 private:
  void Watch(GIOCondition condition) {
    Unwatch();
    source_ = g_socket_create_source(socket_, condition, nullptr);
    g_source_set_callback(source_, G_SOURCE_FUNC(OnReady), this, nullptr);
    g_source_attach(source_, nullptr);
  }

  void Unwatch() {
    if (source_ == nullptr) return;
    g_source_destroy(source_);
    g_source_unref(source_);
    source_ = nullptr;
  }

  // The owner may drop its reference from a callback, so self_ is released last.
  void Close() {
    balsambay::Cancel(timers_, timer_);
    Unwatch();
    if (socket_ != nullptr) {
      g_socket_close(socket_, nullptr);
      g_clear_object(&socket_);
    }
    const auto keep = std::move(self_);
  }

  void Finish(call_end end) {
    if (finished_) return;
    finished_ = true;
    const auto keep = shared_from_this();
    const client_callbacks callbacks = std::exchange(callbacks_, {});
    Close();
    if (callbacks.on_end) callbacks.on_end(end);
  }

  // Callers expect no callback before Send() has returned.
  void FailLater(std::string detail, call_failure failure = call_failure::kConnect) {
    const std::weak_ptr<direct_call> weak = weak_from_this();
    balsambay::Cancel(timers_, timer_);
    timer_ =
        Subscribe(timers_, MonotonicNow(), [weak, failure, detail = std::move(detail)](time_point) {
          if (const auto self = weak.lock()) self->Finish({failure, detail});
        });
  }

  void WaitUntil(time_point due) {
    const std::weak_ptr<direct_call> weak = weak_from_this();
    timer_ = Subscribe(timers_, due, [weak](time_point now) {
      if (const auto self = weak.lock()) self->TimeOut(now);
    });
  }

  void TimeOut(time_point now) {
    if (written_ > 0 && now < header_deadline_) return WaitUntil(header_deadline_);
    Finish({written_ > 0 ? call_failure::kTimeout : call_failure::kConnect,
            "no reply headers in time"});
  }

  void Fail(std::string detail) {
    Finish({written_ > 0 ? call_failure::kBroken : call_failure::kConnect, std::move(detail)});
  }

  static gboolean OnReady(GSocket*, GIOCondition, gpointer data) {
    auto* self = static_cast<direct_call*>(data);
    const auto keep = self->shared_from_this();
    if (self->sent_) {
      self->Read();
    } else {
      self->Write();
    }
    return G_SOURCE_CONTINUE;
  }

  void Write() {
    GError* failure = nullptr;
    if (written_ == 0 && g_socket_check_connect_result(socket_, &failure) == FALSE) {
      Fail(failure->message);
      g_error_free(failure);
      return;
    }
    const gssize size = g_socket_send(socket_, output_.data() + written_, output_.size() - written_,
                                      nullptr, &failure);
    if (size < 0) {
      const bool later = g_error_matches(failure, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) != FALSE;
      // Some bytes may have left even when the call reports an error.
      if (!later) {
        written_ = std::max<size_t>(written_, 1);
        Fail(failure->message);
      }
      g_error_free(failure);
      return;
    }
    written_ += static_cast<size_t>(size);
    if (written_ < output_.size()) return;
    std::string().swap(output_);  // frees the memory, which clear() does not
    sent_ = true;
    Unwatch();
    if (!paused_) Watch(G_IO_IN);
  }

  void Read() {
    static std::array<char, kReadBufferBytes> buffer;
    GError* failure = nullptr;
    const gssize size = g_socket_receive(socket_, buffer.data(), read_bytes_, nullptr, &failure);
    if (size < 0) {
      const bool later = g_error_matches(failure, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) != FALSE;
      if (!later) Fail(failure->message);
      g_error_free(failure);
      return;
    }
    if (size > 0) return Parse({buffer.data(), static_cast<size_t>(size)});
    // Ends a body that has neither a length nor chunks.
    http_parser_execute(&parser_, &ParserSettings(), buffer.data(), 0);
    if (finished_) return;
    if (complete_) return Finish({});
    Fail("connection closed before the end of the reply");
  }

  // What precedes a fault is parsed, so that events of a stream do not depend on how its bytes
  // arrive.
  void Parse(std::string_view data) {
    while (!data.empty()) {
      const size_t sound = ScanReply(scanner_, data);
      if (sound > 0) {
        const size_t parsed = http_parser_execute(&parser_, &ParserSettings(), data.data(), sound);
        if (finished_) return;
        if (complete_) return Finish({});
        const http_errno error = HTTP_PARSER_ERRNO(&parser_);
        if (parsed != sound || error != HPE_OK) {
          return FailMalformed(kOtherFault, http_errno_description(error));
        }
      }
      if (scanner_.fault != reply_fault::kNone) {
        return FailMalformed(ToString(scanner_.fault), "the reply breaks the grammar of HTTP");
      }
      data.remove_prefix(sound);
    }
  }

  void FailMalformed(std::string_view reason, std::string_view detail) {
    if (on_malformed_) on_malformed_(address_, reason, detail);
    Fail(std::string(detail) + " (" + std::string(reason) + ")");
  }

  static direct_call& From(http_parser* parser) { return *static_cast<direct_call*>(parser->data); }

  static bool IsInterim(const http_parser& parser) { return parser.status_code / 100 == 1; }

  static int OnHeaderField(http_parser* parser, const char* data, size_t size) {
    auto& headers = From(parser).head_.headers;
    if (From(parser).in_value_ || headers.empty()) headers.emplace_back();
    From(parser).in_value_ = false;
    headers.back().name.append(data, size);
    return 0;
  }

  static int OnHeaderValue(http_parser* parser, const char* data, size_t size) {
    From(parser).in_value_ = true;
    From(parser).head_.headers.back().value.append(data, size);
    return 0;
  }

  // Returns 1 for a reply without a body, as http_parser asks. An interim one has none, whatever
  // its fields say (RFC 9112, 6.3).
  static int OnHeadersComplete(http_parser* parser) {
    direct_call& self = From(parser);
    if (IsInterim(*parser)) {
      ExpectReply(self.scanner_);
      return 1;
    }
    if ((parser->flags & F_CHUNKED) != 0) {
      ExpectChunks(self.scanner_);
    } else {
      ExpectBody(self.scanner_);
    }
    self.head_.status = static_cast<int>(parser->status_code);
    balsambay::Cancel(self.timers_, self.timer_);
    const auto on_headers = self.callbacks_.on_headers;
    if (on_headers) on_headers(self.head_);
    return self.is_head_ ? 1 : 0;
  }

  static int OnBody(http_parser* parser, const char* data, size_t size) {
    const auto on_data = From(parser).callbacks_.on_data;
    if (on_data) on_data({data, size});
    return 0;
  }

  static int OnMessageComplete(http_parser* parser) {
    direct_call& self = From(parser);
    const bool interim = IsInterim(*parser);
    self.complete_ = !interim;
    if (interim) self.head_ = {};
    // Bytes after the reply belong to no request.
    if (!interim) http_parser_pause(parser, 1);
    return 0;
  }

  static const http_parser_settings& ParserSettings() {
    static const http_parser_settings settings = MakeSettings();
    return settings;
  }

  static http_parser_settings MakeSettings() {
    http_parser_settings out{};
    out.on_header_field = OnHeaderField;
    out.on_header_value = OnHeaderValue;
    out.on_headers_complete = OnHeadersComplete;
    out.on_body = OnBody;
    out.on_message_complete = OnMessageComplete;
    return out;
  }

  timer_service& timers_;
  const malformed_reply_handler& on_malformed_;
  client_callbacks callbacks_;
  std::string address_;
  size_t read_bytes_ = kReadBufferBytes;
  reply_scanner scanner_;
  http_parser parser_{};
  GSocket* socket_ = nullptr;
  GSource* source_ = nullptr;
  std::shared_ptr<direct_call> self_;  // until the call has ended
  timer_id timer_ = 0;
  time_point header_deadline_;
  std::string output_;
  size_t written_ = 0;
  reply_head head_;
  bool in_value_ = true;
  bool is_head_ = false;
  bool sent_ = false;
  bool complete_ = false;
  bool finished_ = false;
  bool paused_ = false;
};

}  // namespace

std::shared_ptr<client_call> SendDirect(timer_service& timers,
                                        const malformed_reply_handler& on_malformed,
                                        client_request request, client_callbacks callbacks) {
  auto call = std::make_shared<direct_call>(timers, on_malformed, std::move(callbacks));
  call->Start(request);
  return call;
}

}  // namespace balsambay::net
