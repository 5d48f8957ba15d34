// State machine over the bytes of a reply. A line of a head or trailer may end with a line feed
// alone (RFC 9112, 2.2).
#include "net/reply_scanner.h"

#include <algorithm>
#include <array>
#include <limits>

#include "details/http_grammar.h"

namespace balsambay::net {
namespace {

constexpr std::array<std::string_view, 5> kFaultNames = {"none", "status_line", "field_name",
                                                         "field_line", "chunk"};

// Form of a status line up to its code; 'd' stands for a digit, 'c' for the class of the code
// (RFC 9110, 15).
constexpr std::string_view kStatusLineForm = "HTTP/1.d cdd";

constexpr int kHexBase = 16;

// -1: no hexadecimal digit.
int HexValue(char c) {
  if (IsDigit(c)) return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

void Fail(reply_scanner& state, reply_fault fault) { state.fault = fault; }

// Whether `c` ends a line or begins its end.
bool IsLineEnd(char c) { return c == '\r' || c == '\n'; }

void EndSection(reply_scanner& state) {
  state.phase = state.in_trailer ? reply_phase::kTrailerEnd : reply_phase::kHeadEnd;
}

bool Matches(char form, char c) {
  if (form == 'd') return IsDigit(c);
  if (form == 'c') return c >= '1' && c <= '5';
  return c == form;
}

void EndStatusLine(reply_scanner& state, char c) {
  state.phase = c == '\r' ? reply_phase::kStatusLineEnd : reply_phase::kLineStart;
}

void ScanStatusLine(reply_scanner& state, char c) {
  if (state.status_line_bytes == kStatusLineForm.size()) {
    // Without a reason, the blank before it may be missing as well.
    if (IsLineEnd(c)) return EndStatusLine(state, c);
    if (c != ' ') return Fail(state, reply_fault::kStatusLine);
    state.phase = reply_phase::kReason;
    return;
  }
  const char form = kStatusLineForm[state.status_line_bytes++];
  if (!Matches(form, c)) Fail(state, reply_fault::kStatusLine);
}

void ScanReason(reply_scanner& state, char c) {
  if (IsLineEnd(c)) return EndStatusLine(state, c);
  if (!IsTextByte(c)) Fail(state, reply_fault::kStatusLine);
}

// A blank here folds the line before it. A gateway may reject a reply for this (RFC 9112, 5.2), and
// what is meant as a field of its own would otherwise become part of another one.
void ScanLineStart(reply_scanner& state, char c) {
  if (c == '\n') return EndSection(state);
  if (c == '\r') {
    state.phase = reply_phase::kSectionEnd;
  } else if (c == ' ' || c == '\t') {
    Fail(state, reply_fault::kFieldLine);
  } else if (IsTokenByte(c)) {
    state.phase = reply_phase::kName;
  } else {
    Fail(state, reply_fault::kFieldName);
  }
}

void ScanName(reply_scanner& state, char c) {
  if (c == ':') {
    state.phase = reply_phase::kValue;
  } else if (!IsTokenByte(c)) {
    Fail(state, reply_fault::kFieldName);
  }
}

// http_parser checks the bytes of a value.
void ScanValue(reply_scanner& state, char c) {
  if (IsLineEnd(c)) state.phase = c == '\r' ? reply_phase::kLineEnd : reply_phase::kLineStart;
}

void AddChunkDigit(reply_scanner& state, int digit) {
  if (state.chunk_bytes > std::numeric_limits<uint64_t>::max() / kHexBase) {
    return Fail(state, reply_fault::kChunk);
  }
  ++state.chunk_digits;
  state.chunk_bytes = state.chunk_bytes * kHexBase + static_cast<uint64_t>(digit);
}

void ScanChunkSize(reply_scanner& state, char c) {
  const int digit = HexValue(c);
  if (digit >= 0) return AddChunkDigit(state, digit);
  const bool has_extension = c == ';' || c == ' ' || c == '\t';
  if (state.chunk_digits == 0 || (c != '\r' && !has_extension)) {
    return Fail(state, reply_fault::kChunk);
  }
  state.phase = has_extension ? reply_phase::kChunkExtension : reply_phase::kChunkSizeEnd;
}

void ScanChunkExtension(reply_scanner& state, char c) {
  if (c == '\r') {
    state.phase = reply_phase::kChunkSizeEnd;
  } else if (!IsTextByte(c)) {
    Fail(state, reply_fault::kChunk);
  }
}

// The last chunk is followed by the trailer.
void EndChunkSize(reply_scanner& state) {
  state.in_trailer = state.chunk_bytes == 0;
  state.phase = state.in_trailer ? reply_phase::kLineStart : reply_phase::kChunkData;
}

void ScanByte(reply_scanner& state, char c) {
  switch (state.phase) {
    case reply_phase::kStatusLine:
      return ScanStatusLine(state, c);
    case reply_phase::kReason:
      return ScanReason(state, c);
    case reply_phase::kStatusLineEnd:
      if (c != '\n') return Fail(state, reply_fault::kStatusLine);
      state.phase = reply_phase::kLineStart;
      return;
    case reply_phase::kLineStart:
      return ScanLineStart(state, c);
    case reply_phase::kName:
      return ScanName(state, c);
    case reply_phase::kValue:
      return ScanValue(state, c);
    case reply_phase::kLineEnd:
      if (c != '\n') return Fail(state, reply_fault::kFieldLine);
      state.phase = reply_phase::kLineStart;
      return;
    case reply_phase::kSectionEnd:
      if (c != '\n') return Fail(state, reply_fault::kFieldLine);
      return EndSection(state);
    case reply_phase::kChunkSize:
      return ScanChunkSize(state, c);
    case reply_phase::kChunkExtension:
      return ScanChunkExtension(state, c);
    case reply_phase::kChunkSizeEnd:
      if (c != '\n') return Fail(state, reply_fault::kChunk);
      return EndChunkSize(state);
    case reply_phase::kChunkDataEnd:
      if (c != '\r') return Fail(state, reply_fault::kChunk);
      state.phase = reply_phase::kChunkDataLineEnd;
      return;
    case reply_phase::kChunkDataLineEnd:
      if (c != '\n') return Fail(state, reply_fault::kChunk);
      return ExpectChunks(state);
    case reply_phase::kHeadEnd:
    case reply_phase::kTrailerEnd:
    case reply_phase::kBody:
    case reply_phase::kChunkData:
      return;
  }
}

// Takes what has arrived of the present chunk.
size_t TakeChunkData(reply_scanner& state, size_t size) {
  const size_t taken = std::min<uint64_t>(size, state.chunk_bytes);
  state.chunk_bytes -= taken;
  if (state.chunk_bytes == 0) state.phase = reply_phase::kChunkDataEnd;
  return taken;
}

}  // namespace

std::string_view ToString(reply_fault fault) { return kFaultNames.at(static_cast<size_t>(fault)); }

size_t ScanReply(reply_scanner& state, std::string_view data) {
  if (state.fault != reply_fault::kNone) return 0;
  size_t scanned = 0;
  while (scanned < data.size()) {
    if (state.phase == reply_phase::kBody || state.phase == reply_phase::kTrailerEnd) {
      return data.size();
    }
    if (state.phase == reply_phase::kChunkData) {
      scanned += TakeChunkData(state, data.size() - scanned);
      continue;
    }
    ScanByte(state, data[scanned]);
    if (state.fault != reply_fault::kNone) break;
    ++scanned;
    if (state.phase == reply_phase::kHeadEnd) break;
  }
  return scanned;
}

void ExpectReply(reply_scanner& state) { state = {}; }

void ExpectChunks(reply_scanner& state) {
  state = {};
  state.phase = reply_phase::kChunkSize;
}

void ExpectBody(reply_scanner& state) {
  state = {};
  state.phase = reply_phase::kBody;
}

}  // namespace balsambay::net
