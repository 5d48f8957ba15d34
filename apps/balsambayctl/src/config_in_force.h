// The configuration that a daemon has in force.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "commands.h"

namespace balsambay::ctl {

inline constexpr std::string_view kConfigPath = "/admin/v1/config";

struct config_in_force {
  exit_code code = kOk;  // other than kOk: the failure has been reported
  std::string daemon;    // that answered
  int64_t version = -1;
  nlohmann::json document;
};

// Asks the first daemon that answers. A daemon without any configuration has version 0 and the
// document null.
config_in_force FetchConfig(context& ctx);

// Whether a body of GET /admin/v1/config has a version and a document that can be compared.
bool IsConfigReply(const nlohmann::json& body);

}  // namespace balsambay::ctl
