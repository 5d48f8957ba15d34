// Outlier detection and the limit on ejected endpoints.
#pragma once

#include "health/health.h"

namespace balsambay::health::details {

// Chooses which suspect endpoints are ejected: connection failures before outliers, then the
// longest suspect; at most the set fraction of each group and of all endpoints in use, but one in
// a group of two. Cost: O(n + s log s) for s suspects.
void RecomputeEjections(registry& health);

// Makes endpoints suspect whose failure rate or latency stands out. Returns whether any did.
bool SweepOutliers(registry& health, time_point now);

}  // namespace balsambay::health::details
