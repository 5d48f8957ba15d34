// Time per request without suspicion, per loss and per sweep, and memory of the table, by the
// number of suspects and of running requests. Prints JSON lines.
#include <malloc.h>

#include <cstdio>

#include "quarantine/quarantine.h"

using namespace balsambay;              // NOLINT(google-build-using-namespace)
using namespace balsambay::quarantine;  // NOLINT(google-build-using-namespace)

namespace {

constexpr int kCalls = 200000;

double NanosecondsSince(time_point begin, int calls) {
  return static_cast<double>((MonotonicNow() - begin).count()) * 1000 / calls;
}

endpoint_instance Instance(int index) { return {"endpoint" + std::to_string(index), 1}; }

// Measures with `suspects` suspected fingerprints and `running` requests in flight.
void Measure(int suspects, int running) {
  const size_t before = mallinfo2().uordblks;
  table state(settings{.daemon = "d1"});
  side_effects effects;
  for (int i = 0; i < suspects; ++i) {
    const fingerprint key = MakeFingerprint("suspect", std::to_string(i));
    Merge(state, {"d2", key, {Instance(i)}, {}, false, claim_kind::kNone, {}}, time_point(1s),
          effects);
  }
  std::vector<run_id> active(running);
  run_id next_id = 1;
  const auto start = [&](int slot) {
    active[slot] = next_id++;
    const fingerprint key = MakeFingerprint("w", std::to_string(active[slot]));
    Start(state, active[slot], key, time_point(1s), effects);
    const std::vector<endpoint_instance> route = {Instance(slot % 40), Instance(40 + slot % 40)};
    SetRoute(state, active[slot], route, effects);
    HasSuspect(state, route[0].endpoint);
  };
  for (int i = 0; i < running; ++i) start(i);
  time_point begin = MonotonicNow();
  for (int i = 0; i < kCalls; ++i) {
    const int slot = i % running;
    End(state, active[slot], run_end::kCompleted, std::nullopt, time_point(1s), effects);
    start(slot);
  }
  const double request = NanosecondsSince(begin, kCalls);
  const size_t bytes = mallinfo2().uordblks - before;
  begin = MonotonicNow();
  Tick(state, time_point(2s), effects);
  const double sweep = NanosecondsSince(begin, 1);
  begin = MonotonicNow();
  for (int i = 0; i < 40; ++i) ReportLost(state, Instance(i), time_point(2s), effects);
  const double loss = NanosecondsSince(begin, 40);
  std::printf(
      "{\"benchmark\":\"quarantine\",\"suspects\":%d,\"running\":%d,\"entries\":%zu,"
      "\"ns_per_request\":%.0f,\"loss_us\":%.1f,\"sweep_us\":%.1f,\"kilobytes\":%zu}\n",
      suspects, running, state.entries.size(), request, loss / 1000, sweep / 1000, bytes / 1024);
}

}  // namespace

int main() {
  for (const int suspects : {0, 100, 2000}) {
    for (const int running : {50, 500}) Measure(suspects, running);
  }
}
