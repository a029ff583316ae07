// Reads records back from the object store, for `cowsliphill records`.
//
//   RecordReader reader(store);
//   reader.Read(query, now, [](const RecordReadResult& result) { ... });
//
// Reads the batches of the hours that the query spans, one after another. A request that both its
// own entry VM and that one's partner wrote appears once, in its own entry VM's words.

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

  // `done` runs once; inside Read if the query is refused. The reader must outlive it.
  void Read(const RecordQuery& query, WallTime now, Done done) {
    if (const auto error = CheckQuery(query, now)) return done(*error);
    const auto work = std::make_shared<Work>(Work{RecordMerge(query), query.from, "", {}, done});
    ListHour(work);
  }

 private:
  static constexpr size_t kNamesPerList = 200;

  struct Work {
    RecordMerge merge;
    WallTime hour;                   // Being read.
    std::string after;               // Last name listed in it.
    std::vector<std::string> names;  // Listed and not yet read, last one first.
    Done done;
  };

  void ListHour(const std::shared_ptr<Work>& work) {
    if (!work->merge.Wants(work->hour)) return work->done(work->merge.Take());
    store_.ListObjects(BatchPrefix(work->hour), work->after, kNamesPerList,
                       [this, work](const ListResult& result) {
                         if (!Ok(result)) return Fail(work, ErrorOf(result));
                         OnListed(work, ValueOf(result));
                       });
  }

  void OnListed(const std::shared_ptr<Work>& work, const std::vector<std::string>& names) {
    if (names.empty()) {
      work->hour += std::chrono::hours(1);
      work->after.clear();
      return ListHour(work);
    }
    work->after = names.back();
    work->names.assign(names.rbegin(), names.rend());
    ReadNext(work);
  }

  void ReadNext(const std::shared_ptr<Work>& work) {
    if (work->names.empty()) return ListHour(work);
    const std::string name = std::move(work->names.back());
    work->names.pop_back();
    store_.GetObject(name, [this, work](const ObjectResult& result) {
      if (!Ok(result)) return Fail(work, ErrorOf(result));
      work->merge.Add(ValueOf(result).value_or(std::string()));
      ReadNext(work);
    });
  }

  static void Fail(const std::shared_ptr<Work>& work, const PlatformError& error) {
    work->done(RecordReadError{RecordReadError::Kind::kPlatform, error.detail});
  }

  Store& store_;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_RECORDS_RECORD_READER_H_
