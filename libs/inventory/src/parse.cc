// Parse: field checks by section, then checks across sections.
#include <algorithm>
#include <nlohmann/json.hpp>

#include "details/checks.h"
#include "details/sections.h"
#include "inventory/document.h"
#include "inventory/inventory.h"

namespace balsambay::inventory {
namespace {

using json = nlohmann::json;

void ReadSections(const json& document, parse_outcome& out) {
  details::object_reader root{document, "", out.errors, {}};
  details::ReadFormat(root);
  details::ReadZones(root, out.config);
  details::ReadVms(root, out.config);
  details::ReadModels(root, out.config);
  details::ReadEndpoints(root, out.config);
  details::ReadServices(root, out.config);
  details::ReadWorkspaces(root, out.config);
  details::ReadLinks(root, out.config);
  details::ReadRules(root, out.config);
  details::ReportUnknown(root);
}

void CopyZones(configuration& config) {
  for (auto& [id, value] : config.endpoints) {
    const auto it = config.vms.find(value.vm);
    if (it != config.vms.end()) value.zone = it->second.zone;
  }
}

}  // namespace

parse_outcome Parse(const json& document) {
  parse_outcome out;
  if (!document.is_object()) {
    out.errors.push_back({"", "the document must be an object"});
    return out;
  }
  ReadSections(document, out);
  details::CheckConfiguration(out.config, out.errors);
  CopyZones(out.config);
  std::ranges::stable_sort(out.errors, {}, &field_error::path);
  return out;
}

parse_outcome ParseText(std::string_view text) {
  parse_outcome out;
  const std::optional<json> document = ReadText(text, out.errors);
  return document ? Parse(*document) : out;
}

}  // namespace balsambay::inventory
