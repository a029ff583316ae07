// Test support: simulates one platform and several entry VMs, each with a ManifestKeeper and a
// ManifestFollower, on virtual time. Violations of invariants, for example that an entry VM's
// revision never decreases, are collected in `violations`.

#ifndef COWSLIPHILL_MANIFEST_MANIFEST_WORLD_H_
#define COWSLIPHILL_MANIFEST_MANIFEST_WORLD_H_

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "src/manifest/faulty_peers.h"
#include "src/manifest/faulty_platform.h"
#include "src/manifest/manifest_follower.h"
#include "src/manifest/manifest_keeper.h"
#include "src/manifest/manifest_samples.h"

namespace cowsliphill {

template <typename Tracker = RevisionTracker, typename Rules = AcceptanceRules>
class ManifestWorld {
 public:
  using Follower = ManifestFollower<FaultyPlatform, FaultyPlatform, FaultyPeers, Tracker>;
  static constexpr std::chrono::milliseconds kTick{50};
  // Time until a dead entry VM leaves the member list.
  static constexpr std::chrono::seconds kMemberLifetime{3};

  struct EntryVm {
    EntryVm(ManifestWorld& world, Member own, uint64_t seed)
        : self(own),
          platform(world.loop, world.store),
          peers(world.loop, world.net, platform, own.id, own.peer),
          follower(platform, platform, peers, world.loop.Post(), world.loop.Post(),
                   world.loop.Time(), Options(own, seed), [&world] { return world.members; }),
          keeper(platform, platform, world.loop.Post(), world.loop.Post(), world.loop.Time(),
                 follower) {}

    static TrackerOptions Options(const Member& own, uint64_t seed) {
      TrackerOptions options;
      options.id = own.id;
      options.failure_domain = own.failure_domain;
      options.seed = seed;
      return options;
    }
    uint64_t Revision() const { return follower.Current() ? follower.Current()->revision : 0; }

    Member self;
    FaultyPlatform platform;
    FaultyPeers peers;
    Follower follower;
    ManifestKeeper<FaultyPlatform, FaultyPlatform, Follower, Rules> keeper;
    uint64_t required_revision = 0;  // Highest revision that had been in force in its failure
                                     // domain when it started.
    // Revisions in force at the entry VMs of its failure domain when it started.
    std::map<const EntryVm*, uint64_t> revisions_at_start;
    bool was_ready = false;
  };

  // Starts an entry VM in the failure domain.
  EntryVm& Start(const std::string& failure_domain) {
    const std::string n = std::to_string(vms.size() + 1);
    Member member;
    member.id = EntryVmId("vm" + n);
    member.peer = {"192.0.2." + n, 8081};
    member.failure_domain = FailureDomainId(failure_domain);
    vms.push_back(std::make_unique<EntryVm>(*this, member, vms.size() + 1));
    EntryVm& vm = *vms.back();
    vm.required_revision = failure_domain_max_revision[member.failure_domain];
    for (const auto& other : vms) {
      if (other->self.failure_domain == member.failure_domain) {
        vm.revisions_at_start[other.get()] = other->Revision();
      }
    }
    vm.follower.Subscribe([this, &vm](const ManifestPtr& manifest) { OnSwitch(vm, *manifest); });
    members.push_back(member);
    loop.After(Duration(0), [this, &vm] { Tick(vm); });
    return vm;
  }

  void RemoveMember(const EntryVmId& id) {
    std::erase_if(members, [&](const Member& it) { return it.id == id; });
  }

  // Returns a submission that changes max_requests, which distinguishes the submissions.
  Submission MakeSubmission(const std::string& id, uint64_t base, uint32_t max_requests) const {
    Manifest manifest = SampleManifest(2, 6);
    manifest.entry.max_requests = max_requests;
    Submission submission;
    submission.id = id;
    submission.base_revision = base;
    submission.text = FormatManifest(manifest);
    submission.author.team = TeamId("ops");
    return submission;
  }

