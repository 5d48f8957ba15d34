// Extraction of one model's engines and links from a configuration.
#include <algorithm>
#include <cmath>
#include <map>
#include <tuple>

#include "planner/planner.h"

namespace balsambay::planner {
namespace {

using name_index = std::map<std::string, uint32_t, std::less<>>;

// Keeps sums and products of rates finite.
constexpr double kMaxRate = 1e15;

bool IsPositive(double value) { return value > 0 && value <= kMaxRate; }

template <class Map>
name_index IndexNames(const Map& items, std::vector<std::string>& names) {
  name_index index;
  for (const auto& [name, unused] : items) {
    index.emplace(name, static_cast<uint32_t>(names.size()));
    names.push_back(name);
  }
  return index;
}

uint32_t FindOrAdd(name_index& index, std::vector<std::string>& names, const std::string& name) {
  const auto [entry, added] = index.emplace(name, static_cast<uint32_t>(names.size()));
  if (added) names.push_back(name);
  return entry->second;
}

result<void> CheckEngine(const std::string& id, const inventory::endpoint& engine, int layers) {
  if (!IsPositive(engine.tokens_per_second) || !IsPositive(engine.prefill_tokens_per_second)) {
    return Failure(errc::kInvalidArgument, "endpoint " + id + " has a rate that is not positive");
  }
  const inventory::layer_range& range = engine.layers;
  if (range.first < 0 || range.end > layers || range.first >= range.end) {
    return Failure(errc::kInvalidArgument, "endpoint " + id + " holds no valid range of layers");
  }
  return Success();
}

struct builder {
  topology topo;
  name_index zones;
  name_index vms;
};

result<void> AddEngines(builder& b, const inventory::configuration& config) {
  for (const auto& [id, engine] : config.endpoints) {
    if (engine.kind != inventory::endpoint_kind::kEngine || engine.model != b.topo.model_id) {
      continue;
    }
    BOOST_OUTCOME_TRY(CheckEngine(id, engine, b.topo.model.layers));
    b.topo.endpoints.push_back({.id = id,
                                .zone = FindOrAdd(b.zones, b.topo.zones, engine.zone),
                                .vm = FindOrAdd(b.vms, b.topo.vms, engine.vm),
                                .layers = engine.layers,
                                .tokens_per_second = engine.tokens_per_second,
                                .prefill_tokens_per_second = engine.prefill_tokens_per_second,
                                .max_runs = engine.max_runs});
  }
  return Success();
}

// Zones and VMs are separate name spaces; a name that is both counts as a zone.
void PlaceLink(builder& b, const inventory::link& link, int32_t index) {
  const auto from_zone = b.zones.find(link.from);
  const auto to_zone = b.zones.find(link.to);
  if (from_zone != b.zones.end() && to_zone != b.zones.end()) {
    b.topo.zone_links[from_zone->second * b.topo.zones.size() + to_zone->second] = index;
    return;
  }
  const auto from = b.vms.find(link.from);
  const auto to = b.vms.find(link.to);
  if (from == b.vms.end() || to == b.vms.end()) return;
  b.topo.vm_links.push_back({.from = from->second, .to = to->second, .link = index});
  b.topo.vm_has_link[from->second] = 1;
  b.topo.vm_has_link[to->second] = 1;
}

result<void> AddLinks(builder& b, const inventory::configuration& config, double link_load) {
  b.topo.zone_links.assign(b.topo.zones.size() * b.topo.zones.size(), -1);
  b.topo.vm_has_link.assign(b.topo.vms.size(), 0);
  const double token_megabytes = std::max(1, b.topo.model.hidden_bytes_per_token) * 1e-6;
  for (const inventory::link& link : config.links) {
    if (!IsPositive(link.megabytes_per_second)) {
      return Failure(errc::kInvalidArgument,
                     "link " + link.from + " -> " + link.to + " has no positive bandwidth");
    }
    PlaceLink(b, link, static_cast<int32_t>(b.topo.links.size()));
    const double states = link.megabytes_per_second / token_megabytes;
    b.topo.links.push_back({.from = link.from,
                            .to = link.to,
                            .latency_us = link.latency_us,
                            .hidden_states_per_second = states,
                            .tokens_per_second = states / link_load});
  }
  std::ranges::sort(b.topo.vm_links, {}, [](const auto& l) { return std::tie(l.from, l.to); });
  return Success();
}

int32_t FindVmLink(const topology& topo, uint32_t from, uint32_t to) {
  if (topo.vm_has_link[from] == 0 || topo.vm_has_link[to] == 0) return -1;
  const auto found =
      std::ranges::lower_bound(topo.vm_links, std::pair(from, to), {},
                               [](const auto& l) { return std::pair(l.from, l.to); });
  const bool matches = found != topo.vm_links.end() && found->from == from && found->to == to;
  return matches ? found->link : -1;
}

}  // namespace

result<topology> BuildTopology(const inventory::configuration& config, std::string_view model_id,
                               double link_load) {
  if (!IsPositive(link_load)) return Failure(errc::kInvalidArgument, "link_load is not positive");
  const auto model = config.models.find(model_id);
  if (model == config.models.end()) {
    return Failure(errc::kNotFound, "unknown model " + std::string(model_id));
  }
  if (model->second.layers <= 0 || model->second.layers > kMaxLayers) {
    return Failure(errc::kInvalidArgument,
                   "model " + model->first + " has no layers or more than 65535");
  }
  builder b;
  b.topo.model_id = model->first;
  b.topo.model = model->second;
  b.zones = IndexNames(config.zones, b.topo.zones);
  BOOST_OUTCOME_TRY(AddEngines(b, config));
  BOOST_OUTCOME_TRY(AddLinks(b, config, link_load));
  return std::move(b.topo);
}

const planned_link* FindLink(const topology& topo, endpoint_index from, endpoint_index to) {
  const planned_endpoint& a = topo.endpoints[from];
  const planned_endpoint& b = topo.endpoints[to];
  if (a.vm == b.vm) return nullptr;
  int32_t link = FindVmLink(topo, a.vm, b.vm);
  if (link < 0) link = topo.zone_links[a.zone * topo.zones.size() + b.zone];
  return link < 0 ? nullptr : &topo.links[link];
}

}  // namespace balsambay::planner
