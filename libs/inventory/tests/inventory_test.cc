// Tests of rules on repeatability and token lookup.
#include "inventory/inventory.h"

#include <catch2/catch.hpp>

#include "base/hash.h"

namespace balsambay::inventory {
namespace {

TEST_CASE("a service marked non-repeatable and a matching rule forbid repeats") {
  configuration config;
  config.services["booking"].repeatable = false;
  config.policy.never_repeat.push_back({.workspace = "w1", .model = "m1", .service = ""});
  CHECK(IsNonRepeatable(config, "w1", "", "booking"));
  CHECK(IsNonRepeatable(config, "w1", "m1", ""));
  CHECK_FALSE(IsNonRepeatable(config, "w2", "m1", ""));
}

TEST_CASE("only a known token names a workspace") {
  configuration config;
  config.workspaces["w1"].token_digests.push_back(Sha256Hex("secret"));
  CHECK(FindWorkspaceByToken(config, "secret") == "w1");
  CHECK(FindWorkspaceByToken(config, "Secret").empty());
}

}  // namespace
}  // namespace balsambay::inventory
