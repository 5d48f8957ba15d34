// Tests of the commands against a scripted HTTP server.
#include <absl/flags/reflection.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "exit_code.h"
#include "fake_daemon.h"
#include "run.h"

namespace balsambay::ctl {
namespace {

using json = nlohmann::json;
using Catch::Matchers::Contains;

constexpr const char* kConfig = "/admin/v1/config";
constexpr const char* kUnusedAddress = "127.0.0.1:1";  // nothing listens on this port

struct outcome {
  int code = 0;
  std::string out;
  std::string err;
};

outcome RunCtl(const std::vector<std::string>& arguments, const environment& env = {}) {
  const absl::FlagSaver saver;
  std::ostringstream out;
  std::ostringstream err;
  const int code = Run(arguments, env, out, err);
  return {code, out.str(), err.str()};
}

json Document(const std::string& region = "r1") {
  json document = {{"format", 1}, {"zones", {{"z1", {{"region", region}}}}}};
  for (const char* name : {"vms", "models", "endpoints", "services", "workspaces"}) {
    document[name] = json::object();
  }
  return document;
}

std::string ConfigReply(int version, const json& document) {
  return json{{"version", version}, {"age_ms", 1500}, {"document", document}}.dump();
}

// A file that exists as long as the object.
class temporary_file {
 public:
  explicit temporary_file(const std::string& text) {
    static int next = 0;
    path_ = std::filesystem::temp_directory_path() /
            ("balsambayctl-" + std::to_string(getpid()) + "-" + std::to_string(++next) + ".json");
    std::ofstream(path_) << text;
  }
  ~temporary_file() { std::filesystem::remove(path_); }
  std::string Path() const { return path_.string(); }

