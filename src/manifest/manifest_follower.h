// Keeps the latest accepted manifest in force at this entry VM: polls the platform's head row,
// exchanges revisions with other entry VMs, fetches changes and switches to the new manifest. The
// decisions are in revision_tracker.h.
//
//   ManifestFollower follower(table, objects, transport, loop, worker, clock, options, members);
//   follower.Subscribe([&](const ManifestPtr& manifest) { chooser.Apply(*manifest, ...); });
//   follower.Tick();  // Call every 50 to 100 ms.
//
// Everything runs on the loop's thread, except that `worker` assembles fetched parts. A ManifestPtr
// stays valid and unchanged after a switch, so a request finishes under the revision that it was
// started with.

#ifndef COWSLIPHILL_MANIFEST_MANIFEST_FOLLOWER_H_
#define COWSLIPHILL_MANIFEST_MANIFEST_FOLLOWER_H_

#include <cassert>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "src/base/clock.h"
#include "src/manifest/manifest_loader.h"
#include "src/manifest/manifest_log.h"
#include "src/manifest/revision_tracker.h"
#include "src/members/peer.h"
#include "src/storage/platform.h"

namespace cowsliphill {

// Interval of member list reads.
inline constexpr std::chrono::milliseconds kMemberListRefreshInterval{200};

template <TableClient Table, ObjectClient Objects, PeerTransport Transport,
          typename Tracker = RevisionTracker>
class ManifestFollower {
 public:
  using Subscriber = std::function<void(const ManifestPtr&)>;
  using MemberList = std::function<std::vector<Member>()>;

  // All arguments must outlive the follower, and the follower must outlive its pending calls.
  ManifestFollower(Table& table, Objects& objects, Transport& transport, Executor loop,
                   Executor worker, const Clock& clock, TrackerOptions options, MemberList members)
      : table_(table),
        transport_(transport),
        loop_(loop),
        worker_(worker),
        clock_(clock),
        tracker_(std::move(options)),
        members_(std::move(members)),
        loader_(table, objects, std::move(loop), std::move(worker)) {
    transport_.Handle(MessageKind::kManifestHead,
                      [this](const EntryVmId& from, const std::string& payload) {
                        return AnswerStatus(payload);
                      });
    transport_.Handle(
        MessageKind::kManifestFetch,
        [this](const EntryVmId& from, const std::string& payload) { return AnswerFetch(payload); });
  }

  void Tick() {
    const MonotonicTime now = clock_.Now();
    if (now >= next_members_) {
      next_members_ = now + kMemberListRefreshInterval;
      HandleEvent(MembersUpdated{members_()});
    }
    HandleEvent(TimerTick{});
  }

  // Calls `subscriber` at once with the manifest in force, if there is one, and with each later
  // one.
  void Subscribe(Subscriber subscriber) {
    if (current_) subscriber(current_);
    subscribers_.push_back(std::move(subscriber));
  }

  // Puts a manifest in force that this process has accepted through ManifestKeeper.
  void Adopt(LoadedManifest loaded) {
    adopted_ = std::move(loaded);
    HandleEvent(AcceptedHere{adopted_.head}, &adopted_);
  }

  ManifestPtr Current() const { return current_; }  // Null until the first manifest.
  bool Ready() const { return tracker_.Ready(); }
  TrackerView View() const { return tracker_.View(clock_.Now()); }
  uint64_t BadMessages() const { return bad_messages_; }

 private:
  // Passes an event to the tracker and executes the resulting actions. `loaded` is the manifest
  // that PutInForce activates; FetchDone and AcceptedHere need it.
  void HandleEvent(const TrackerEvent& event, LoadedManifest* loaded = nullptr) {
    for (const TrackerAction& action : tracker_.On(event, clock_.Now())) {
      if (std::holds_alternative<PutInForce>(action)) {
        assert(loaded != nullptr &&
               "HandleEvent: FetchDone and AcceptedHere need the loaded manifest");
        if (loaded != nullptr) SwitchTo(*loaded);
      } else {
        std::visit([this](const auto& it) { Execute(it); }, action);
      }
    }
  }

  void SwitchTo(LoadedManifest& loaded) {
    log_.Add(loaded);
    current_ = loaded.manifest;
    for (const Subscriber& subscriber : subscribers_) subscriber(current_);
  }

  void Execute(const PutInForce& action) {}

  void Execute(const ReadHead& action) {
    if (!action.consistent) {
      table_.Get(kManifestHeadKey, [this](GetResult result) {
        if (!Ok(result)) return HandleEvent(HeadFailed{});
        const std::optional<Row>& row = ValueOf(result);
        OnHeadRow(row ? &*row : nullptr, false);
      });
      return;
    }
    // Deletes the row on the condition that it is absent. If the row exists, nothing is written and
    // the conflict returns its present content.
    table_.Commit({{kManifestHeadKey, 0, std::nullopt}}, [this](CommitResult result) {
      if (std::holds_alternative<PlatformError>(result)) return HandleEvent(HeadFailed{});
      const auto* conflict = std::get_if<Conflict>(&result);
      OnHeadRow(conflict != nullptr && !conflict->current.empty() ? &conflict->current[0] : nullptr,
                true);
    });
  }

  void OnHeadRow(const Row* row, bool consistent) {
    if (row == nullptr) return HandleEvent(HeadRead{std::nullopt, consistent});
    std::optional<ManifestHead> head = DecodeHead(row->value);
    if (head) return HandleEvent(HeadRead{std::move(head), consistent});
    ++bad_messages_;
    HandleEvent(HeadFailed{});
  }

