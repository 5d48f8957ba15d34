// Replays a recorded trace through the admission gate and compares its decisions.
#include <catch2/catch.hpp>
#include <fstream>
#include <nlohmann/json.hpp>

#include "admission/gate.h"

namespace balsambay::admission {
namespace {

using nlohmann::json;

json ToJson(const effects& effects) {
  json decisions = json::array();
  for (const effect& effect : effects) {
    const std::string id = std::to_string(effect.id);
    const bool dispatch = effect.kind == effect_kind::kDispatch;
    decisions.push_back(dispatch ? "dispatch " + id
                                 : "refuse " + id + " " + std::string(ToString(effect.reason)));
  }
  return decisions;
}

void Configure(gate& state, const json& header) {
  std::vector<workspace_policy> policies;
  for (const json& policy : header["workspaces"]) {
    policies.push_back({policy[0], policy[1], policy[2], policy[3], policy[4], policy[5]});
  }
  SetWorkspaces(state, policies, time_point(0s));
  SetPool(state, "p", {header["pool"][0], header["pool"][1]}, time_point(0s));
}

effects Apply(gate& state, const json& line, time_point now) {
  if (line.contains("drain")) BeginDrain(state);
  if (line.contains("finish")) return Finish(state, line["finish"], now);
  if (line.contains("abandon")) return Abandon(state, line["abandon"], now);
  if (!line.contains("offer")) return Tick(state, now);
  const json& offer = line["offer"];
  const std::string workspace = offer[1];
  const duration timeout = std::chrono::milliseconds(offer[3].get<int>());
  const duration service = std::chrono::milliseconds(offer[4].get<int>());
  return Offer(state, {offer[0], workspace, "p", offer[2], now + timeout, service}, now);
}

TEST_CASE("replaying the full-queue trace gives its recorded dispatches and refusals") {
  std::ifstream file(BALSAMBAY_TEST_DATA "/full_queue.jsonl");
  std::string text;
  REQUIRE(std::getline(file, text));
  const json header = json::parse(text);
  REQUIRE(header["trace_format"] == 1);
  gate state;
  Configure(state, header);
  while (std::getline(file, text)) {
    INFO(text);
    const json line = json::parse(text);
    const time_point now(std::chrono::milliseconds(line["ms"].get<int>()));
    CHECK(ToJson(Apply(state, line, now)) == line["out"]);
  }
}

TEST_CASE("reasons keep their names, which are labels of counters") {
  CHECK(ToString(refusal_reason::kBadRequest) == "bad_request");
  CHECK(ToString(refusal_reason::kWorkspaceLimit) == "workspace_limit");
  CHECK(ToString(refusal_reason::kNotReady) == "not_ready");
  CHECK(ToString(retry_reason::kOverloaded) == "overloaded");
  for (size_t i = 0; i < kRefusalReasonCount; ++i) {
    const auto reason = static_cast<refusal_reason>(i);
    CHECK(ParseRefusalReason(ToString(reason)) == reason);
  }
  CHECK_FALSE(ParseRetryReason("late").has_value());
}

}  // namespace
}  // namespace balsambay::admission
