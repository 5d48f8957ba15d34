// Reading of configuration files; see the header.
#include "document_file.h"

#include <array>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <optional>
#include <sstream>

#include "inventory/document.h"
#include "json_text.h"

namespace balsambay::ctl {
namespace {

std::optional<std::string> ReadText(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) return std::nullopt;
  return text.str();
}

}  // namespace

document_file ReadDocument(context& ctx, const std::string& path) {
  errno = 0;
  const std::optional<std::string> text = ReadText(path);
  if (!text) {
    const std::string cause = errno == 0 ? "file is empty or no file" : std::strerror(errno);
    return {Fail(ctx, kFailure, "cannot read " + path + ": " + cause), nullptr};
  }
  std::vector<inventory::field_error> errors;
  std::optional<nlohmann::json> document = inventory::ReadText(*text, errors);
  if (!document) return {FailErrors(ctx, path, errors), nullptr};
  return {kOk, std::move(*document)};
}

document_file ReadValidDocument(context& ctx, const std::string& path,
                                inventory::configuration* config) {
  document_file file = ReadDocument(ctx, path);
  if (file.code != kOk) return file;
  inventory::parse_outcome parsed = inventory::Parse(file.document);
  if (!parsed.errors.empty()) return {FailErrors(ctx, path, parsed.errors), nullptr};
  if (config != nullptr) *config = std::move(parsed.config);
  return file;
}

std::string SummaryText(const nlohmann::json& document) {
  constexpr std::array<std::string_view, 6> kSections = {"zones",     "vms",      "models",
                                                         "endpoints", "services", "workspaces"};
  std::string out;
  for (const std::string_view section : kSections) {
    out += out.empty() ? "" : ", ";
    out += std::to_string(SizeOfMember(document, section)) + " " + std::string(section);
  }
  return out;
}

}  // namespace balsambay::ctl
