// validate: checks a file without any daemon.
#include "commands.h"
#include "document_file.h"
#include "json_text.h"

namespace balsambay::ctl {

exit_code RunValidate(context& ctx) {
  const std::string& path = ctx.arguments.front();
  const document_file file = ReadValidDocument(ctx, path);
  if (file.code != kOk) return file.code;
  Print(ctx, {{"exit_code", 0}, {"errors", nlohmann::json::array()}},
        path + ": valid (" + SummaryText(file.document) + ")\n");
  return kOk;
}

}  // namespace balsambay::ctl
