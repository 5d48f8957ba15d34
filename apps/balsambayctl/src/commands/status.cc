// status: the state of each daemon.
#include <map>
#include <nlohmann/json.hpp>

#include "commands.h"
#include "json_text.h"
#include "text_table.h"

namespace balsambay::ctl {
namespace {

using json = nlohmann::json;

json ToJson(const daemon_reply& reply) {
  json out = {{"daemon", reply.daemon}};
  if (reply.code == kOk) {
    out["status"] = reply.body;
  } else {
    out["error"] = reply.problem;
  }
  return out;
}

// "5 live, 1 suspect" of the members that the daemon knows.
std::string MembersText(const json& members) {
  std::map<std::string, int> counts;
  for (const json& member : members) ++counts[CellText(Member(member, "state"))];
  std::string out;
  for (const auto& [state, count] : counts) {
    out += (out.empty() ? "" : ", ") + std::to_string(count) + " " + state;
  }
  return out.empty() ? "-" : out;
}

std::vector<std::string> ToRow(const daemon_reply& reply) {
  if (reply.code != kOk) {
    return {reply.daemon, "-", "-", CellText(reply.problem), "-", "-", "-", "-", "-", "-"};
  }
  const json& body = reply.body;
  return {reply.daemon,
          CellText(Member(body, "id")),
          CellText(Member(body, "zone")),
          CellText(Member(body, "state")),
          CellText(Member(body, "ready")),
          CellText(Member(body, "version")),
          FormatAge(IntegerMember(body, "age_ms", -1)),
          CellText(Member(body, "in_flight")),
          std::to_string(SizeOfMember(body, "shards")),
          MembersText(Member(body, "members"))};
}

}  // namespace

exit_code RunStatus(context& ctx) {
  const auto replies = CallAll(ctx.opts, {.path = "/admin/v1/status", .body = nullptr});
  json list = json::array();
  text_table table{.header = {"DAEMON", "ID", "ZONE", "STATE", "READY", "VERSION", "AGE",
                              "IN FLIGHT", "SHARDS", "MEMBERS"},
                   .rows = {}};
  for (const daemon_reply& reply : replies) {
    list.push_back(ToJson(reply));
    table.rows.push_back(ToRow(reply));
  }
  Print(ctx, {{"daemons", list}}, FormatTable(table));
  return CombinedCode(replies);
}

}  // namespace balsambay::ctl
