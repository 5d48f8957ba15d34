// The table of commands, the help text and dispatch.
#include "run.h"

#include <algorithm>
#include <sstream>

#include "commands.h"
#include "text_table.h"

namespace balsambay::ctl {
namespace {

constexpr std::string_view kExitCodes =
    "Exit codes:\n"
    "  0  success\n"
    "  1  failure that no other code describes\n"
    "  2  wrong usage\n"
    "  3  the configuration document has errors\n"
    "  4  conflict: another change won, nothing was changed\n"
    "  5  a daemon cannot be reached\n"
    "  6  the outcome is unknown: the change may or may not be in force\n";

constexpr std::string_view kEnvironment =
    "Environment (flags take precedence):\n"
    "  BALSAMBAY_DAEMON       as --daemon\n"
    "  BALSAMBAY_ADMIN_TOKEN  as --admin_token\n";

std::string FlagLines(std::span<const std::string_view> names) {
  std::string out;
  for (const std::string_view name : names) {
    out += "    --" + std::string(name) + ": " + FlagHelp(name) + "\n";
  }
  return out;
}

std::string HelpText() {
  std::string out = "Usage: balsambayctl COMMAND [ARGUMENTS] [FLAGS]\n\nCommands:\n";
  for (const command& entry : Commands()) {
    out += "  " + std::string(entry.name);
    if (!entry.arguments.empty()) out += " " + std::string(entry.arguments);
    out += "\n    " + std::string(entry.summary) + "\n" + FlagLines(entry.flags);
  }
  out += "\nFlags of all commands:\n" + FlagLines(CommonFlags()) + "\n";
  out.append(kEnvironment).append("\n").append(kExitCodes);
  return out;
}

bool AsksForHelp(std::span<const std::string> arguments) {
  const auto is_help = [](const std::string& text) { return text == "--help" || text == "-h"; };
  return std::ranges::any_of(arguments, is_help) ||
         (!arguments.empty() && arguments.front() == "help");
}

const command* FindCommand(std::string_view name) {
  const auto commands = Commands();
  const auto it = std::ranges::find(commands, name, &command::name);
  return it == commands.end() ? nullptr : &*it;
}

bool Accepts(const command& entry, std::string_view flag) {
  return std::ranges::find(entry.flags, flag) != entry.flags.end() ||
         std::ranges::find(CommonFlags(), flag) != CommonFlags().end();
}

// Empty, or what is wrong with the arguments of `entry`.
std::string UsageProblem(const command& entry, const parsed_arguments& parsed) {
  const size_t count = parsed.positional.size() - 1;
  const std::string usage = std::string(entry.name) + " " + std::string(entry.arguments);
  if (count < entry.min_arguments) return "missing argument; usage: " + usage;
  if (count > entry.max_arguments) return "too many arguments; usage: " + usage;
  for (const std::string& flag : parsed.flags) {
    if (!Accepts(entry, flag)) return std::string(entry.name) + " does not take --" + flag;
  }
  return "";
}

void ApplyEnvironment(const environment& env, options& opts) {
  if (opts.daemons.empty()) opts.daemons = SplitList(env.daemon);
  if (opts.admin_token.empty()) opts.admin_token = env.admin_token;
}

std::string DaemonProblem(const options& opts) {
  if (opts.daemons.empty()) return "no daemon given; use --daemon or BALSAMBAY_DAEMON";
  const result<void> checked = CheckAddresses(opts.daemons);
  return checked.has_error() ? checked.error().detail : "";
}

exit_code Dispatch(const parsed_arguments& parsed, context& ctx) {
  if (parsed.positional.empty()) return Fail(ctx, kUsage, "no command given; see --help");
  const command* entry = FindCommand(parsed.positional.front());
  if (entry == nullptr) {
    return Fail(ctx, kUsage, "unknown command \"" + parsed.positional.front() + "\"; see --help");
  }
  std::string problem = UsageProblem(*entry, parsed);
  if (problem.empty() && entry->needs_daemon) problem = DaemonProblem(ctx.opts);
  if (!problem.empty()) return Fail(ctx, kUsage, problem);
  ctx.arguments.assign(parsed.positional.begin() + 1, parsed.positional.end());
  return entry->run(ctx);
}

}  // namespace

std::span<const command> Commands() {
  static const std::vector<command> commands = {
      {"validate", "FILE", 1, 1, false, {}, "check a configuration file", RunValidate},
      {"diff",
       "FILE [FILE]",
       1,
       2,
       false,
       {},
       "changes from the configuration in force, or from the first file, to the last file",
       RunDiff},
      {"apply",
       "FILE",
       1,
       1,
       true,
       {"base_version"},
       "put a configuration in force, unless another change came first",
       RunApply},
      {"show", "", 0, 0, true, {"document"}, "configuration in force at each daemon", RunShow},
      {"status", "", 0, 0, true, {}, "state of each daemon", RunStatus},
      {"endpoints", "", 0, 0, true, {}, "state and load of endpoints", RunEndpoints},
      {"plan", "[MODEL]", 0, 1, true, {}, "throughput bound, what limits it, routes", RunPlan},
      {"explain",
       "",
       0,
       0,
       true,
       {"workspace", "model", "service", "prompt"},
       "route that a request would take now, and why",
       RunExplain},
      {"drain", "ENDPOINT", 1, 1, true, {}, "give an endpoint no new work", RunDrain},
      {"undrain", "ENDPOINT", 1, 1, true, {}, "give an endpoint work again", RunUndrain},
      {"reasons",
       "",
       0,
       0,
       true,
       {"follow", "interval_ms", "polls"},
       "counters of refusals and retries by reason",
       RunReasons},
      {"completion", "bash", 1, 1, false, {}, "print a completion script", RunCompletion},
  };
  return commands;
}

int Run(std::span<const std::string> arguments, const environment& env, std::ostream& out,
        std::ostream& err) {
  if (AsksForHelp(arguments)) {
    out << HelpText();
    return kOk;
  }
  context ctx{.opts = {}, .arguments = {}, .out = out, .err = err};
  const result<parsed_arguments> parsed = ParseArguments(arguments);
  if (parsed.has_error()) return Fail(ctx, kUsage, parsed.error().detail);
  result<options> opts = OptionsFromFlags();
  if (opts.has_error()) return Fail(ctx, kUsage, opts.error().detail);
  ctx.opts = std::move(opts.value());
  ApplyEnvironment(env, ctx.opts);
  return Dispatch(parsed.value(), ctx);
}

}  // namespace balsambay::ctl
