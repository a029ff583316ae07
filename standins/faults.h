// Faults that the platform stand-in and the proxy inject, set at run time as JSON. The seed
// determines which calls or connections a fault hits, so that a run can be repeated.

#ifndef COWSLIPHILL_STANDINS_FAULTS_H_
#define COWSLIPHILL_STANDINS_FAULTS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <string>

namespace cowsliphill::standins {

// The JSON keys are the field names, unless a comment names another key. No fault is set by
// default. The platform stand-in uses the first group, the proxy the second.
struct Faults {
  bool down = false;                  // Requests are not applied; their connections are closed.
  std::chrono::milliseconds slow{0};  // Delay of each answer; key "slow_ms".
  bool old_reads = false;             // Reads return the state as of when this was set.
  bool lost_answers = false;          // Writes are processed, but the connection closes unanswered.
  std::chrono::milliseconds lag{0};   // Replication lag of the VM list; key "lag_ms".

  std::chrono::milliseconds delay{0};  // Delay of each chunk of bytes; key "delay_ms".
  uint64_t cut_after = 0;              // Connections are reset after this many bytes; 0: never.
  bool silent = false;                 // Open connections stop forwarding for good.
  bool pause = false;                  // No bytes are forwarded while this is set.
  bool drop_new = false;               // New connections are closed at once.

  double probability = 1.0;  // Probability that a call or connection is hit, 0 to 1.
  uint64_t seed = 1;         // Seed of that choice.
};

// Parses faults; absent keys keep their default. Returns nullopt if the JSON is malformed or a
// value has the wrong type.
std::optional<Faults> ParseFaults(const std::string& json);

// Decides which calls a fault hits.
class FaultSampler {
 public:
  explicit FaultSampler(uint64_t seed) : random_(seed) {}
  bool Hits(double probability) {
    return std::uniform_real_distribution<double>(0.0, 1.0)(random_) < probability;
  }

 private:
  std::mt19937_64 random_;
};

}  // namespace cowsliphill::standins

#endif  // COWSLIPHILL_STANDINS_FAULTS_H_
