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
  kPausePeer,   // It stands still: its answer comes too late to be taken.
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

  FaultyPeers(VirtualLoop& loop, Net& net, EntryVmId id, Endpoint own)
      : loop_(loop), net_(net), id_(std::move(id)), own_(std::move(own)) {
    net_[own_] = this;
  }

  void Always(PeerFault fault) { always_ = fault; }
  // The next question of this kind fails like this, if there is one.
  void AtNext(MessageKind kind, PeerFault fault) { faults_[kind] = fault; }
  // Runs before the next question of this kind is sent.
  void RunBeforeNext(MessageKind kind, std::function<void()> task) { before_[kind] = task; }
  // No message passes between this end and any other.
  void Isolate(bool isolated) { isolated_ = isolated; }
  // How an asked process dies.
  void OnKill(std::function<void()> kill) { kill_ = std::move(kill); }
  void Kill() { *dead_ = true; }
  // Questions of this kind that this end has sent.
  int Asked(MessageKind kind) const {
    const auto it = asked_.find(kind);
    return it == asked_.end() ? 0 : it->second;
  }

  void Handle(MessageKind kind, Handler handler) { handlers_[kind] = std::move(handler); }

  void Request(Endpoint to, MessageKind kind, std::string payload,
               std::function<void(Reply)> done) {
    ++asked_[kind];
    const auto before = before_.extract(kind);
    if (!before.empty()) before.mapped()();
    const auto node = faults_.extract(kind);
    const PeerFault fault = node.empty() ? always_ : node.mapped();
    const auto it = net_.find(to);
    FaultyPeers* peer = it == net_.end() ? nullptr : it->second;
    if (peer != nullptr && fault == PeerFault::kKillPeer) peer->kill_();
    const bool arrives = peer != nullptr && !*peer->dead_ && !peer->isolated_ && !isolated_ &&
                         fault != PeerFault::kCut;
    if (!arrives) return Answer(kTimeout, done, PeerError::kTimeout);
    const std::string answer = peer->handlers_[kind](id_, payload);
    const bool lost = fault == PeerFault::kLostAnswer || fault == PeerFault::kPausePeer;
    if (lost) return Answer(kTimeout, done, PeerError::kTimeout);
    Answer(fault == PeerFault::kSlow ? kSlowLatency : kLatency, done, answer);
  }

 private:
  void Answer(Duration delay, std::function<void(Reply)> done, Reply reply) {
    loop_.After(delay, [dead = dead_, done = std::move(done), reply = std::move(reply)] {
      if (!*dead) done(reply);
    });
  }

  VirtualLoop& loop_;
  Net& net_;
  EntryVmId id_;
  Endpoint own_;
  std::shared_ptr<bool> dead_ = std::make_shared<bool>(false);
  bool isolated_ = false;
  PeerFault always_ = PeerFault::kNone;
  std::map<MessageKind, PeerFault> faults_;
  std::map<MessageKind, std::function<void()>> before_;
  std::map<MessageKind, Handler> handlers_;
  std::map<MessageKind, int> asked_;
  std::function<void()> kill_;
};

static_assert(PeerTransport<FaultyPeers>);

}  // namespace cowsliphill

#endif  // COWSLIPHILL_MANIFEST_FAULTY_PEERS_H_
