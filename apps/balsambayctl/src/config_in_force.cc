// GET /admin/v1/config.
#include "config_in_force.h"

#include "json_text.h"

namespace balsambay::ctl {
bool IsConfigReply(const nlohmann::json& body) {
  const nlohmann::json& document = Member(body, "document");
  return IntegerMember(body, "version", -1) >= 0 && (document.is_object() || document.is_null());
}

config_in_force FetchConfig(context& ctx) {
  const daemon_reply reply = CallAny(ctx.opts, {.path = std::string(kConfigPath), .body = nullptr});
  config_in_force out{.daemon = reply.daemon, .document = nullptr};
  if (reply.code != kOk) {
    out.code = FailReply(ctx, reply);
  } else if (!IsConfigReply(reply.body)) {
    out.code = Fail(ctx, kFailure, "daemon " + reply.daemon + ": malformed configuration reply");
  } else {
    out.version = IntegerMember(reply.body, "version", -1);
    out.document = Member(reply.body, "document");
  }
  return out;
}

}  // namespace balsambay::ctl
