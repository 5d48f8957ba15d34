// Endpoints lost and innocent requests refused in 200 random zones (4 daemons, 12 endpoints, three
// crashing requests at once), by delay of updates and number of copies. Prints JSON lines.
#include <cstdio>

#include "../tests/zone_model.h"

using namespace balsambay::quarantine;  // NOLINT(google-build-using-namespace)

namespace {

constexpr int kZones = 200;

void Measure(const zone_settings& config) {
  int most = 0;
  int over = 0;
  int refused = 0;
  int done = 0;
  for (int seed = 0; seed < kZones; ++seed) {
    const auto zone = RunZone(seed, config);
    int losses = 0;
    for (const auto& [key, count] : zone->losses) losses = std::max(losses, count);
    most = std::max(most, losses);
    over += losses > 2 ? 1 : 0;
    refused += zone->innocents_refused;
    done += zone->innocents_done;
  }
  std::printf(
      "{\"benchmark\":\"quarantine_zone\",\"daemons\":%d,\"update_delay_ms\":%d,\"copies\":%d,"
      "\"most_lost\":%d,\"zones_over_two\":%d,\"zones\":%d,\"innocent_refused\":%d,"
      "\"innocent_done\":%d}\n",
      config.daemons, static_cast<int>(config.max_exchange_delay / 1ms), config.copies, most, over,
      kZones, refused, done);
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