 private:
  std::filesystem::path path_;
};

TEST_CASE("wrong usage exits with 2 and says why; guards against a command that guesses") {
  const temporary_file file(Document().dump());
  const std::vector<std::pair<std::vector<std::string>, std::string>> cases = {
      {{}, "no command"},
      {{"frob"}, "unknown command"},
      {{"validate"}, "missing argument"},
      {{"validate", "a", "b"}, "too many"},
      {{"validate", "a", "--surprise"}, "unknown flag --surprise"},
      {{"validate", "a", "--follow"}, "does not take --follow"},
      {{"status"}, "no daemon given"},
      {{"status", "--daemon", "localhost:80"}, "not an address"},
      {{"status", "--daemon"}, "has no value"},
      {{"status", "--daemon", kUnusedAddress, "--timeout_ms=0"}, "between 1"},
      {{"apply", file.Path(), "--base_version=-3", "--daemon", kUnusedAddress}, "negative"},
      {{"explain", "--daemon", kUnusedAddress, "--workspace", "w"}, "either --model or --service"},
      {{"diff", file.Path()}, "use --daemon"},
      {{"completion", "zsh"}, "only bash"},
  };
  for (const auto& [arguments, message] : cases) {
    const outcome result = RunCtl(arguments);
    CHECK(result.code == kUsage);
    CHECK_THAT(result.err, Contains(message));
  }
}

TEST_CASE("help lists commands and exit codes, completion lists commands and flags") {
  const outcome help = RunCtl({"--help"});
  CHECK(help.code == kOk);
  CHECK_THAT(help.out, Contains("apply FILE") && Contains("--base_version") &&
                           Contains("6  the outcome is unknown"));
  const outcome completion = RunCtl({"completion", "bash"});
  CHECK_THAT(completion.out, Contains("undrain) words='--daemon") && Contains("complete -o"));
}

TEST_CASE("validate reports errors with paths and exit code 3, as text and as JSON") {
  const temporary_file valid(Document().dump());
  CHECK_THAT(RunCtl({"validate", valid.Path()}).out,
             Contains("valid (1 zones") && Contains("warning: no workspace has a token"));
  json with_token = Document();
  with_token["workspaces"]["w"]["token_digests"] = {std::string(64, 'a')};
  const temporary_file served(with_token.dump());
  CHECK(RunCtl({"validate", served.Path()}).out.find("warning") == std::string::npos);
  const temporary_file invalid(Document("").dump());
  const outcome text = RunCtl({"validate", invalid.Path()});
  CHECK((text.code == kInvalidDocument && text.out.empty()));
  CHECK_THAT(text.err, Contains("/zones/z1/region: must not be empty"));
  const outcome as_json = RunCtl({"validate", "--json", invalid.Path()});
  CHECK(as_json.code == kInvalidDocument);
  CHECK(json::parse(as_json.out)["errors"][0]["path"] == "/zones/z1/region");
  const temporary_file broken("{");
  CHECK(RunCtl({"validate", broken.Path()}).code == kInvalidDocument);
  CHECK(RunCtl({"validate", "/nonexistent/file"}).code == kFailure);
}

TEST_CASE("the example is valid; guards against an example that the daemon refuses") {
  const std::filesystem::path data(BALSAMBAY_TEST_DATA);
  const auto root = data.parent_path().parent_path().parent_path().parent_path();
  const outcome result = RunCtl({"validate", (root / "examples" / "three-zones.json").string()});
  CHECK(result.code == kOk);
  CHECK_THAT(result.out, Contains("3 zones, 6 vms"));
}

TEST_CASE("diff compares two files or a file with the configuration in force") {
  fake_daemon daemon;
  daemon.Script(std::string("GET ") + kConfig, {{200, ConfigReply(3, Document("r1"))}});
  const temporary_file first(Document("r1").dump());
  const temporary_file second(Document("r2").dump());
  const std::string expected = "~ /zones/z1/region: \"r1\" -> \"r2\"\n";
  CHECK(RunCtl({"diff", first.Path(), second.Path()}).out == expected);
  CHECK(RunCtl({"diff", second.Path()}, {daemon.Address(), ""}).out == expected);
  CHECK(RunCtl({"diff", first.Path(), first.Path()}).out == "no differences\n");
}

TEST_CASE("apply sends the version in force, the document and the token") {
  fake_daemon daemon;
  daemon.Script(std::string("GET ") + kConfig, {{200, ConfigReply(3, Document("r1"))}});
  daemon.Script(std::string("POST ") + kConfig, {{200, "{\"version\":4}"}});
  const temporary_file file(Document("r2").dump());
  const outcome result = RunCtl({"apply", file.Path()}, {daemon.Address(), "secret"});
  CHECK(result.code == kOk);
  CHECK_THAT(result.out, Contains("~ /zones/z1/region") && Contains("version 4 is committed"));
  const std::vector<seen_request> requests = daemon.Requests();
  REQUIRE(requests.size() == 2);
  CHECK(requests[1].authorization == "Bearer secret");
  CHECK(json::parse(requests[1].body) == json{{"base_version", 3}, {"document", Document("r2")}});
  const temporary_file same(Document("r1").dump());
  CHECK_THAT(RunCtl({"apply", same.Path()}, {daemon.Address(), ""}).out, Contains("no change"));
  CHECK(daemon.Requests().size() == 3);
}

TEST_CASE("each refusal of apply has its exit code; guards against a lost conflict") {
  struct refusal {
    scripted_reply reply;
    int code;
    std::string message;
  };
  const std::vector<refusal> refusals = {
      {{409, "{\"version\":9}"}, kConflict, "based on version 7, but version 9 is in force"},
      {{422, R"({"errors":[{"path":"/vms","message":"bad"}]})"}, kInvalidDocument, "/vms: bad"},
      {{503, "{\"detail\":\"table down\"}"}, kFailure, "not committed, nothing was changed"},
      {{401, ""}, kFailure, "admin token refused"},
      {{500, "[]"}, kFailure, "HTTP status 500"},
  };
  const temporary_file file(Document().dump());
  for (const refusal& entry : refusals) {
    fake_daemon daemon;
    daemon.Script(std::string("POST ") + kConfig, {entry.reply});
    std::vector<std::string> arguments = {"apply", file.Path(), "--base-version", "7"};
    const environment env{daemon.Address(), ""};
    const outcome text = RunCtl(arguments, env);
    CHECK(text.code == entry.code);
    CHECK_THAT(text.err, Contains(entry.message));
    arguments.emplace_back("--json");
    const outcome as_json = RunCtl(arguments, env);
    CHECK(json::parse(as_json.out)["exit_code"] == entry.code);
  }
}

TEST_CASE("a lost reply of apply is read back and never sent again") {
  struct read_back {
    int version;
    std::string region;
    int code;
  };
  const temporary_file file(Document("r2").dump());
  for (const auto& lost : {scripted_reply{0, ""}, scripted_reply{504, "{}"}}) {
    for (const read_back& entry : {read_back{8, "r2", kOk}, read_back{8, "r3", kConflict},
                                   read_back{9, "r2", kUnknownOutcome}}) {
      fake_daemon daemon;
      daemon.Script(std::string("POST ") + kConfig, {lost});
      daemon.Script(std::string("GET ") + kConfig,
                    {{200, ConfigReply(7, Document("r1"))},
                     {200, ConfigReply(entry.version, Document(entry.region))}});
      const outcome result =
          RunCtl({"apply", file.Path(), "--base_version=7"}, {daemon.Address(), ""});
      CHECK(result.code == entry.code);
      CHECK(daemon.Requests().size() == 3);
    }
  }
}

TEST_CASE("an unreachable daemon gives 5; the next one is asked when nothing was sent") {
  const temporary_file file(Document().dump());
  CHECK(RunCtl({"apply", file.Path(), "--daemon", kUnusedAddress}).code == kUnreachable);
  fake_daemon daemon;
  daemon.Script(std::string("POST ") + kConfig, {{200, "{\"version\":1}"}});
  daemon.Script("GET /admin/v1/status", {{200, R"({"id":"d1","zone":"z1","state":"ready"})"}});
  const std::vector<std::string> both = {"--daemon", kUnusedAddress, "--daemon", daemon.Address()};
  std::vector<std::string> apply = {"apply", file.Path(), "--base_version", "0"};
  apply.insert(apply.end(), both.begin(), both.end());
  CHECK(RunCtl(apply).code == kOk);
  const outcome status = RunCtl(
      {"status", "--json", "--daemon", kUnusedAddress + std::string(",") + daemon.Address()});
  CHECK(status.code == kUnreachable);
  const json daemons = json::parse(status.out)["daemons"];
  CHECK(daemons[0].contains("error"));
  CHECK(daemons[1]["status"]["id"] == "d1");
}

TEST_CASE("show lists versions and ages and tells when daemons differ") {
  fake_daemon first;
  fake_daemon second;
  first.Script(std::string("GET ") + kConfig, {{200, ConfigReply(3, Document())}});
  second.Script(std::string("GET ") + kConfig, {{200, ConfigReply(4, Document())}});
  const environment env{first.Address() + "," + second.Address(), ""};
  const outcome table = RunCtl({"show"}, env);
  CHECK(table.code == kOk);
  CHECK_THAT(table.out, Contains("3        1.5 s  1 zones") && Contains("different versions"));
  const outcome repeated =
      RunCtl({"show", "--json", "--daemon", first.Address(), "--daemon", second.Address()});
  CHECK(json::parse(repeated.out)["daemons"][1]["version"] == 4);
  CHECK(json::parse(RunCtl({"show", "--document"}, env).out) == Document());
}

TEST_CASE("endpoints, plan, explain and drain print what the daemon says") {
  fake_daemon daemon;
  daemon.Script("GET /admin/v1/endpoints",
                {{200, R"({"endpoints":[{"id":"e2","state":"live","usable":true,"in_flight":3,
                 "reported_load":0.5,"zone":"z1"},{"id":"e1\u001b[2J","state":"leaving"}]})"}});
  daemon.Script("GET /admin/v1/plan?model=a%2Fb",
                {{200, R"({"bound_tokens_per_second":120,"limiting":[{"endpoint":"e1","first":0,
                 "end":5}],"routes":[{"weight":0.4,"stages":[{"endpoint":"e1","first":0,"end":5},
                 {"endpoint":"e2","first":5,"end":8}]}]})"}});
  daemon.Script(std::string("GET ") + kConfig,
                {{200, R"({"version":1,"document":{"models":{"a/b":{}}}})"}});
  daemon.Script("POST /admin/v1/explain", {{200, R"({"route":["e1"],"reasons":["warm cache"]})"}});
  daemon.Script("POST /admin/v1/drain", {{200, "{}"}});
  const environment env{daemon.Address(), ""};
  CHECK_THAT(RunCtl({"endpoints"}, env).out, Contains("e1?[2J    leaving  -       -") &&
                                                 Contains("live     true    3          0.5"));
  CHECK_THAT(RunCtl({"plan"}, env).out, Contains("bound: 120 tokens/s\nlimited by: e1[0,5)\n") &&
                                            Contains("0.4     e1[0,5) > e2[5,8)"));
  CHECK(RunCtl({"plan", "other"}, env).code == kFailure);
  CHECK_THAT(RunCtl({"explain", "--workspace", "w", "--model", "m"}, env).out,
             Contains("route: e1\n  warm cache"));
  CHECK_THAT(RunCtl({"drain", "e1"}, env).out, Contains("drained"));
  CHECK(RunCtl({"undrain", "e1"}, env).code == kOk);
  const auto requests = daemon.Requests();
  CHECK(json::parse(requests[requests.size() - 2].body)["drain"] == true);
  CHECK(json::parse(requests.back().body) == json{{"endpoint", "e1"}, {"drain", false}});
}

