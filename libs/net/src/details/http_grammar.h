// Bytes that the grammar of HTTP allows (RFC 9110, 5), for the scanners of requests and replies.
#pragma once

#include <string_view>

namespace balsambay::net {

inline bool IsDigit(char c) { return c >= '0' && c <= '9'; }

// Of a token (RFC 9110, 5.6.2): the name of a field, a method.
inline bool IsTokenByte(char c) {
  constexpr std::string_view kPunctuation = "!#$%&'*+-.^_`|~";
  const bool is_letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
  return is_letter || IsDigit(c) || kPunctuation.find(c) != std::string_view::npos;
}

// Visible, a blank, a tab or above 127.
inline bool IsTextByte(char c) {
  constexpr unsigned char kDelete = 0x7f;
  const auto byte = static_cast<unsigned char>(c);
  return c == '\t' || (byte >= ' ' && byte != kDelete);
}

}  // namespace balsambay::net
