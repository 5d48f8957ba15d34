// show: the configuration in force at each daemon.
#include <nlohmann/json.hpp>
#include <set>

#include "commands.h"
#include "config_in_force.h"
#include "document_file.h"
#include "json_text.h"
#include "text_table.h"

namespace balsambay::ctl {
namespace {

using json = nlohmann::json;

json ToJson(const daemon_reply& reply) {
  if (reply.code != kOk) return {{"daemon", reply.daemon}, {"error", reply.problem}};
  return {{"daemon", reply.daemon},
          {"version", Member(reply.body, "version")},
          {"age_ms", Member(reply.body, "age_ms")},
          {"document", Member(reply.body, "document")}};
}

std::vector<std::string> ToRow(const daemon_reply& reply) {
  if (reply.code != kOk) return {reply.daemon, "-", "-", CellText(reply.problem)};
  return {reply.daemon, CellText(Member(reply.body, "version")),
          FormatAge(IntegerMember(reply.body, "age_ms", -1)),
          SummaryText(Member(reply.body, "document"))};
}

exit_code PrintDocument(context& ctx) {
  const config_in_force current = FetchConfig(ctx);
  if (current.code == kOk) Print(ctx, current.document, JsonText(current.document, 2) + "\n");
  return current.code;
}

}  // namespace

exit_code RunShow(context& ctx) {
  if (ctx.opts.document) return PrintDocument(ctx);
  const auto replies = CallAll(ctx.opts, {.path = std::string(kConfigPath), .body = nullptr});
  json list = json::array();
  text_table table{.header = {"DAEMON", "VERSION", "AGE", "CONTENT"}, .rows = {}};
  std::set<std::string> versions;
  for (const daemon_reply& reply : replies) {
    list.push_back(ToJson(reply));
    table.rows.push_back(ToRow(reply));
    if (reply.code == kOk) versions.insert(CellText(Member(reply.body, "version")));
  }
  const std::string note = versions.size() > 1 ? "the daemons have different versions\n" : "";
  Print(ctx, {{"daemons", list}}, FormatTable(table) + note);
  return CombinedCode(replies);
}

}  // namespace balsambay::ctl
