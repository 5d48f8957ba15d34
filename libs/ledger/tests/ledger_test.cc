// Tests of the ledger.
#include "ledger/ledger.h"

#include <catch2/catch.hpp>

namespace balsambay::ledger {
namespace {

TEST_CASE("settings without a usable lease are refused") {
  settings settings;
  CHECK(Validate(settings).has_error());
  settings.self = "a#1";
  CHECK(Validate(settings).has_value());
}

}  // namespace
}  // namespace balsambay::ledger
