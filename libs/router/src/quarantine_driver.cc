// Placeholder until the quarantine library is merged.
#include "details/quarantine_driver.h"

namespace balsambay::router {
void OnRunStarted(router_state&, const request&) {}
void OnRunFailed(router_state&, const request&, const attempt_error&) {}
}  // namespace balsambay::router
