// Configuration files.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "commands.h"

namespace balsambay::ctl {

struct document_file {
  exit_code code = kOk;  // other than kOk: the failure has been reported
  nlohmann::json document;
};

// Reads a file of JSON text; the content is not validated.
document_file ReadDocument(context& ctx, const std::string& path);

// Reads and validates. `config` receives the parsed configuration when not null.
document_file ReadValidDocument(context& ctx, const std::string& path,
                                inventory::configuration* config = nullptr);

// "3 zones, 6 VMs, ..." of a document.
std::string SummaryText(const nlohmann::json& document);

}  // namespace balsambay::ctl
