// Properties of the scanners that run before libsoup's parser, and of the choice of connections
// that are closed. Guards against a section or body whose end depends on how its bytes arrive, and
// against one that passes its limits.
#include "../src/details/head_scanner.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>

#include "../src/details/head_budget.h"

namespace balsambay::net {
namespace {

using std::chrono_literals::operator""s;

constexpr head_limits kLimits{.max_bytes = 200, .max_lines = 8};

struct outcome {
  head_verdict verdict = head_verdict::kIncomplete;
  size_t end = 0;  // of what was scanned, with the empty lines before it
  bool operator==(const outcome&) const = default;
};

// Scans as a connection does, with the bytes arriving in pieces of up to `piece` bytes.
outcome ScanInPieces(std::string_view text, size_t piece) {
  head_scanner state;
  size_t start = 0;
  for (size_t arrived = 0; arrived < text.size();) {
    arrived = std::min(text.size(), arrived + piece);
    head_verdict verdict = head_verdict::kEmptyLine;
    while (verdict == head_verdict::kEmptyLine) {
      const std::string_view rest = text.substr(start, arrived - start);
      verdict = ScanHead(state, kLimits, rest);
      if (verdict == head_verdict::kEmptyLine) start += rest.find('\n') + 1;
    }
    RC_ASSERT(state.bytes <= arrived - start);
    RC_ASSERT(state.lines <= kLimits.max_lines + 2);
    if (verdict == head_verdict::kComplete) return {verdict, start + state.bytes};
    if (verdict != head_verdict::kIncomplete) return {verdict, 0};
  }
  return {};
}

// Text of the bytes that matter to the scanners.
rc::Gen<std::string> Texts() {
  return rc::gen::container<std::string>(rc::gen::weightedElement<char>(
      {{4, '\n'}, {3, '\r'}, {3, 'a'}, {1, ':'}, {1, ';'}, {1, '0'}, {1, '5'}, {1, ' '}}));
}

TEST_CASE("the end of a header section does not depend on the pieces it arrives in") {
  CHECK(rc::check("any text", [] {
    std::string text;
    for (const std::string& part : *rc::gen::container<std::vector<std::string>>(Texts()))
      text += part;
    const size_t piece = *rc::gen::inRange<size_t>(1, 40);
    const outcome whole = ScanInPieces(text, 1);
    RC_ASSERT(ScanInPieces(text, piece) == whole);
    if (whole.verdict != head_verdict::kComplete) return;
    const std::string_view section = std::string_view(text).substr(0, whole.end);
    RC_ASSERT(section.ends_with("\n\n") || section.ends_with("\n\r\n"));
  }));
}

TEST_CASE("a chunked body ends at its last line, in whatever pieces it arrives") {
  CHECK(rc::check("chunks, extensions and trailers", [] {
    std::string text;
    for (int size : *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 10))) {
      text += std::to_string(size) + (*rc::gen::arbitrary<bool>() ? ";name=value" : "") + "\r\n" +
              std::string(static_cast<size_t>(size), '\n') + "\r\n";
    }
    const size_t trailers = *rc::gen::inRange<size_t>(0, 16);
    text += "0\r\n";
    for (size_t i = 0; i < trailers; ++i)
      text += *rc::gen::arbitrary<bool>() ? "a:\r\n" : "a: b\r\n";
    text += "\r\n";
    const size_t end = text.size();
    text += "GET / HTTP/1.1\r\n";
    chunk_scanner state;
    StartChunks(state, kLimits);
    const size_t piece = *rc::gen::inRange<size_t>(1, 40);
    size_t used = 0;
    while (used < text.size() && !state.complete && !state.failed) {
      used += ScanChunks(state, std::string_view(text).substr(used, piece));
    }
    RC_ASSERT(state.failed == (trailers > kLimits.max_lines));
    RC_ASSERT(state.complete == !state.failed);
    if (state.complete) RC_ASSERT(used == end);
  }));
  CHECK(rc::check("any text is taken or fails", [] {
    const std::string text = *Texts();
    chunk_scanner state;
    StartChunks(state, kLimits);
    const size_t used = ScanChunks(state, text);
    RC_ASSERT(used <= text.size());
    RC_ASSERT(state.complete || state.failed || used == text.size());
  }));
}

// Guards against closing the connection of a request that is executing, and against a small request
// that gets no room because large ones hold it.
TEST_CASE("room is made by the largest connections that wait longest") {
  const auto budget = std::make_shared<head_budget>(1000);
  std::vector<int> evicted;
  const auto make = [&](int number) {
    return std::make_unique<head_share>(
        budget, head_callbacks{.on_evicted = [&evicted, number] { evicted.push_back(number); },
                               .on_room = [] {}});
  };
  auto executing = make(0);
  auto old_one = make(1);
  auto new_one = make(2);
  auto small = make(3);
  const time_point start{};
  REQUIRE(executing->Resize(300) == grant::kGranted);
  executing->SetExecuting();
  old_one->SetWaiting(start + 1s);
  REQUIRE(old_one->Resize(300) == grant::kGranted);
  new_one->SetWaiting(start + 2s);
  REQUIRE(new_one->Resize(300) == grant::kGranted);
  small->SetWaiting(start);
  REQUIRE(small->Resize(90) == grant::kGranted);
  auto asking = make(4);
  CHECK(asking->Resize(600) == grant::kRefused);
  CHECK(asking->Resize(100) == grant::kWait);
  CHECK(evicted == std::vector<int>{1});
  CHECK(asking->Resize(100) == grant::kWait);  // the bytes are counted until they are freed
  CHECK(evicted.size() == 1);
  old_one.reset();
  CHECK(asking->Resize(100) == grant::kGranted);
}

}  // namespace
}  // namespace balsambay::net
