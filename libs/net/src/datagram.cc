// UDP over GSocket.
#include "net/datagram.h"

#include <gio/gio.h>

#include <array>
#include <string>
#include <unordered_map>

#include "details/address.h"

namespace balsambay::net {
namespace {

constexpr size_t kMaxDatagramBytes = 65536;

class gio_datagram_socket final : public datagram_socket {
 public:
  gio_datagram_socket(GSocket* socket, std::function<void(std::string_view)> on_data)
      : socket_(socket), on_data_(std::move(on_data)) {
    source_ = g_socket_create_source(socket_, G_IO_IN, nullptr);
    g_source_set_callback(source_, G_SOURCE_FUNC(OnReadable), this, nullptr);
    g_source_attach(source_, nullptr);
  }

  ~gio_datagram_socket() override {
    g_source_destroy(source_);
    g_source_unref(source_);
    g_object_unref(socket_);
    for (const auto& [text, address] : addresses_) g_object_unref(address);
  }

  void Send(std::string_view address, std::string_view data) override {
    GSocketAddress* to = Resolve(address);
    if (to == nullptr) return;
    // A full buffer or an unreachable peer loses the datagram, as the network may do.
    g_socket_send_to(socket_, to, data.data(), data.size(), nullptr, nullptr);
  }

 private:
  GSocketAddress* Resolve(std::string_view text) {
    const auto found = addresses_.find(std::string(text));
    if (found != addresses_.end()) return found->second;
    GSocketAddress* parsed = ParseAddress(text);
    if (parsed != nullptr) addresses_.emplace(text, parsed);
    return parsed;
  }

  static gboolean OnReadable(GSocket* socket, GIOCondition, gpointer data) {
    static std::array<char, kMaxDatagramBytes> buffer;
    auto* self = static_cast<gio_datagram_socket*>(data);
    const gssize got =
        g_socket_receive_from(socket, nullptr, buffer.data(), buffer.size(), nullptr, nullptr);
    if (got > 0) self->on_data_({buffer.data(), static_cast<size_t>(got)});
    return G_SOURCE_CONTINUE;
  }

  GSocket* socket_;
  GSource* source_;
  std::function<void(std::string_view)> on_data_;
  std::unordered_map<std::string, GSocketAddress*> addresses_;
};

}  // namespace

result<std::unique_ptr<datagram_socket>> BindDatagram(
    std::string_view address, std::function<void(std::string_view data)> on_data) {
  GSocketAddress* parsed = ParseAddress(address);
  if (parsed == nullptr) {
    return Failure(errc::kInvalidArgument, "\"" + std::string(address) + "\" is not IP:PORT");
  }
  GError* failure = nullptr;
  GSocket* socket =
      g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_DATAGRAM, G_SOCKET_PROTOCOL_UDP, &failure);
  if (socket != nullptr) {
    g_socket_set_blocking(socket, FALSE);
    if (g_socket_bind(socket, parsed, TRUE, &failure) == FALSE) g_clear_object(&socket);
  }
  g_object_unref(parsed);
  if (socket == nullptr) {
    std::string detail = failure->message;
    g_error_free(failure);
    return Failure(errc::kUnavailable, std::move(detail));
  }
  return std::unique_ptr<datagram_socket>(
      std::make_unique<gio_datagram_socket>(socket, std::move(on_data)));
}

}  // namespace balsambay::net
