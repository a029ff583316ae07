// Interface to the platform's services: a transactional table, an object store and a list of VMs,
// which may be out of date. All durable data is stored there.
//
// All calls are asynchronous. A callback is called exactly once, on the client's executor, and
// never before the call returns.

#ifndef COWSLIPHILL_STORAGE_PLATFORM_H_
#define COWSLIPHILL_STORAGE_PLATFORM_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "src/base/ids.h"
#include "src/base/result.h"

namespace cowsliphill {

struct PlatformError {
  enum class Kind {
    kUnavailable,  // The call certainly had no effect: it was not sent or was rejected.
    kUnknown,      // The call may have taken effect: its response was lost or late.
  };
  Kind kind = Kind::kUnknown;
  std::string detail;  // Human-readable cause, for logs.
};

struct Row {
  std::string key;
  std::string value;  // Arbitrary bytes.
  // Increases with each write to the key and is never reused, even after the row was deleted; 0 if
  // the row is absent.
  uint64_t version = 0;
};

// Writes `value` if the row's version equals `expected_version`.
struct ConditionalWrite {
  std::string key;
  uint64_t expected_version = 0;     // 0: the row must be absent.
  std::optional<std::string> value;  // nullopt deletes the row.
};

struct Committed {
  std::vector<uint64_t> versions;  // New version of each row, in the order of the writes.
};
struct Conflict {
  std::vector<Row> current;  // Current state of the rows whose condition failed.
};

using GetResult = Result<std::optional<Row>, PlatformError>;
using ScanResult = Result<std::vector<Row>, PlatformError>;
using CommitResult = std::variant<Committed, Conflict, PlatformError>;
using ObjectResult = Result<std::optional<std::string>, PlatformError>;
enum class PutObject { kStored, kAlreadyExists };
using PutObjectResult = Result<PutObject, PlatformError>;
using ListResult = Result<std::vector<std::string>, PlatformError>;

struct ListedVm {
  Endpoint edge;  // Address for callers.
  Endpoint peer;  // Address for other entry VMs.
  FailureDomainId failure_domain;
  bool leaving = false;
};
using VmListResult = Result<std::vector<ListedVm>, PlatformError>;

// Requirements on a table client. Commit applies either all writes or none.
template <typename T>
concept TableClient = requires(T& table, std::string text, std::vector<ConditionalWrite> writes,
                               std::function<void(GetResult)> on_get,
                               std::function<void(ScanResult)> on_scan,
                               std::function<void(CommitResult)> on_commit) {
  table.Get(text, on_get);
  table.Scan(text, text, size_t{}, on_scan);  // Prefix, key to start after, limit on rows.
  table.Commit(writes, on_commit);
};

// Requirements on an object store client. PutIfAbsent never replaces an object.
template <typename T>
concept ObjectClient = requires(T& store, std::string text,
                                std::function<void(ObjectResult)> on_get,
                                std::function<void(PutObjectResult)> on_put,
                                std::function<void(ListResult)> on_list) {
  store.GetObject(text, on_get);
  store.PutIfAbsent(text, text, on_put);
  store.ListObjects(text, text, size_t{}, on_list);  // Prefix, name to start after, limit on names.
};

template <typename T>
concept VmListClient = requires(T& list, std::function<void(VmListResult)> on_list) {
  list.ListVms(on_list);
};

template <typename T>
concept PlatformClient = TableClient<T> && ObjectClient<T> && VmListClient<T>;

// Schedules a task on the thread that owns the caller's state. Must not run the task before
// returning.
using Executor = std::function<void(std::function<void()>)>;

}  // namespace cowsliphill

#endif  // COWSLIPHILL_STORAGE_PLATFORM_H_
