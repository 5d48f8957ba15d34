// Index of routes, keys and services.
#include "catalog/catalog.h"

#include <algorithm>
#include <cctype>
#include <numeric>

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
  for (size_t i = 0; i < made.workspaces.size(); ++i) {
    for (const std::string& key : made.workspaces[i].keys) out.workspace_by_key[key] = i;
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

const workspace* FindWorkspace(const catalog& catalog, std::string_view key) {
  const auto found = catalog.workspace_by_key.find(std::string(key));
  return found == catalog.workspace_by_key.end() ? nullptr
                                                 : &catalog.content.workspaces[found->second];
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
