// A fleet of entry VMs under load and seeded faults, alone and several at once: entry VMs are
// killed, stopped, frozen and started again, the store falls silent, refuses, resets and forgets,
// backend servers shed, hang, fail, cut, answer for others and turn slow, the manifest changes.
//
// What must hold is checked over the whole run, from what callers and backend servers saw.
//
// Limits: one failure domain, one backend service, loopback: no packet loss and no cuts between
// entry VMs. The order of real processes is not repeated exactly by a seed; the plan is.

#ifndef COWSLIPHILL_TESTS_FLEET_SOAK_H_
#define COWSLIPHILL_TESTS_FLEET_SOAK_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cowsliphill {

struct SoakOptions {
  uint64_t seed = 1;
  std::chrono::milliseconds duration{8000};  // In which faults begin.
  size_t entries = 4;
  size_t servers = 4;
  size_t callers = 4;
};

struct SoakFault {
  std::chrono::milliseconds at{0};
  std::string kind;
  size_t on = 0;  // Entry VM or backend server.
  std::chrono::milliseconds length{0};
};

struct SoakReport {
  std::vector<SoakFault> plan;
  std::map<std::string, size_t> answers;  // By kind of request and status; 0: no answer.
  std::vector<std::string> broken;        // What didn't hold, with the request's id.
};

std::vector<SoakFault> PlanOf(const SoakOptions& options);
SoakReport RunSoak(const SoakOptions& options);
std::string Format(const SoakReport& report);

}  // namespace cowsliphill

#endif  // COWSLIPHILL_TESTS_FLEET_SOAK_H_
