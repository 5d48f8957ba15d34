// completion: a bash script generated from the table of commands.
#include <nlohmann/json.hpp>

#include "commands.h"

namespace balsambay::ctl {
namespace {

std::string FlagWords(std::span<const std::string_view> names) {
  std::string out;
  for (const std::string_view name : names) out += " --" + std::string(name);
  return out;
}

// One line of the case statement: the words that may follow a command.
std::string CaseLine(const command& entry) {
  std::string words = FlagWords(entry.flags) + FlagWords(CommonFlags());
  if (entry.name == "completion") words += " bash";
  return "    " + std::string(entry.name) + ") words='" + words.substr(1) + "' ;;\n";
}

std::string BashScript() {
  std::string names;
  std::string cases;
  for (const command& entry : Commands()) {
    names += std::string(entry.name) + " ";
    cases += CaseLine(entry);
  }
  return "_balsambayctl() {\n"
         "  local current=${COMP_WORDS[COMP_CWORD]} words='" +
         names + "help --help'\n" + "  case ${COMP_WORDS[1]} in\n" + cases +
         "  esac\n"
         "  [ \"$COMP_CWORD\" = 1 ] && words='" +
         names +
         "help --help'\n"
         "  mapfile -t COMPREPLY < <(compgen -W \"$words\" -- \"$current\")\n"
         "}\n"
         "complete -o default -F _balsambayctl balsambayctl\n";
}

}  // namespace

exit_code RunCompletion(context& ctx) {
  if (ctx.arguments.front() != "bash") return Fail(ctx, kUsage, "only bash is supported");
  ctx.out << BashScript();
  return kOk;
}

}  // namespace balsambay::ctl
