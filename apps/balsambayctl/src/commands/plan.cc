// plan: the throughput bound of models and what limits it.
#include <nlohmann/json.hpp>

#include "commands.h"
#include "config_in_force.h"
#include "json_text.h"
#include "route_text.h"
#include "text_table.h"

namespace balsambay::ctl {
namespace {

using json = nlohmann::json;

std::string LimitingText(const json& limiting) {
  std::string out;
  for (const json& entry : limiting)
    out += (out.empty() ? "" : ", ") + RouteText(json::array({entry}));
  return out.empty() ? "-" : out;
}

std::string PlanText(const std::string& model, const json& plan) {
  text_table table{.header = {"WEIGHT", "ROUTE"}, .rows = {}};
  for (const json& route : Member(plan, "routes")) {
    table.rows.push_back({CellText(Member(route, "weight")), RouteText(Member(route, "stages"))});
  }
  return "model " + CellText(model) +
         "\nbound: " + CellText(Member(plan, "bound_tokens_per_second")) +
         " tokens/s\nlimited by: " + LimitingText(Member(plan, "limiting")) + "\n" +
         FormatTable(table);
}

// The models to show; empty after a failure that has been reported in `code`.
std::vector<std::string> Models(context& ctx, exit_code& code) {
  if (!ctx.arguments.empty()) return ctx.arguments;
  const config_in_force current = FetchConfig(ctx);
  code = current.code;
  std::vector<std::string> out;
  const json& models = Member(current.document, "models");
  if (!models.is_object()) return out;
  for (const auto& [id, value] : models.items()) out.push_back(id);
  return out;
}

}  // namespace

exit_code RunPlan(context& ctx) {
  exit_code code = kOk;
  const std::vector<std::string> models = Models(ctx, code);
  if (code != kOk) return code;
  json plans = json::object();
  std::string human;
  for (const std::string& model : models) {
    const daemon_reply reply =
        CallAny(ctx.opts, {.path = "/admin/v1/plan?model=" + EncodeQuery(model), .body = nullptr});
    if (reply.code != kOk) return FailReply(ctx, reply);
    plans[model] = reply.body;
    human += (human.empty() ? "" : "\n") + PlanText(model, reply.body);
  }
  Print(ctx, {{"models", plans}}, human.empty() ? "no models\n" : human);
  return kOk;
}

}  // namespace balsambay::ctl
