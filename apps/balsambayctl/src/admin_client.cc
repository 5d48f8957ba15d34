// Calls and interpretation of their outcome; see the header.
#include "admin_client.h"

#include <glib.h>

#include <algorithm>

#include "http_client.h"
#include "inventory/document.h"
#include "json_text.h"

namespace balsambay::ctl {
namespace {

using json = nlohmann::json;

// RFC 9457 problem bodies say what is wrong in "detail", "reason" or "title".
std::string ProblemText(const daemon_reply& reply) {
  std::string out = "HTTP status " + std::to_string(reply.status);
  if (reply.status == 401 || reply.status == 403) out += " (admin token refused)";
  for (const char* name : {"detail", "reason", "title"}) {
    const std::string text = StringMember(reply.body, name);
    if (!text.empty()) return out.append(": ").append(text);
  }
  return out;
}

void FillFromError(const error& failure, bool has_effect, daemon_reply& out) {
  const bool unknown = failure.code == errc::kUnknownOutcome && has_effect;
  out.code = unknown ? kUnknownOutcome : kUnreachable;
  out.problem = failure.detail;
}

// Null when `text` is no JSON or nested so deeply that printing and comparing it, which recurse,
// could exhaust the stack. No reply of the admin API is nested more deeply than a document may be.
json ParseBody(const std::string& text) {
  std::vector<inventory::field_error> errors;
  return inventory::ReadText(text, errors).value_or(json());
}

}  // namespace

daemon_reply CallDaemon(const options& opts, const std::string& daemon, const admin_call& call) {
  daemon_reply out{.daemon = daemon, .problem = "", .text = "", .body = nullptr};
  const bool has_effect = !call.body.is_null();
  const result<http_reply> reply = Send({.method = call.method,
                                         .address = daemon,
                                         .path = call.path,
                                         .token = opts.admin_token,
                                         .body = has_effect ? JsonText(call.body) : "",
                                         .timeout = opts.timeout});
  if (reply.has_error()) {
    FillFromError(reply.error(), has_effect, out);
    return out;
  }
  out.status = reply.value().status;
  out.text = reply.value().body;
  out.body = ParseBody(out.text);
  out.code = out.status >= 200 && out.status < 300 ? kOk : kFailure;
  if (out.code != kOk) out.problem = ProblemText(out);
  return out;
}

std::vector<daemon_reply> CallAll(const options& opts, const admin_call& call) {
  std::vector<daemon_reply> out;
  for (const std::string& daemon : opts.daemons) out.push_back(CallDaemon(opts, daemon, call));
  return out;
}

daemon_reply CallAny(const options& opts, const admin_call& call) {
  daemon_reply last;
  for (const std::string& daemon : opts.daemons) {
    last = CallDaemon(opts, daemon, call);
    if (last.code != kUnreachable) break;
  }
  return last;
}

std::string EncodeQuery(std::string_view text) {
  const std::string copy(text);
  char* escaped = g_uri_escape_string(copy.c_str(), nullptr, FALSE);
  std::string out(escaped);
  g_free(escaped);
  return out;
}

}  // namespace balsambay::ctl
