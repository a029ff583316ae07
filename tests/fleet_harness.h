// Entry VMs on the users' platform as real processes: the stand-in for store and backend servers on
// one side, plain HTTP callers on the other. Everything ends with the object.

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

httplib::Client ClientOf(const Endpoint& at);

// One service with servers s-0, s-1, ... in one failure domain; see standins/fleet_standin.h for
// what Control offers.
class Fleet {
 public:
  explicit Fleet(size_t entries, size_t servers = 3);
  ~Fleet();

  // Starts an entry VM, also once more after its end.
  void Start(size_t i);
  FleetEntry& Entry(size_t i) { return entries_[i]; }
  size_t Entries() const { return entries_.size(); }

  static int StatusOf(const Endpoint& at, const std::string& path);
  // One request; `path` begins with the route: "/a/" may be repeated, "/u/" may not.
  httplib::Result Send(size_t entry, const std::string& path, const std::string& id,
                       std::chrono::milliseconds time_limit = std::chrono::seconds(3)) const;
  int StatusOfSend(size_t entry, const std::string& path, const std::string& id) const;

  void Control(const std::string& method, const std::string& path, const std::string& body = "");
  // `prefix`: of the route that may be repeated.
  void PutManifest(uint64_t version, const std::string& prefix);
  nlohmann::json Journal() const;
  // How often the request started at a backend server.
  size_t RunsOf(const std::string& id) const;
  uint64_t StoreReads() const;

 private:
  std::string folder_;
  std::unique_ptr<Process> standin_;
  Endpoint store_;
  std::vector<FleetEntry> entries_;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_TESTS_FLEET_HARNESS_H_
