// Requests to the service "booking".
#include "bookings.h"

namespace balsambay::system_test {

std::string Marker(int i) { return "booking-" + std::to_string(i) + "-end"; }

reply_ptr Book(cluster& c, const std::string& daemon, int i) {
  return c.SendCall(
      daemon, "/v1/services/booking", {{"order", Marker(i)}},
      {{"Idempotency-Key", "key-" + std::to_string(i)}, {"Balsambay-Timeout-Ms", "8000"}});
}

}  // namespace balsambay::system_test
