// apply: compare-and-set of the configuration. A change is sent once; when its reply is lost, the
// configuration in force is read back and compared, never sent again.
#include <glib.h>

#include <nlohmann/json.hpp>

#include "commands.h"
#include "config_in_force.h"
#include "document_file.h"
#include "inventory/document.h"
#include "json_text.h"

namespace balsambay::ctl {
namespace {

using json = nlohmann::json;

// A committed change is in force at the daemon within 2 s, so 5 s of reading back see it unless the
// daemon is cut off.
constexpr int kReadBackTries = 25;
constexpr gulong kReadBackIntervalUs = 200000;

struct wanted_change {
  int64_t base_version = 0;
  const json& document;
};

exit_code ReportDone(context& ctx, int64_t version, const std::string& note) {
  const std::string number = std::to_string(version);
  Print(ctx, {{"exit_code", 0}, {"version", version}, {"note", note}},
        "version " + number + " " + note + "\n");
  return kOk;
}

exit_code ReportConflict(context& ctx, const wanted_change& wanted, int64_t in_force) {
  const std::string message = "conflict: the change is based on version " +
                              std::to_string(wanted.base_version) + ", but version " +
                              (in_force < 0 ? "?" : std::to_string(in_force)) +
                              " is in force; nothing was changed";
  if (!ctx.opts.json) return Fail(ctx, kConflict, message);
  Print(ctx,
        {{"exit_code", static_cast<int>(kConflict)}, {"error", message}, {"version", in_force}},
        "");
  return kConflict;
}

exit_code ReportInvalid(context& ctx, const daemon_reply& reply) {
  std::vector<inventory::field_error> errors;
  for (const json& entry : Member(reply.body, "errors")) {
    errors.push_back({StringMember(entry, "path"), StringMember(entry, "message")});
  }
  return FailErrors(ctx, "daemon " + reply.daemon, errors);
}

// kOk or kConflict when the version after the base tells the outcome, else kUnknownOutcome.
exit_code JudgeReadBack(const daemon_reply& reply, const wanted_change& wanted) {
  if (reply.code != kOk || !IsConfigReply(reply.body)) return kUnknownOutcome;
  const int64_t version = IntegerMember(reply.body, "version", -1);
  if (version != wanted.base_version + 1) return kUnknownOutcome;
  return Member(reply.body, "document") == wanted.document ? kOk : kConflict;
}

// Reads the configuration until it shows whether the change was committed. Only the version after
// the base can tell: a later one may have replaced the change or another one.
exit_code ReadBack(context& ctx, const wanted_change& wanted, const std::string& problem) {
  for (int i = 0; i < kReadBackTries; ++i) {
    const daemon_reply reply =
        CallAny(ctx.opts, {.path = std::string(kConfigPath), .body = nullptr});
    const int64_t version = IntegerMember(reply.body, "version", -1);
    const exit_code judged = JudgeReadBack(reply, wanted);
    if (judged == kOk) return ReportDone(ctx, version, "is in force (reply lost, read back)");
    if (judged == kConflict) return ReportConflict(ctx, wanted, version);
    if (version > wanted.base_version) break;
    g_usleep(kReadBackIntervalUs);
  }
  return Fail(ctx, kUnknownOutcome,
              "the outcome is unknown (" + problem + "); run diff before another apply");
}

exit_code Submit(context& ctx, const wanted_change& wanted) {
  const daemon_reply reply = CallAny(
      ctx.opts, {.method = "POST",
                 .path = std::string(kConfigPath),
                 .body = {{"base_version", wanted.base_version}, {"document", wanted.document}}});
  if (reply.code == kOk) {
    return ReportDone(ctx, IntegerMember(reply.body, "version", -1), "is committed");
  }
  if (reply.code == kUnknownOutcome || reply.status == 504) {
    return ReadBack(ctx, wanted, reply.problem);
  }
  if (reply.status == 409) {
    return ReportConflict(ctx, wanted, IntegerMember(reply.body, "version", -1));
  }
  if (reply.status == 422) return ReportInvalid(ctx, reply);
  if (reply.status == 503) {
    return Fail(ctx, kFailure, "not committed, nothing was changed: " + reply.problem);
  }
  return FailReply(ctx, reply);
}

}  // namespace

exit_code RunApply(context& ctx) {
  const document_file file = ReadValidDocument(ctx, ctx.arguments.front());
  if (file.code != kOk) return file.code;
  if (ctx.opts.base_version >= 0) return Submit(ctx, {ctx.opts.base_version, file.document});
  const config_in_force current = FetchConfig(ctx);
  if (current.code != kOk) return current.code;
  const std::vector<inventory::change> changes = inventory::Diff(current.document, file.document);
  if (changes.empty()) return ReportDone(ctx, current.version, "is in force already, no change");
  if (!ctx.opts.json) ctx.out << inventory::FormatDiff(changes);
  return Submit(ctx, {current.version, file.document});
}

}  // namespace balsambay::ctl
