// Questions to a parsed configuration.
#include "inventory/inventory.h"

#include <algorithm>

#include "base/hash.h"

namespace balsambay::inventory {

std::string FindWorkspaceByToken(const configuration& config, std::string_view bearer_token) {
  const std::string digest = Sha256Hex(bearer_token);
  const auto found = std::ranges::find_if(config.workspaces, [&](const auto& entry) {
    return std::ranges::any_of(entry.second.token_digests, [&](const std::string& candidate) {
      return ConstantTimeEqual(candidate, digest);
    });
  });
  return found == config.workspaces.end() ? std::string() : found->first;
}

bool IsNonRepeatable(const configuration& config, std::string_view workspace,
                     std::string_view model, std::string_view service) {
  const auto service_it = config.services.find(service);
  if (service_it != config.services.end() && !service_it->second.repeatable) return true;
  const auto matches = [](std::string_view pattern, std::string_view value) {
    return pattern.empty() || pattern == value;
  };
  return std::ranges::any_of(config.policy.never_repeat, [&](const never_repeat_rule& rule) {
    return matches(rule.workspace, workspace) && matches(rule.model, model) &&
           matches(rule.service, service);
  });
}

}  // namespace balsambay::inventory
