// explain: the route that a request would take now.
#include <nlohmann/json.hpp>

#include "commands.h"
#include "json_text.h"
#include "route_text.h"

namespace balsambay::ctl {
namespace {

std::string ExplainText(const nlohmann::json& body) {
  std::string out = "route: " + RouteText(Member(body, "route")) + "\n";
  for (const auto& reason : Member(body, "reasons")) out += "  " + CellText(reason) + "\n";
  return out;
}

}  // namespace

exit_code RunExplain(context& ctx) {
  const options& opts = ctx.opts;
  if (opts.workspace.empty()) return Fail(ctx, kUsage, "explain needs --workspace");
  if (opts.model.empty() == opts.service.empty()) {
    return Fail(ctx, kUsage, "explain needs either --model or --service");
  }
  nlohmann::json body = {{"workspace", opts.workspace}, {"prompt", opts.prompt}};
  body[opts.model.empty() ? "service" : "model"] = opts.model.empty() ? opts.service : opts.model;
  const daemon_reply reply =
      CallAny(opts, {.method = "POST", .path = "/admin/v1/explain", .body = body});
  if (reply.code == kUnknownOutcome) {  // nothing is changed by this call
    return Fail(ctx, kUnreachable, "daemon " + reply.daemon + ": " + reply.problem);
  }
  if (reply.code != kOk) return FailReply(ctx, reply);
  Print(ctx, reply.body, ExplainText(reply.body));
  return kOk;
}

}  // namespace balsambay::ctl
