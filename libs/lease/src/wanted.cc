// JSON encoding of the wanted state.
#include <nlohmann/json.hpp>

#include "lease/orders.h"

namespace balsambay::lease {
namespace {

nlohmann::json ToJson(const endpoint_config& config) {
  return {{"model", config.model},
          {"version", config.version},
          {"adapters", config.adapters},
          {"role", config.role}};
}

endpoint_config FromJson(const nlohmann::json& json) {
  return {json.value("model", ""), json.value("version", ""),
          json.value("adapters", std::vector<std::string>()), json.value("role", "")};
}

}  // namespace

std::string EncodeWanted(const wanted_state& wanted) {
  auto endpoints = nlohmann::json::object();
  for (const auto& [id, config] : wanted) endpoints[id] = ToJson(config);
  return nlohmann::json{{"endpoints", std::move(endpoints)}}.dump();
}

result<wanted_state> DecodeWanted(std::string_view value) {
  try {
    wanted_state wanted;
    const auto json = nlohmann::json::parse(value);
    for (const auto& [id, config] : json.at("endpoints").items()) wanted[id] = FromJson(config);
    return wanted;
  } catch (const nlohmann::json::exception& error) {
    return Failure(errc::kInvalidArgument, std::string("wanted state: ") + error.what());
  }
}

}  // namespace balsambay::lease
