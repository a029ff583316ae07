// Reads records back from the object store, for `cowsliphill records`.
//
//   RecordReader reader(store);
//   reader.Read(query, now, [](const RecordReadResult& result) { ... });
//
// Reads all batches of the hours in the query's time range, one after another. If both a request's
// entry VM and its partner wrote a record, the answer has the entry VM's record only.

#ifndef COWSLIPHILL_RECORDS_RECORD_READER_H_
#define COWSLIPHILL_RECORDS_RECORD_READER_H_

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "src/records/record_query.h"
#include "src/storage/platform.h"

namespace cowsliphill {

template <ObjectClient Store>
class RecordReader {
 public:
  using Done = std::function<void(RecordReadResult)>;

  explicit RecordReader(Store& store) : store_(store) {}

  // `done` runs exactly once, and inside this call if the query is refused. The reader must outlive
  // the read.
  void Read(const RecordQuery& query, WallTime now, Done done) {
    if (const auto error = CheckQuery(query, now)) return done(*error);
    const auto state =
        std::make_shared<ReadState>(ReadState{RecordMerge(query), query.from, "", {}, done});
    ListHour(state);
  }

 private:
  static constexpr size_t kNamesPerList = 200;

  struct ReadState {
    RecordMerge merge;
    WallTime hour;                   // The hour being read.
    std::string after;               // Last name listed in `hour`; empty: list from its start.
    std::vector<std::string> names;  // Names listed and not yet read, in reverse order.
    Done done;
  };

  void ListHour(const std::shared_ptr<ReadState>& state) {
    if (!state->merge.IncludesHour(state->hour)) return state->done(state->merge.Take());
    store_.ListObjects(BatchPrefix(state->hour), state->after, kNamesPerList,
                       [this, state](const ListResult& result) {
                         if (!Ok(result)) return Fail(state, ErrorOf(result));
                         OnListed(state, ValueOf(result));
                       });
  }

  void OnListed(const std::shared_ptr<ReadState>& state, const std::vector<std::string>& names) {
    if (names.empty()) {
      state->hour += std::chrono::hours(1);
      state->after.clear();
      return ListHour(state);
    }
    state->after = names.back();
    state->names.assign(names.rbegin(), names.rend());
    ReadNext(state);
  }

  void ReadNext(const std::shared_ptr<ReadState>& state) {
    if (state->names.empty()) return ListHour(state);
    const std::string name = std::move(state->names.back());
    state->names.pop_back();
    store_.GetObject(name, [this, state](const ObjectResult& result) {
      if (!Ok(result)) return Fail(state, ErrorOf(result));
      state->merge.Add(ValueOf(result).value_or(std::string()));
      ReadNext(state);
    });
  }

  static void Fail(const std::shared_ptr<ReadState>& state, const PlatformError& error) {
    state->done(RecordReadError{RecordReadError::Kind::kPlatform, error.detail});
  }

  Store& store_;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_RECORDS_RECORD_READER_H_
