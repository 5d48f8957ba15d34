// Address syntax; see the header.
#include "details/address.h"

#include <arpa/inet.h>

#include <charconv>

namespace balsambay::inventory::details {
namespace {

// 0 when `text` is no port. A leading zero is refused, so that a port has one spelling.
int ParsePort(std::string_view text) {
  int port = 0;
  const char* end = text.data() + text.size();
  if (text.empty() || text.front() < '1' || text.front() > '9') return 0;
  const auto [stop, failure] = std::from_chars(text.data(), end, port);
  return failure == std::errc() && stop == end && port <= 65535 ? port : 0;
}

std::string CanonicalIp(int family, const std::string& ip) {
  in6_addr binary{};  // large enough for both families
  char buffer[INET6_ADDRSTRLEN];
  if (inet_pton(family, ip.c_str(), &binary) != 1) return "";
  const char* text = inet_ntop(family, &binary, buffer, sizeof buffer);
  return text == nullptr ? "" : text;
}

bool IsUnspecified(std::string_view ip) { return ip == "0.0.0.0" || ip == "::"; }

}  // namespace

std::string CanonicalAddress(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || text.find('\0') != std::string_view::npos) return "";
  const int port = ParsePort(text.substr(colon + 1));
  std::string_view host = text.substr(0, colon);
  const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (bracketed) host = host.substr(1, host.size() - 2);
  const std::string ip = CanonicalIp(bracketed ? AF_INET6 : AF_INET, std::string(host));
  if (port == 0 || ip.empty() || IsUnspecified(ip)) return "";
  const std::string suffix = ":" + std::to_string(port);
  return bracketed ? "[" + ip + "]" + suffix : ip + suffix;
}

}  // namespace balsambay::inventory::details
