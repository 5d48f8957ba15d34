// diff: changes between two documents.
#include <nlohmann/json.hpp>

#include "commands.h"
#include "config_in_force.h"
#include "document_file.h"
#include "inventory/document.h"

namespace balsambay::ctl {
namespace {

using json = nlohmann::json;

json ToJson(const inventory::change& entry) {
  json out = {{"path", entry.path}};
  if (!entry.before.empty()) out["before"] = json::parse(entry.before, nullptr, false);
  if (!entry.after.empty()) out["after"] = json::parse(entry.after, nullptr, false);
  return out;
}

exit_code PrintDiff(context& ctx, const json& before, const json& after) {
  const std::vector<inventory::change> changes = inventory::Diff(before, after);
  json list = json::array();
  for (const inventory::change& entry : changes) list.push_back(ToJson(entry));
  Print(ctx, {{"changes", list}},
        changes.empty() ? "no differences\n" : inventory::FormatDiff(changes));
  return kOk;
}

exit_code DiffWithDaemon(context& ctx, const json& after) {
  if (ctx.opts.daemons.empty()) {
    return Fail(ctx, kUsage, "one file is compared with a daemon; use --daemon");
  }
  const result<void> checked = CheckAddresses(ctx.opts.daemons);
  if (checked.has_error()) return Fail(ctx, kUsage, checked.error().detail);
  const config_in_force current = FetchConfig(ctx);
  return current.code == kOk ? PrintDiff(ctx, current.document, after) : current.code;
}

}  // namespace

exit_code RunDiff(context& ctx) {
  const document_file first = ReadDocument(ctx, ctx.arguments.front());
  if (first.code != kOk) return first.code;
  if (ctx.arguments.size() == 1) return DiffWithDaemon(ctx, first.document);
  const document_file second = ReadDocument(ctx, ctx.arguments.back());
  return second.code == kOk ? PrintDiff(ctx, first.document, second.document) : second.code;
}

}  // namespace balsambay::ctl
