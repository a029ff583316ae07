// Chooses the backend server for each request of this entry VM, and decides what waits, what is
// refused and what is tried again. Pure: no I/O; time and randomness are passed in.
//
// Life of a request:
//   Choose -> SendTo | Wait | Refuse.
//   After SendTo: OnEnded with how the attempt ended; then Retry, if the forwarder wants another.
//   After Wait: TakeReady returns its SendTo or Refuse when its turn or its end has come.
//   Cancel at any time ends it.

#ifndef COWSLIPHILL_CHOOSE_CHOOSER_H_
#define COWSLIPHILL_CHOOSE_CHOOSER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "src/base/clock.h"
#include "src/base/ids.h"
#include "src/manifest/manifest.h"
#include "src/measure/report.h"

namespace cowsliphill {

using Ticket = uint64_t;  // One request within this entry VM; chosen by the forwarder, not reused.

struct ChoiceRequest {
  Ticket ticket = 0;
  ServiceId service;
  RequestClass request_class = RequestClass::kRoutine;
  TenantId tenant;
  MonotonicTime deadline;   // The whole answer (bulk: its first byte) is wanted by then.
  bool repeatable = false;  // Idempotent: may be sent again after it may have run.
  uint32_t depth = 0;       // Calls above this one in the call tree, 0 for the first.
};

enum class RefusalCause {
  kUnknownService,
  kNoBackendServer,  // None is usable.
  kOverload,         // It can't be answered in its time.
  kDeadline,         // Its deadline has passed.
  kRetryBudget,      // Another try is not affordable.
};

struct SendTo {
  Ticket ticket = 0;
  BackendServerId server;
  Endpoint endpoint;
  uint32_t attempt = 1;  // 1 for the first.
};
struct Wait {};
struct Refuse {
  Ticket ticket = 0;
  RefusalCause cause = RefusalCause::kOverload;
  std::chrono::milliseconds retry_after{1000};
};
using Choice = std::variant<SendTo, Wait, Refuse>;
using Ready = std::variant<SendTo, Refuse>;

// How one attempt at one backend server ended.
enum class AttemptEnd {
  kAnswered,       // A whole answer, not a server error.
  kServerError,    // A 5xx answer that is neither of the two below.
  kShed,           // The server's own word that it is overloaded and did not start.
  kNotStarted,     // The server's own word that it did not start, for example as it drains.
  kConnectFailed,  // No connection: not a byte was sent.
  kTimedOut,       // No answer in time.
  kCut,            // The connection broke after bytes were sent.
  kCancelled,      // The caller went away.
};

struct AttemptResult {
  AttemptEnd end = AttemptEnd::kAnswered;
  Duration latency{};            // From sending to the answer's first byte, or to the end.
  std::optional<Report> report;  // Carried on the answer.
};

enum class LeavingSource { kAnswer, kProbe, kVmList, kManifest, kPeer };

// What this entry VM knows of one backend server, for status and explain.
struct ServerView {
  BackendServerId server;
  ServiceId service;
  std::optional<Report> last_report;
  Duration report_age{};        // Of last_report.
  uint32_t in_flight = 0;       // Our own requests there.
  bool leaving = false;         // Gets no new work.
  std::string circuit;          // "closed", "half-open" or "open".
  Duration latency_estimate{};  // Of an answer's first byte.
};

struct Decision {
  Ticket ticket = 0;
  std::string chosen;  // Backend server, "wait" or the cause of refusal.
  std::string reason;  // Candidates and scores in words.
};

class Chooser {
 public:
  Chooser(PlaceId place, uint64_t seed);

  // Takes a manifest; state of backend servers that remain is kept.
  void Apply(const Manifest& manifest, MonotonicTime now);

  Choice Choose(const ChoiceRequest& request, MonotonicTime now);
  void OnEnded(Ticket ticket, const BackendServerId& server, const AttemptResult& result,
               MonotonicTime now);
  // Another try for a request whose attempt has ended and that is known not to have run, or is
  // repeatable. Never picks a server that it was tried on while others are usable.
  Choice Retry(Ticket ticket, MonotonicTime now);
  // A second, concurrent attempt for a repeatable request that is slow, if affordable.
  std::optional<SendTo> Hedge(Ticket ticket, MonotonicTime now);
  // Forgets the request: it got its final answer or its caller went away.
  void Finish(Ticket ticket, MonotonicTime now);

  void OnReport(const BackendServerId& server, const Report& report, MonotonicTime now);
  void OnLeaving(const BackendServerId& server, LeavingSource source, MonotonicTime now);

  // Waiting requests whose turn has come or that are refused now.
  std::vector<Ready> TakeReady(MonotonicTime now);
  // When TakeReady or Hedge may next have something without a further event.
  std::optional<MonotonicTime> NextWake() const;

  std::vector<ServerView> View(MonotonicTime now) const;
  std::vector<Decision> Recent(const ServiceId& service) const;

 private:
  struct Server {
    BackendServer config;
    uint32_t in_flight = 0;
    bool leaving = false;
    std::optional<Report> report;
    MonotonicTime reported;
  };
  struct Request {
    ChoiceRequest request;
    uint32_t attempts = 0;
  };

  Choice Pick(Request& request);

  PlaceId place_;
  std::mt19937_64 random_;
  std::map<ServiceId, std::vector<BackendServerId>> services_;
  std::unordered_map<BackendServerId, Server> servers_;
  std::unordered_map<Ticket, Request> requests_;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_CHOOSE_CHOOSER_H_
