// Builds the topology of one model from the engines and links of a configuration.
#include <algorithm>
#include <cmath>
#include <map>
#include <tuple>

#include "planner/planner.h"

namespace balsambay::planner {
namespace {

using name_index = std::map<std::string, uint32_t, std::less<>>;

// Upper limit for rates (tokens/s, megabytes/s) and the link load; keeps sums and products finite.
constexpr double kMaxRate = 1e15;

bool IsValidRate(double value) { return value > 0 && value <= kMaxRate; }

template <class Map>
name_index IndexNames(const Map& entries, std::vector<std::string>& names) {
  name_index index;
  for (const auto& [name, unused] : entries) {
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
  if (!IsValidRate(engine.tokens_per_second) || !IsValidRate(engine.prefill_tokens_per_second)) {
    return Failure(
        errc::kInvalidArgument,
        "endpoint " + id + " has a decode or prefill rate that is not positive or above 1e15");
  }
  const inventory::layer_range& range = engine.layers;
  if (range.first < 0 || range.end > layers || range.first >= range.end) {
    return Failure(errc::kInvalidArgument,
                   "endpoint " + id + " has a layer range that is empty or outside the model");
  }
  return Success();
}

struct topology_builder {
  topology topo;
  name_index zones;
  name_index vms;
};

result<void> AddEngines(topology_builder& builder, const inventory::configuration& config) {
  for (const auto& [id, engine] : config.endpoints) {
    if (engine.kind != inventory::endpoint_kind::kEngine || engine.model != builder.topo.model_id) {
      continue;
    }
    BOOST_OUTCOME_TRY(CheckEngine(id, engine, builder.topo.model.layers));
    builder.topo.endpoints.push_back(
        {.id = id,
         .zone = FindOrAdd(builder.zones, builder.topo.zones, engine.zone),
         .vm = FindOrAdd(builder.vms, builder.topo.vms, engine.vm),
         .layers = engine.layers,
         .tokens_per_second = engine.tokens_per_second,
         .prefill_tokens_per_second = engine.prefill_tokens_per_second,
         .max_runs = engine.max_runs});
  }
  return Success();
}

// Adds a link to the lookup tables. Zones and VMs have separate namespaces; a name that is both
// counts as a zone. A link is ignored unless both ends are zones or both are VMs with an engine of
// the model.
void IndexLink(topology_builder& builder, const inventory::link& link, int32_t index) {
  const auto from_zone = builder.zones.find(link.from);
  const auto to_zone = builder.zones.find(link.to);
  if (from_zone != builder.zones.end() && to_zone != builder.zones.end()) {
    builder.topo.zone_links[from_zone->second * builder.topo.zones.size() + to_zone->second] =
        index;
    return;
  }
  const auto from = builder.vms.find(link.from);
  const auto to = builder.vms.find(link.to);
  if (from == builder.vms.end() || to == builder.vms.end()) return;
  builder.topo.vm_links.push_back({.from = from->second, .to = to->second, .link = index});
  builder.topo.vm_has_links[from->second] = 1;
  builder.topo.vm_has_links[to->second] = 1;
}

result<void> AddLinks(topology_builder& builder, const inventory::configuration& config,
                      double link_load) {
  builder.topo.zone_links.assign(builder.topo.zones.size() * builder.topo.zones.size(), -1);
  builder.topo.vm_has_links.assign(builder.topo.vms.size(), 0);
  const double token_megabytes = std::max(1, builder.topo.model.hidden_bytes_per_token) * 1e-6;
  for (const inventory::link& link : config.links) {
    if (!IsValidRate(link.megabytes_per_second)) {
      return Failure(errc::kInvalidArgument,
                     "link " + link.from + " -> " + link.to +
                         " has a bandwidth that is not positive or above 1e15");
    }
    IndexLink(builder, link, static_cast<int32_t>(builder.topo.links.size()));
    const double hidden_states = link.megabytes_per_second / token_megabytes;
    builder.topo.links.push_back({.from = link.from,
                                  .to = link.to,
                                  .latency_us = link.latency_us,
                                  .hidden_states_per_second = hidden_states,
                                  .tokens_per_second = hidden_states / link_load});
  }
  std::ranges::sort(builder.topo.vm_links, {},
                    [](const auto& l) { return std::tie(l.from, l.to); });
  return Success();
}

int32_t FindVmLink(const topology& topo, uint32_t from, uint32_t to) {
  if (topo.vm_has_links[from] == 0 || topo.vm_has_links[to] == 0) return -1;
  const auto found =
      std::ranges::lower_bound(topo.vm_links, std::pair(from, to), {},
                               [](const auto& l) { return std::pair(l.from, l.to); });
  const bool matches = found != topo.vm_links.end() && found->from == from && found->to == to;
  return matches ? found->link : -1;
}

}  // namespace

result<topology> BuildTopology(const inventory::configuration& config, std::string_view model_id,
                               double link_load) {
  if (!IsValidRate(link_load)) {
    return Failure(errc::kInvalidArgument, "link_load is not positive or above 1e15");
  }
  const auto model = config.models.find(model_id);
  if (model == config.models.end()) {
    return Failure(errc::kNotFound, "unknown model " + std::string(model_id));
  }
  if (model->second.layers <= 0 || model->second.layers > kMaxLayers) {
    return Failure(errc::kInvalidArgument,
                   "model " + model->first + " has no layers or more than 65535 layers");
  }
  topology_builder builder;
  builder.topo.model_id = model->first;
  builder.topo.model = model->second;
  builder.zones = IndexNames(config.zones, builder.topo.zones);
  BOOST_OUTCOME_TRY(AddEngines(builder, config));
  BOOST_OUTCOME_TRY(AddLinks(builder, config, link_load));
  return std::move(builder.topo);
}

const topology_link* FindLink(const topology& topo, endpoint_index source, endpoint_index target) {
  const topology_endpoint& source_endpoint = topo.endpoints[source];
  const topology_endpoint& target_endpoint = topo.endpoints[target];
  if (source_endpoint.vm == target_endpoint.vm) return nullptr;
  int32_t link = FindVmLink(topo, source_endpoint.vm, target_endpoint.vm);
  if (link < 0) {
    link = topo.zone_links[source_endpoint.zone * topo.zones.size() + target_endpoint.zone];
  }
  return link < 0 ? nullptr : &topo.links[link];
}

}  // namespace balsambay::planner
