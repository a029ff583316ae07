#include "tests/fleet_harness.h"

#include <cppunit/TestAssert.h>

#include <algorithm>
#include <filesystem>

namespace cowsliphill {

using nlohmann::json;

httplib::Client HttpClientFor(const Endpoint& at) {
  httplib::Client client(at.ip, at.port);
  client.set_read_timeout(std::chrono::seconds(10));
  return client;
}

Fleet::Fleet(size_t entries, const FleetOptions& options)
    : folder_(MakeTempFolder()), options_(options), entries_(entries) {
  std::vector<std::string> command = {BuildDirectory() + "/standins", "fleet", "--servers",
                                      std::to_string(options.servers)};
  if (options.links) command.push_back("--links");
  standin_ = std::make_unique<Process>(command, folder_ + "/fleet.log");
  store_ = standin_->AwaitAddress("listening");
  PutManifest(1, "/a/");
  for (size_t i = 0; i < entries; ++i) Start(i);
  for (const FleetEntry& entry : entries_) {
    const bool ready =
        WaitUntil([&entry] { return GetStatus(entry.readiness, "/-/readiness") == 200; });
    CPPUNIT_ASSERT_MESSAGE("entry VM is not ready: " + entry.process->Output(), ready);
  }
}

Fleet::~Fleet() {
  entries_.clear();
  standin_.reset();
  std::filesystem::remove_all(folder_);
}

void Fleet::Start(size_t i) {
  FleetEntry& entry = entries_[i];
  const std::string base_path = folder_ + "/entry-" + std::to_string(i);
  const bool elsewhere = i + options_.entries_elsewhere >= entries_.size();
  std::string settings =
      std::string("place = \"") + (elsewhere ? "place-b" : "place-a") +
      "\"\nstop_timeout_ms = " + std::to_string(options_.stop_timeout.count()) +
      "\n[edge]\nlisten = \"" + entry.edge.ToString() + "\"\n[peer]\nlisten = \"" +
      entry.peer.ToString() + "\"\nseeds = [\"" + entries_[0].peer.ToString() +
      "\"]\n[platform]\nkind = \"store\"\nendpoint = \"" + store_.ToString() +
      "\"\nlookup_listen = \"" + entry.lookup.ToString() + "\"\nreadiness_listen = \"" +
      entry.readiness.ToString() + "\"\nmetrics_listen = \"" + entry.metrics.ToString() + "\"\n";
  if (options_.links) settings += "[backend]\nsource = \"" + SourceOf(i) + "\"\n";
  WriteFile(base_path + ".toml", settings);
  entry.process =
      std::make_unique<Process>(std::vector<std::string>{BuildDirectory() + "/cowsliphill", "serve",
                                                         "--settings", base_path + ".toml"},
                                base_path + ".log");
}

int Fleet::GetStatus(const Endpoint& at, const std::string& path) {
  const auto result = HttpClientFor(at).Get(path);
  return result ? result->status : 0;
}

httplib::Result Fleet::Send(httplib::Client& client, const std::string& path, const std::string& id,
                            std::chrono::milliseconds deadline) {
  const httplib::Headers headers = {{"Host", "fleet.example"},
                                    {"X-Request-Id", id},
                                    {"X-Deadline-Ms", std::to_string(deadline.count())}};
  const bool is_unsafe = path.rfind("/u/", 0) == 0;
  return is_unsafe ? client.Post(path, headers, "body", "text/plain") : client.Get(path, headers);
}

httplib::Result Fleet::Send(size_t entry, const std::string& path, const std::string& id,
                            std::chrono::milliseconds deadline) const {
  auto client = HttpClientFor(entries_[entry].edge);
  return Send(client, path, id, deadline);
}

httplib::Result Fleet::SendFrom(const std::string& caller, size_t entry, const std::string& path,
                                const std::string& id) const {
  auto client = HttpClientFor(entries_[entry].edge);
  client.set_interface(caller);
  return Send(client, path, id, std::chrono::seconds(3));
}

int Fleet::SendForStatus(size_t entry, const std::string& path, const std::string& id) const {
  const auto result = Send(entry, path, id);
  return result ? result->status : 0;
}

void Fleet::SetLinks(size_t entry, const std::string& mode, const std::string& server) {
  Control("PUT", "/control/link?from=" + SourceOf(entry) + "&mode=" + mode +
                     (server.empty() ? "" : "&name=" + server));
}

void Fleet::AddServer(const std::string& name, const Endpoint& address, uint32_t slots,
                      uint64_t born, const std::string& place) {
  const json row = {{"service", "service-a"},
                    {"address", address.ToString()},
                    {"zone", place},
                    {"version", "v1"},
                    {"slots", slots},
                    {"state", "ready"},
                    {"warmup-left-ms", 0},
                    {"seq-no", 1},
                    {"born", born}};
  Control("PUT", "/control/row?table=servers&key=" + name, row.dump());
}

void Fleet::Control(const std::string& method, const std::string& path, const std::string& body) {
  auto client = HttpClientFor(store_);
  const auto result = method == "PUT"      ? client.Put(path, body, "text/plain")
                      : method == "DELETE" ? client.Delete(path)
                                           : client.Post(path, body, "text/plain");
  CPPUNIT_ASSERT_MESSAGE(path, result && result->status == 200);
}

void Fleet::PutManifest(uint64_t version, const std::string& prefix, size_t further_routes,
                        std::chrono::milliseconds route_timeout) {
  const auto route = [route_timeout](const std::string& at, const char* type,
                                     const char* host = "fleet.example") {
    return json{{"host", host},           {"prefix", at},
                {"route-type", type},     {"timeout-ms", route_timeout.count()},
                {"priority", 1},          {"target-latency-ms", 500},
                {"service", "service-a"}, {"max-attempts", 2}};
  };
  json routes = {{"r-1", route(prefix, "safe")}, {"r-2", route("/u/", "unsafe")}};
  for (size_t i = 0; i < further_routes; ++i) {
    const std::string name = "further-" + std::to_string(i);
    routes[name] = route("/" + name + "/", "safe", "further.example");
  }
  const json config = {{"version", version},
                       {"routes", std::move(routes)},
                       {"services", {{"service-a", {{"health-path", "/health"}}}}},
                       {"limits", {{"max-body-bytes", max_body_bytes_}}}};
  manifest_version_ = version;
  Control("PUT", "/control/row?table=op&key=config", config.dump());
}

void Fleet::AllowBodies(uint64_t bytes) {
  max_body_bytes_ = bytes;
  PutManifest(manifest_version_ + 1, "/a/");
}

json Fleet::Journal() const {
  return json::parse(HttpClientFor(store_).Get("/control/journal")->body);
}

json Fleet::Arrivals() const {
  return json::parse(HttpClientFor(store_).Get("/control/arrivals")->body);
}

double Fleet::Metric(size_t entry, const std::string& name) const {
  const auto result = HttpClientFor(entries_[entry].metrics).Get("/metrics");
  const size_t at = result ? result->body.find("\n" + name + " ") : std::string::npos;
  return at == std::string::npos ? 0 : std::stod(result->body.substr(at + name.size() + 2));
}

void Fleet::CopyLogs(const std::string& folder) const {
  std::filesystem::create_directories(folder);
  for (const auto& it : std::filesystem::directory_iterator(folder_)) {
    if (it.path().extension() != ".log") continue;
    std::filesystem::copy(it.path(), folder, std::filesystem::copy_options::overwrite_existing);
  }
}

size_t Fleet::RunCount(const std::string& id) const {
  const json journal = Journal();
  return static_cast<size_t>(std::count_if(journal.begin(), journal.end(),
                                           [&id](const json& it) { return it["request"] == id; }));
}

uint64_t Fleet::StoreReadCount() const {
  return json::parse(HttpClientFor(store_).Get("/control/counts")->body)
      .at("reads")
      .get<uint64_t>();
}

}  // namespace cowsliphill
