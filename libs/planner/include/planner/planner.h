// Plans routes for one model: the throughput bound of the hardware, the cut that limits it, and
// flows over stages that reach it. No I/O; the same input always gives the same plan.
#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "inventory/inventory.h"
#include "planner/route.h"

namespace balsambay::planner {

inline constexpr uint32_t kNoZone = UINT32_MAX;

// More layers than any model has; sort keys rely on it.
inline constexpr int kMaxLayers = 65535;

struct planned_endpoint {
  std::string id;
  uint32_t zone = 0;  // index into topology::zones
  uint32_t vm = 0;    // index into topology::vms
  inventory::layer_range layers;
  double tokens_per_second = 0;          // decode rate over its whole range
  double prefill_tokens_per_second = 0;  // prefill rate over its whole range
  int max_runs = 0;
};

// A directed link. A zone link is shared by all traffic between its two zones except that of VM
// pairs with a link of their own. Pairs without a link count as unlimited and without delay.
struct planned_link {
  std::string from;
  std::string to;
  double latency_us = 0;
  double hidden_states_per_second = 0;  // bandwidth / hidden state of one token
  double tokens_per_second = 0;         // planned tokens: hidden_states_per_second / link_load
};

// The part of a plan that changes only with the configuration. Endpoints are all engines of the
// model in order of their ids.
struct topology {
  std::string model_id;
  inventory::model model;
  std::vector<std::string> zones = {};
  std::vector<std::string> vms = {};
  std::vector<planned_endpoint> endpoints = {};
  std::vector<planned_link> links = {};
  std::vector<int32_t> zone_links = {};  // [from * zones.size() + to]: index into `links`, or -1
  struct vm_link {
    uint32_t from = 0;
    uint32_t to = 0;
    int32_t link = -1;
  };
  std::vector<vm_link> vm_links = {};     // sorted by (from, to)
  std::vector<uint8_t> vm_has_link = {};  // by VM: 1 when vm_links mentions it
};

// `link_load` is the number of hidden states that cross a link for each planned token: 1 for output
// tokens alone, more when prompts are counted, because engines prefill faster than they decode but
// links carry both alike. Errors: kNotFound for an unknown model; kInvalidArgument, naming the
// endpoint or link, for a rate that is not positive and finite or a range outside the
// model, or when the model has no layers or more than kMaxLayers.
result<topology> BuildTopology(const inventory::configuration& config, std::string_view model_id,
                               double link_load = 1);

// The link that carries hidden states from one endpoint to another; null when unlimited.
const planned_link* FindLink(const topology& topo, endpoint_index from, endpoint_index to);

struct plan_options {
  // Index into topology::zones; when set, only endpoints of this zone are planned (the zone is cut
  // off from the others).
  uint32_t only_zone = kNoZone;
};

struct weighted_route {
  route stages;
  double weight = 0;  // weight * plan::bound is the planned rate in tokens/s
};

// The planned flow of one stage, summed over all routes that contain it.
struct stage_flow {
  planner::stage stage;
  double tokens_per_second = 0;
};

// The planned flow from zone to zone (indices) at a layer boundary.
struct hop_flow {
  int layer = 0;
  uint32_t from_zone = 0;
  uint32_t to_zone = 0;
  double tokens_per_second = 0;
};

// What limits the bound: these endpoints together are all that can run `layers`, or these links are
// saturated. More rate elsewhere does not raise the bound. Of several cuts without links that give
// the same bound it is the one with the fewest layers, then the first.
struct limiting_cut {
  std::vector<inventory::layer_range> layers = {};
  std::vector<endpoint_index> endpoints = {};
  std::vector<uint32_t> links = {};  // indices into topology::links
};

// Invariants: each route passes ValidateRoute; the flows of `routes`, `stages` and `hops` agree and
// exceed no capacity; sum of weights * bound == planned_tokens_per_second <= bound.
struct plan {
  std::vector<weighted_route> routes = {};
  std::vector<stage_flow> stages = {};  // sorted by first layer, then by end layer and endpoint
  std::vector<hop_flow> hops = {};      // sorted by layer, from_zone and to_zone
  double bound = 0;                     // tokens/s that no routing can exceed
  bool bound_is_exact = true;  // false: `bound` is an upper limit, see README on link limits
  double planned_tokens_per_second = 0;
  limiting_cut cut;
  // Layers that no usable endpoint holds, as maximal ranges. When not empty, everything else is
  // empty or zero.
  std::vector<inventory::layer_range> uncovered = {};
};

// `usable` has one entry for each of topo.endpoints; 0 excludes the endpoint.
// Error: kInvalidArgument when `usable` has the wrong size or `only_zone` is no index.
result<plan> MakePlan(const topology& topo, std::span<const uint8_t> usable,
                      const plan_options& options = {});

// A plan for use until the next MakePlan: drops all routes with an endpoint that is no longer
// usable, in time linear in the plan. `bound` and `cut` still describe the old plan.
plan WithoutUnusable(const topology& topo, const plan& old_plan, std::span<const uint8_t> usable);

// "layers 3-7, 12" for logs and errors.
std::string DescribeLayers(std::span<const inventory::layer_range> layers);

// "layers 0-19 on a1, a2; link z1 -> z2".
std::string DescribeCut(const topology& topo, const limiting_cut& cut);

}  // namespace balsambay::planner
