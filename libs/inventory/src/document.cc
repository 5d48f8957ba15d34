// Text form of a document. nlohmann::json keeps the last of two equal members silently, so that an
// endpoint defined twice would lose its first definition; a parser callback reports it.
#include "inventory/document.h"

#include <nlohmann/json.hpp>
#include <set>

#include "details/reader.h"

namespace balsambay::inventory {
namespace {

using json = nlohmann::json;
using event = json::parse_event_t;

// An object or array that the parser is inside of.
struct frame {
  bool is_array = false;
  std::string token;            // last member name
  size_t next_index = 0;        // of an array
  std::set<std::string> names;  // of an object
};

// Follows the parser and reports duplicate members and too deep nesting.
struct document_watcher {
  std::vector<field_error>& errors;
  std::vector<frame> frames;
  bool too_deep = false;
};

std::string CurrentPath(const document_watcher& watcher) {
  std::string path;
  for (const frame& entry : watcher.frames) {
    path = details::JoinPath(path,
                             entry.is_array ? std::to_string(entry.next_index - 1) : entry.token);
  }
  return path;
}

void CountArrayElement(document_watcher& watcher) {
  if (!watcher.frames.empty() && watcher.frames.back().is_array) ++watcher.frames.back().next_index;
}

void Enter(document_watcher& watcher, bool is_array) {
  CountArrayElement(watcher);
  if (watcher.frames.size() >= kMaxDocumentDepth) {
    watcher.too_deep = true;
    watcher.errors.push_back({CurrentPath(watcher), "is nested too deeply"});
  }
  watcher.frames.push_back({.is_array = is_array, .token = "", .next_index = 0, .names = {}});
}

void SeeMember(document_watcher& watcher, const std::string& name) {
  watcher.frames.back().token = name;
  if (watcher.frames.back().names.insert(name).second) return;
  watcher.errors.push_back({CurrentPath(watcher), "is defined twice"});
}

void Watch(document_watcher& watcher, event what, const json& parsed) {
  switch (what) {
    case event::object_start:
      return Enter(watcher, false);
    case event::array_start:
      return Enter(watcher, true);
    case event::key:
      return SeeMember(watcher, parsed.get_ref<const std::string&>());
    case event::value:
      return CountArrayElement(watcher);
    case event::object_end:
    case event::array_end:
      return watcher.frames.pop_back();
  }
}

}  // namespace

std::optional<json> ReadText(std::string_view text, std::vector<field_error>& errors) {
  const size_t errors_before = errors.size();
  document_watcher watcher{errors, {}};
  const auto callback = [&](int, event what, json& parsed) {
    // The rest of a refused document is discarded, which bounds the memory for it.
    if (!watcher.too_deep) Watch(watcher, what, parsed);
    return !watcher.too_deep;
  };
  try {
    json document = json::parse(text, callback);
    if (errors.size() == errors_before) return document;
  } catch (const json::exception& failure) {
    errors.push_back({"", failure.what()});
  }
  return std::nullopt;
}

}  // namespace balsambay::inventory
