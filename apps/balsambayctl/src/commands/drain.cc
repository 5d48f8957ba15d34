// drain and undrain: sent to every daemon, because each decides for itself where work goes.
#include <nlohmann/json.hpp>

#include "commands.h"
#include "json_text.h"
#include "text_table.h"

namespace balsambay::ctl {
namespace {

using json = nlohmann::json;

exit_code SetDrain(context& ctx, bool drain) {
  const std::string& endpoint = ctx.arguments.front();
  const auto replies = CallAll(ctx.opts, {.method = "POST",
                                          .path = "/admin/v1/drain",
                                          .body = {{"endpoint", endpoint}, {"drain", drain}}});
  json list = json::array();
  text_table table{.header = {"DAEMON", "RESULT"}, .rows = {}};
  const std::string done = drain ? "drained" : "undrained";
  for (const daemon_reply& reply : replies) {
    const std::string outcome = reply.code == kOk ? done : "failed: " + CellText(reply.problem);
    list.push_back({{"daemon", reply.daemon}, {"ok", reply.code == kOk}, {"result", outcome}});
    table.rows.push_back({reply.daemon, outcome});
  }
  Print(ctx, {{"endpoint", endpoint}, {"drain", drain}, {"daemons", list}}, FormatTable(table));
  return CombinedCode(replies);
}

}  // namespace

exit_code RunDrain(context& ctx) { return SetDrain(ctx, true); }

exit_code RunUndrain(context& ctx) { return SetDrain(ctx, false); }

}  // namespace balsambay::ctl
