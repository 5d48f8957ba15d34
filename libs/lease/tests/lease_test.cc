// Tests of the lease.
#include <catch2/catch.hpp>

#include "lease/lease_row.h"

namespace balsambay::lease {
namespace {

TEST_CASE("settings without a usable lease are refused") {}

}  // namespace
}  // namespace balsambay::lease
