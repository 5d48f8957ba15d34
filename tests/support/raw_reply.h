// A reply as the bytes on a caller's connection, read without the HTTP client of the product, which
// a gateway uses as well.
#pragma once

#include <cstdlib>
#include <string>
#include <string_view>

namespace balsambay::system_test {

struct raw_reply {
  std::string status_line;
  std::string head;  // field lines, each with its CRLF
  std::string body;
  bool whole = false;  // ends where its framing says, and nothing follows

  // Value of the field; empty: there is none. `name` is spelled as in the reply.
  std::string Field(const std::string& name) const {
    const std::string start = "\r\n" + name + ": ";
    const size_t found = ("\r\n" + head).find(start);
    if (found == std::string::npos) return {};
    const size_t begin = found + start.size() - 2;
    return head.substr(begin, head.find("\r\n", begin) - begin);
  }
};

// Appends the data of the chunks to `reply.body`.
inline void ReadChunks(std::string_view rest, raw_reply& reply) {
  for (;;) {
    const size_t line_end = rest.find("\r\n");
    if (line_end == std::string_view::npos) return;
    const size_t size = std::strtoul(std::string(rest.substr(0, line_end)).c_str(), nullptr, 16);
    rest.remove_prefix(line_end + 2);
    if (size == 0) {
      reply.whole = rest == "\r\n";
      return;
    }
    reply.body += rest.substr(0, size);
    if (rest.size() < size + 2 || rest.substr(size, 2) != "\r\n") return;
    rest.remove_prefix(size + 2);
  }
}

inline raw_reply ReadRawReply(std::string_view bytes) {
  raw_reply reply;
  const size_t line_end = bytes.find("\r\n");
  const size_t head_end = bytes.find("\r\n\r\n");
  if (head_end == std::string_view::npos) return reply;
  reply.status_line = bytes.substr(0, line_end);
  reply.head = bytes.substr(line_end + 2, head_end - line_end);
  const std::string_view rest = bytes.substr(head_end + 4);
  if (reply.Field("Transfer-Encoding") == "chunked") {
    ReadChunks(rest, reply);
  } else {
    reply.body = rest;
    reply.whole = reply.Field("Content-Length") == std::to_string(rest.size());
  }
  return reply;
}

}  // namespace balsambay::system_test
