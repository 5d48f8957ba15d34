// Measures the memory of a configuration document, the time to apply a delta and the time to parse
// a snapshot. Prints JSON lines. The document has the shape of an inventory; the times do not
// include validation.
#include <malloc.h>
#include <sys/resource.h>

#include <chrono>
#include <iostream>

#include "configsync/commit.h"
#include "configsync/document.h"

namespace balsambay::configsync {
namespace {

using nlohmann::json;
using std::chrono::steady_clock;

constexpr int kRounds = 20;

json MakeDocument(int endpoints) {
  json document = {{"zones", {{"z1", {{"region", "r1"}}}}},
                   {"models", {{"m1", {{"layers", 80}}}}},
                   {"vms", json::object()},
                   {"endpoints", json::object()}};
  for (int i = 0; i < endpoints; ++i) {
    const std::string number = std::to_string(10000 + i);
    document["vms"]["vm-" + number] = {{"zone", "z1"}};
    document["endpoints"]["engine-" + number] = {
        {"kind", "engine"},
        {"vm", "vm-" + number},
        {"address", "10.1." + std::to_string(i / 250) + "." + std::to_string(i % 250) + ":9000"},
        {"max_runs", 16},
        {"checks_fencing", true},
        {"accelerator", "a100"},
        {"accelerator_count", 8},
        {"model", "m1"},
        {"layers", {0, 40}},
        {"tokens_per_second", 2400.5},
        {"prefill_tokens_per_second", 20000.5}};
  }
  return document;
}

// Mean duration of a round.
double Milliseconds(steady_clock::duration span, int rounds) {
  return std::chrono::duration<double, std::milli>(span).count() / rounds;
}

// Returns kRounds consecutive deltas that each change one value.
std::vector<delta> MakeDeltas(const json& document) {
  std::vector<delta> deltas;
  json next = document;
  for (int round = 0; round < kRounds; ++round) {
    json changed = next;
    changed["endpoints"]["engine-10007"]["max_runs"] = 100 + round;
    deltas.push_back(
        {static_cast<uint64_t>(round) + 2, Digest(changed), json::diff(next, changed).dump()});
    next = std::move(changed);
  }
  return deltas;
}

// Memory of the parsed document. Called before the other measurements, so that the document is the
// only large object that changes the heap size.
double DocumentMegabytes(const std::string& text) {
  malloc_trim(0);
  const size_t before = mallinfo2().uordblks + mallinfo2().hblkhd;
  const json document = json::parse(text);
  return static_cast<double>(mallinfo2().uordblks + mallinfo2().hblkhd - before) / (1 << 20);
}

void RunBenchmark(int endpoints) {
  json document = MakeDocument(endpoints);
  const std::string text = document.dump();
  const double megabytes = DocumentMegabytes(text);
  const std::vector<delta> deltas = MakeDeltas(document);
  const auto start = steady_clock::now();
  for (const delta& delta : deltas) {
    if (ApplyDeltas(document, {&delta, 1}).has_error()) std::abort();
  }
  const auto applied = steady_clock::now();
  json parsed;
  for (int round = 0; round < kRounds; ++round) parsed = json::parse(text);
  const auto end = steady_clock::now();
  std::cout << json{{"benchmark", "configsync_apply"},
                    {"endpoints", endpoints},
                    {"text_kb", static_cast<double>(text.size()) / 1024},
                    {"document_mb", megabytes},
                    {"delta_bytes", deltas[0].patch.size()},
                    {"apply_delta_ms", Milliseconds(applied - start, kRounds)},
                    {"parse_snapshot_ms", Milliseconds(end - applied, kRounds)}}
            << std::endl;
}

}  // namespace
}  // namespace balsambay::configsync

int main() {
  for (const int endpoints : {50, 500, 10000}) balsambay::configsync::RunBenchmark(endpoints);
}
