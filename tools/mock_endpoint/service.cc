// Mock plain service.
#include <unistd.h>

#include "base/hash.h"
#include "endpoint.h"

namespace balsambay::mock_endpoint {

void HandleServiceCall(endpoint& self, const net::exchange_ptr& request) {
  if (self.leaving || self.active_calls >= self.config.max_runs)
    return RefuseNotStarted(self, request);
  const std::string body(request->Body());
  Journal(self, {{"event", "start"},
                 {"run", std::string(request->Header("Balsambay-Request-Id"))},
                 {"body", body}});
  if (body.find("[[crash]]") != std::string::npos) _exit(9);
  ++self.active_calls;
  ++self.executed;
  Subscribe(self.loop.Timers(),
            MonotonicNow() + std::chrono::milliseconds(self.config.service_delay_ms),
            [&self, request, body](time_point) {
              RespondJson(request, 200, {{"endpoint", self.config.id}, {"result", Hash64(body)}});
              --self.active_calls;
              QuitWhenIdle(self);
            });
}

}  // namespace balsambay::mock_endpoint
