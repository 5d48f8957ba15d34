// endpoints: state and load of back ends as one daemon sees them.
#include <algorithm>
#include <nlohmann/json.hpp>

#include "commands.h"
#include "json_text.h"
#include "text_table.h"

namespace balsambay::ctl {
namespace {

std::vector<std::string> ToRow(const nlohmann::json& endpoint) {
  std::vector<std::string> row;
  for (const char* name : {"id", "state", "usable", "in_flight", "reported_load", "zone"}) {
    row.push_back(CellText(Member(endpoint, name)));
  }
  return row;
}

}  // namespace

exit_code RunEndpoints(context& ctx) {
  const daemon_reply reply = CallAny(ctx.opts, {.path = "/admin/v1/endpoints", .body = nullptr});
  if (reply.code != kOk) return FailReply(ctx, reply);
  text_table table{.header = {"ENDPOINT", "STATE", "USABLE", "IN FLIGHT", "LOAD", "ZONE"},
                   .rows = {}};
  for (const auto& entry : Member(reply.body, "endpoints")) table.rows.push_back(ToRow(entry));
  std::ranges::sort(table.rows);
  Print(ctx, reply.body, FormatTable(table));
  return kOk;
}

}  // namespace balsambay::ctl
