// TCP sockets by GIO.
#include "details/sockets.h"

#include <charconv>

namespace balsambay::peer::details {
namespace {

std::string TakeMessage(GError* error) {
  std::string message = error == nullptr ? "unknown error" : error->message;
  g_clear_error(&error);
  return message;
}

result<socket_ptr> NewSocket(GSocketAddress* address) {
  GError* error = nullptr;
  GSocket* socket = g_socket_new(g_socket_address_get_family(address), G_SOCKET_TYPE_STREAM,
                                 G_SOCKET_PROTOCOL_TCP, &error);
  if (socket == nullptr) return Failure(errc::kUnavailable, TakeMessage(error));
  g_socket_set_blocking(socket, FALSE);
  return socket_ptr(socket);
}

}  // namespace

result<address_ptr> ParseAddress(std::string_view text) {
  const auto invalid = [text] {
    return Failure(errc::kInvalidArgument, "\"" + std::string(text) + "\" is not IP:PORT");
  };
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return invalid();
  std::string_view host = text.substr(0, colon);
  const std::string_view digits = text.substr(colon + 1);
  if (host.starts_with('[') && host.ends_with(']')) host = host.substr(1, host.size() - 2);
  uint16_t port = 0;
  const auto [end, failure] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (failure != std::errc() || end != digits.data() + digits.size()) return invalid();
  GSocketAddress* address = g_inet_socket_address_new_from_string(std::string(host).c_str(), port);
  if (address == nullptr) return invalid();
  return address_ptr(address);
}

result<socket_ptr> Listen(GSocketAddress* address) {
  BOOST_OUTCOME_TRY(socket, NewSocket(address));
  GError* error = nullptr;
  if (g_socket_bind(socket.get(), address, TRUE, &error) == FALSE ||
      g_socket_listen(socket.get(), &error) == FALSE) {
    return Failure(errc::kUnavailable, TakeMessage(error));
  }
  return std::move(socket);
}

result<socket_ptr> BeginConnect(GSocketAddress* address) {
  BOOST_OUTCOME_TRY(socket, NewSocket(address));
  GError* error = nullptr;
  if (g_socket_connect(socket.get(), address, nullptr, &error) == FALSE &&
      !g_error_matches(error, G_IO_ERROR, G_IO_ERROR_PENDING)) {
    return Failure(errc::kUnavailable, TakeMessage(error));
  }
  g_clear_error(&error);
  return std::move(socket);
}

std::string LocalAddress(GSocket* socket) {
  const address_ptr address(g_socket_get_local_address(socket, nullptr));
  if (!address) return {};
  gchar* text = g_socket_connectable_to_string(G_SOCKET_CONNECTABLE(address.get()));
  std::string out(text);
  g_free(text);
  return out;
}

}  // namespace balsambay::peer::details
