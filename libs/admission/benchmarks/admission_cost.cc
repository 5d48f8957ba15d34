// Measures the time of one admitted request (Offer and Finish) by number of workspaces and queue
// length, and the memory per queued request. Prints JSON lines.
#include <malloc.h>

#include <cstdio>

#include "admission/gate.h"

using namespace balsambay;             // NOLINT(google-build-using-namespace)
using namespace balsambay::admission;  // NOLINT(google-build-using-namespace)

namespace {

constexpr int kMeasuredRequests = 200000;

std::vector<workspace_policy> Policies(int count) {
  std::vector<workspace_policy> policies;
  for (int i = 0; i < count; ++i) {
    workspace_policy policy;
    policy.workspace = "workspace" + std::to_string(i);
    policy.priority = i % 3;
    policy.share = 1 + i % 5;
    policy.max_queue = 100000;
    policies.push_back(policy);
  }
  return policies;
}

// Keeps `queued` requests waiting: for each request that finishes, a new one arrives. With tight
// deadlines each Offer has to iterate over the workspaces of its tier.
void Measure(int workspaces, int queued, bool tight_deadlines) {
  const std::vector<workspace_policy> policies = Policies(workspaces);
  gate_settings config;
  config.max_queued = 100000;
  gate state(config);
  const time_point now(1s);
  SetWorkspaces(state, policies, now);
  SetPool(state, "pool", {100, 1e6}, now);
  const size_t heap_before = mallinfo2().uordblks;
  const duration timeout = tight_deadlines ? duration(queued * 100 * 1000 / 1000) : duration(3600s);
  std::vector<request_id> running;
  request_id next_id = 1;
  const auto offer = [&] {
    const request request{
        next_id, policies[next_id % policies.size()].workspace, "pool", 100, now + timeout, 1ms};
    ++next_id;
    for (const effect& effect : Offer(state, request, now)) {
      if (effect.kind == effect_kind::kDispatch) running.push_back(effect.id);
    }
  };
  for (int i = 0; i < 100 + queued; ++i) offer();
  const size_t queued_bytes = mallinfo2().uordblks - heap_before;
  const time_point begin = MonotonicNow();
  for (int i = 0; i < kMeasuredRequests; ++i) {
    const request_id finished_id = running[i % running.size()];
    const effects effects = Finish(state, finished_id, now);
    if (!effects.empty()) running[i % running.size()] = effects[0].id;
    if (effects.empty())
      running.erase(running.begin() + static_cast<std::ptrdiff_t>(i % running.size()));
    offer();
  }
  const double ns =
      static_cast<double>((MonotonicNow() - begin).count()) * 1000 / kMeasuredRequests;
  std::printf(
      "{\"benchmark\":\"admission_cost\",\"workspaces\":%d,\"queued\":%zu,\"tight_deadline\":%s,"
      "\"ns_per_request\":%.0f,\"bytes_per_queued\":%zu}\n",
      workspaces, state.queued, tight_deadlines ? "true" : "false", ns,
      queued > 0 ? queued_bytes / queued : 0);
}

}  // namespace

int main() {
  for (const int workspaces : {10, 100, 440}) {
    for (const int queued : {0, 100, 1000, 10000}) Measure(workspaces, queued, false);
    Measure(workspaces, 10000, true);
  }
}
