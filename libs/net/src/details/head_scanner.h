// Finds the end of a request's header section and of a chunked body in the bytes of a connection,
// before libsoup parses them, and bounds what its parser allocates. No I/O.
#pragma once

#include <http_parser.h>

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "net/reply_scanner.h"

namespace balsambay::net {

struct head_limits {
  size_t max_bytes = 65536;
  size_t max_lines = 32768;
};

enum class head_verdict : uint8_t {
  kIncomplete,
  kComplete,
  kEmptyLine,  // before the section; the caller drops it
  kTooLarge,
  kTooManyLines,
  kTooManyEmptyLines,
};

// Progress in one header section and in the empty lines before it.
struct head_scanner {
  size_t bytes = 0;       // scanned so far
  size_t lines = 0;       // ended ones, with the request line
  size_t line_start = 0;  // offset of the current line
  size_t empty_lines = 0;
};

// Scans what has arrived since the last call, up to the end of the section as libsoup sees it.
// `text` begins where the section, or the empty line before it, begins; `state.bytes` is the end.
head_verdict ScanHead(head_scanner& state, const head_limits& limits, std::string_view text);

// Most bytes that libsoup's parser allocates for a section: its buffer, which is doubled as it
// grows, and for each line two strings and an entry of an array that is doubled as well.
size_t ParserBytes(size_t bytes, size_t lines);

// Progress in a chunked body. `parser.data` is the scanner itself, so that it does not move.
struct chunk_scanner {
  reply_scanner grammar;  // of chunks and trailers, which http_parser does not check strictly
  http_parser parser{};
  head_limits limits;
  bool in_name = false;  // of a trailer
  size_t trailer_lines = 0;
  size_t trailer_bytes = 0;
  bool complete = false;
  bool failed = false;  // malformed, or a limit of the trailers or of a chunk extension is exceeded
};

void StartChunks(chunk_scanner& state, const head_limits& limits);

// Takes the next bytes, up to the end of the body and its trailers. Returns how many.
size_t ScanChunks(chunk_scanner& state, std::string_view data);

}  // namespace balsambay::net
