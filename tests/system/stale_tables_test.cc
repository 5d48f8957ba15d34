// Gateways that do not read the platform's tables themselves: how soon they learn of a change when
// the store was away, when messages between gateways are lost, and when history is dropped.
#include <signal.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <fstream>
#include <nlohmann/json.hpp>

#include "base/delta.h"
#include "platform/store_client.h"
#include "platform_site.h"

namespace balsambay::system_test {
namespace {

using namespace std::chrono_literals;
using gateway::table_change;
using platform::store_mode;

// A copy of the table "t" that is no longer followed: it changes by checks and by what is applied.
struct copy {
  net::loop loop;
  platform::store_stand_in store{loop};
  platform::store_client client{store.Address(), loop};
  std::map<std::string, std::string> rows;
  std::vector<table_change> told;
  uint64_t complete = 0;

  void Watch() {
    platform::watch_options events;
    events.on_rows = [this](const platform::stored_rows& all) {
      rows.clear();
      for (const auto& [key, row] : all) rows[key] = row.value;
    };
    events.on_position = [this](uint64_t, uint64_t version, const clock_sample&) {
      complete = version;
    };
    events.on_change = [this](const table_change& change, const clock_sample&) {
      told.push_back(change);
    };
    client.Watch("t", events);
    REQUIRE(RunUntil([this] { return complete > 0 && store.HasWaitingFeed(); }, 2s));
  }

  bool RunUntil(const std::function<bool()>& done, duration limit) {
    return platform::RunUntil(loop, done, limit);
  }
};

// Guards against checks that are dropped while the client waits after a failed call: the copy then
// stays old for seconds after the store is back (incident DRAIN, the store had been away for 6 s).
TEST_CASE("a check after the store's return is made at once, however long it was away") {
  const auto away = GENERATE(1000ms, 2800ms, 6000ms);
  const auto mode = GENERATE(store_mode::kSilent, store_mode::kRefuses);
  copy c;
  c.Watch();
  c.client.SetFollowing(false);
  c.store.mode = mode;
  for (duration passed{0}; passed < away; passed += 200ms) {
    c.client.Check("t");
    c.RunUntil([] { return false; }, 200ms);
  }
  c.store.mode = store_mode::kServes;
  c.store.Put("t", "leaves", "1");
  const time_point back = MonotonicNow();
  const bool known = c.RunUntil(
      [&] {
        c.client.Check("t");
        return c.rows.contains("leaves");
      },
      5s);
  CHECK(known);
  // A call that was made before the return may still be waited for.
  CHECK(MonotonicNow() - back < 700ms);
}

// Guards against a cell that learns nothing of what its reader has read anew (history dropped).
TEST_CASE("what a whole read brings is told to the others") {
  copy c;
  c.store.Put("t", "stays", "1");
  c.store.Put("t", "goes", "1");
  c.Watch();
  const uint64_t before = c.complete;
  c.store.mode = store_mode::kLosesReplies;
  c.store.Delete("t", "goes");
  c.store.Put("t", "leaves", "1");
  c.store.DropHistory();
  c.store.mode = store_mode::kServes;
  c.client.Check("t");
  REQUIRE(c.RunUntil([&] { return c.rows.contains("leaves"); }, 2s));
  REQUIRE(c.told.size() == 1);
  CHECK(c.told.front().since <= before);
  CHECK(c.told.front().until == c.complete);
  REQUIRE(c.told.front().rows.size() == 2);
  const auto deleted =
      std::ranges::find(c.told.front().rows, std::string("goes"), &gateway::changed_row::key);
  REQUIRE(deleted != c.told.front().rows.end());
  CHECK_FALSE(deleted->value.has_value());
}

// Guards against one lost message that makes all later ones of a series useless: two readers tell
// of the same changes in different steps, and a receiver that lacks a step of one goes on with the
// other's.
TEST_CASE("a lost change of one reader is made up for by the other reader") {
  copy c;
  const std::string text(200, 'x');
  c.store.Put("t", "a", text);
  c.Watch();
  c.client.SetFollowing(false);
  const uint64_t v = c.complete;
  const auto value = [&](uint64_t version) { return text + std::to_string(version - v); };
  const auto step = [&](uint64_t from, uint64_t to) {
    const std::string base = from == v ? text : value(from);
    c.client.Apply("t", {from, to, {{"a", to, EncodeDelta(base, value(to)), from}}});
  };
  // The first reader's steps are of 4 versions, the second one's of 4 versions between them.
  step(v, v + 2);
  step(v, v + 4);
  step(v + 2, v + 6);
  step(v + 4, v + 8);
  // The first reader's next step, v + 6 to v + 10, is lost.
  step(v + 8, v + 12);
  CHECK(c.rows.at("a") == value(v + 12));
}

// The store counts as sound again after this time.
constexpr duration kSoundAfter = 3000ms;

site_options ManyGateways() {
  site_options options;
  options.gateways = kManyGateways;
  options.engines_per_stage = 2;
  options.services = 2;
  return options;
}

// Gateways that read the tables for the others, as their logs say.
std::vector<size_t> ReadersOf(const platform_site& site) {
  std::vector<size_t> out;
  for (size_t i = 0; i < site.gateways.size(); ++i) {
    std::ifstream log(site.gateways[i].log_file);
    bool reads = true;
    for (std::string line; std::getline(log, line);) {
      if (line.find("leaves the shared tables") != std::string::npos) reads = false;
      if (line.find("follows the shared tables") != std::string::npos) reads = true;
    }
    if (reads) out.push_back(i);
  }
  return out;
}

// The gateways that read the tables stand still; the others go on.
class paused_readers {
 public:
  explicit paused_readers(platform_site& site) : site_(site), readers_(ReadersOf(site)) {
    for (const size_t i : readers_) site_.gateways[i].process->Signal(SIGSTOP);
  }
  ~paused_readers() {
    for (const size_t i : readers_) site_.gateways[i].process->Signal(SIGCONT);
  }
  paused_readers(const paused_readers&) = delete;
  paused_readers& operator=(const paused_readers&) = delete;

