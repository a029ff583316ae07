// A table client that batches single writes of different claims into one commit under load. While
// fewer than `max_in_flight` commits are outstanding, a write is sent alone and at once, so
// batching adds no latency at a low rate. Otherwise writes wait and share the next commit.
//
// A commit is all or nothing. When the condition of a write fails, that claim gets its Conflict and
// the other writes are sent again, each alone and at once, even beyond `max_in_flight`. When the
// result of a commit is lost, each of its writes gets kUnknown; a ClaimAttempt then reads its row
// back.

#ifndef COWSLIPHILL_CLAIMS_GROUPED_TABLE_H_
#define COWSLIPHILL_CLAIMS_GROUPED_TABLE_H_

#include <algorithm>
#include <cassert>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "src/storage/platform.h"

namespace cowsliphill {

struct GroupSettings {
  size_t max_in_flight = 2;  // Outstanding commits from which on new writes wait.
  size_t max_writes = 16;    // Maximum number of writes per commit.
};

template <TableClient Table>
class GroupedTable {
 public:
  using Done = std::function<void(CommitResult)>;

  explicit GroupedTable(Table& table, GroupSettings settings = {})
      : table_(table), settings_(settings) {}
  GroupedTable(const GroupedTable&) = delete;
  GroupedTable& operator=(const GroupedTable&) = delete;

  void Get(std::string key, std::function<void(GetResult)> done) {
    table_.Get(std::move(key), std::move(done));
  }

  void Scan(std::string prefix, std::string after, size_t max_rows,
            std::function<void(ScanResult)> done) {
    table_.Scan(std::move(prefix), std::move(after), max_rows, std::move(done));
  }

  void Commit(std::vector<ConditionalWrite> writes, Done done) {
    if (writes.size() != 1) return table_.Commit(std::move(writes), std::move(done));
    waiting_.push_back(Pending{std::move(writes.front()), std::move(done)});
    SendWaitingGroups();
  }

  uint64_t Commits() const { return commits_; }

 private:
  struct Pending {
    ConditionalWrite write;
    Done done;
  };
  using Group = std::vector<Pending>;

  void SendWaitingGroups() {
    while (!waiting_.empty() && in_flight_ < settings_.max_in_flight) Send(TakeGroup());
  }

  // Takes the oldest waiting writes, up to the first one to a row that is already in the group.
  Group TakeGroup() {
    Group group;
    std::set<std::string> keys;
    while (!waiting_.empty() && group.size() < settings_.max_writes) {
      if (!keys.insert(waiting_.front().write.key).second) break;
      group.push_back(std::move(waiting_.front()));
      waiting_.pop_front();
    }
    return group;
  }

  void Send(Group group) {
    ++in_flight_;
    ++commits_;
    std::vector<ConditionalWrite> writes;
    for (const Pending& it : group) writes.push_back(it.write);
    table_.Commit(std::move(writes), [this, group = std::make_shared<Group>(std::move(group)),
                                      alive = Alive()](const CommitResult& result) {
      if (alive.expired()) return;
      --in_flight_;
      Distribute(*group, result);
      if (!alive.expired()) SendWaitingGroups();
    });
  }

  void Distribute(Group& group, const CommitResult& result) {
    if (const auto* committed = std::get_if<Committed>(&result)) {
      return DistributeVersions(group, *committed);
    }
    if (const auto* conflict = std::get_if<Conflict>(&result)) {
      return DistributeConflict(group, *conflict);
    }
    for (Pending& it : group) it.done(result);
  }

  static void DistributeVersions(Group& group, const Committed& committed) {
    assert(committed.versions.size() == group.size() &&
           "A commit must return one version for each write.");
    for (size_t i = 0; i < group.size(); ++i) group[i].done(Committed{{committed.versions[i]}});
  }

  void DistributeConflict(Group& group, const Conflict& conflict) {
    Group retries;
    for (Pending& it : group) {
      const auto row = std::find_if(conflict.current.begin(), conflict.current.end(),
                                    [&](const Row& row) { return row.key == it.write.key; });
      if (row != conflict.current.end()) {
        it.done(Conflict{{*row}});
      } else {
        retries.push_back(std::move(it));
      }
    }
    for (Pending& it : retries) {
      Group single;
      single.push_back(std::move(it));
      Send(std::move(single));
    }
  }

  std::weak_ptr<bool> Alive() const { return alive_; }

  Table& table_;
  GroupSettings settings_;
  std::deque<Pending> waiting_;
  size_t in_flight_ = 0;  // Commits without a result.
  uint64_t commits_ = 0;  // Commits sent so far.
  // Expires with this object; callbacks check it before they use `this`.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_CLAIMS_GROUPED_TABLE_H_
