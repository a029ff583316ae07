// The one vocabulary of faults that every stand-in understands, set at run time as JSON.
// Which of the affected calls is hit follows from the seed, so a run can be repeated.

#ifndef COWSLIPHILL_STANDINS_FAULTS_H_
#define COWSLIPHILL_STANDINS_FAULTS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <string>

namespace cowsliphill::standins {

// All default to "no fault". The platform uses the first group, the proxy the second.
struct Faults {
  bool down = false;                  // Connections are closed at once; nothing takes effect.
  std::chrono::milliseconds slow{0};  // Each answer is held back this long; key "slow_ms".
  bool old_reads = false;             // Reads are answered as of the moment this was set.
  bool lost_answers = false;          // A write takes effect, then the connection closes.
  std::chrono::milliseconds lag{0};   // Age of the VM list as read; key "lag_ms".

  std::chrono::milliseconds delay{0};  // Each piece of bytes is held back this long; "delay_ms".
  uint64_t cut_after = 0;              // Connections are reset after this many bytes; 0: never.
  bool silent = false;                 // Connections open now never forward again; later ones do.
  bool pause = false;                  // Nothing is forwarded until this is taken back.
  bool drop_new = false;               // New connections are closed at once.

  double probability = 1.0;  // Share of the affected calls or connections, 0 to 1.
  uint64_t seed = 1;         // Of the choice which ones.
};

// Faults from JSON; keys that are absent keep their default. Nothing usable: nullopt.
std::optional<Faults> ParseFaults(const std::string& json);

// Decides which calls a fault hits.
class FaultDice {
 public:
  explicit FaultDice(uint64_t seed) : random_(seed) {}
  bool Hits(double probability) {
    return std::uniform_real_distribution<double>(0.0, 1.0)(random_) < probability;
  }

 private:
  std::mt19937_64 random_;
};

}  // namespace cowsliphill::standins

#endif  // COWSLIPHILL_STANDINS_FAULTS_H_
