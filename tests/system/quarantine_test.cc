// A request that crashes each endpoint that runs it, and is sent again, must not walk through the
// fleet.
#include <catch2/catch.hpp>

#include "cluster.h"
#include "mock_answer/answer.h"

namespace balsambay::system_test {
namespace {

int CountDead(cluster& c, const std::vector<std::string>& ids) {
  return static_cast<int>(std::ranges::count_if(
      ids, [&](const std::string& id) { return !c.Endpoint(id).process->Running(); }));
}

TEST_CASE("a crashing request loses at most two endpoints and is then refused with its reason") {
  cluster c("quarantine");
  const std::vector<std::string> ids = {"e1", "e2", "e3", "e4", "e5", "e6"};
  for (const std::string& id : ids) c.AddEngine(id, {});
  c.AddDaemon("d1");
  c.Start();
  c.RunFor(1500);
  // The caller sends it again and again, while others work.
  std::vector<reply_ptr> innocent;
  reply last;
  for (int i = 0; i < 8; ++i) {
    innocent.push_back(c.SendChat("d1", "innocent " + std::to_string(i), 20, true));
    last = c.Wait(c.SendChat("d1", "[[crash]] me", 5, false, {{"Balsambay-Timeout-Ms", "4000"}}));
  }
  CHECK(CountDead(c, ids) <= 2);
  CHECK(last.Reason() == "quarantined");
  for (int i = 0; i < 8; ++i) {
    const stream_text text = ParseStream(c.Wait(innocent[i]).body);
    CHECK(text.done);
    CHECK(text.content == mock_answer::Expected("innocent " + std::to_string(i), 20));
  }
}

}  // namespace
}  // namespace balsambay::system_test
