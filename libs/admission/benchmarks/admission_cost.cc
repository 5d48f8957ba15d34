// Cost of one admitted request (offer and finish) by number of workspaces and queue length, and
// memory per queued request. Prints JSON lines.
#include <malloc.h>

#include <cstdio>

#include "admission/gate.h"

using namespace balsambay;             // NOLINT(google-build-using-namespace)
using namespace balsambay::admission;  // NOLINT(google-build-using-namespace)

namespace {

constexpr int kCalls = 200000;

std::vector<workspace_policy> Policies(int count) {
  std::vector<workspace_policy> out;
  for (int i = 0; i < count; ++i) {
    workspace_policy policy;
    policy.workspace = "workspace" + std::to_string(i);
    policy.priority = i % 3;
    policy.share = 1 + i % 5;
    policy.max_queue = 100000;
    out.push_back(policy);
  }
  return out;
}

// Keeps `queued` requests waiting while runs end and new requests arrive one by one. With a tight
// deadline each offer has to walk over the workspaces of its tier.
void Measure(int workspaces, int queued, bool tight) {
  const std::vector<workspace_policy> policies = Policies(workspaces);
  gate_settings config;
  config.max_queued = 100000;
  gate state(config);
  const time_point now(1s);
  SetWorkspaces(state, policies, now);
  SetPool(state, "pool", {100, 1e6}, now);
  const size_t before = mallinfo2().uordblks;
  const duration timeout = tight ? duration(queued * 100 * 1000 / 1000) : duration(3600s);
  std::vector<request_id> running;
  request_id next = 1;
  const auto offer = [&] {
    const request item{next, policies[next % policies.size()].workspace, "pool", 100, now + timeout,
                       1ms};
    ++next;
    for (const effect& decided : Offer(state, item, now)) {
      if (decided.kind == effect_kind::kDispatch) running.push_back(decided.id);
    }
  };
  for (int i = 0; i < 100 + queued; ++i) offer();
  const size_t bytes = mallinfo2().uordblks - before;
  const time_point begin = MonotonicNow();
  for (int i = 0; i < kCalls; ++i) {
    const request_id done = running[i % running.size()];
    const effects out = Finish(state, done, now);
    if (!out.empty()) running[i % running.size()] = out[0].id;
    if (out.empty())
      running.erase(running.begin() + static_cast<std::ptrdiff_t>(i % running.size()));
    offer();
  }
  const double ns = static_cast<double>((MonotonicNow() - begin).count()) * 1000 / kCalls;
  std::printf(
      "{\"benchmark\":\"admission_cost\",\"workspaces\":%d,\"queued\":%zu,\"tight_deadline\":%s,"
      "\"ns_per_request\":%.0f,\"bytes_per_queued\":%zu}\n",
      workspaces, state.queued, tight ? "true" : "false", ns, queued > 0 ? bytes / queued : 0);
}

}  // namespace

int main() {
  for (const int workspaces : {10, 100, 440}) {
    for (const int queued : {0, 100, 1000, 10000}) Measure(workspaces, queued, false);
    Measure(workspaces, 10000, true);
  }
}
