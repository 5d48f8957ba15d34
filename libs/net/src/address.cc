// Socket addresses from text.
#include "net/address.h"

#include <charconv>
#include <string>

#include "details/address.h"

namespace balsambay::net {

GSocketAddress* ParseAddress(std::string_view address) {
  const size_t colon = address.rfind(':');
  if (colon == std::string_view::npos) return nullptr;
  std::string_view host = address.substr(0, colon);
  if (host.starts_with('[') && host.ends_with(']')) host = host.substr(1, host.size() - 2);
  const std::string_view digits = address.substr(colon + 1);
  unsigned port = 0;
  const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (parsed.ec != std::errc() || parsed.ptr != digits.data() + digits.size() || port > 65535) {
    return nullptr;
  }
  return g_inet_socket_address_new_from_string(std::string(host).c_str(), port);
}

bool IsAddress(std::string_view text) {
  GSocketAddress* parsed = ParseAddress(text);
  if (parsed == nullptr) return false;
  const bool has_port = g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(parsed)) != 0;
  g_object_unref(parsed);
  return has_port;
}

}  // namespace balsambay::net
