// State machine over the bytes of a reply. A line of a head may end with a line feed
// alone (RFC 9112, 2.2).
#include "net/reply_scanner.h"

#include <array>

namespace balsambay::net {
namespace {

constexpr std::array<std::string_view, 2> kFaultNames = {"none", "status_line"};

// Form of a status line up to its code; 'd' stands for a digit, 'c' for the class of the code
// (RFC 9110, 15).
constexpr std::string_view kStatusLineForm = "HTTP/1.d cdd";

bool IsDigit(char c) { return c >= '0' && c <= '9'; }

// Visible, a blank, a tab or above 127.
bool IsTextByte(char c) {
  constexpr unsigned char kDelete = 0x7f;
  const auto byte = static_cast<unsigned char>(c);
  return c == '\t' || (byte >= ' ' && byte != kDelete);
}

void Fail(reply_scanner& state, reply_fault fault) { state.fault = fault; }

// Whether `c` ends a line or begins its end.
bool IsLineEnd(char c) { return c == '\r' || c == '\n'; }

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

void ScanLineStart(reply_scanner& state, char c) {
  if (c == '\n') {
    state.phase = reply_phase::kHeadEnd;
    return;
  }
  state.phase = c == '\r' ? reply_phase::kSectionEnd : reply_phase::kFieldLine;
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
    case reply_phase::kFieldLine:
      if (c == '\n') state.phase = reply_phase::kLineStart;
      return;
    case reply_phase::kSectionEnd:
      state.phase = reply_phase::kHeadEnd;
      return;
    case reply_phase::kHeadEnd:
    case reply_phase::kBody:
      return;
  }
}

}  // namespace

std::string_view ToString(reply_fault fault) { return kFaultNames.at(static_cast<size_t>(fault)); }

size_t ScanReply(reply_scanner& state, std::string_view data) {
  if (state.fault != reply_fault::kNone) return 0;
  size_t scanned = 0;
  while (scanned < data.size()) {
    if (state.phase == reply_phase::kBody) return data.size();
    ScanByte(state, data[scanned]);
    if (state.fault != reply_fault::kNone) break;
    ++scanned;
    if (state.phase == reply_phase::kHeadEnd) break;
  }
  return scanned;
}

void ExpectReply(reply_scanner& state) { state = {}; }

void ExpectBody(reply_scanner& state) {
  state = {};
  state.phase = reply_phase::kBody;
}

}  // namespace balsambay::net
