// Finds out which requests crash backend servers, and shares that with the other entry VMs.
// Connects a PoisonList with probes and datagrams.
//
// When an attempt loses its connection, its server is probed. If kProbes probes fail in a row, and
// the host refuses the connection or another server answers meanwhile, the server has crashed, and
// the crash is held against each of this entry VM's requests that lost their connections with it. A
// server that answers, or that was known to be leaving, has not crashed.

#ifndef COWSLIPHILL_POISON_POISON_WATCH_H_
#define COWSLIPHILL_POISON_POISON_WATCH_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/base/wake_timer.h"
#include "src/forward/probe_client.h"
#include "src/members/peer.h"
#include "src/poison/poison_list.h"
#include "src/settings/settings.h"

namespace cowsliphill {

struct PoisonListener {
  std::function<void(const std::vector<Endpoint>& to, const std::string& payload)> send;
  // Null if the server is unknown.
  std::function<const BackendServer*(const BackendServerId&)> find_server;
  std::function<std::vector<BackendServerId>()> server_ids;
  std::function<std::optional<ProbeTarget>(const BackendServerId&)> probe_target;
  // Whether this entry VM knows the server to be leaving, or no longer knows it.
  std::function<bool(const BackendServerId&)> is_leaving;
  std::function<void(const LostAttempt&, bool crashed, const std::string& detail)> on_verified;
  std::function<void(const PoisonEvent&)> on_event;
};

class PoisonWatch {
 public:
  // Probes of a server that lost a connection; the first is sent at once.
  static constexpr size_t kProbes = 3;
  static constexpr std::chrono::milliseconds kProbeInterval{80};
  static constexpr std::chrono::milliseconds kProbeTimeout{300};
  // Interval at which records are sent to one other entry VM, so that those that have missed them
  // or have just started learn them.
  static constexpr std::chrono::milliseconds kExchangeInterval{500};

  PoisonWatch(asio::io_context& io, const Clock& clock, const BackendSettings& settings,
              uint64_t seed, LinkHooks links, ProbeClient::ReadReport read_report,
              PoisonListener listener);

  // Replaces the list of live entry VMs, which includes this one unless it is leaving.
  void SetMembers(const EntryVmId& self, const std::vector<Member>& members);
  void OnDatagram(const std::vector<PoisonRecord>& records);

  // Decides on a new request; counts refusals and may start a trial.
  Judgement Judge(RequestHash hash);
  // What is held against a request by now; never kTrial.
  Judgement Review(RequestHash hash);
  void OnLost(LostAttempt attempt);
  void OnAnswered(RequestHash hash);

  size_t Suspects() const { return list_.Suspects(); }
  size_t Condemned() const { return list_.Condemned(); }
  uint64_t Crashes() const { return crashes_; }    // Number of crashes that this entry VM saw.
  uint64_t Refusals() const { return refusals_; }  // Requests refused because they are condemned.
  void CloseIdle() { probes_.CloseIdle(); }
  void Close();

 private:
  // Probes after the loss of connections to one server.
  struct Verification {
    ProbeTarget target;
    CrashId crash = 0;
    std::vector<LostAttempt> lost;
    size_t failed_probes = 0;
    // The server's host refused a connection, or another server answered: the connections were not
    // lost because this entry VM is cut off.
    bool reaches_hosts = false;
  };

  void SendProbe(const BackendServerId& server);
  void ProbeAnotherServer(const BackendServerId& server);
  void OnProbed(const ProbeTarget& target, const std::optional<Report>& report, bool refused);
  void Finish(const BackendServerId& server, bool crashed, const std::string& detail);
  bool MayTry(RequestHash hash) const;
  void Flush();
  void Exchange();

  asio::io_context& io_;
  const Clock& clock_;
  PoisonListener listener_;
  PoisonList list_;
  ProbeClient probes_;
  std::map<BackendServerId, Verification> verifications_;
  EntryVmId self_;
  std::vector<EntryVmId> members_;
  std::vector<Endpoint> others_;  // Peer addresses of the other entry VMs.
  std::mt19937_64 random_;
  WakeTimer exchange_timer_;  // Not armed while the list is empty.
  uint64_t crashes_ = 0;
  uint64_t refusals_ = 0;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_POISON_POISON_WATCH_H_
