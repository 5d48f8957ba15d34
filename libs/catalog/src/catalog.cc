// Index of routes, keys and services.
#include "catalog/catalog.h"

#include <algorithm>
#include <cctype>
#include <numeric>
#include <unordered_set>

namespace balsambay::catalog {
namespace {

std::string NormalizeHost(std::string_view host) {
  std::string out(host.substr(0, host.find(':')));
  std::ranges::transform(out, out.begin(),
                         [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return out;
}

}  // namespace

catalog Build(document content) {
  catalog out;
  out.content = std::move(content);
  const document& made = out.content;
  for (size_t i = 0; i < made.routes.size(); ++i) {
    out.routes_by_host[NormalizeHost(made.routes[i].host)].push_back(i);
  }
  for (auto& [host, indexes] : out.routes_by_host) {
    std::ranges::stable_sort(indexes, std::greater<>(),
                             [&](size_t i) { return made.routes[i].prefix.size(); });
  }
  const size_t workspaces = made.workspaces ? made.workspaces->size() : 0;
  for (size_t i = 0; i < workspaces; ++i) {
    for (const std::string& key : (*made.workspaces)[i].keys) {
      if (!key.empty()) out.workspace_by_key[key] = i;
    }
  }
  for (size_t i = 0; i < made.services.size(); ++i) out.service_by_name[made.services[i].name] = i;
  return out;
}

const route* FindRoute(const catalog& catalog, std::string_view host, std::string_view path) {
  const auto found = catalog.routes_by_host.find(NormalizeHost(host));
  if (found == catalog.routes_by_host.end()) return nullptr;
  const auto it = std::ranges::find_if(
      found->second, [&](size_t i) { return path.starts_with(catalog.content.routes[i].prefix); });
  return it == found->second.end() ? nullptr : &catalog.content.routes[*it];
}

bool NeedsKey(const document& content, const route& route) {
  return content.workspaces.has_value() && !route.anonymous;
}

key_summary SummarizeKeys(const catalog& catalog) {
  key_summary summary;
  const document& content = catalog.content;
  summary.required = std::ranges::any_of(
      content.routes, [&](const route& entry) { return NeedsKey(content, entry); });
  summary.usable = catalog.workspace_by_key.size();
  if (!content.workspaces) return summary;
  std::unordered_map<std::string_view, const workspace*> holders;
  std::unordered_set<std::string_view> shared;
  for (const workspace& entry : *content.workspaces) {
    summary.unusable += static_cast<size_t>(entry.unusable_keys);
    for (const std::string& key : entry.keys) {
      if (key.empty()) {
        ++summary.unusable;
      } else if (holders.try_emplace(key, &entry).first->second != &entry) {
        shared.insert(key);
      }
    }
  }
  summary.shared = shared.size();
  return summary;
}

const workspace* FindWorkspace(const catalog& catalog, std::string_view key) {
  const auto found = catalog.workspace_by_key.find(std::string(key));
  return found == catalog.workspace_by_key.end() ? nullptr
                                                 : &(*catalog.content.workspaces)[found->second];
}

const service* FindService(const catalog& catalog, std::string_view name) {
  const auto found = catalog.service_by_name.find(std::string(name));
  return found == catalog.service_by_name.end() ? nullptr
                                                : &catalog.content.services[found->second];
}

const target& PickTarget(const route& route, double random) {
  const double total = std::accumulate(
      route.targets.begin(), route.targets.end(), 0.0,
      [](double sum, const target& entry) { return sum + static_cast<double>(entry.weight); });
  double left = random * total;
  const auto it = std::ranges::find_if(route.targets, [&](const target& entry) {
    left -= static_cast<double>(entry.weight);
    return left < 0;
  });
  return it == route.targets.end() ? route.targets.front() : *it;
}

}  // namespace balsambay::catalog
