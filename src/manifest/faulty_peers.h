// For tests of this slice: peer streams between entry VMs of one VirtualLoop, which fail at a
// chosen question in a chosen way.

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
  kKillPeer,    // The asked process dies before it answers.
  kKillAsker,   // The asking process dies after it has sent the question.
  kPausePeer,   // The asked process stands still: its answer would come too late.
  kPauseAsker,  // The asking process stands still after it has sent the question.
  kCut,         // The question never arrives.
  kSlow,        // Answered just within the time.
  kLostAnswer,  // The answer is lost.
};

// One entry VM's end of the peer streams.
class FaultyPeers {
 public:
  static constexpr std::chrono::milliseconds kLatency{2};
  static constexpr std::chrono::milliseconds kSlowLatency{900};
  static constexpr std::chrono::milliseconds kTimeout{1000};
  using Reply = Result<std::string, PeerError>;
  using Handler = std::function<std::string(const EntryVmId& from, const std::string& payload)>;
  // The ends by address.
  using Net = std::map<Endpoint, FaultyPeers*>;

  // Dies and stands still together with `process`.
  FaultyPeers(VirtualLoop& loop, Net& net, FaultyPlatform& process, EntryVmId id, Endpoint own)
      : loop_(loop), net_(net), process_(process), id_(std::move(id)), own_(std::move(own)) {
    net_[own_] = this;
  }

  void Always(PeerFault fault) { always_ = fault; }
  // The next question of this kind fails like this, if there is one.
  void AtNext(MessageKind kind, PeerFault fault) { faults_[kind] = fault; }
  // Runs as the next question of this kind is sent.
  void RunAtNext(MessageKind kind, std::function<void()> task) { tasks_[kind] = std::move(task); }
  // No message passes between this end and any other.
  void Isolate(bool isolated) { isolated_ = isolated; }
  // Payload bytes sent and received by this end.
  size_t PayloadBytes() const { return payload_bytes_; }

  void Handle(MessageKind kind, Handler handler) { handlers_[kind] = std::move(handler); }

  void Request(Endpoint to, MessageKind kind, std::string payload,
               std::function<void(Reply)> done) {
    const auto task = tasks_.extract(kind);
    if (!task.empty()) task.mapped()();
    const auto node = faults_.extract(kind);
    const PeerFault fault = node.empty() ? always_ : node.mapped();
    const auto it = net_.find(to);
    FaultyPeers* peer = it == net_.end() ? nullptr : it->second;
    if (fault == PeerFault::kKillAsker) process_.Kill();
    if (fault == PeerFault::kPauseAsker) process_.Pause();
    if (peer != nullptr && fault == PeerFault::kKillPeer) peer->process_.Kill();
    if (peer != nullptr && fault == PeerFault::kPausePeer) peer->process_.Pause();
    const bool arrives =
        peer != nullptr && !peer->Silent() && !isolated_ && fault != PeerFault::kCut;
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
  PeerFault always_ = PeerFault::kNone;
  std::map<MessageKind, PeerFault> faults_;
  std::map<MessageKind, std::function<void()>> tasks_;
  std::map<MessageKind, Handler> handlers_;
};

static_assert(PeerTransport<FaultyPeers>);

}  // namespace cowsliphill

#endif  // COWSLIPHILL_MANIFEST_FAULTY_PEERS_H_