  void Execute(const QueryPeer& action) {
    transport_.Request(
        action.peer, MessageKind::kManifestHead, EncodeRevisionStatus(tracker_.OwnStatus()),
        [this, id = action.id](Result<std::string, PeerError> reply) { OnPeerReply(id, reply); });
  }

  void OnPeerReply(const EntryVmId& id, const Result<std::string, PeerError>& reply) {
    const std::optional<RevisionStatus> status =
        Ok(reply) ? DecodeRevisionStatus(ValueOf(reply)) : std::nullopt;
    if (Ok(reply) && !status) ++bad_messages_;
    if (status) HandleEvent(PeerStatusReceived{*status});
    // A different process may answer at this address if the queried process is gone.
    if (!status || status->sender != id) HandleEvent(PeerRequestFailed{id});
  }

  std::string AnswerStatus(const std::string& payload) {
    const std::optional<RevisionStatus> status = DecodeRevisionStatus(payload);
    if (status) {
      loop_([this, status] { HandleEvent(PeerStatusReceived{*status}); });
    } else {
      ++bad_messages_;
    }
    return EncodeRevisionStatus(tracker_.OwnStatus());
  }

  std::string AnswerFetch(const std::string& payload) {
    const std::optional<FetchRequest> request = DecodeFetchRequest(payload);
    if (!request) ++bad_messages_;
    return request ? EncodeFetchReply(log_.Answer(*request)) : "";
  }

  void Execute(const FetchFromPlatform& action) {
    loader_.Load(action.target, action.whole ? nullptr : current_,
                 [this](LoadResult result) { OnFetched(std::move(result)); });
  }

  void Execute(const FetchFromPeer& action) {
    partial_manifest_ = PartialManifest();
    partial_manifest_.peer = action.peer;
    FetchRequest request;
    request.since = action.whole || !current_ ? 0 : current_->revision;
    SendFetch(request);
  }

  void SendFetch(const FetchRequest& request) {
    transport_.Request(
        partial_manifest_.peer, MessageKind::kManifestFetch, EncodeFetchRequest(request),
        [this](Result<std::string, PeerError> reply) { OnFetchReply(std::move(reply)); });
  }

  void OnFetchReply(Result<std::string, PeerError> bytes) {
    if (!Ok(bytes)) return OnFetched(LoadError::kUnavailable);
    std::optional<FetchReply> reply = DecodeFetchReply(ValueOf(bytes));
    if (!reply) {
      ++bad_messages_;
      return OnFetched(LoadError::kCorrupt);
    }
    if (!reply->entries.empty()) return AssembleEntries(*reply);
    AddPart(*reply);
  }

  void AssembleEntries(FetchReply& reply) {
    ManifestParts parts;
    parts.target = std::move(reply.head);
    parts.base = current_;
    for (BinaryBlob& entry : reply.entries) parts.entries.push_back(std::move(entry.data));
    if (!parts.base) return OnFetched(LoadError::kIncomplete);
    StartAssembly(std::move(parts));
  }

  // Appends one part of a whole manifest. A part of a different revision fails the fetch, and the
  // next fetch begins with the first part.
  void AddPart(FetchReply& reply) {
    if (reply.manifest_bytes == 0) return OnFetched(LoadError::kIncomplete);
    if (reply.manifest_bytes > kMaxManifestBytes) return OnFetched(LoadError::kCorrupt);
    if (!(reply.head.accepted == partial_manifest_.head.accepted)) {
      if (!partial_manifest_.bytes.empty()) return OnFetched(LoadError::kIncomplete);
      partial_manifest_.head = reply.head;
    }
    partial_manifest_.bytes += reply.part.data;
    if (partial_manifest_.bytes.size() >= reply.manifest_bytes) {
      ManifestParts parts;
      parts.target = partial_manifest_.head;
      parts.whole = std::move(partial_manifest_.bytes);
      parts.whole_revision = partial_manifest_.head.accepted.revision;
      return StartAssembly(std::move(parts));
    }
    if (reply.part.data.empty()) return OnFetched(LoadError::kIncomplete);
    FetchRequest next;
    next.whole = partial_manifest_.head.accepted;
    next.offset = partial_manifest_.bytes.size();
    SendFetch(next);
  }

  void StartAssembly(ManifestParts parts) {
    auto shared = std::make_shared<ManifestParts>(std::move(parts));
    worker_([this, shared] {
      loop_([this, result = Assemble(std::move(*shared))] { OnFetched(result); });
    });
  }

  void OnFetched(LoadResult result) {
    if (Ok(result)) {
      LoadedManifest loaded = ValueOf(result);
      return HandleEvent(FetchDone{loaded.head}, &loaded);
    }
    HandleEvent(FetchFailed{ErrorOf(result) == LoadError::kCorrupt});
  }

  // Parts of a whole manifest received from one peer so far.
  struct PartialManifest {
    Endpoint peer;
    ManifestHead head;
    std::string bytes;
  };

  Table& table_;
  Transport& transport_;
  Executor loop_;
  Executor worker_;
  const Clock& clock_;
  Tracker tracker_;
  MemberList members_;
  ManifestLoader<Table, Objects> loader_;
  ManifestLog log_;
  ManifestPtr current_;
  LoadedManifest adopted_;
  PartialManifest partial_manifest_;
  MonotonicTime next_members_;
  std::vector<Subscriber> subscribers_;
  uint64_t bad_messages_ = 0;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_MANIFEST_MANIFEST_FOLLOWER_H_
