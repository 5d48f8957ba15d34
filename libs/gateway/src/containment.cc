// Connects losses of endpoints with the requests that were on them.
#include "details/containment.h"

#include <algorithm>

#include "log/log.h"

namespace balsambay::gateway {

quarantine::fingerprint FingerprintOf(const call& item) {
  const std::string& caller = item.workspace.empty() ? item.incoming.key : item.workspace;
  return quarantine::MakeFingerprint(caller, item.incoming.target + "\n" + item.body);
}

void NoteLost(gateway_state& state, const endpoint& item) {
  const time_point now = MonotonicNow();
  for (const auto& [number, active] : state.calls) {
    const auto part = std::ranges::find(active->path, item.listed.id, &call_hop::endpoint_id);
    if (!active->upstream || part == active->path.end()) continue;
    metrics::Increment(state.metrics.registry, state.metrics.on_lost);
    log::Log(log::level::kInfo, "request was on a lost endpoint",
             {{"request", active->incoming.id},
              {"fingerprint", quarantine::ToString(active->fingerprint)},
              {"endpoint", item.listed.id},
              {"incarnation", item.listed.incarnation},
              {"part", part - active->path.begin()},
              {"parts", active->path.size()},
              {"attempt", active->attempt},
              {"outputs", active->outputs},
              {"age_ms", WholeMilliseconds(now - active->arrived)}});
  }
}

}  // namespace balsambay::gateway
