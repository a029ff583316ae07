// A table client that puts single writes of different claims into one commit when the table is
// busy. A write goes out alone while fewer than `most_in_flight` commits wait for their answer, so
// nothing is added to a claim at a low rate; beyond that, waiting writes share the next commit.
//
// A commit is all or nothing. When one write's condition fails, that claim gets its Conflict and
// the others are sent again, each alone. When the answer is lost, each claim gets kUnknown and
// settles its own write by reading back.

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
  size_t most_in_flight = 2;  // Commits; more writes wait and share the next one.
  size_t most_writes = 16;    // In one commit.
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

  void Scan(std::string prefix, std::string after, size_t most,
            std::function<void(ScanResult)> done) {
    table_.Scan(std::move(prefix), std::move(after), most, std::move(done));
  }

  void Commit(std::vector<ConditionalWrite> writes, Done done) {
    if (writes.size() != 1) return table_.Commit(std::move(writes), std::move(done));
    waiting_.push_back(Pending{std::move(writes.front()), std::move(done)});
    SendWhatMay();
  }

  uint64_t Commits() const { return commits_; }

 private:
  struct Pending {
    ConditionalWrite write;
    Done done;
  };
  using Group = std::vector<Pending>;

  void SendWhatMay() {
    while (!waiting_.empty() && in_flight_ < settings_.most_in_flight) Send(TakeGroup());
  }

  // The oldest waiting writes; never two of the same row.
  Group TakeGroup() {
    Group group;
    std::set<std::string> keys;
    while (!waiting_.empty() && group.size() < settings_.most_writes) {
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
      if (!alive.expired()) SendWhatMay();
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
    assert(committed.versions.size() == group.size() && "Give one version for each write.");
    for (size_t i = 0; i < group.size(); ++i) group[i].done(Committed{{committed.versions[i]}});
  }

  void DistributeConflict(Group& group, const Conflict& conflict) {
    Group again;
    for (Pending& it : group) {
      const auto row = std::find_if(conflict.current.begin(), conflict.current.end(),
                                    [&](const Row& row) { return row.key == it.write.key; });
      if (row != conflict.current.end()) {
        it.done(Conflict{{*row}});
      } else {
        again.push_back(std::move(it));
      }
    }
    for (Pending& it : again) {
      Group single;
      single.push_back(std::move(it));
      Send(std::move(single));
    }
  }

  std::weak_ptr<bool> Alive() const { return alive_; }

  Table& table_;
  GroupSettings settings_;
  std::deque<Pending> waiting_;
  size_t in_flight_ = 0;                                        // Commits.
  uint64_t commits_ = 0;                                        // Sent so far.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // Expires with this object.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_CLAIMS_GROUPED_TABLE_H_
