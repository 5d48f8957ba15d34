// Placeholder until the membership library is merged.
#include "details/membership_driver.h"

namespace balsambay::router {
void HandleMembershipMessage(router_state&, std::string_view, const nlohmann::json&) {}
}  // namespace balsambay::router
