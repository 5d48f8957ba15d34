// The commands and what they share. Each command prints its result and returns an exit code.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <ostream>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "admin_client.h"
#include "exit_code.h"
#include "inventory/inventory.h"
#include "options.h"

namespace balsambay::ctl {

struct context {
  options opts;
  std::vector<std::string> arguments;  // positional, without the command's name
  std::ostream& out;
  std::ostream& err;
};

struct command {
  std::string_view name;
  std::string_view arguments;  // for the help text
  size_t min_arguments = 0;
  size_t max_arguments = 0;
  bool needs_daemon = false;
  std::vector<std::string_view> flags;  // besides the common ones
  std::string_view summary;
  exit_code (*run)(context&) = nullptr;
};

std::span<const command> Commands();

// Prints `data` with --json, else `human`.
void Print(context& ctx, const nlohmann::json& data, const std::string& human);

// Reports a failure: on stderr, or with --json as {"exit_code","error"} on stdout.
exit_code Fail(context& ctx, exit_code code, const std::string& message);

// Fail() with the daemon and its problem.
exit_code FailReply(context& ctx, const daemon_reply& reply);

// Reports the errors of a document and returns kInvalidDocument. `source` names the document.
exit_code FailErrors(context& ctx, const std::string& source,
                     std::span<const inventory::field_error> errors);

// The exit code for answers of several daemons: the first that is not kOk.
exit_code CombinedCode(std::span<const daemon_reply> replies);

exit_code RunValidate(context& ctx);
exit_code RunDiff(context& ctx);
exit_code RunApply(context& ctx);
exit_code RunShow(context& ctx);
exit_code RunStatus(context& ctx);
exit_code RunEndpoints(context& ctx);
exit_code RunPlan(context& ctx);
exit_code RunExplain(context& ctx);
exit_code RunDrain(context& ctx);
exit_code RunUndrain(context& ctx);
exit_code RunReasons(context& ctx);
exit_code RunCompletion(context& ctx);

}  // namespace balsambay::ctl
