// Measures the time of health updates and the memory of a registry, by number of endpoints. Prints
// one JSON object for each line.
#include <malloc.h>

#include <cstdio>

#include "health/health.h"

using namespace balsambay;          // NOLINT(google-build-using-namespace)
using namespace balsambay::health;  // NOLINT(google-build-using-namespace)

namespace {

template <class Function>
double NanosecondsPerCall(int calls, Function function) {
  const time_point start = MonotonicNow();
  for (int i = 0; i < calls; ++i) function(i);
  return static_cast<double>((MonotonicNow() - start).count()) * 1000 / calls;
}

void Measure(int count) {
  random_generator rng(1);
  const size_t bytes_before = mallinfo2().uordblks;
  registry health;
  std::vector<endpoint_spec> specs;
  std::vector<vm_entry> list;
  for (int i = 0; i < count; ++i) {
    const std::string vm = "vm" + std::to_string(i);
    specs.push_back({"endpoint" + std::to_string(i), vm, "group" + std::to_string(i / 8)});
    list.push_back({vm, 1, false});
  }
  SetEndpoints(health, specs, time_point(0s));
  OnVmList(health, list, time_point(0s));
  const size_t bytes = mallinfo2().uordblks - bytes_before;
  const double success_ns = NanosecondsPerCall(200000, [&](int i) {
    OnEvidence(health, {specs[i % count].id, evidence_kind::kSuccess, 1, 50ms}, time_point(1s),
               rng);
  });
  const double state_change_ns = NanosecondsPerCall(2000, [&](int i) {
    const auto kind = i % 3 == 0 ? evidence_kind::kConnectionRefused : evidence_kind::kProbeOk;
    OnEvidence(health, {specs[i / 3 % count].id, kind, 1, {}}, time_point(1s) + i * 1ms, rng);
  });
  const double vm_list_ns =
      NanosecondsPerCall(200, [&](int i) { OnVmList(health, list, time_point(9s) + i * 1ms); });
  const double sweep_ns =
      NanosecondsPerCall(200, [&](int i) { Tick(health, time_point(10s) + i * 1s, rng); });
  std::printf(
      "{\"benchmark\":\"health\",\"endpoints\":%d,\"success_ns\":%.0f,\"state_change_ns\":%.0f,"
      "\"vm_list_us\":%.1f,\"sweep_us\":%.1f,\"bytes_per_endpoint\":%zu}\n",
      count, success_ns, state_change_ns, vm_list_ns / 1000, sweep_ns / 1000, bytes / count);
}

}  // namespace

int main() {
  for (const int count : {50, 150, 500}) Measure(count);
}
