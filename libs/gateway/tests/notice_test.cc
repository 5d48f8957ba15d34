// Longest time until a gateway learns of a change, in virtual time, compared with the limit that
// the platform states. Covers the whole path: reader, cell, other cells, checks and their
// intervals.
#include <catch2/catch.hpp>

#include "notice_model.h"

namespace balsambay::gateway {
namespace {

using namespace std::chrono_literals;

struct installation {
  size_t gateways;
  size_t zones;
  duration change_limit;   // within which every gateway must know a change
  duration recovery_time;  // after which the store and the gateways count as healthy again
};

// The known sizes of installations, and the size for which the gateway is designed.
constexpr installation kMedium{77, 4, 3000ms, 4000ms};
constexpr installation kLarge{195, 5, 4000ms, 5000ms};
constexpr installation kTarget{3000, 20, 4000ms, 5000ms};

// Loss of calls to the store in all tests, and the longest time that a call takes.
constexpr double kCallLoss = 0.05;
constexpr duration kCallTime = 150ms;

propagation_model MakeModel(const installation& setup, double message_loss, uint64_t seed = 1) {
  return propagation_model({.gateways = setup.gateways,
                            .zones = setup.zones,
                            .limits = {setup.recovery_time / 2, setup.change_limit},
                            .message_loss = message_loss,
                            .call_loss = kCallLoss,
                            .call_time = kCallTime,
                            .seed = seed});
}

// Time in which the gateways elect their readers.
constexpr duration kElectionTime = 15s;

// Guards against requests that are sent to a leaving endpoint (incident DRAIN), and against missed
// additions and removals of routes and keys, when messages are lost.
TEST_CASE("a change is known in time despite lost messages") {
  const auto setup = GENERATE(kMedium, kLarge, kTarget);
  const auto message_loss = GENERATE(0.05, 0.3);
  propagation_model model = MakeModel(setup, message_loss);
  model.Run(kElectionTime);
  model.Change("e1");
  model.Run(setup.change_limit + 1s);
  CHECK(model.LongestDelay() <= setup.change_limit);
  CHECK(model.HasConverged());
}

enum class reader_failure { kCrash, kFreeze, kStoreUnreachable };

// The same when all readers fail shortly before the change.
TEST_CASE("a change is known in time when all readers fail") {
  const auto setup = GENERATE(kMedium, kLarge, kTarget);
  const auto failure =
      GENERATE(reader_failure::kCrash, reader_failure::kFreeze, reader_failure::kStoreUnreachable);
  const auto message_loss = GENERATE(0.05, 0.3);
  // The largest installation takes seconds to simulate, so it runs only with the higher loss.
  if (setup.gateways == kTarget.gateways && message_loss < 0.3) return;
  propagation_model model = MakeModel(setup, message_loss);
  model.Run(kElectionTime);
  for (const size_t reader : model.Readers()) {
    if (failure == reader_failure::kCrash) model.Kill(reader);
    if (failure == reader_failure::kFreeze) model.Freeze(reader, model.Now() + 6s);
    if (failure == reader_failure::kStoreUnreachable) model.BlockStore(reader, model.Now() + 6s);
  }
  model.Run(20ms);
  model.Change("e1");
  model.Run(setup.change_limit + 1s);
  CHECK(model.LongestDelay() <= setup.change_limit);
}

// Guards against a gateway whose own calls are lost three times in a row while all others know the
// change: among 3,000 gateways there is one.
TEST_CASE("a change is known in time when the readers and some calls of other gateways fail") {
  const auto seed = GENERATE(uint64_t{4}, uint64_t{7});
  propagation_model model = MakeModel(kTarget, 0.3, seed);
  model.Run(kElectionTime);
  for (const size_t reader : model.Readers()) model.BlockStore(reader, model.Now() + 6s);
  model.Run(20ms);
  model.Change("e1");
  model.Run(kTarget.change_limit + 1s);
  CHECK(model.LongestDelay() <= kTarget.change_limit);
}

// Guards against gateways whose copies stay out of date until a series of changes ends, because
// each newer version restarts their grace time and one lost message makes all later ones useless.
TEST_CASE("all changes of a series are known in time") {
  const auto setup = GENERATE(kMedium, kLarge);
  const auto message_loss = GENERATE(0.0, 0.05, 0.3);
  const auto seed = GENERATE(uint64_t{1}, uint64_t{2}, uint64_t{3});
  propagation_model model = MakeModel(setup, message_loss, seed);
  model.Run(kElectionTime);
  for (int i = 0; i < 60; ++i) {
    model.Change("config");
    model.Run(80ms);
  }
  model.Run(setup.change_limit + 1s);
  CHECK(model.LongestDelay() <= setup.change_limit);
  CHECK(model.HasConverged());
}

// Guards against a cell that does not learn of changes which its readers get by reading the whole
// table again.
TEST_CASE("a change is known in time when the store drops its history") {
  const auto setup = GENERATE(kMedium, kLarge);
  propagation_model model = MakeModel(setup, 0.05);
  model.Run(kElectionTime);
  for (int i = 0; i < 10; ++i) {
    model.Change("e" + std::to_string(i));
    model.DropHistory();
    model.Run(300ms);
  }
  model.Run(setup.change_limit + 1s);
  CHECK(model.LongestDelay() <= setup.change_limit);
  CHECK(model.HasConverged());
}

// Guards against a back-off of checks that lasts longer than an outage of the store: no gateway
// reaches the store for a while, and the readers fail after its recovery.
TEST_CASE("a change is known in time after an outage of the store") {
  const auto setup = GENERATE(kMedium, kLarge);
  const auto outage = GENERATE(1000ms, 2800ms, 6000ms, 20'000ms);
  propagation_model model = MakeModel(setup, 0.05);
  model.Run(kElectionTime);
  model.BlockStoreForAll(model.Now() + outage);
  model.Run(outage);
  // The platform counts the store as healthy again only after this time.
  model.Run(setup.recovery_time);
  for (const size_t reader : model.Readers()) model.Freeze(reader, model.Now() + 6s);
  model.Change("e1");
  model.Run(setup.change_limit + 1s);
  CHECK(model.LongestDelay() <= setup.change_limit);
}

// Guards against gateways that postpone their checks because a gateway that was stalled announces
// old replies of the store as new ones.
TEST_CASE("a change is known in time when stalled readers resume") {
  const auto setup = GENERATE(kMedium, kLarge);
  propagation_model model = MakeModel(setup, 0.05);
  model.Run(kElectionTime);
  const std::vector<size_t> readers = model.Readers();
  // The calls of the readers are answered while they are stalled; the last of these replies does
  // not contain the change.
  for (const size_t reader : readers) model.Freeze(reader, model.Now() + 2s);
  model.Change("e1");
  for (const size_t reader : readers) model.BlockStore(reader, model.Now() + 8s);
  model.Run(setup.change_limit + 1s);
  CHECK(model.LongestDelay() <= setup.change_limit);
}

// Guards against many gateways of each cell that follow the tables after the recovery of the store.
TEST_CASE("few gateways follow the tables after an outage of the store") {
  const auto setup = GENERATE(kMedium, kLarge);
  const auto message_loss = GENERATE(0.0, 0.05);
  propagation_model model = MakeModel(setup, message_loss);
  model.Run(kElectionTime);
  const size_t before = model.Readers().size();
  model.BlockStoreForAll(model.Now() + 6s);
  model.Run(6s);
  size_t max_readers = 0;
  for (duration passed{0}; passed < 10s; passed += 100ms) {
    model.Run(100ms);
    max_readers = std::max(max_readers, model.Readers().size());
  }
  CHECK(max_readers <= before);
}

// Calls load the platform's store, so the check of one gateway confirms the copies of its cell.
TEST_CASE("few gateways call the store while nothing changes") {
  const auto setup = GENERATE(kMedium, kLarge);
  propagation_model model = MakeModel(setup, 0.05);
  model.Run(kElectionTime);
  const size_t before = model.Calls();
  model.Run(20s);
  const double calls_per_gateway_second =
      static_cast<double>(model.Calls() - before) / 20 / static_cast<double>(setup.gateways);
  CHECK(calls_per_gateway_second <= 0.2);
}

}  // namespace
}  // namespace balsambay::gateway
