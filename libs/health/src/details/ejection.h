// Outlier detection and the limit on ejected endpoints.
#pragma once

#include "health/health.h"

namespace balsambay::health::details {

// Chooses which suspect endpoints are ejected: connection failures before others, then the longest
// suspect; at most the set fraction of all endpoints in use and, except for connection failures, of
// each group, but one in a group of two. An endpoint that takes no connection is of no use to its
// group, so keeping it would only cost attempts. Cost: O(n + s log s) for s suspects.
void RecomputeEjections(registry& health);

// Makes endpoints suspect whose failure rate or latency stands out. Returns whether any did.
bool SweepOutliers(registry& health, time_point now);

}  // namespace balsambay::health::details
