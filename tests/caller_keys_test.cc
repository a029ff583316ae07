// Callers' keys with entry VMs that run as real processes: who is served, what servers get to see,
// and keys that are withdrawn while connections are open and requests wait.

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <functional>
#include <map>

#include "tests/fleet_harness.h"
#include "tests/raw_caller.h"
#include "tests/scripted_server.h"

namespace cowsliphill {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kInForce{2500};  // From a write in the store until all entry VMs follow it.
constexpr milliseconds kSlow{3500};     // Work of a slow request; longer than kInForce.
constexpr milliseconds kTimeLimit{9000};

// Two servers with one slot each, and the workspaces north and south.
class KeyedFleet {
 public:
  explicit KeyedFleet(size_t servers = 2, size_t entries = 1) : fleet_(entries, 0) {
    for (size_t i = 0; i < servers; ++i) {
      const std::string name = "i-" + std::to_string(i);
      servers_.push_back(std::make_unique<ScriptedServer>(
          name, [name](const ScriptedRequest& it) { return AnswerOf(name, it); }));
      fleet_.AddServer(name, servers_.back()->Address(), 1);
    }
    Put({{"north", {{"api-keys", {"north-key", "north-spare"}}}},
         {"south", {{"api-keys", {"south-key"}}}}});
    for (size_t i = 0; i < entries; ++i) {
      CPPUNIT_ASSERT(WaitUntil([&] { return Status(i, "/a/x", "north-key") == 200; }));
    }
  }

  Fleet& Entries() { return fleet_; }
  // Writes a manifest with these workspaces; null: with none.
  void Put(const json& workspaces) {
    const auto route = [](const char* prefix, const char* type, bool keyless) {
      return json{{"host", "fleet.example"}, {"prefix", prefix},
                  {"route-type", type},      {"timeout-ms", kTimeLimit.count()},
                  {"priority", 1},           {"target-latency-ms", kTimeLimit.count()},
                  {"service", "service-a"},  {"max-attempts", 3},
                  {"no-auth", keyless}};
    };
    json config = {{"version", ++revision_},
                   {"routes",
                    {{"r-1", route("/a/", "safe", false)},
                     {"r-2", route("/u/", "unsafe", false)},
                     {"r-3", route("/open/", "safe", true)}}},
                   {"services", {{"service-a", {{"health-path", "/health"}}}}},
                   {"limits", {{"max-body-bytes", 1000}}}};
    if (!workspaces.is_null()) config["tenants"] = workspaces;
    fleet_.Control("PUT", "/control/row?table=op&key=config", config.dump());
  }
  static std::string Bytes(const std::string& path, const std::string& id,
                           const std::string& headers) {
    return "GET " + path + " HTTP/1.1\r\nHost: fleet.example\r\nX-Request-Id: " + id +
           "\r\nX-Deadline-Ms: " + std::to_string(kTimeLimit.count()) + "\r\n" + headers + "\r\n";
  }
  static std::string KeyHeader(const std::string& key) {
    return "Authorization: Token " + key + "\r\n";
  }
  std::string NextId() { return "k-" + std::to_string(++requests_); }
  // Sends one request on a connection of its own and returns the answer.
  RawAnswer Send(size_t entry, const std::string& path, const std::string& id,
                 const std::string& headers) {
    RawCaller caller(fleet_.Entry(entry).edge);
    caller.Send(Bytes(path, id, headers));
    const auto answers = caller.ReadAnswers(1, kTimeLimit);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, answers.size());
    return answers[0];
  }
  int Status(size_t entry, const std::string& path, const std::string& key) {
    return Send(entry, path, NextId(), KeyHeader(key)).head.status;
  }
  // The requests with this id that have arrived at the servers.
  std::vector<ScriptedRequest> Arrived(const std::string& id) const {
    std::vector<ScriptedRequest> arrived;
    for (const auto& server : servers_) {
      for (const ScriptedRequest& it : server->Requests()) {
        if (it.id == id) arrived.push_back(it);
      }
    }
    return arrived;
  }
  bool AwaitArrival(const std::string& id) const {
    return WaitUntil([&] { return !Arrived(id).empty(); });
  }
  // What one arrived request names as its workspace.
  std::string WorkspaceOf(const std::string& id) const {
    const auto arrived = Arrived(id);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, arrived.size());
    return arrived[0].Header("X-Tenant");
  }
  // All that arrived at the servers and all that was logged.
  std::string Seen() {
    std::string seen;
    for (const auto& server : servers_) {
      for (const ScriptedRequest& it : server->Requests()) seen += it.head;
    }
    for (size_t i = 0; i < fleet_.Entries(); ++i) {
      seen += fleet_.Entry(i).process->Output();
      seen += HttpClientFor(fleet_.Entry(i).metrics).Get("/metrics")->body;
    }
    return seen;
  }
  double Refusals(const std::string& cause) const {
    return fleet_.Metric(0, "cowsliphill_requests_refused_by_key_total{cause=\"" + cause + "\"}");
  }

 private:
  // Paths: slow (takes kSlow), error (as slow, then 500), refuse (as slow, then "not executed").
  // Only the first attempt is slow and fails.
  static std::vector<ScriptedStep> AnswerOf(const std::string& name, const ScriptedRequest& it) {
    if (it.path == "/health") {
      return {{"HTTP/1.1 200 OK\r\nX-Instance-Id: " + name +
               "\r\nX-Server-Load: 0,0,1,100\r\nContent-Length: 0\r\n\r\n"}};
    }
    const auto has = [&it](const char* word) { return it.path.find(word) != std::string::npos; };
    if (has("slow")) return {{ScriptedAnswer(it.id), kSlow}};
    if (has("error")) {
      return {{"HTTP/1.1 500 Error\r\nX-Request-Id: " + it.id + "\r\nContent-Length: 0\r\n\r\n",
               kSlow}};
    }
    if (has("refuse")) return {{ScriptedRefusal(it.id), kSlow}};
    return {{ScriptedAnswer(it.id)}};
  }

  std::vector<std::unique_ptr<ScriptedServer>> servers_;
  Fleet fleet_;
  uint64_t revision_ = 10;
  int requests_ = 0;
};

class CallerKeysTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallerKeysTest);
  CPPUNIT_TEST(Requests_WithEachKindOfKey_AreServedOrRefused);
  CPPUNIT_TEST(Deployment_WithoutWorkspaces_PassesHeadersOn);
  CPPUNIT_TEST(OpenConnection_KeyMovedAndWithdrawn_FollowsTheManifest);
  CPPUNIT_TEST(RequestThatWaits_KeyWithdrawn_Is401AndNeverSent);
  CPPUNIT_TEST(RequestBetweenAttempts_KeyWithdrawn_IsNotSentAgain);
  CPPUNIT_TEST(EntryVm_WithoutAManifest_Answers503);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against requests without a key that are served, and keys that servers or logs get.
  void Requests_WithEachKindOfKey_AreServedOrRefused() {
    KeyedFleet fleet(2, 2);
    const std::string forged = "X-Tenant: south\r\n";
    for (size_t entry = 0; entry < 2; ++entry) {
      const auto id = [entry](const char* name) { return name + std::to_string(entry); };
      const auto status = [&](const std::string& path, const std::string& name,
                              const std::string& headers) {
        return fleet.Send(entry, path, name, headers).head.status;
      };
      CPPUNIT_ASSERT_EQUAL(
          200, status("/a/x", id("good"), forged + "authorization: tOKEN north-spare\r\n"));
      CPPUNIT_ASSERT_EQUAL(std::string("north"), fleet.WorkspaceOf(id("good")));
      CPPUNIT_ASSERT_EQUAL(200, status("/open/x", id("open"), forged));
      CPPUNIT_ASSERT_EQUAL(std::string(), fleet.WorkspaceOf(id("open")));
      CPPUNIT_ASSERT_EQUAL(
          200, status("/open/x", id("badopen"), forged + KeyedFleet::KeyHeader("secret-x")));
      CPPUNIT_ASSERT_EQUAL(std::string(), fleet.WorkspaceOf(id("badopen")));
      CPPUNIT_ASSERT_EQUAL(
          200, status("/open/x", id("named"), forged + KeyedFleet::KeyHeader("north-key")));
      CPPUNIT_ASSERT_EQUAL(std::string("north"), fleet.WorkspaceOf(id("named")));
      CPPUNIT_ASSERT_EQUAL(404, status("/none/", id("none"), KeyedFleet::KeyHeader("north-key")));
      CPPUNIT_ASSERT_EQUAL(401, status("/none/", id("none"), ""));
      const std::string twice =
          KeyedFleet::KeyHeader("north-key") + KeyedFleet::KeyHeader("secret-y");
      for (const std::string& headers : {forged, KeyedFleet::KeyHeader("secret-z"), twice,
                                         KeyedFleet::KeyHeader(std::string(600, 's')),
                                         std::string("Authorization: Basic secret-b\r\n")}) {
        const RawAnswer answer = fleet.Send(entry, "/u/x", id("bad"), headers);
        CPPUNIT_ASSERT_EQUAL(401, answer.head.status);
        CPPUNIT_ASSERT_EQUAL(std::string("Token"),
                             answer.head.Find("WWW-Authenticate").value_or(""));
        CPPUNIT_ASSERT_MESSAGE(answer.body, answer.body.find("secret") == std::string::npos);
      }
      CPPUNIT_ASSERT(fleet.Arrived(id("bad")).empty());
    }
    CPPUNIT_ASSERT_EQUAL(2.0, fleet.Refusals("missing key"));
    CPPUNIT_ASSERT_EQUAL(1.0, fleet.Refusals("unknown key"));
    CPPUNIT_ASSERT_EQUAL(3.0, fleet.Refusals("malformed key"));
    const std::string seen = fleet.Seen();
    for (const char* key : {"north-key", "north-spare", "south-key", "secret", "ssss", "tOKEN"}) {
      CPPUNIT_ASSERT_MESSAGE(key, seen.find(key) == std::string::npos);
    }
    CPPUNIT_ASSERT(seen.find("no workspace has the key") != std::string::npos);
  }

  void Deployment_WithoutWorkspaces_PassesHeadersOn() {
    KeyedFleet fleet;
    fleet.Put(nullptr);
    CPPUNIT_ASSERT(WaitUntil(
        [&] { return fleet.Send(0, "/a/x", fleet.NextId(), "").head.status == 200; }, kInForce));
    fleet.Send(0, "/a/x", "plain", "X-Tenant: mine\r\nAuthorization: Basic abc\r\n");
    CPPUNIT_ASSERT_EQUAL(std::string("mine"), fleet.WorkspaceOf("plain"));
    CPPUNIT_ASSERT_EQUAL(std::string("Basic abc"),
                         fleet.Arrived("plain")[0].Header("Authorization"));
  }

  // Guards against keys that are checked only once for each connection.
  void OpenConnection_KeyMovedAndWithdrawn_FollowsTheManifest() {
    KeyedFleet fleet;
    RawCaller caller(fleet.Entries().Entry(0).edge);
    const auto status = [&](const std::string& id) {
      caller.Send(KeyedFleet::Bytes("/a/x", id, KeyedFleet::KeyHeader("north-key")));
      const auto answers = caller.ReadAnswers(1);
      CPPUNIT_ASSERT_EQUAL(size_t{1}, answers.size());
      return answers[0].head.status;
    };
    CPPUNIT_ASSERT_EQUAL(200, status("c-1"));
    CPPUNIT_ASSERT_EQUAL(std::string("north"), fleet.WorkspaceOf("c-1"));
    fleet.Put({{"north", json::object()}, {"south", {{"api-keys", {"north-key"}}}}});
    std::this_thread::sleep_for(kInForce);
    CPPUNIT_ASSERT_EQUAL(200, status("c-2"));
    CPPUNIT_ASSERT_EQUAL(std::string("south"), fleet.WorkspaceOf("c-2"));
    fleet.Put({{"north", json::object()}});
    std::this_thread::sleep_for(kInForce);
    CPPUNIT_ASSERT_EQUAL(401, status("c-3"));
    CPPUNIT_ASSERT(fleet.Arrived("c-3").empty());
  }

  // Guards against requests that were accepted and are sent after their key was withdrawn.
  void RequestThatWaits_KeyWithdrawn_Is401AndNeverSent() {
    KeyedFleet fleet(1);
    RawCaller slow(fleet.Entries().Entry(0).edge);
    slow.Send(KeyedFleet::Bytes("/u/slow", "slow", KeyedFleet::KeyHeader("south-key")));
    CPPUNIT_ASSERT(fleet.AwaitArrival("slow"));
    std::map<std::string, std::unique_ptr<RawCaller>> waiting;
    const std::map<std::string, std::string> keys = {
        {"w-gone", "north-key"}, {"w-moved", "north-spare"}, {"w-kept", "south-key"}};
    for (const auto& [id, key] : keys) {
      waiting[id] = std::make_unique<RawCaller>(fleet.Entries().Entry(0).edge);
      waiting[id]->Send(KeyedFleet::Bytes("/a/x", id, KeyedFleet::KeyHeader(key)));
    }
    fleet.Put({{"south", {{"api-keys", {"south-key", "north-spare"}}}}});
    std::map<std::string, int> statuses;
    for (const auto& [id, caller] : waiting) {
      const auto answers = caller->ReadAnswers(1, kTimeLimit);
      CPPUNIT_ASSERT_EQUAL(size_t{1}, answers.size());
      statuses[id] = answers[0].head.status;
    }
    CPPUNIT_ASSERT_EQUAL(401, statuses["w-gone"]);
    CPPUNIT_ASSERT(fleet.Arrived("w-gone").empty());
    CPPUNIT_ASSERT_EQUAL(200, statuses["w-moved"]);
    CPPUNIT_ASSERT_EQUAL(std::string("south"), fleet.WorkspaceOf("w-moved"));
    CPPUNIT_ASSERT_EQUAL(200, statuses["w-kept"]);
    // The key of what has been sent may change: it is answered.
    CPPUNIT_ASSERT_EQUAL(200, slow.ReadAnswers(1, kTimeLimit).at(0).head.status);
    CPPUNIT_ASSERT_EQUAL(1.0, fleet.Refusals("key withdrawn"));
  }

  // Guards against a retry with a withdrawn key, and against 401 for what may have run.
  void RequestBetweenAttempts_KeyWithdrawn_IsNotSentAgain() {
    KeyedFleet fleet;
    RawCaller error(fleet.Entries().Entry(0).edge);
    error.Send(KeyedFleet::Bytes("/a/error", "error", KeyedFleet::KeyHeader("north-key")));
    CPPUNIT_ASSERT(fleet.AwaitArrival("error"));
    RawCaller refuse(fleet.Entries().Entry(0).edge);
    refuse.Send(KeyedFleet::Bytes("/u/refuse", "refuse", KeyedFleet::KeyHeader("north-key")));
    CPPUNIT_ASSERT(fleet.AwaitArrival("refuse"));
    fleet.Put({{"south", {{"api-keys", {"south-key"}}}}});
    CPPUNIT_ASSERT_EQUAL(502, error.ReadAnswers(1, kTimeLimit).at(0).head.status);
    CPPUNIT_ASSERT_EQUAL(401, refuse.ReadAnswers(1, kTimeLimit).at(0).head.status);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.Arrived("error").size());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.Arrived("refuse").size());
  }

  // Guards against callers that throw their key away because an entry VM has just started.
  void EntryVm_WithoutAManifest_Answers503() {
    KeyedFleet fleet;
    FleetEntry& entry = fleet.Entries().Entry(0);
    entry.process->Signal(SIGKILL);
    entry.process->Wait();
    fleet.Entries().Control("PUT", "/control/store?mode=silent");
    fleet.Entries().Start(0);
    CPPUNIT_ASSERT(
        WaitUntil([&] { return Fleet::GetStatus(entry.readiness, "/-/readiness") != 0; }));
    const auto end = steady_clock::now() + milliseconds(1000);
    while (steady_clock::now() < end) {
      CPPUNIT_ASSERT_EQUAL(503, fleet.Status(0, "/a/x", "north-key"));
      CPPUNIT_ASSERT_EQUAL(503, fleet.Send(0, "/a/x", fleet.NextId(), "").head.status);
    }
    fleet.Entries().Control("PUT", "/control/store?mode=ok");
    CPPUNIT_ASSERT(WaitUntil([&] { return fleet.Status(0, "/a/x", "north-key") == 200; }));
    CPPUNIT_ASSERT_EQUAL(401, fleet.Status(0, "/a/x", "other"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerKeysTest);

}  // namespace
}  // namespace cowsliphill
