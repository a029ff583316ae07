// Test support: peer streams between entry VMs on one VirtualLoop, with a chosen fault injected
// into chosen requests.

#ifndef COWSLIPHILL_MANIFEST_FAULTY_PEERS_H_
#define COWSLIPHILL_MANIFEST_FAULTY_PEERS_H_

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "src/manifest/faulty_platform.h"
#include "src/members/peer.h"

namespace cowsliphill {

enum class PeerFault {
  kNone,
  kKillPeer,        // The peer dies before it answers.
  kKillRequester,   // The requester dies after it has sent the request.
  kPausePeer,       // The peer pauses past the timeout of the request.
  kPauseRequester,  // The requester pauses after it has sent the request.
  kLostRequest,     // The request never arrives.
  kSlow,            // The answer arrives just before the timeout.
  kLostAnswer,      // The peer handles the request, but its answer is lost.
};

// Peer transport of one entry VM.
class FaultyPeers {
 public:
  static constexpr std::chrono::milliseconds kLatency{2};
  static constexpr std::chrono::milliseconds kSlowLatency{900};
  static constexpr std::chrono::milliseconds kTimeout{1000};
  using Reply = Result<std::string, PeerError>;
  using Handler = std::function<std::string(const EntryVmId& from, const std::string& payload)>;
  // Transports by address.
  using Net = std::map<Endpoint, FaultyPeers*>;

  // The transport is dead or paused whenever `process` is.
  FaultyPeers(VirtualLoop& loop, Net& net, FaultyPlatform& process, EntryVmId id, Endpoint own)
      : loop_(loop), net_(net), process_(process), id_(std::move(id)), own_(std::move(own)) {
    net_[own_] = this;
  }

  void FailAll(PeerFault fault) { default_fault_ = fault; }
  // Injects the fault into the next request of this kind.
  void FailNext(MessageKind kind, PeerFault fault) { faults_[kind] = fault; }
  // Runs the task when the next request of this kind is sent.
  void RunBeforeNext(MessageKind kind, std::function<void()> task) {
    tasks_[kind] = std::move(task);
  }
  // While isolated, no message passes between this entry VM and any other.
  void Isolate(bool isolated) { isolated_ = isolated; }
  // Payload bytes sent and received by this entry VM.
  size_t PayloadBytes() const { return payload_bytes_; }

  void Handle(MessageKind kind, Handler handler) { handlers_[kind] = std::move(handler); }

  void Request(Endpoint to, MessageKind kind, std::string payload,
               std::function<void(Reply)> done) {
    const auto task = tasks_.extract(kind);
    if (!task.empty()) task.mapped()();
    const auto node = faults_.extract(kind);
    const PeerFault fault = node.empty() ? default_fault_ : node.mapped();
    const auto it = net_.find(to);
    FaultyPeers* peer = it == net_.end() ? nullptr : it->second;
    if (fault == PeerFault::kKillRequester) process_.Kill();
    if (fault == PeerFault::kPauseRequester) process_.Pause();
    if (peer != nullptr && fault == PeerFault::kKillPeer) peer->process_.Kill();
    if (peer != nullptr && fault == PeerFault::kPausePeer) peer->process_.Pause();
    const bool arrives =
        peer != nullptr && !peer->Silent() && !isolated_ && fault != PeerFault::kLostRequest;
    if (!arrives) return Answer(kTimeout, done, PeerError::kTimeout);
    const std::string answer = peer->handlers_[kind](id_, payload);
    payload_bytes_ += payload.size() + answer.size();
    peer->payload_bytes_ += payload.size() + answer.size();
    if (fault == PeerFault::kLostAnswer) return Answer(kTimeout, done, PeerError::kTimeout);
    Answer(fault == PeerFault::kSlow ? kSlowLatency : kLatency, done, answer);
  }

 private:
  bool Silent() const { return process_.Dead() || process_.Paused() || isolated_; }

  void Answer(Duration delay, std::function<void(Reply)> done, Reply reply) {
    loop_.After(delay, [this, done = std::move(done), reply = std::move(reply)] {
      if (process_.Dead()) return;
      if (!process_.Paused()) return done(reply);
      Answer(process_.PausedUntil() - loop_.Time().Now(), done, reply);
    });
  }

  VirtualLoop& loop_;
  Net& net_;
  FaultyPlatform& process_;
  EntryVmId id_;
  Endpoint own_;
  size_t payload_bytes_ = 0;
  bool isolated_ = false;
  PeerFault default_fault_ = PeerFault::kNone;
  std::map<MessageKind, PeerFault> faults_;
  std::map<MessageKind, std::function<void()>> tasks_;
  std::map<MessageKind, Handler> handlers_;
};

static_assert(PeerTransport<FaultyPeers>);

}  // namespace cowsliphill

#endif  // COWSLIPHILL_MANIFEST_FAULTY_PEERS_H_
