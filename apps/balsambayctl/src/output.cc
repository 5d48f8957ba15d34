// Output that all commands share.
#include <algorithm>
#include <nlohmann/json.hpp>

#include "commands.h"
#include "json_text.h"

namespace balsambay::ctl {

using json = nlohmann::json;

void Print(context& ctx, const json& data, const std::string& human) {
  if (ctx.opts.json) {
    ctx.out << JsonText(data, 2) << "\n";
  } else {
    ctx.out << human;
  }
  ctx.out.flush();
}

exit_code Fail(context& ctx, exit_code code, const std::string& message) {
  if (ctx.opts.json) {
    ctx.out << JsonText({{"exit_code", static_cast<int>(code)}, {"error", message}}, 2) << "\n";
  } else {
    ctx.err << "balsambayctl: " << message << "\n";
  }
  return code;
}

exit_code FailReply(context& ctx, const daemon_reply& reply) {
  return Fail(ctx, reply.code, "daemon " + reply.daemon + ": " + reply.problem);
}

exit_code FailErrors(context& ctx, const std::string& source,
                     std::span<const inventory::field_error> errors) {
  json list = json::array();
  for (const inventory::field_error& error : errors) {
    list.push_back({{"path", error.path}, {"message", error.message}});
    if (!ctx.opts.json) {
      ctx.err << source << ": " << CellText(error.path) << ": " << CellText(error.message) << "\n";
    }
  }
  if (ctx.opts.json) {
    const json data = {{"exit_code", static_cast<int>(kInvalidDocument)}, {"errors", list}};
    ctx.out << JsonText(data, 2) << "\n";
  }
  return kInvalidDocument;
}

exit_code CombinedCode(std::span<const daemon_reply> replies) {
  const auto failed =
      std::ranges::find_if(replies, [](const daemon_reply& reply) { return reply.code != kOk; });
  return failed == replies.end() ? kOk : failed->code;
}

}  // namespace balsambay::ctl
