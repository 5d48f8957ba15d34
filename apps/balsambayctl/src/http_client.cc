// libsoup client; see the header.
#include "http_client.h"

#include <libsoup/soup.h>

#include <memory>

namespace balsambay::ctl {
namespace {

struct object_deleter {
  void operator()(gpointer object) const { g_object_unref(object); }
};
struct bytes_deleter {
  void operator()(GBytes* bytes) const { g_bytes_unref(bytes); }
};
using session_pointer = std::unique_ptr<SoupSession, object_deleter>;
using message_pointer = std::unique_ptr<SoupMessage, object_deleter>;
using bytes_pointer = std::unique_ptr<GBytes, bytes_deleter>;

session_pointer NewSession(duration timeout) {
  session_pointer session(soup_session_new());
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(timeout).count();
  soup_session_set_timeout(session.get(), static_cast<guint>(seconds));
  soup_session_set_proxy_resolver(session.get(), nullptr);
  return session;
}

void SetBody(SoupMessage* message, const std::string& body) {
  const bytes_pointer bytes(g_bytes_new(body.data(), body.size()));
  soup_message_set_request_body_from_bytes(message, "application/json", bytes.get());
}

// Null when the address or path give no valid URI.
message_pointer NewMessage(const http_request& request) {
  const std::string uri = "http://" + request.address + request.path;
  message_pointer message(soup_message_new(request.method.c_str(), uri.c_str()));
  if (message == nullptr) return message;
  soup_message_add_flags(message.get(), SOUP_MESSAGE_NO_REDIRECT);
  if (!request.body.empty()) SetBody(message.get(), request.body);
  if (!request.token.empty()) {
    const std::string value = "Bearer " + request.token;
    SoupMessageHeaders* headers = soup_message_get_request_headers(message.get());
    soup_message_headers_replace(headers, "Authorization", value.c_str());
  }
  return message;
}

void MarkStarted(SoupMessage*, gpointer started) { *static_cast<bool*>(started) = true; }

}  // namespace

result<http_reply> Send(const http_request& request) {
  const session_pointer session = NewSession(request.timeout);
  const message_pointer message = NewMessage(request);
  if (message == nullptr) return Failure(errc::kInvalidArgument, "no valid address or path");
  bool started = false;
  g_signal_connect(message.get(), "starting", G_CALLBACK(MarkStarted), &started);
  GError* failure = nullptr;
  const bytes_pointer body(
      soup_session_send_and_read(session.get(), message.get(), nullptr, &failure));
  if (body == nullptr) {
    const std::string detail = failure->message;
    g_error_free(failure);
    return Failure(started ? errc::kUnknownOutcome : errc::kUnavailable, detail);
  }
  gsize size = 0;
  const auto* data = static_cast<const char*>(g_bytes_get_data(body.get(), &size));
  return http_reply{soup_message_get_status(message.get()), std::string(data, data + size)};
}

}  // namespace balsambay::ctl