  // Submits to the entry VM; the answer is appended to answers[id].
  void Submit(EntryVm& vm, const Submission& submission) {
    vm.keeper.Submit(submission, [this, id = submission.id](SubmissionAnswer answer) {
      answers[id].push_back(std::move(answer));
    });
  }

  void SubmitAndRun(EntryVm& vm, const std::string& id, uint64_t base, uint32_t max_requests) {
    Submit(vm, MakeSubmission(id, base, max_requests));
    loop.RunFor(std::chrono::seconds(4));
  }

  bool IsAccepted(const std::string& id) const { return store.Get(SubmissionKey(id)).has_value(); }

  uint64_t AcceptedRevision() const {
    const std::optional<Row> row = store.Get(kManifestHeadKey);
    return row ? DecodeHead(row->value)->accepted.revision : 0;
  }

  bool AllHaveInForce(uint64_t revision) const {
    return std::all_of(vms.begin(), vms.end(), [&](const auto& vm) {
      return vm->platform.Dead() || vm->Revision() == revision;
    });
  }

  // Checks the answers against the store at the end of a run.
  void CheckAnswers() {
    for (const auto& [id, received] : answers) {
      for (const SubmissionAnswer& answer : received) {
        const bool accepted = std::holds_alternative<Accepted>(answer);
        const bool rejected =
            std::holds_alternative<Refused>(answer) || std::holds_alternative<BaseConflict>(answer);
        if (accepted && !IsAccepted(id)) violations.insert("an accepted submission has no effect");
        if (rejected && IsAccepted(id)) violations.insert("a refused submission took effect");
      }
    }
    std::set<uint64_t> revisions;
    for (const Row& row : store.Scan("manifest/submission/", "", 1000)) {
      const uint64_t revision = DecodeSubmissionRow(row.value)->accepted.revision;
      if (!revisions.insert(revision).second) violations.insert("two submissions got one revision");
    }
  }

  VirtualLoop loop;
  MemoryPlatformState store;
  FaultyPeers::Net net;
  std::vector<Member> members;
  std::vector<std::unique_ptr<EntryVm>> vms;
  // Highest revision that was ever in force in a failure domain.
  std::map<FailureDomainId, uint64_t> failure_domain_max_revision;
  std::map<std::string, std::vector<SubmissionAnswer>> answers;
  std::set<std::string> violations;  // Descriptions of violated invariants.
  // Whether a new entry VM must reach the revisions of dead entry VMs too.
  bool count_dead_vms = true;

 private:
  void Tick(EntryVm& vm) {
    if (vm.platform.Dead()) {
      loop.After(kMemberLifetime, [this, id = vm.self.id] { RemoveMember(id); });
      return;
    }
    loop.After(kTick, [this, &vm] { Tick(vm); });
    if (vm.platform.Paused()) return;
    vm.follower.Tick();
    if (vm.follower.Ready() && !vm.was_ready) {
      vm.was_ready = true;
      if (vm.Revision() < RequiredRevision(vm)) violations.insert("ready at too low a revision");
    }
  }

  uint64_t RequiredRevision(const EntryVm& vm) const {
    if (count_dead_vms) return vm.required_revision;
    uint64_t highest = 0;
    for (const auto& [other, revision] : vm.revisions_at_start) {
      if (!other->platform.Dead()) highest = std::max(highest, revision);
    }
    return highest;
  }

  void OnSwitch(EntryVm& vm, const Manifest& manifest) {
    const uint64_t last = std::exchange(last_revision_[vm.self.id], manifest.revision);
    if (manifest.revision <= last) violations.insert("an entry VM's revision decreased");
    const std::string digest = DigestOf(manifest);
    if (digests_.emplace(manifest.revision, digest).first->second != digest) {
      violations.insert("one revision has two contents");
    }
    uint64_t& high = failure_domain_max_revision[vm.self.failure_domain];
    high = std::max(high, manifest.revision);
  }

  std::map<EntryVmId, uint64_t> last_revision_;
  std::map<uint64_t, std::string> digests_;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_MANIFEST_MANIFEST_WORLD_H_