  size_t Count() const { return readers_.size(); }

  std::vector<std::shared_ptr<platform::reply>> CallOthers(const std::string& kind,
                                                           const std::string& body) {
    std::vector<std::shared_ptr<platform::reply>> out;
    for (size_t i = 0; i < site_.gateways.size(); ++i) {
      if (std::ranges::find(readers_, i) == readers_.end())
        out.push_back(site_.Send(i, kind, body));
    }
    site_.RunUntil(
        [&] { return std::ranges::all_of(out, [](const auto& item) { return item->ended; }); }, 5s);
    return out;
  }

 private:
  platform_site& site_;
  std::vector<size_t> readers_;
};

// `away`: the store does not answer for this long; it is sound again when the test goes on.
void StartWithReaders(platform_site& site, duration away) {
  REQUIRE(site.Start());
  // Until the gateways know which of them read.
  site.RunFor(3s);
  if (away > duration::zero()) {
    site.store.mode = store_mode::kSilent;
    site.RunFor(away);
    site.store.mode = store_mode::kServes;
    site.RunFor(kSoundAfter);
  }
}

// Guards against requests at an endpoint that has said that it leaves (incident DRAIN): while the
// gateways that read the list stand still, the others have to ask in time, also after an outage.
TEST_CASE("an endpoint that leaves gets nothing while the readers of the list stand still") {
  const auto away = GENERATE(0ms, 6000ms);
  platform_site site(ManyGateways());
  StartWithReaders(site, away);
  paused_readers paused(site);
  REQUIRE(paused.Count() >= 2);
  REQUIRE(paused.Count() <= 6);
  site.StartLeaving(site.Endpoint("d0"), {.announced = true, .grace_period = 8s});
  site.RunFor(kNotice);
  const time_point late = MonotonicNow();
  paused.CallOthers("safe", "late");
  const auto reached = std::ranges::count_if(
      site.arrivals, [&](const arrival& item) { return item.endpoint == "d0" && item.at >= late; });
  CHECK(reached == 0);
}

// Guards against a withdrawn key that goes on being accepted for the same reason.
TEST_CASE("a withdrawn key is refused while the readers of the configuration stand still") {
  platform_site site(ManyGateways());
  StartWithReaders(site, 0ms);
  paused_readers paused(site);
  REQUIRE(paused.Count() <= 6);
  nlohmann::json configuration = nlohmann::json::parse(site.store.Value("op", "config"));
  configuration["version"] = configuration["version"].get<int>() + 1;
  configuration["tenants"][0]["api_keys"] = {"another"};
  site.store.Put("op", "config", configuration.dump());
  site.RunFor(kNotice);
  const auto replies = paused.CallOthers("safe", "withdrawn");
  const auto accepted =
      std::ranges::count_if(replies, [](const auto& item) { return item->status == 200; });
  CHECK(accepted == 0);
}

}  // namespace
}  // namespace balsambay::system_test
