// Checks the grammar of replies (RFC 9112), and of the chunked bodies of requests, which is the
// same, before http_parser reads them. The library is packaged without its strict checks: it takes
// status codes of any length, blanks in field names, and any two bytes at the end of a chunk. No
// I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace balsambay::net {

enum class reply_fault : uint8_t {
  kNone,
  kStatusLine,
  kFieldName,
  kFieldLine,  // folded, or with a carriage return that does not end it
  kChunk,
};

// Value of the label "reason" of metrics and log lines.
std::string_view ToString(reply_fault fault);

enum class reply_phase : uint8_t {
  kStatusLine,
  kReason,
  kStatusLineEnd,  // after the carriage return
  kLineStart,      // of a field line, or of the empty line that ends a section
  kName,
  kValue,
  kLineEnd,     // after the carriage return
  kSectionEnd,  // after the carriage return of the empty line
  kHeadEnd,     // a head is whole
  kTrailerEnd,
  kBody,  // up to the length or the end of the connection; not checked
  kChunkSize,
  kChunkExtension,
  kChunkSizeEnd,  // after the carriage return
  kChunkData,
  kChunkDataEnd,      // before the carriage return
  kChunkDataLineEnd,  // after it
};

// Progress in the replies on one connection: interim ones and the final one.
struct reply_scanner {
  reply_phase phase = reply_phase::kStatusLine;
  reply_fault fault = reply_fault::kNone;
  size_t status_line_bytes = 0;
  size_t chunk_digits = 0;
  uint64_t chunk_bytes = 0;  // of the present chunk that are still to come
  bool in_trailer = false;
};

// Scans the next bytes, up to the end of a head. Returns how many of them are sound. If
// `state.fault` is set, the next one is at fault. If `state.phase` is kHeadEnd, one of the
// functions below has to be called before the rest is scanned.
size_t ScanReply(reply_scanner& state, std::string_view data);

// Say what follows the head: another reply, a body in chunks, or another body.
void ExpectReply(reply_scanner& state);
void ExpectChunks(reply_scanner& state);
void ExpectBody(reply_scanner& state);

}  // namespace balsambay::net
