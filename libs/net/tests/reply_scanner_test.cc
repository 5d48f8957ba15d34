// Properties of the scanner of replies. Guards against a verdict that depends on how the bytes of a
// reply arrive, and against one that takes a byte which HTTP's grammar does not allow.
#include "net/reply_scanner.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>

namespace balsambay::net {
namespace {

struct outcome {
  size_t sound = 0;
  reply_fault fault = reply_fault::kNone;
  bool operator==(const outcome&) const = default;
};

// Scans as a connection does, with the bytes arriving in pieces of up to `piece` bytes: an interim
// reply, if there is a second head, and a body in chunks after the last one.
outcome ScanInPieces(std::string_view text, size_t piece, int interim_replies) {
  reply_scanner state;
  size_t sound = 0;
  while (sound < text.size()) {
    std::string_view arrived = text.substr(sound, piece);
    while (!arrived.empty()) {
      const size_t scanned = ScanReply(state, arrived);
      RC_ASSERT(scanned <= arrived.size());
      sound += scanned;
      arrived.remove_prefix(scanned);
      if (state.fault != reply_fault::kNone) return {sound, state.fault};
      if (state.phase != reply_phase::kHeadEnd) continue;
      if (interim_replies-- > 0) {
        ExpectReply(state);
      } else {
        ExpectChunks(state);
      }
    }
  }
  return {sound, state.fault};
}

constexpr std::string_view kNameBytes =
    "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ";

rc::Gen<std::string> Names() {
  return rc::gen::nonEmpty(rc::gen::container<std::string>(rc::gen::elementOf(kNameBytes)));
}

// Field lines with their ends.
std::string AnyFields() {
  std::string text;
  for (const std::string& name : *rc::gen::container<std::vector<std::string>>(Names())) {
    text += name + *rc::gen::element<std::string>(":", ": 1", ":\t a : b\xc3\xa9 ");
    text += *rc::gen::element<std::string>("\r\n", "\n");
  }
  return text;
}

std::string AnyHead() {
  const int status = *rc::gen::inRange(100, 600);
  return *rc::gen::element<std::string>("HTTP/1.1 ", "HTTP/1.0 ") + std::to_string(status) +
         *rc::gen::element<std::string>("", " ", " OK", " \t\xc3\xa9 000") + "\r\n" + AnyFields() +
         "\r\n";
}

std::string AnyReply(int interim_replies) {
  std::string text;
  for (int i = 0; i <= interim_replies; ++i) text += AnyHead();
  for (const int size : *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 10))) {
    text += std::to_string(size) + *rc::gen::element<std::string>("", ";a=b") + "\r\n" +
            std::string(static_cast<size_t>(size), '\r') + "\r\n";
  }
  return text + "0\r\n" + AnyFields() + "\r\n";
}

TEST_CASE("replies in HTTP's grammar are sound, in whatever pieces they arrive") {
  CHECK(rc::check("heads, chunks and trailers", [] {
    const int interim_replies = *rc::gen::inRange(0, 3);
    const std::string text = AnyReply(interim_replies);
    const size_t piece = *rc::gen::inRange<size_t>(1, 60);
    RC_ASSERT(ScanInPieces(text, piece, interim_replies) == (outcome{text.size()}));
  }));
}

TEST_CASE("the verdict does not depend on the pieces in which a reply arrives") {
  CHECK(rc::check("replies with one byte replaced", [] {
    const int interim_replies = *rc::gen::inRange(0, 3);
    std::string text = AnyReply(interim_replies);
    text.at(*rc::gen::inRange<size_t>(0, text.size())) = *rc::gen::arbitrary<char>();
    const size_t piece = *rc::gen::inRange<size_t>(1, 60);
    RC_ASSERT(ScanInPieces(text, piece, interim_replies) == ScanInPieces(text, 1, interim_replies));
  }));
}

TEST_CASE("each byte that is not of a token is at fault in a name") {
  constexpr int kBytes = 256;
  for (int value = 0; value < kBytes; ++value) {
    const char byte = static_cast<char>(value);
    const bool in_names = kNameBytes.find(byte) != std::string_view::npos;
    if (byte == ':') continue;
    const std::string start = "HTTP/1.1 200 OK\r\nX";
    reply_scanner state;
    CAPTURE(value);
    const size_t sound = ScanReply(state, start + byte + "Y: 1\r\n\r\n");
    CHECK((state.fault == reply_fault::kNone) == in_names);
    if (!in_names) CHECK(state.fault == reply_fault::kFieldName);
    if (!in_names) CHECK(sound == start.size());
  }
}

TEST_CASE("each status from 100 to 599 is sound, and no other one") {
  constexpr int kStatuses = 1000;
  for (int status = 0; status < kStatuses; ++status) {
    const std::string digits = std::to_string(kStatuses + status).substr(1);
    reply_scanner state;
    CAPTURE(digits);
    ScanReply(state, "HTTP/1.1 " + digits + " OK\r\n\r\n");
    CHECK((state.phase == reply_phase::kHeadEnd) == (status >= 100 && status < 600));
  }
}

}  // namespace
}  // namespace balsambay::net