TEST_CASE("reasons sums counters by reason and follows growth across a restart") {
  const auto text = [](int a, int b) {
    return "# TYPE x counter\nrefused_total{reason=\"queue_full\",workspace=\"w1\"} " +
           std::to_string(a) + "\nrefused_total{reason=\"queue_full\",workspace=\"w2\"} " +
           std::to_string(b) + "\nother 7\n";
  };
  fake_daemon daemon;
  daemon.Script("GET /metrics", {{200, text(2, 3)}, {200, text(2, 4)}, {200, text(1, 1)}});
  const environment env{daemon.Address(), ""};
  const outcome result = RunCtl({"reasons", "--follow", "--interval_ms=10", "--polls=2"}, env);
  CHECK(result.code == kOk);
  CHECK(result.out == "COUNTER        REASON      COUNT\nrefused_total  queue_full  5.0\n" +
                          daemon.Address() + "  refused_total  queue_full  +1.0\n" +
                          daemon.Address() + "  refused_total  queue_full  +2.0\n");
  daemon.Script("GET /metrics", {{200, "not metrics"}});
  CHECK(RunCtl({"reasons"}, env).code == kFailure);
}

// Guards against a reply that breaks HTTP's grammar and is shown, or taken for the outcome of a
// change.
TEST_CASE("a reply that breaks the grammar of HTTP is no answer, a sound one close to it is") {
  struct raw_case {
    std::string status_line;
    std::string line;
    bool sound = false;
  };
  const temporary_file file(Document().dump());
  for (const raw_case& entry :
       {raw_case{"HTTP/1.1 000 OK", "X-Y: 1"}, raw_case{"HTTP/1.1 0200 OK", "X-Y: 1"},
        raw_case{"HTTP/1.1 999 OK", "X-Y: 1"}, raw_case{"HTTP/1.1 200 OK", "X Y: 1"},
        raw_case{"HTTP/1.1 200 OK", "X-Y : 1"}, raw_case{"HTTP/1.1 200 OK", " X-Y: 1"},
        raw_case{"HTTP/1.1 200 OK", "X\x01Y: 1"}, raw_case{"HTTP/1.1 200 OK", "X\x80Y: 1"},
        raw_case{"HTTP/1.1 200 OK", ": 1"}, raw_case{"HTTP/1.1 200 OK", "X-Y: 1", true},
        raw_case{"HTTP/1.1 200 Odd", "X-Y:1 2", true}}) {
    CAPTURE(entry.status_line, entry.line);
    const std::string body = R"({"id":"d1","zone":"z1","state":"ready","version":1})";
    const scripted_reply raw{0, entry.status_line + "\r\n" + entry.line + "\r\nContent-Length: " +
                                    std::to_string(body.size()) + "\r\n\r\n" + body};
    fake_daemon daemon;
    daemon.Script("GET /admin/v1/status", {raw});
    daemon.Script(std::string("POST ") + kConfig, {raw});
    daemon.Script(std::string("GET ") + kConfig, {{200, ConfigReply(7, Document("r2"))}});
    const environment env{daemon.Address(), ""};
    CHECK(RunCtl({"status"}, env).code == (entry.sound ? kOk : kUnreachable));
    const outcome applied = RunCtl({"apply", file.Path(), "--base_version=7"}, env);
    CHECK(applied.code == (entry.sound ? kOk : kUnknownOutcome));
  }
}

