// Tests of parsing, validation and diff of configuration documents.
#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "inventory/document.h"
#include "inventory/inventory.h"

namespace balsambay::inventory {
namespace {

using json = nlohmann::json;

json ValidDocument() {
  static const json document = json::parse(R"({
    "format": 1,
    "zones": {"z1": {"region": "r1"}, "z2": {"region": "r1"}},
    "vms": {"v1": {"zone": "z1"}, "v2": {"zone": "z2"}},
    "models": {"m": {"layers": 8, "max_context_tokens": 4096}},
    "endpoints": {
      "e1": {"kind": "engine", "vm": "v1", "address": "127.0.0.1:9001", "accelerator": "a",
             "model": "m", "layers": [0, 5], "tokens_per_second": 100.5,
             "prefill_tokens_per_second": 1000, "checks_fencing": true},
      "e2": {"kind": "engine", "vm": "v2", "address": "[::1]:9002", "accelerator": "b",
             "accelerator_count": 8, "model": "m", "layers": [4, 8], "tokens_per_second": 90,
             "prefill_tokens_per_second": 900, "max_runs": 4},
      "s1": {"kind": "service", "vm": "v1", "address": "127.0.0.1:9003", "service": "book"}},
    "services": {"book": {"repeatable": false}},
    "workspaces": {"w": {"priority": 1, "share": 2, "max_requests": 10, "max_tokens": 1000,
                         "token_digests":
      ["2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"]}},
    "links": {"z1>z2": {"latency_us": 300, "megabytes_per_second": 1000},
              "v2>v1": {"latency_us": 0, "megabytes_per_second": 10}},
    "rules": {"retry_budget_ratio": 0.2, "record_lifetime_s": 3600,
              "never_repeat": [{"workspace": "w", "model": "m"}, {"service": "book"}]}})");
  return document;
}

TEST_CASE("a valid document is read completely; guards against members read into wrong fields") {
  const parse_outcome out = Parse(ValidDocument());
  for (const field_error& error : out.errors) UNSCOPED_INFO(error.path << ": " << error.message);
  REQUIRE(out.errors.empty());
  const endpoint& e1 = out.config.endpoints.at("e1");
  CHECK((e1.id == "e1" && e1.zone == "z1" && e1.address == "127.0.0.1:9001"));
  CHECK((e1.layers == layer_range{0, 5} && e1.checks_fencing && e1.max_runs == 16));
  CHECK((e1.tokens_per_second == 100.5 && e1.prefill_tokens_per_second == 1000));
  CHECK((out.config.endpoints.at("e2").accelerator_count == 8));
  CHECK(out.config.endpoints.at("s1").kind == endpoint_kind::kService);
  CHECK_FALSE(out.config.services.at("book").repeatable);
  CHECK(out.config.workspaces.at("w").max_tokens == 1000);
  CHECK(out.config.models.at("m").hidden_bytes_per_token == 8192);
  CHECK((out.config.links.size() == 2 && out.config.links[0].from == "v2"));
  CHECK(out.config.policy.record_lifetime_s == 3600);
  CHECK(out.config.policy.never_repeat[1].service == "book");
}

TEST_CASE("each fault is reported at the path of its field; guards against silent acceptance") {
  const double nan = std::nan("");
  const std::vector<std::pair<std::string, json>> faults = {
      {"/format", 2},
      {"/zones", json::array()},
      {"/surprise", 1},
      {"/zones/", json::object({{"region", "r"}})},
      {"/zones/a b", json::object({{"region", "r"}})},
      {"/zones/a~1b", json::object({{"region", "r"}})},
      {"/zones/z1/region", ""},
      {"/vms/v1/zone", "nowhere"},
      {"/vms/z1", json::object({{"zone", "z1"}})},
      {"/models/m", 3},
      {"/models/m/layers", 0},
      {"/models/m/layers", 8.5},
      {"/models/m/layers", 9},
      {"/models/m/max_context_tokens", std::numeric_limits<uint64_t>::max()},
      {"/endpoints/e1/kind", "robot"},
      {"/endpoints/e1/service", "book"},
      {"/endpoints/e1/zone", "z1"},
      {"/endpoints/e1/vm", "v9"},
      {"/endpoints/e1/model", "m9"},
      {"/endpoints/s1/service", "s9"},
      {"/endpoints/s1/address", "127.0.0.1:9001"},
      {"/endpoints/e2/address", "[0:0::1]:9002x"},
      {"/endpoints/e1/address", "localhost:80"},
      {"/endpoints/e1/address", "10.0.0.1:0"},
      {"/endpoints/e1/address", "10.0.0.1:65536"},
      {"/endpoints/e1/address", "0.0.0.0:80"},
      {"/endpoints/e1/max_runs", -1},
      {"/endpoints/e1/max_runs", 5000000000},
      {"/endpoints/e1/checks_fencing", 1},
      {"/endpoints/e1/layers", json{5, 5}},
      {"/endpoints/e1/layers", json{0, 9}},
      {"/endpoints/e1/layers", json{-1, 5}},
      {"/endpoints/e1/tokens_per_second", 0},
      {"/endpoints/e1/tokens_per_second", nan},
      {"/endpoints/e1/tokens_per_second", 1e300},
      {"/links/z1>z9", json::object({{"latency_us", 1}, {"megabytes_per_second", 1}})},
      {"/links/z1>v1", json::object({{"latency_us", 1}, {"megabytes_per_second", 1}})},
      {"/links/z1", json::object({{"latency_us", 1}, {"megabytes_per_second", 1}})},
      {"/links/z1>z2/megabytes_per_second", 0},
      {"/links/z1>z2/latency_us", -1},
      {"/workspaces/w/share", 0},
      {"/workspaces/w/token_digests/0", "ABC"},
      {"/rules/retry_budget_ratio", 1.5},
      {"/rules/record_lifetime_s", 59},
      {"/rules/never_repeat/0/workspace", "w9"},
      {"/rules/never_repeat/1/model", 7},
  };
  for (const auto& [path, value] : faults) {
    json document = ValidDocument();
    document[json::json_pointer(path)] = value;
    const parse_outcome out = Parse(document);
    INFO(path << " = " << value.dump());
    CHECK(std::ranges::any_of(out.errors, [&](const auto& error) { return error.path == path; }));
  }
}

TEST_CASE("each required member is missed and several errors are reported at once") {
  const std::vector<std::string> required = {"/format",
                                             "/zones",
                                             "/vms",
                                             "/models",
                                             "/endpoints",
                                             "/services",
                                             "/workspaces",
                                             "/zones/z1/region",
                                             "/models/m/layers",
                                             "/endpoints/e1/address",
                                             "/endpoints/s1/service",
                                             "/links/z1>z2/latency_us"};
  for (const std::string& path : required) {
    const json::json_pointer pointer(path);
    json document = ValidDocument();
    document[pointer.parent_pointer()].erase(pointer.back());
    const parse_outcome out = Parse(document);
    INFO(path);
    CHECK(std::ranges::any_of(out.errors, [&](const auto& error) {
      return error.path == path && error.message == "is missing";
    }));
  }
  json document = ValidDocument();
  document["vms"]["v1"]["zone"] = 3;
  document["models"]["m"]["layers"] = -2;
  document["rules"]["x"] = 1;
  CHECK(Parse(document).errors.size() == 3);
}

TEST_CASE("layers that no engine holds are reported; guards against a model that cannot run") {
  json document = ValidDocument();
  document["endpoints"]["e2"]["layers"] = {6, 7};
  const parse_outcome out = Parse(document);
  REQUIRE(out.errors.size() == 2);
  CHECK(out.errors[0].path == "/models/m/layers");
  CHECK(out.errors[0].message == "no endpoint holds layers [5, 6)");
  CHECK(out.errors[1].message == "no endpoint holds layers [7, 8)");
}

TEST_CASE("one token digest in two workspaces is refused; guards against mixed-up customers") {
  json document = ValidDocument();
  document["workspaces"]["w2"] = document["workspaces"]["w"];
  const parse_outcome out = Parse(document);
  REQUIRE(out.errors.size() == 1);
  CHECK(out.errors[0].path == "/workspaces/w2/token_digests");
}

TEST_CASE("text with syntax errors, equal members or deep nesting is refused") {
  const auto first_error = [](std::string_view text) { return ParseText(text).errors.at(0); };
  CHECK(ParseText(ValidDocument().dump()).errors.empty());
  CHECK(first_error("{").path.empty());
  CHECK(first_error("\"\xff\"").path.empty());
  CHECK(first_error("{\"a\": 1e999}").path.empty());
  CHECK(first_error(R"({"a": [0, {"b/c": 1, "b/c": 2}]})").path == "/a/1/b~1c");
  CHECK(ParseText(R"({"zones": {"z": 1, "z": 2}})").errors[0].message == "is defined twice");
  const std::string deep = std::string(100000, '[') + std::string(100000, ']');
  CHECK(first_error(deep).message == "is nested too deeply");
}

TEST_CASE("the diff names what was added, removed and changed") {
  const json before = ValidDocument();
  json after = before;
  after["zones"]["z3"] = {{"region", "r1"}};
  after["endpoints"].erase("s1");
  after["endpoints"]["e1"]["layers"] = {0, 6};
  after["models"]["a/b"] = 1;
  const std::string text = FormatDiff(Diff(before, after));
  CHECK(text.find("~ /endpoints/e1/layers: [0,5] -> [0,6]\n- /endpoints/s1: {") == 0);
  CHECK(text.find("+ /models/a~1b: 1\n+ /zones/z3: {\"region\":\"r1\"}\n") != std::string::npos);
  CHECK(Diff(before, before).empty());
}

// Pointers to all values below `value`, itself included.
void CollectPaths(const json& value, const json::json_pointer& path,
                  std::vector<json::json_pointer>& out) {
  out.push_back(path);
  if (value.is_object()) {
    for (const auto& [name, child] : value.items()) CollectPaths(child, path / name, out);
  }
  for (size_t i = 0; value.is_array() && i < value.size(); ++i) {
    CollectPaths(value[i], path / i, out);
  }
}

json RandomValue() {
  static const std::vector<json> values = {nullptr,
                                           true,
                                           0,
                                           -1,
                                           1,
                                           3,
                                           8,
                                           1 << 30,
                                           INT64_MIN,
                                           UINT64_MAX,
                                           0.5,
                                           -0.,
                                           std::nan(""),
                                           INFINITY,
                                           1e308,
                                           "",
                                           "m",
                                           "z1",
                                           "v2",
                                           "w",
                                           "e1",
                                           "\xff\x00",
                                           "127.0.0.1:9001",
                                           "service",
                                           json::array(),
                                           json{0, 8},
                                           json::array({json::array()}),
                                           json::object(),
                                           {{"zone", "z1"}},
                                           {{"region", "r"}}};
  return *rc::gen::elementOf(values);
}

void Mutate(json& document) {
  std::vector<json::json_pointer> paths;
  CollectPaths(document, json::json_pointer(), paths);
  const json::json_pointer path = *rc::gen::elementOf(paths);
  json& target = document[path];
  const int action = *rc::gen::inRange(0, 4);
  if (action == 0 || path.empty()) {
    target = RandomValue();
  } else if (action == 1 && document[path.parent_pointer()].is_object()) {
    document[path.parent_pointer()].erase(path.back());
  } else if (action == 2 && target.is_object()) {
    target[*rc::gen::element<std::string>("", "x", "z1", "e9", "a/b", "z2>z1")] = RandomValue();
  } else {
    const json copied = document[*rc::gen::elementOf(paths)];
    document[path] = copied;
  }
}

// The invariant stated at `configuration`, written independently of the parser.
bool KeepsInvariants(const configuration& config) {
  std::set<std::string> addresses;
  std::map<std::string, std::set<int>> held;
  const auto positive = [](double value) { return std::isfinite(value) && value > 0; };
  for (const auto& [id, e] : config.endpoints) {
    const bool engine = e.kind == endpoint_kind::kEngine;
    if (id.empty() || e.id != id || !addresses.insert(e.address).second) return false;
    if (!config.vms.contains(e.vm) || e.zone != config.vms.at(e.vm).zone) return false;
    if (e.max_runs <= 0 || e.accelerator_count <= 0) return false;
    if (!engine && !config.services.contains(e.service)) return false;
    if (!engine) continue;
    if (!config.models.contains(e.model)) return false;
    if (!positive(e.tokens_per_second) || !positive(e.prefill_tokens_per_second)) return false;
    if (e.layers.first < 0 || e.layers.first >= e.layers.end) return false;
    if (e.layers.end > config.models.at(e.model).layers) return false;
    for (int layer = e.layers.first; layer < e.layers.end; ++layer) held[e.model].insert(layer);
  }
  const auto whole = [&](const auto& entry) {
    return entry.second.layers > 0 && std::cmp_equal(held[entry.first].size(), entry.second.layers);
  };
  const auto zone_known = [&](const auto& entry) {
    return config.zones.contains(entry.second.zone);
  };
  const auto workspace_ok = [&](const auto& entry) {
    return positive(entry.second.share) && entry.second.max_requests > 0;
  };
  const auto link_ok = [&](const link& value) {
    const bool known = (config.zones.contains(value.from) && config.zones.contains(value.to)) ||
                       (config.vms.contains(value.from) && config.vms.contains(value.to));
    return known && positive(value.megabytes_per_second) && value.latency_us >= 0;
  };
  const auto rule_ok = [&](const never_repeat_rule& rule) {
    return (rule.workspace.empty() || config.workspaces.contains(rule.workspace)) &&
           (rule.model.empty() || config.models.contains(rule.model)) &&
           (rule.service.empty() || config.services.contains(rule.service));
  };
  return std::ranges::all_of(config.models, whole) && std::ranges::all_of(config.vms, zone_known) &&
         std::ranges::all_of(config.workspaces, workspace_ok) &&
         std::ranges::all_of(config.links, link_ok) &&
         std::ranges::all_of(config.policy.never_repeat, rule_ok);
}

TEST_CASE("mutated documents are refused with messages or keep the invariants") {
  int accepted = 0;
  const bool held = rc::check("mutations", [&] {
    json document = ValidDocument();
    const int mutations = *rc::gen::inRange(1, 4);
    for (int i = 0; i < mutations; ++i) Mutate(document);
    const parse_outcome out = Parse(document);
    for (const field_error& error : out.errors) RC_ASSERT(!error.message.empty());
    if (out.errors.empty()) ++accepted;
    RC_ASSERT(!out.errors.empty() || KeepsInvariants(out.config));
    Diff(ValidDocument(), document);
  });
  CHECK(held);
  CHECK(accepted > 0);  // otherwise the invariants were never checked
}

TEST_CASE("mutated text never crashes the parser") {
  const std::string valid = ValidDocument().dump();
  CHECK(rc::check("text mutations", [&] {
    std::string text = valid;
    const int mutations = *rc::gen::inRange(1, 6);
    for (int i = 0; i < mutations; ++i) {
      text[*rc::gen::inRange<size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
    }
    const parse_outcome out = ParseText(text);
    RC_ASSERT(!out.errors.empty() || KeepsInvariants(out.config));
  }));
}

}  // namespace
}  // namespace balsambay::inventory
