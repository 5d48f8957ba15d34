// CBOR from other processes, which may be damaged.
#include "base/cbor.h"

#include <catch2/catch.hpp>
#include <string>

namespace balsambay {
namespace {

// Guards against a process that one datagram ends: the claimed size made the library throw.
TEST_CASE("an item of excessive size is refused") {
  const std::string count(8, '\x7a');
  for (const char kind : {'\x9b', '\xbb', '\x5b', '\x7b'}) {
    CHECK(ParseCbor(kind + count).is_discarded());
    CHECK(ParseCbor("\xa1\x61"
                    "a" +
                    (kind + count))
              .is_discarded());
  }
}

// Guards against a stack that a datagram of nested arrays uses up.
TEST_CASE("deeply nested items are refused") {
  CHECK(ParseCbor(std::string(65'000, '\x81')).is_discarded());
  CHECK(ParseCbor(std::string(20, '\x81') + "\x01").is_array());
}

TEST_CASE("cut items and trailing bytes are refused") {
  const std::string whole(
      "\xa1\x61"
      "a\x01",
      4);
  CHECK(ParseCbor(whole) == nlohmann::json{{"a", 1}});
  CHECK(ParseCbor(whole.substr(0, 3)).is_discarded());
  CHECK(ParseCbor(whole + "\x01").is_discarded());
  CHECK(ParseCbor("").is_discarded());
}

}  // namespace
}  // namespace balsambay
