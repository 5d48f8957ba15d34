// Scanners of header sections and of chunked bodies.
#include "details/head_scanner.h"

#include <bit>

namespace balsambay::net {
namespace {

// RFC 9112, 2.2: a server should ignore at least one. Some clients send one after each body.
constexpr size_t kMaxEmptyLines = 16;
// Two strings of at least 32 bytes each, as malloc rounds them up, and two entries of 16 bytes.
constexpr size_t kBytesPerLine = 96;

int OnTrailer(http_parser* parser, const char*, size_t size) {
  auto& state = *static_cast<chunk_scanner*>(parser->data);
  state.in_name = false;
  state.trailer_bytes += size;
  return state.trailer_bytes > state.limits.max_bytes ? 1 : 0;
}

// Called for each piece of a name that arrives.
int OnTrailerName(http_parser* parser, const char* data, size_t size) {
  auto& state = *static_cast<chunk_scanner*>(parser->data);
  if (!state.in_name && ++state.trailer_lines > state.limits.max_lines) return 1;
  const int result = OnTrailer(parser, data, size);
  state.in_name = true;
  return result;
}

int OnComplete(http_parser* parser) {
  static_cast<chunk_scanner*>(parser->data)->complete = true;
  http_parser_pause(parser, 1);
  return 0;
}

http_parser_settings MakeSettings() {
  http_parser_settings out{};
  out.on_header_field = OnTrailerName;
  out.on_header_value = OnTrailer;
  out.on_message_complete = OnComplete;
  return out;
}

}  // namespace

head_verdict ScanHead(head_scanner& state, const head_limits& limits, std::string_view text) {
  while (state.bytes < text.size()) {
    const size_t newline = text.substr(0, limits.max_bytes).find('\n', state.bytes);
    if (newline == std::string_view::npos) {
      state.bytes = text.size();
      return text.size() >= limits.max_bytes ? head_verdict::kTooLarge : head_verdict::kIncomplete;
    }
    const std::string_view line = text.substr(state.line_start, newline - state.line_start);
    state.bytes = newline + 1;
    state.line_start = state.bytes;
    if (line.empty() || line == "\r") {
      if (state.lines > 0) return head_verdict::kComplete;
      state.bytes = 0;
      state.line_start = 0;
      return ++state.empty_lines > kMaxEmptyLines ? head_verdict::kTooManyEmptyLines
                                                  : head_verdict::kEmptyLine;
    }
    if (++state.lines > limits.max_lines + 1) return head_verdict::kTooManyLines;
  }
  return head_verdict::kIncomplete;
}

size_t ParserBytes(size_t bytes, size_t lines) {
  return std::bit_ceil(bytes) + bytes + kBytesPerLine * lines;
}

void StartChunks(chunk_scanner& state, const head_limits& limits) {
  state = {};
  state.limits = limits;
  ExpectChunks(state.grammar);
  http_parser_init(&state.parser, HTTP_REQUEST);
  // The parser takes the framing from a header section.
  static const http_parser_settings none{};
  constexpr std::string_view kHead = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  http_parser_execute(&state.parser, &none, kHead.data(), kHead.size());
  state.parser.data = &state;
}

size_t ScanChunks(chunk_scanner& state, std::string_view data) {
  static const http_parser_settings settings = MakeSettings();
  if (state.complete || state.failed || data.empty()) return 0;
  const size_t sound = ScanReply(state.grammar, data);
  // Without bytes, http_parser would take the connection for closed.
  const size_t used =
      sound == 0 ? 0 : http_parser_execute(&state.parser, &settings, data.data(), sound);
  const bool malformed = state.grammar.fault != reply_fault::kNone;
  state.failed = !state.complete && (malformed || HTTP_PARSER_ERRNO(&state.parser) != HPE_OK);
  return used;
}

}  // namespace balsambay::net
