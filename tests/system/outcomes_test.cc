// Guarantees 3 and 4 with real failures: "not run" is true, and a non-repeatable request runs at
// most once, while endpoints and entry daemons are killed or frozen, links are cut, and the table
// loses replies or is down.
#include <signal.h>

#include <catch2/catch.hpp>
#include <random>

#include "bookings.h"
#include "checks.h"
#include "cluster.h"

namespace balsambay::system_test {
namespace {

using nlohmann::json;

void AddBooking(cluster& c, int daemons) {
  c.document["services"]["booking"] = {{"repeatable", false}};
  c.AddEngine("e1", {});
  c.AddService("s1", "booking", "z1", true);
  c.AddService("s2", "booking");
  for (int i = 1; i <= daemons; ++i)
    c.AddDaemon("d" + std::to_string(i), "z" + std::to_string((i - 1) % 3 + 1));
  c.Start();
}

// Waits until each daemon answers a booking, which needs owners for all shards.
void WaitForLedger(cluster& c) {
  for (int i = 0; i < 16; ++i) {
    const bool ran =
        c.RunUntil([&] { return c.Wait(Book(c, "d1", 900000 + i)).status == 200; }, 15000);
    REQUIRE(ran);
  }
}

// A final answer that says "not run" must have no trace at any endpoint; one that says "ran" must
// have one.
void CheckOutcome(const std::vector<json>& journals, const reply& got, int i) {
  const int starts = StartsOf(journals, Marker(i));
  INFO("booking " << i << " status " << got.status << " outcome " << got.outcome << " starts "
                  << starts);
  CHECK(starts <= 1);
  if (got.outcome == "not-run") CHECK(starts == 0);
  if (got.outcome == "ran") CHECK(starts == 1);
}

TEST_CASE("a request sent twice to two entry VMs runs once and the repeat gets the stored result") {
  cluster c("outcomes-twice");
  AddBooking(c, 3);
  WaitForLedger(c);
  const reply first = c.Wait(Book(c, "d1", 1));
  REQUIRE(first.status == 200);
  reply again = c.Wait(Book(c, "d2", 1));
  // The end of the first run may still be on its way to the table.
  c.RunUntil([&] { return (again = c.Wait(Book(c, "d3", 1))).status == 200; }, 5000);
  CHECK(again.status == 200);
  CHECK(again.body == first.body);
  CHECK(StartsOf(c.AllJournals(), Marker(1)) == 1);
  const reply other = c.Wait(c.SendCall("d1", "/v1/services/booking", {{"order", "different"}},
                                        {{"Idempotency-Key", "key-1"}}));
  CHECK(other.Reason() == "key_conflict");
}

TEST_CASE("the same request sent to three entry VMs at the same moment runs once") {
  cluster c("outcomes-race");
  AddBooking(c, 3);
  WaitForLedger(c);
  std::vector<std::pair<int, reply_ptr>> pending;
  for (int i = 0; i < 30; ++i) {
    for (const char* daemon : {"d1", "d2", "d3"}) pending.emplace_back(i, Book(c, daemon, i));
  }
  for (const auto& [i, reply] : pending) c.Wait(reply);
  const auto journals = c.AllJournals();
  for (int i = 0; i < 30; ++i) CHECK(StartsOf(journals, Marker(i)) == 1);
}

TEST_CASE("links cut at random moments: outcomes told are true and nothing runs twice") {
  cluster c("outcomes-cuts");
  AddBooking(c, 2);
  WaitForLedger(c);
  std::mt19937 random(20261204);
  std::vector<std::pair<int, reply_ptr>> pending;
  for (int i = 0; i < 60; ++i) {
    pending.emplace_back(i, Book(c, i % 2 == 0 ? "d1" : "d2", i));
    c.RunFor(static_cast<int>(random() % 6));
    if (i % 10 == 4) c.Endpoint("s1").link->SetMode(link_mode::kCut);
    if (i % 10 == 8) c.Endpoint("s1").link->SetMode(link_mode::kPass);
  }
  for (const auto& [i, reply] : pending) c.Wait(reply);
  const auto journals = c.AllJournals();
  for (const auto& [i, reply] : pending) CheckOutcome(journals, *reply, i);
}

TEST_CASE("endpoints killed while they work: outcomes told are true and nothing runs twice") {
  cluster c("outcomes-kills");
  AddBooking(c, 2);
  WaitForLedger(c);
  std::vector<std::pair<int, reply_ptr>> pending;
  for (int i = 0; i < 40; ++i) pending.emplace_back(i, Book(c, i % 2 == 0 ? "d1" : "d2", i));
  c.RunFor(6);
  c.Endpoint("s2").process->Kill();
  for (const auto& [i, reply] : pending) c.Wait(reply);
  const auto journals = c.AllJournals();
  for (const auto& [i, reply] : pending) CheckOutcome(journals, *reply, i);
  // Repeats of everything, also of what has an unknown outcome, start nothing a second time.
  for (int i = 0; i < 40; ++i) c.Wait(Book(c, "d2", i));
  const auto after = c.AllJournals();
  for (int i = 0; i < 40; ++i) CHECK(StartsOf(after, Marker(i)) <= 1);
}

TEST_CASE(
    "replies of the table lost after the write: outcomes told are true and nothing runs twice") {
  cluster c("outcomes-lost-replies");
  AddBooking(c, 2);
  WaitForLedger(c);
  std::vector<std::pair<int, reply_ptr>> pending;
  for (int i = 0; i < 40; ++i) {
    if (i % 8 == 0) c.PlatformFaults({{"lose_replies", 2}});
    pending.emplace_back(i, Book(c, "d1", i));
    pending.emplace_back(i, Book(c, "d2", i));
    c.RunFor(10);
  }
  int ran = 0;
  for (const auto& [i, reply] : pending) ran += c.Wait(reply).outcome == "ran" ? 1 : 0;
  CHECK(ran > 0);
  const auto journals = c.AllJournals();
  for (int i = 0; i < 40; ++i) CHECK(StartsOf(journals, Marker(i)) <= 1);
}

TEST_CASE(
    "with the table down non-repeatable requests are refused at once and repeatable ones go on") {
  cluster c("outcomes-table-down");
  c.AddService("s3", "quote");
  AddBooking(c, 2);
  WaitForLedger(c);
  c.PlatformFaults({{"mode", "down"}});
  c.RunFor(500);
  const time_point start = MonotonicNow();
  const reply refused = c.Wait(Book(c, "d1", 1));
  CHECK(MonotonicNow() - start < std::chrono::seconds(2));
  CHECK(refused.Reason() == "ledger_unavailable");
  CHECK(refused.outcome == "not-run");
  CHECK_FALSE(refused.retry_after.empty());
  CHECK(c.Wait(c.SendCall("d1", "/v1/services/quote", {{"x", 1}})).status == 200);
  c.PlatformFaults({{"mode", "ok"}});
  const time_point back = MonotonicNow();
  int next = 100;
  CHECK(c.RunUntil([&] { return c.Wait(Book(c, "d1", next++)).status == 200; }));
  // Target: platform back to normal within 2 s.
  CHECK(MonotonicNow() - back < std::chrono::seconds(2));
  CHECK(StartsOf(c.AllJournals(), Marker(1)) == 0);
}

TEST_CASE("an entry VM killed: its shards are served again within 5 s and nothing runs twice") {
  cluster c("outcomes-owner-killed");
  AddBooking(c, 3);
  WaitForLedger(c);
  std::vector<std::pair<int, reply_ptr>> pending;
  for (int i = 0; i < 30; ++i) pending.emplace_back(i, Book(c, i % 2 == 0 ? "d1" : "d2", i));
  c.RunFor(3);
  c.Daemon("d2").process->Kill();
  const time_point killed = MonotonicNow();
  int next = 1000;
  // Sixteen different keys reach all of the eight shards with a probability above 0.9 each round.
  for (int round = 0; round < 24; ++round) {
    CHECK(c.RunUntil([&] { return c.Wait(Book(c, "d1", next++)).status == 200; }));
  }
  CHECK(MonotonicNow() - killed < std::chrono::seconds(5));
  for (const auto& [i, reply] : pending) c.Wait(reply);
  for (int i = 0; i < 30; ++i) c.Wait(Book(c, "d3", i));
  const auto journals = c.AllJournals();
  for (int i = 0; i < 30; ++i) CHECK(StartsOf(journals, Marker(i)) <= 1);
}

TEST_CASE("an owner frozen past its lease and woken does not let anything run twice") {
  cluster c("outcomes-owner-frozen");
  AddBooking(c, 3);
  WaitForLedger(c);
  std::vector<std::pair<int, reply_ptr>> pending;
  for (int i = 0; i < 20; ++i) pending.emplace_back(i, Book(c, "d2", i));
  c.Daemon("d2").process->Signal(SIGSTOP);
  for (int i = 0; i < 20; ++i) pending.emplace_back(i, Book(c, "d1", i));
  c.RunFor(6000);
  for (int i = 0; i < 20; ++i) pending.emplace_back(i, Book(c, "d3", i));
  c.RunFor(1000);
  c.Daemon("d2").process->Signal(SIGCONT);
  for (const auto& [i, reply] : pending) c.Wait(reply);
  for (int i = 0; i < 20; ++i) c.Wait(Book(c, "d2", i));
  const auto journals = c.AllJournals();
  for (int i = 0; i < 20; ++i) CHECK(StartsOf(journals, Marker(i)) <= 1);
}

}  // namespace
}  // namespace balsambay::system_test
