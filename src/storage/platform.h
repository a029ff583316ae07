// The platform's services as cowsliphill uses them: a transactional table, an object store and a
// lagging list of VMs. Everything that must last lives there.
//
// All calls are asynchronous. A callback runs exactly once, on the executor that the client was
// built with, never inside the call itself.

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
    kUnavailable,  // Certainly had no effect: no connection, refused, or not sent.
    kUnknown,      // May or may not have taken effect: the answer was lost or late.
  };
  Kind kind = Kind::kUnknown;
  std::string detail;  // For logs.
};

struct Row {
  std::string key;
  std::string value;     // Any bytes.
  uint64_t version = 0;  // Grows with each write to the key; 0 means that the row is absent.
};

// Writes `value` if the row's version is still `expected_version`.
struct ConditionalWrite {
  std::string key;
  uint64_t expected_version = 0;     // 0: the row must be absent.
  std::optional<std::string> value;  // nullopt deletes the row.
};

struct Committed {
  std::vector<uint64_t> versions;  // New version of each written row, in order.
};
struct Conflict {
  std::vector<Row> current;  // The rows whose condition failed, as they are.
};

using GetResult = Result<std::optional<Row>, PlatformError>;
using ScanResult = Result<std::vector<Row>, PlatformError>;
using CommitResult = std::variant<Committed, Conflict, PlatformError>;
using ObjectResult = Result<std::optional<std::string>, PlatformError>;
enum class PutObject { kStored, kAlreadyThere };
using PutObjectResult = Result<PutObject, PlatformError>;
using ListResult = Result<std::vector<std::string>, PlatformError>;

struct ListedVm {
  Endpoint edge;  // Where callers connect.
  Endpoint peer;  // Where other entry VMs connect.
  FailureDomainId failure_domain;
  bool leaving = false;
};
using VmListResult = Result<std::vector<ListedVm>, PlatformError>;

// What a table client offers. Commit is all or nothing over its writes.
template <typename T>
concept TableClient = requires(T& table, std::string text, std::vector<ConditionalWrite> writes,
                               std::function<void(GetResult)> on_get,
                               std::function<void(ScanResult)> on_scan,
                               std::function<void(CommitResult)> on_commit) {
  table.Get(text, on_get);
  table.Scan(text, text, size_t{}, on_scan);  // Prefix, first key after, most rows.
  table.Commit(writes, on_commit);
};

// What an object store client offers. PutIfAbsent never replaces an object.
template <typename T>
concept ObjectClient = requires(T& store, std::string text,
                                std::function<void(ObjectResult)> on_get,
                                std::function<void(PutObjectResult)> on_put,
                                std::function<void(ListResult)> on_list) {
  store.GetObject(text, on_get);
  store.PutIfAbsent(text, text, on_put);
  store.ListObjects(text, text, size_t{}, on_list);  // Prefix, first name after, most names.
};

template <typename T>
concept VmListClient = requires(T& list, std::function<void(VmListResult)> on_list) {
  list.ListVms(on_list);
};

template <typename T>
concept PlatformClient = TableClient<T> && ObjectClient<T> && VmListClient<T>;

// Runs a task later on the thread that owns the state, never inside the call.
using Executor = std::function<void(std::function<void()>)>;

}  // namespace cowsliphill

#endif  // COWSLIPHILL_STORAGE_PLATFORM_H_
