// Detection of outliers, and the limit on the number of ejected endpoints.
#pragma once

#include "health/health.h"

namespace balsambay::health::details {

// Decides which suspect endpoints are ejected: those with connection failures first, then those
// that have been suspect for the longest time. At most max_ejected_fraction of all live and suspect
// endpoints are ejected. The same fraction limits each group, where one of two may be ejected,
// except for connection failures: an endpoint that accepts no connections is of no use to its
// group, and keeping it in use would only cost failed attempts. Cost: O(n + s log s) for s
// suspects.
void RecomputeEjections(registry& health);

// Makes live endpoints suspect whose failure rate is too high or whose latency is too far above the
// median of their group. Returns whether there were any.
bool SweepOutliers(registry& health, time_point now);

}  // namespace balsambay::health::details
