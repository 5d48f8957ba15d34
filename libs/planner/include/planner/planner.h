// Plans routes for one model: computes the throughput bound of the hardware, the cut that limits
// it, and weighted routes that reach it or come close. Does no I/O; the same input always gives the
// same plan.
#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "inventory/inventory.h"
#include "planner/route.h"

namespace balsambay::planner {

// Marks the absence of a zone where an index into topology::zones is expected.
inline constexpr uint32_t kNoZone = UINT32_MAX;

// Maximum number of layers of a model, more than any model has. The sort keys of stages store a
// layer in 16 bits.
inline constexpr int kMaxLayers = 65535;

// An engine of the model.
struct topology_endpoint {
  std::string id;
  uint32_t zone = 0;  // index into topology::zones
  uint32_t vm = 0;    // index into topology::vms
  inventory::layer_range layers;
  double tokens_per_second = 0;          // decode rate over its whole range
  double prefill_tokens_per_second = 0;  // prefill rate over its whole range
  int max_runs = 0;                      // concurrent requests
};

// A directed link between two zones or two VMs. A zone link is shared by all traffic between its
// two zones except that of VM pairs with their own link. Pairs without a link are treated as
// unlimited and without latency.
struct topology_link {
  std::string from;  // id of a zone or VM
  std::string to;    // id of a zone or VM
  double latency_us = 0;
  double hidden_states_per_second = 0;  // bandwidth / size of the hidden state of one token
  double tokens_per_second = 0;  // limit for planned tokens: hidden_states_per_second / link_load
};

// The input of the planner that changes only with the configuration. `endpoints` are all engines of
// the model in order of their ids.
struct topology {
  std::string model_id;
  inventory::model model;
  std::vector<std::string> zones = {};
  std::vector<std::string> vms = {};
  std::vector<topology_endpoint> endpoints = {};
  std::vector<topology_link> links = {};
  std::vector<int32_t> zone_links = {};  // [from * zones.size() + to]: index into `links`, or -1
  struct vm_link {
    uint32_t from = 0;  // index into `vms`
    uint32_t to = 0;    // index into `vms`
    int32_t link = -1;  // index into `links`
  };
  std::vector<vm_link> vm_links = {};      // sorted by (from, to)
  std::vector<uint8_t> vm_has_links = {};  // by VM: 1 when it is an end of one of `vm_links`
};

// `link_load` is the number of hidden states that cross a link for each planned token: 1 for output
// tokens alone, more when prompt tokens are counted, because engines prefill faster than they
// decode but links carry the hidden states of both at the same rate.
// Errors: kNotFound for an unknown model; kInvalidArgument, naming the endpoint or link, when a
// rate is not positive or above 1e15 or a layer range is empty or outside the model;
// kInvalidArgument when `link_load` is not positive or above 1e15, or the model has no layers or
// more than kMaxLayers.
result<topology> BuildTopology(const inventory::configuration& config, std::string_view model_id,
                               double link_load = 1);

// The link that carries hidden states from one endpoint to another, owned by `topo`; null when the
// traffic is unlimited.
const topology_link* FindLink(const topology& topo, endpoint_index source, endpoint_index target);

struct plan_options {
  // Index into topology::zones; when set, only endpoints of this zone are used, for a zone that is
  // disconnected from the others.
  uint32_t only_zone = kNoZone;
};

struct weighted_route {
  route stages;
  double weight = 0;  // fraction of plan::bound: weight * bound is the planned rate in tokens/s
};

// The planned flow of one stage, summed over all routes that contain it.
struct stage_flow {
  planner::stage stage;
  double tokens_per_second = 0;
};

// The planned flow from one zone to another (or the same) at a layer boundary, summed over all
// routes.
struct hop_flow {
  int layer = 0;           // first layer of the receiving stage
  uint32_t from_zone = 0;  // index into topology::zones
  uint32_t to_zone = 0;    // index into topology::zones
  double tokens_per_second = 0;
};

// The resources that limit the bound: `endpoints` are all endpoints that can run `layers`, and
// `links` are saturated. Higher rates of other endpoints or links do not raise the bound. Of
// several cuts without links that give the same bound, this is the one with the fewest layers, then
// the first.
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
  double bound = 0;                     // throughput bound in tokens/s; no set of routes exceeds it
  // False when `bound` is only an upper limit; see README on link limits.
  bool bound_is_exact = true;
  double planned_tokens_per_second = 0;
  limiting_cut cut;
  // Layers that no usable endpoint holds, as maximal ranges. When not empty, all other members are
  // empty or zero.
  std::vector<inventory::layer_range> uncovered_layers = {};
};

// `usable` has one entry for each of topo.endpoints; 0 excludes the endpoint.
// Error: kInvalidArgument when `usable` has another size or `only_zone` is not an index of a zone.
result<plan> MakePlan(const topology& topo, std::span<const uint8_t> usable,
                      const plan_options& options = {});

// Returns an interim plan for use until the next MakePlan: `old_plan` without the routes that
// contain an unusable endpoint. Takes time linear in the size of the plan, except for sorting its
// flows. `bound` and `cut` still describe the old plan. Precondition: `usable` as for MakePlan.
plan RemoveUnusableRoutes(const topology& topo, const plan& old_plan,
                          std::span<const uint8_t> usable);

// Formats layer ranges for logs and error messages, for example "layers 3-7, 12"; both ends are
// inclusive.
std::string FormatLayerRanges(std::span<const inventory::layer_range> layers);

// Formats a cut for logs, for example "layers 0-19; endpoints a1, a2; link z1 -> z2".
std::string FormatCut(const topology& topo, const limiting_cut& cut);

}  // namespace balsambay::planner
