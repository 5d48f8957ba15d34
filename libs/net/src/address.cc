// Socket addresses from text.
#include "details/address.h"

#include <charconv>
#include <string>

namespace balsambay::net {

GSocketAddress* ParseAddress(std::string_view address) {
  const size_t colon = address.rfind(':');
  if (colon == std::string_view::npos) return nullptr;
  const std::string host(address.substr(0, colon));
  const std::string_view digits = address.substr(colon + 1);
  unsigned port = 0;
  const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (parsed.ec != std::errc() || parsed.ptr != digits.data() + digits.size() || port > 65535) {
    return nullptr;
  }
  return g_inet_socket_address_new_from_string(host.c_str(), port);
}

}  // namespace balsambay::net
