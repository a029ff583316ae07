// Small stand-ins for the scripts of the review: the platform's store, backend servers and callers
// on loopback, and the entry VMs as separate processes. Every stand-in uses blocking sockets and a
// thread for each connection.

#ifndef COWSLIPHILL_REVIEW_HARNESS_HARNESS_H_
#define COWSLIPHILL_REVIEW_HARNESS_HARNESS_H_

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

// Exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

// Whether the case runs with its disturbance: TROUBLE=0 leaves it out.
bool HasTrouble();
// Milliseconds since the start of the case.
int64_t NowMs();
void SleepMs(int64_t ms);

// Thrown if the case can't run. Not for findings.
struct SetupError {
  std::string text;
};

// The record of a case: what was sent, answered and run. Thread-safe.
class Record {
 public:
  explicit Record(const std::string& file);
  void Line(const std::string& text);

 private:
  std::mutex mutex_;
  std::ofstream out_;
};

struct Address {
  std::string ip = "127.0.0.1";
  uint16_t port = 0;
  std::string Text() const { return ip + ":" + std::to_string(port); }
};
// An address whose port is free for TCP and UDP. Never returns one twice.
Address FreeAddress();

// Head of a message, and its body as far as it has a length.
struct Message {
  std::string start_line;
  std::map<std::string, std::string> headers;  // Keyed by the lower-case name.
  std::string body;

  std::string Header(const std::string& name) const;
  std::string Method() const { return start_line.substr(0, start_line.find(' ')); }
  std::string Target() const;
  int Status() const;
};

// A connected socket. Reads end at the timeout.
class Channel {
 public:
  explicit Channel(int fd) : fd_(fd) {}
  ~Channel();
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;
  // Returns null if there is no connection.
  static std::unique_ptr<Channel> Connect(const Address& to);

  void SetReadTimeout(int64_t ms) const;
  bool Send(const std::string& bytes) const;
  // Reads the next message. `has_body`: the message has the body that its Content-Length states.
  std::optional<Message> Read(bool has_body = true);
  // Returns whatever arrives until nothing has arrived for `quiet_ms`, including what is buffered.
  std::string ReadAvailable(int64_t quiet_ms);
  // Whether the other side has closed or reset the connection, and nothing is left to be read.
  bool IsClosedByPeer() const;
  // Ends pending and later reads and writes.
  void Shutdown() const;

 private:
  bool Fill();

  int fd_;
  std::string buffer_;
};

// Accepts connections and serves each on a thread of its own.
class Listener {
 public:
  using Serve = std::function<void(Channel&)>;
  explicit Listener(Serve serve);
  ~Listener() { Stop(); }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;
  const Address& At() const { return address_; }
  // Closes the listening socket and all connections.
  void Stop();
  void CloseConnections();

 private:
  void AcceptAll();

  Serve serve_;
  int fd_ = -1;
  Address address_;
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;
  std::list<std::shared_ptr<Channel>> channels_;
  std::vector<std::thread> threads_;
  std::thread accept_thread_;
};

// The platform's store: GET /-/rows-get and GET /-/rows-feed.
class Store {
 public:
  Store();
  ~Store();
  const Address& At() const { return listener_->At(); }
  void Put(const std::string& table, const std::string& key, const std::string& value);
  void Erase(const std::string& table, const std::string& key);

 private:
  struct Change {
    uint64_t version = 0;
    std::string table;
    std::string key;
    std::optional<std::string> value;
  };
  using Rows = std::map<std::pair<std::string, std::string>, std::pair<std::string, uint64_t>>;
  void Serve(Channel& channel);
  std::string Answer(const Message& request);
  std::string RowsOf(const std::map<std::string, std::string>& query);
  std::string ChangesAfter(const std::map<std::string, std::string>& query);

  std::mutex mutex_;
  std::condition_variable changed_;
  bool closing_ = false;
  uint64_t version_ = 0;
  Rows rows_;
  std::vector<Change> history_;
  std::unique_ptr<Listener> listener_;
};

// A request that reached a backend server.
struct Arrival {
  int64_t at_ms = 0;
  std::string method;
  std::string target;
  std::string id;  // X-Request-Id; empty if there was none.
  bool executed = false;
};

struct ServerOptions {
  std::string id;
  std::string service = "svc-a";
  std::string zone = "zone-a";
  uint32_t slots = 3;
  int64_t work_ms = 20;
};

// A backend server. Its answers have a body that names the request, a signature and a length. A
// request whose query has work=MS takes that time instead of ServerOptions::work_ms.
class Server {
 public:
  Server(Store& store, Record& record, ServerOptions options);
  ~Server() { listener_->Stop(); }
  void Register();
  const std::string& Id() const { return options_.id; }
  // While full, it refuses requests with 503 and X-Not-Executed.
  void SetFull(bool full) { full_ = full; }
  std::vector<Arrival> Arrivals() const;
  static std::string BodyFor(const std::string& request_id, const std::string& server_id);

 private:
  void Serve(Channel& channel);
  std::string AnswerTo(const Message& request);
  std::string CommonHeaders() const;

  Store& store_;
  Record& record_;
  ServerOptions options_;
  uint64_t sequence_ = 0;
  int64_t born_ms_;
  std::atomic<bool> full_{false};
  std::atomic<uint32_t> running_{0};
  mutable std::mutex mutex_;
  std::vector<Arrival> arrivals_;
  std::unique_ptr<Listener> listener_;
};

struct EntryOptions {
  int64_t grace_s = 6;  // Time from SIGTERM to SIGKILL.
};

// One entry VM, started with the command of the deploy file and settings as platform/entry.toml
// makes them.
class EntryVm {
 public:
  EntryVm(const Store& store, std::string folder, std::string name, EntryOptions options = {});
  ~EntryVm();
  EntryVm(const EntryVm&) = delete;
  EntryVm& operator=(const EntryVm&) = delete;
  void Start(const std::vector<Address>& seeds);
  void AwaitReady() const;
  bool Runs();
  void Signal(int signal) const;
  const Address& Edge() const { return edge_; }
  const Address& Lookup() const { return lookup_; }
  const Address& Peer() const { return peer_; }

 private:
  std::string folder_;
  std::string name_;
  EntryOptions options_;
  Address store_;
  Address edge_ = FreeAddress();
  Address peer_ = FreeAddress();
  Address lookup_ = FreeAddress();
  Address readiness_ = FreeAddress();
  Address metrics_ = FreeAddress();
  pid_t pid_ = -1;
};

struct RouteSpec {
  std::string prefix;
  std::string type;  // "safe", "unsafe" or "download".
  std::string service = "svc-a";
  int64_t timeout_ms = 2500;
};
// Host of all routes.
inline constexpr const char* kHost = "review.example";
// Writes a desired state with these routes and the limits of the users' pages.
void PutConfig(Store& store, uint64_t version, const std::vector<RouteSpec>& routes);

// Formats the head of a request. `headers`: further header lines, each with its line end.
std::string FormatRequest(const std::string& method, const std::string& target,
                          const std::string& id, const std::string& headers = "",
                          int64_t deadline_ms = 2000);
// 16 hexadecimal digits, different each time.
std::string HexId();

// Runs the case `body(record, folder)` and returns its exit code. The arguments of the program are
// the folder for temporary files and the file of the record.
int RunCase(int argc, char** argv,
            const std::function<int(Record& record, const std::string& folder)>& body);

}  // namespace review

#endif  // COWSLIPHILL_REVIEW_HARNESS_HARNESS_H_