TEST_CASE("malformed replies are failures, never a crash") {
  const temporary_file file(Document().dump());
  for (const std::string& body :
       {std::string(), std::string("[1]"), std::string("{\"version\":\"x\"}"), std::string("\xff"),
        std::string(R"({"version":-1,"endpoints":3,"routes":{"a":1},"members":"m"})"),
        R"({"version":1,"document":)" + std::string(200000, '[') + std::string(200000, ']') +
            "}"}) {
    fake_daemon daemon;
    for (const char* path : {kConfig, "/admin/v1/status", "/admin/v1/endpoints",
                             "/admin/v1/plan?model=m", "/metrics"}) {
      daemon.Script(std::string("GET ") + path, {{200, body}});
    }
    daemon.Script("POST /admin/v1/explain", {{200, body}});
    const environment env{daemon.Address(), ""};
    CHECK(RunCtl({"apply", file.Path()}, env).code == kFailure);
    CHECK(RunCtl({"diff", file.Path()}, env).code == kFailure);
    for (const char* name : {"show", "status", "endpoints"}) CHECK(RunCtl({name}, env).code == kOk);
    CHECK(RunCtl({"plan", "m"}, env).code == kOk);
    CHECK(RunCtl({"explain", "--workspace=w", "--service=s"}, env).code == kOk);
  }
}

}  // namespace
}  // namespace balsambay::ctl
