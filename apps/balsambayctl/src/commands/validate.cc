// validate: checks a file without any daemon.
#include <algorithm>

#include "commands.h"
#include "document_file.h"
#include "json_text.h"

namespace balsambay::ctl {

exit_code RunValidate(context& ctx) {
  const std::string& path = ctx.arguments.front();
  inventory::configuration config;
  const document_file file = ReadValidDocument(ctx, path, &config);
  if (file.code != kOk) return file.code;
  nlohmann::json warnings = nlohmann::json::array();
  const bool admits_nobody = std::ranges::all_of(
      config.workspaces, [](const auto& entry) { return entry.second.token_digests.empty(); });
  if (admits_nobody) {
    warnings.push_back("no workspace has a token; all requests of callers are refused");
  }
  std::string text = path + ": valid (" + SummaryText(file.document) + ")\n";
  for (const auto& warning : warnings) text += "warning: " + warning.get<std::string>() + "\n";
  Print(ctx, {{"exit_code", 0}, {"errors", nlohmann::json::array()}, {"warnings", warnings}}, text);
  return kOk;
}

}  // namespace balsambay::ctl
