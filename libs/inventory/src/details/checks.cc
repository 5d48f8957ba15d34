// Checks across sections; see the header.
#include "details/checks.h"

#include <algorithm>

#include "details/address.h"
#include "details/reader.h"

namespace balsambay::inventory::details {
namespace {

using error_list = std::vector<field_error>;

std::string Path(std::string_view section, std::string_view id, std::string_view field = "") {
  const std::string path = JoinPath(JoinPath("", section), id);
  return field.empty() ? path : JoinPath(path, field);
}

// An empty id has been reported when it was read, or matches anything.
template <class Map>
void CheckReference(const Map& targets, std::string_view what, const std::string& id,
                    std::string path, error_list& errors) {
  if (id.empty() || targets.contains(id)) return;
  errors.push_back({std::move(path), "names the unknown " + std::string(what) + " \"" + id + "\""});
}

void CheckVms(const configuration& config, error_list& errors) {
  for (const auto& [id, value] : config.vms) {
    CheckReference(config.zones, "zone", value.zone, Path("vms", id, "zone"), errors);
    if (config.zones.contains(id)) {
      errors.push_back({Path("vms", id), "has the id of a zone, which makes links ambiguous"});
    }
  }
}

void CheckLayersInModel(const configuration& config, const endpoint& value, error_list& errors) {
  const auto it = config.models.find(value.model);
  if (it == config.models.end() || it->second.layers == 0) return;
  if (value.layers.end <= it->second.layers) return;
  errors.push_back({Path("endpoints", value.id, "layers"),
                    "ends after the " + std::to_string(it->second.layers) + " layers of model \"" +
                        value.model + "\""});
}

void CheckEndpoints(const configuration& config, error_list& errors) {
  for (const auto& [id, value] : config.endpoints) {
    CheckReference(config.vms, "VM", value.vm, Path("endpoints", id, "vm"), errors);
    CheckReference(config.models, "model", value.model, Path("endpoints", id, "model"), errors);
    CheckReference(config.services, "service", value.service, Path("endpoints", id, "service"),
                   errors);
    CheckLayersInModel(config, value, errors);
  }
}

void CheckAddresses(const configuration& config, error_list& errors) {
  std::map<std::string, std::string> owners;
  for (const auto& [id, value] : config.endpoints) {
    const std::string address = CanonicalAddress(value.address);
    if (address.empty()) continue;
    const auto [it, inserted] = owners.emplace(address, id);
    if (inserted) continue;
    errors.push_back({Path("endpoints", id, "address"),
                      "is the address of endpoint \"" + it->second + "\" too"});
  }
}

// Layers of [0, layers) in no range of `held`, which is sorted here.
std::vector<layer_range> Gaps(int layers, std::vector<layer_range> held) {
  std::ranges::sort(held, {}, &layer_range::first);
  std::vector<layer_range> gaps;
  int covered = 0;
  for (const layer_range& range : held) {
    if (range.first > covered) gaps.push_back({covered, range.first});
    covered = std::max(covered, range.end);
  }
  if (covered < layers) gaps.push_back({covered, layers});
  return gaps;
}

void CheckCoverage(const configuration& config, error_list& errors) {
  std::map<std::string_view, std::vector<layer_range>> held;
  for (const auto& [id, value] : config.endpoints) held[value.model].push_back(value.layers);
  for (const auto& [id, value] : config.models) {
    for (const layer_range& gap : Gaps(value.layers, held[id])) {
      errors.push_back({Path("models", id, "layers"), "no endpoint holds layers [" +
                                                          std::to_string(gap.first) + ", " +
                                                          std::to_string(gap.end) + ")"});
    }
  }
}

// With faulty endpoints or models, missing layers would be reported that only their errors cause.
bool HasErrorsBelow(const error_list& errors, std::string_view prefix) {
  return std::ranges::any_of(
      errors, [&](const field_error& error) { return error.path.starts_with(prefix); });
}

void CheckLinks(const configuration& config, error_list& errors) {
  for (const link& value : config.links) {
    const bool zones = config.zones.contains(value.from) && config.zones.contains(value.to);
    const bool vms = config.vms.contains(value.from) && config.vms.contains(value.to);
    if (zones || vms) continue;
    errors.push_back(
        {Path("links", value.from + ">" + value.to), "must name two known zones or two known VMs"});
  }
}

void CheckDigests(const configuration& config, error_list& errors) {
  std::map<std::string_view, std::string_view> owners;
  for (const auto& [id, value] : config.workspaces) {
    for (const std::string& digest : value.token_digests) {
      const auto [it, inserted] = owners.emplace(digest, id);
      if (inserted) continue;
      errors.push_back({Path("workspaces", id, "token_digests"),
                        "repeats a digest of workspace \"" + std::string(it->second) + "\""});
    }
  }
}

void CheckNeverRepeat(const configuration& config, error_list& errors) {
  for (size_t i = 0; i < config.policy.never_repeat.size(); ++i) {
    const never_repeat_rule& rule = config.policy.never_repeat[i];
    const std::string path = "/rules/never_repeat/" + std::to_string(i);
    CheckReference(config.workspaces, "workspace", rule.workspace, path + "/workspace", errors);
    CheckReference(config.models, "model", rule.model, path + "/model", errors);
    CheckReference(config.services, "service", rule.service, path + "/service", errors);
    if (!rule.model.empty() && !rule.service.empty()) {
      errors.push_back({path, "names a model and a service, so that it matches no request"});
    }
  }
}

// A record that expires while its request runs would let a duplicate run.
void CheckRecordLifetime(const rules& policy, error_list& errors) {
  if (policy.record_lifetime_s * 1000 >= policy.default_timeout_ms) return;
  errors.push_back({"/rules/record_lifetime_s", "must not be shorter than default_timeout_ms"});
}

}  // namespace

void CheckConfiguration(const configuration& config, std::vector<field_error>& errors) {
  CheckVms(config, errors);
  CheckEndpoints(config, errors);
  CheckAddresses(config, errors);
  CheckLinks(config, errors);
  CheckDigests(config, errors);
  CheckNeverRepeat(config, errors);
  CheckRecordLifetime(config.policy, errors);
  const bool trusted = !HasErrorsBelow(errors, "/endpoints") && !HasErrorsBelow(errors, "/models");
  if (trusted) CheckCoverage(config, errors);
}

}  // namespace balsambay::inventory::details
