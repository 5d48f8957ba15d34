// Lookups of the routing table.
#include "catalog/catalog.h"

#include <catch2/catch.hpp>

namespace balsambay::catalog {
namespace {

document Sample() {
  const auto add_route = [](document& out, const char* name, const char* host, const char* prefix) {
    route added;
    added.name = name;
    added.host = host;
    added.prefix = prefix;
    added.targets = {{name, 1}};
    out.routes.push_back(added);
  };
  document out;
  out.version = 3;
  add_route(out, "short", "a.example", "/x/");
  add_route(out, "long", "a.example", "/x/y/");
  add_route(out, "other", "b.example", "/x/");
  out.workspaces = {{.name = "w1", .priority = {}, .keys = {"k1", "k2"}},
                    {.name = "w2", .priority = 1, .keys = {"k3"}}};
  return out;
}

// Guards against a shorter prefix that hides a longer one, and against routes of another host.
TEST_CASE("the longest prefix of the host wins") {
  const catalog made = Build(Sample());
  CHECK(FindRoute(made, "a.example", "/x/y/z")->name == "long");
  CHECK(FindRoute(made, "A.Example:8080", "/x/q")->name == "short");
  CHECK(FindRoute(made, "b.example", "/x/y/z")->name == "other");
  CHECK(FindRoute(made, "a.example", "/xy") == nullptr);
  CHECK(FindRoute(made, "c.example", "/x/") == nullptr);
}

TEST_CASE("keys belong to workspaces") {
  const catalog made = Build(Sample());
  CHECK(FindWorkspace(made, "k2")->name == "w1");
  CHECK(FindWorkspace(made, "k3")->name == "w2");
  CHECK(FindWorkspace(made, "") == nullptr);
  CHECK(FindWorkspace(made, "k") == nullptr);
}

// Guards against a configuration without workspaces, or with an empty key, that admits everybody.
TEST_CASE("an empty list of workspaces asks for keys, a missing one does not") {
  document content = Sample();
  route anonymous = content.routes.front();
  anonymous.anonymous = true;
  content.workspaces = std::vector<workspace>();
  CHECK(NeedsKey(content, content.routes.front()));
  CHECK_FALSE(NeedsKey(content, anonymous));
  CHECK(SummarizeKeys(Build(content)).required);
  content.workspaces.reset();
  CHECK_FALSE(NeedsKey(content, content.routes.front()));
  CHECK_FALSE(SummarizeKeys(Build(content)).required);
}

TEST_CASE("nobody holds an empty key, and the last workspace owns a shared one") {
  document content = Sample();
  content.workspaces->front().keys.insert(content.workspaces->front().keys.end(), {"", "k3"});
  const catalog made = Build(content);
  CHECK(FindWorkspace(made, "") == nullptr);
  CHECK(FindWorkspace(made, "k3")->name == "w2");
  const key_summary summary = SummarizeKeys(made);
  CHECK(summary.usable == 3);
  CHECK(summary.unusable == 1);
  CHECK(summary.shared == 1);
}

// Guards against a target that gets requests although its weight is 0.
TEST_CASE("targets are picked by weight") {
  route split;
  split.targets = {{"none", 0}, {"nine", 90}, {"one", 10}};
  CHECK(PickTarget(split, 0.0).service == "nine");
  CHECK(PickTarget(split, 0.89).service == "nine");
  CHECK(PickTarget(split, 0.91).service == "one");
  CHECK(PickTarget(split, 0.999999).service == "one");
}

}  // namespace
}  // namespace balsambay::catalog
