// Route text; see the header.
#include "route_text.h"

#include "json_text.h"

namespace balsambay::ctl {
namespace {

std::string StageText(const nlohmann::json& stage) {
  const std::string endpoint = StringMember(stage, "endpoint");
  if (endpoint.empty()) return CellText(stage);
  if (!stage.contains("first")) return CellText(endpoint);
  return CellText(endpoint) + "[" + CellText(Member(stage, "first")) + "," +
         CellText(Member(stage, "end")) + ")";
}

}  // namespace

std::string RouteText(const nlohmann::json& stages) {
  if (!stages.is_array()) return CellText(stages);
  std::string out;
  for (const auto& stage : stages) out += (out.empty() ? "" : " > ") + StageText(stage);
  return out.empty() ? "-" : out;
}

}  // namespace balsambay::ctl
