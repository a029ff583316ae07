// Stand-ins for the platform's store, backend servers and callers, and the entry VMs as processes.

#ifndef COWSLIPHILL_REVIEW_HARNESS_3_STAND_INS_H_
#define COWSLIPHILL_REVIEW_HARNESS_3_STAND_INS_H_

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "review/harness-3/net.h"

namespace review {

// The platform's store: rows-get and rows-feed over HTTP. Its writers call Put and Delete.
class Store {
 public:
  explicit Store(Record& record);

  const Address& At() const { return listener_.At(); }
  void Put(const std::string& table, const std::string& key, const std::string& value);
  void Delete(const std::string& table, const std::string& key);

  // A copy of all rows and versions.
  struct Copy;
  std::shared_ptr<const Copy> TakeCopy();
  // The store is away until ComeBack: connections are reset.
  void GoAway();
  // It comes back from the copy. `Store-Era` rises by one.
  void ComeBack(const std::shared_ptr<const Copy>& copy);

 private:
  struct Row {
    std::string value;
    uint64_t ver = 0;
  };
  struct Change {
    uint64_t ver = 0;
    std::string table;
    std::string key;
    bool deleted = false;
    std::string value;
  };
  using Rows = std::map<std::pair<std::string, std::string>, Row>;

  void Serve(Connection& connection);
  std::string Answer(const std::string& target, int& status);
  std::string Get(const std::string& target);
  std::string Feed(const std::string& target, int& status);
  std::string Finish(const std::string& rows, bool has_more_field) const;

  Record& record_;
  std::mutex mutex_;
  std::condition_variable changed_;
  uint64_t ver_ = 100;
  uint64_t era_ = 1;
  bool away_ = false;
  Rows rows_;
  std::vector<Change> changes_;
  Listener listener_;
};

struct Store::Copy {
  uint64_t ver = 0;
  Rows rows;
  std::vector<Change> changes;
};

// A request as a backend server has seen it.
struct Run {
  int64_t at = 0;
  std::string id;
  std::string method;
  std::string target;
  std::string tenant;
};

// A backend server. Keeps its entry in the store.
class Server {
 public:
  struct Options {
    std::string id;
    std::string service;
    std::string zone = "zone-a";
    int slots = 3;
    int queue = 12;
    int64_t work_ms = 100;
    int64_t born = 0;  // 0: entries have no such field.
  };

  Server(Store& store, Record& record, Options options);
  ~Server();

  // Writes its entry, `state` being ready or draining.
  void Register(const std::string& state);
  void Unregister();
  std::string Entry(const std::string& state);
  // From now on all its answers say that it leaves.
  void SetLeaving() { leaving_ = true; }
  // Work that begins from now on takes so long.
  void SetWork(int64_t ms) { work_ms_ = ms; }
  // Ends at once: connections are reset, new ones are refused.
  void Crash();

  const Options& Has() const { return options_; }
  const Address& At() const { return listener_.At(); }
  std::vector<Run> Runs();
  // When this server first sent an answer with Server-Leaving.
  std::optional<int64_t> FirstLeavingAnswer() {
    const int64_t at = first_leaving_answer_;
    return at < 0 ? std::optional<int64_t>() : at;
  }

 private:
  void Serve(Connection& connection);
  std::string LoadHeader();

  Store& store_;
  Record& record_;
  Options options_;
  std::atomic<bool> leaving_{false};
  std::atomic<int64_t> work_ms_;
  std::atomic<int64_t> first_leaving_answer_{-1};
  std::mutex mutex_;
  std::condition_variable slot_free_;
  int running_ = 0;
  int waiting_ = 0;
  int seq_no_ = 0;
  std::vector<Run> runs_;
  Listener listener_;
};

// An entry VM: the program of the deploy file with settings like those of platform/entry.toml.
class EntryVm {
 public:
  struct Options {
    std::string name;
    std::string zone = "zone-a";
    std::vector<std::string> zones = {"zone-a"};
    std::string ip = "127.0.0.1";
    double capacity = 0.2;
    int grace_s = 6;
    double retry_slack = 64;
    std::string limits;  // Lines of the table workspace_limits.
    bool bootstrap = true;
  };

  // `folder`: for settings and output.
  EntryVm(std::string folder, Address store, Options options, Record& record);
  ~EntryVm();

  const Address& Edge() const { return edge_; }
  const Address& Peer() const { return peer_; }
  const Address& Directory() const { return directory_; }
  const Address& Metrics() const { return metrics_; }
  void WriteSettings(const std::vector<Address>& seeds);
  void Start();
  void Signal(int signal) const;
  // Waits for the end of the process; returns whether it came in time.
  bool WaitForEnd(milliseconds timeout);
  bool IsRunning();
  bool IsReady() const;
  bool WaitUntilReady(milliseconds timeout) const;
  // The addresses that its directory names, as text; "" without an answer.
  std::string Lookup() const;

 private:
  std::string folder_;
  Address store_;
  Options options_;
  Record& record_;
  Address edge_;
  Address peer_;
  Address directory_;
  Address readiness_;
  Address metrics_;
  pid_t pid_ = 0;
};

// How a request of a caller ended.
struct Ended {
  int64_t sent = 0;
  int64_t ended = 0;
  std::string id;
  std::string via;  // Edge address.
  int status = 0;   // 0: no complete answer.
  Message answer;
};

struct Ask {
  std::string method = "GET";
  std::string host = "shop.example";
  std::string target = "/t/1";
  std::string id;
  int64_t deadline_ms = 4000;
  std::string headers;  // Further lines, each with its end.
  std::string body;
};

std::string Format(const Ask& ask);
// Sends a request on a new connection and waits for its end.
Ended SendOnce(const Address& edge, const Ask& ask, Record& record);
std::string NextId(const std::string& prefix);

// Base64, as values of rows are written.
std::string Base64(const std::string& text);

// Creates an empty temporary folder, and removes it at the end.
class TemporaryFolder {
 public:
  TemporaryFolder();
  ~TemporaryFolder();
  const std::string& Path() const { return path_; }

 private:
  std::string path_;
};

// Whether the disruption is played: not with TROUBLE=0.
bool HasTrouble();

}  // namespace review

#endif  // COWSLIPHILL_REVIEW_HARNESS_3_STAND_INS_H_
