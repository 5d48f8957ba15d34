// Endpoints crashed and harmless requests refused in 200 random zones (1 or 4 daemons, 12
// endpoints, three different crashing requests), by number of daemons, delay of updates and number
// of copies. Prints JSON lines.
#include <cstdio>

#include "../tests/zone_model.h"

using namespace balsambay::quarantine;  // NOLINT(google-build-using-namespace)

namespace {

constexpr int kZones = 200;

void Measure(const zone_settings& config) {
  int max_losses = 0;
  int zones_over_two = 0;
  int refused = 0;
  int completed = 0;
  for (int seed = 0; seed < kZones; ++seed) {
    const auto zone = RunZone(seed, config);
    int losses = 0;
    for (const auto& [key, count] : zone->losses) losses = std::max(losses, count);
    max_losses = std::max(max_losses, losses);
    zones_over_two += losses > 2 ? 1 : 0;
    refused += zone->harmless_refused;
    completed += zone->harmless_completed;
  }
  std::printf(
      "{\"benchmark\":\"quarantine_zone\",\"daemons\":%d,\"update_delay_ms\":%d,\"copies\":%d,"
      "\"most_lost\":%d,\"zones_over_two\":%d,\"zones\":%d,\"innocent_refused\":%d,"
      "\"innocent_done\":%d}\n",
      config.daemons, static_cast<int>(config.max_exchange_delay / 1ms), config.copies, max_losses,
      zones_over_two, kZones, refused, completed);
}

}  // namespace

int main() {
  for (const int daemons : {1, 4}) {
    for (const auto delay : {5ms, 50ms, 200ms}) {
      for (const int copies : {1, 6}) {
        zone_settings config;
        config.daemons = daemons;
        config.max_exchange_delay = delay;
        config.copies = copies;
        Measure(config);
      }
    }
  }
}
