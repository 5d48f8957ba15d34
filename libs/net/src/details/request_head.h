// Checks the header section of a request as it was received, and derives from it where the request
// ends (RFC 9112, 6). The headers that libsoup returns are no substitute: it leaves malformed lines
// out, joins folded ones and takes the last one of several values. No I/O.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace balsambay::net {

enum class head_fault : uint8_t {
  kNone,
  kRequestLine,
  kFieldLine,         // no field, folded, or with a byte that the grammar does not allow
  kContentLength,     // not a number of bytes
  kTransferEncoding,  // not "chunked" alone, beside a length, or in a request of HTTP/1.0
  kRepeatedField,     // a field that may stand once only
};

struct request_head {
  head_fault fault = head_fault::kNone;
  std::string_view field;   // the name of the field at fault, as this side spells it; may be empty
  bool chunked = false;     // the body comes in chunks
  uint64_t body_bytes = 0;  // otherwise its length
};

// Reads a whole section, up to and including its empty line. Lines may end with a line feed alone
// (RFC 9112, 2.2). `single_fields`: names of fields that may stand once only, besides those of the
// framing and Host.
request_head ReadRequestHead(std::string_view section, std::span<const std::string> single_fields);

}  // namespace balsambay::net
