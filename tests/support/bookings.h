// Requests that may run at most once, with texts by which the journals of endpoints show their
// runs.
#pragma once

#include <string>

#include "cluster.h"

namespace balsambay::system_test {

// Text in the body of booking `i`, for StartsOf().
std::string Marker(int i);

// Sends booking `i` to the service "booking" through the daemon. Its key is the same each time.
reply_ptr Book(cluster& c, const std::string& daemon, int i);

}  // namespace balsambay::system_test
