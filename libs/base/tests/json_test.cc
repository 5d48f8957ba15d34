// JSON that other writers may store.
#include "base/json.h"

#include <catch2/catch.hpp>

namespace balsambay {
namespace {

// Guards against a process that ends because of the depth of somebody's value.
TEST_CASE("values nested too deep are no values") {
  const std::string deep(64, '[');
  CHECK(ParseJson(deep + std::string(64, ']')).is_array());
  CHECK(ParseJson(deep + "[" + std::string(65, ']')).is_discarded());
  CHECK(ParseJson(std::string(1'000'000, '[')).is_discarded());
  // Brackets in strings are text.
  CHECK(ParseJson("\"" + std::string(1000, '[') + R"(\"[")").is_string());
}

TEST_CASE("numbers beyond doubles and broken texts are no values") {
  for (const char* text : {"1e999", "{\"a\":1e999}", "", "{", "]", "\"\xff\"", "1 2"}) {
    CAPTURE(text);
    CHECK(ParseJson(text).is_discarded());
  }
}

// Guards against conversions that throw or wrap around.
TEST_CASE("members of another type or beyond their range are not there") {
  const auto body = ParseJson(
      R"({"n":7,"below":-1,"half":1.5,"large":1e300,"wraps":4294967296,"text":"t","list":[1]})");
  CHECK(WholeNumberIn(body, "n") == 7);
  CHECK(WholeNumberIn(body, "n", 7) == 7);
  CHECK_FALSE(WholeNumberIn(body, "n", 6));
  CHECK(WholeNumberIn(body, "wraps") == 4294967296);
  CHECK_FALSE(WholeNumberIn(body, "wraps", UINT32_MAX));
  for (const char* name : {"below", "half", "large", "text", "list", "absent"}) {
    CHECK_FALSE(WholeNumberIn(body, name));
  }
  CHECK(TextIn(body, "text") == "t");
  for (const char* name : {"n", "list", "absent"}) CHECK_FALSE(TextIn(body, name));
  CHECK_FALSE(TextIn(ParseJson("[1]"), "text"));
  CHECK_FALSE(WholeNumberIn(ParseJson("{"), "n"));
}

}  // namespace
}  // namespace balsambay
