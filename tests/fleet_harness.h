// Runs entry VMs as real processes on the users' platform (platform.kind = "store"). The stand-in
// of standins/fleet_standin.h provides the store and the backend servers, and plain HTTP clients
// act as callers. The destructor ends all processes.

#ifndef COWSLIPHILL_TESTS_FLEET_HARNESS_H_
#define COWSLIPHILL_TESTS_FLEET_HARNESS_H_

#include <httplib.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "tests/process_harness.h"

namespace cowsliphill {

struct FleetEntry {
  Endpoint edge = FreeEndpoint();
  Endpoint peer = FreeEndpoint();
  Endpoint lookup = FreeEndpoint();
  Endpoint readiness = FreeEndpoint();
  Endpoint metrics = FreeEndpoint();
  std::unique_ptr<Process> process;
};

httplib::Client HttpClientFor(const Endpoint& at);

struct FleetOptions {
  size_t servers = 3;
  bool links = false;            // The servers are reached through links, for SetLinks.
  size_t entries_elsewhere = 0;  // So many of the last entry VMs are in place-b.
  std::chrono::milliseconds stop_timeout{4000};  // Limit on the duration of a graceful stop.
};

// One service with backend servers s-0, s-1, ... in the failure domain place-a, in which the entry
// VMs are too unless the options say otherwise. standins/fleet_standin.h
// lists the paths that Control accepts.
class Fleet {
 public:
  explicit Fleet(size_t entries, size_t servers = 3) : Fleet(entries, FleetOptions{servers}) {}
  Fleet(size_t entries, const FleetOptions& options);
  ~Fleet();

  // Starts an entry VM, or restarts it after its process has ended.
  void Start(size_t i);
  FleetEntry& Entry(size_t i) { return entries_[i]; }
  size_t Entries() const { return entries_.size(); }

  static int GetStatus(const Endpoint& at, const std::string& path);
  // Sends one request. `path` selects the route by its prefix: "/a/" is idempotent (sent as GET),
  // "/u/" is not (sent as POST).
  httplib::Result Send(size_t entry, const std::string& path, const std::string& id,
                       std::chrono::milliseconds deadline = std::chrono::seconds(3)) const;
  // As Send, from another loopback address, such as 127.0.0.2.
  httplib::Result SendFrom(const std::string& caller, size_t entry, const std::string& path,
                           const std::string& id) const;
  // Returns the HTTP status, or 0 without an answer; GetStatus does the same.
  int SendForStatus(size_t entry, const std::string& path, const std::string& id) const;

  // Cuts or restores the paths of an entry VM to all servers, or to one. standins/link.h lists the
  // modes.
  void SetLinks(size_t entry, const std::string& mode, const std::string& server = "");
  // Registers a backend server that is not one of the stand-in's. Another value of `born`, in
  // milliseconds, means another lifetime.
  void AddServer(const std::string& name, const Endpoint& address, uint32_t slots = 3,
                 uint64_t born = 1600000000000, const std::string& place = "place-a");
  void Control(const std::string& method, const std::string& path, const std::string& body = "");
  // `prefix` is the path prefix of the idempotent route. `further_routes` routes of another host
  // make the manifest larger, by some 200 bytes each.
  void PutManifest(uint64_t version, const std::string& prefix, size_t further_routes = 0,
                   std::chrono::milliseconds route_timeout = std::chrono::milliseconds(2500));
  // Raises the limit on request bodies, with the next revision of the manifest.
  void AllowBodies(uint64_t bytes);
  nlohmann::json Journal() const;
  const Endpoint& StoreAddress() const { return store_; }
  // All requests that arrived at the backend servers, as GET /control/arrivals lists them.
  nlohmann::json Arrivals() const;
  // Value of a metric without labels at an entry VM; 0 if the entry VM does not answer.
  double Metric(size_t entry, const std::string& name) const;
  // Copies the logs of all processes to a new folder.
  void CopyLogs(const std::string& folder) const;
  // Number of times that the request started at a backend server.
  size_t RunCount(const std::string& id) const;
  // Number of read requests that the store has received.
  uint64_t StoreReadCount() const;

 private:
  static httplib::Result Send(httplib::Client& client, const std::string& path,
                              const std::string& id, std::chrono::milliseconds deadline);

  std::string folder_;
  FleetOptions options_;
  uint64_t manifest_version_ = 0;
  uint64_t max_body_bytes_ = 1000;
  // Address from which an entry VM connects to servers.
  static std::string SourceOf(size_t entry) { return "127.0.1." + std::to_string(entry + 1); }

  std::unique_ptr<Process> standin_;
  Endpoint store_;
  std::vector<FleetEntry> entries_;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_TESTS_FLEET_HARNESS_H_
