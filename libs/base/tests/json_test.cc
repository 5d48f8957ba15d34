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

}  // namespace
}  // namespace balsambay
