// Stand-ins for the cases of the second review: the platform's store, backend servers and callers,
// written by the users' published protocol, and the entry VMs as real processes. Blocking sockets,
// a thread for each connection.

#ifndef COWSLIPHILL_REVIEW_HARNESS_2_STAND_H_
#define COWSLIPHILL_REVIEW_HARNESS_2_STAND_H_

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using std::chrono::milliseconds;
using Steady = std::chrono::steady_clock;

// Writes what happens to a file, each line with the milliseconds since the start.
class Record {
 public:
  explicit Record(const std::string& file);
  void Write(const std::string& line);
  milliseconds Now() const;

 private:
  std::mutex mutex_;
  std::ofstream out_;
  Steady::time_point start_ = Steady::now();
};

// Names of headers are in lower case.
struct Message {
  std::string first_line;
  std::map<std::string, std::string> headers;
  std::string body;

  std::string Header(const std::string& name) const;
  std::string Method() const;
  std::string Path() const;  // Without the query.
  std::string Query(const std::string& name) const;
  int Status() const;
};

// One TCP connection. It closes the socket in its destructor.
class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {}
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  bool Send(const std::string& bytes) const;
  // Returns false if the other side has ended the connection, or nothing came for `timeout`.
  bool ReadHead(Message& message, milliseconds timeout);
  // Reads a body of the length that the head states, by Content-Length or chunks.
  bool ReadBody(Message& message, milliseconds timeout);
  bool Read(Message& message, milliseconds timeout) {
    return ReadHead(message, timeout) && ReadBody(message, timeout);
  }
  // Waits until the other side ends the connection. Returns false if bytes come instead, or nothing
  // does for `timeout`.
  bool AwaitEnd(milliseconds timeout);
  void Shutdown() const;
  // Bytes that were sent on this connection and that the process at its other end, on this machine,
  // has not read yet; -1 if that is unknown.
  int64_t UnreadByPeer() const;

 private:
  bool Fill(milliseconds timeout);
  bool ReadBytes(size_t n, std::string& out, milliseconds timeout);
  bool ReadLine(std::string& line, milliseconds timeout);

  int fd_;
  std::string unread_;
};

// Connects to an address; null if that fails.
std::unique_ptr<Connection> ConnectTo(const std::string& ip, uint16_t port);

// Accepts connections and runs `handler` for each in a thread of its own.
class TcpServer {
 public:
  using Handler = std::function<void(Connection&)>;

  TcpServer(const std::string& ip, uint16_t port, Handler handler);  // Port 0: any free one.
  ~TcpServer();
  uint16_t Port() const { return port_; }

 private:
  void Accept();

  int fd_;
  uint16_t port_ = 0;
  Handler handler_;
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;
  std::set<Connection*> open_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

// The platform's store, as far as it is read: GET /-/rows-get and GET /-/rows-feed.
class Store {
 public:
  Store(const std::string& ip, uint16_t port);
  void Put(const std::string& table, const std::string& key, const std::string& value);
  void Erase(const std::string& table, const std::string& key);

 private:
  struct Row {
    std::string table;
    std::string key;
    std::string value;
    uint64_t version = 0;
    bool deleted = false;
  };

  void Serve(Connection& connection);
  std::string RowsGet(const Message& request);
  std::string RowsFeed(const Message& request);
  void Change(Row row);
  static std::string RowsText(const std::vector<Row>& rows);
  std::string Answer(const std::vector<Row>& rows) const;

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::pair<std::string, std::string>, Row> rows_;
  std::vector<Row> history_;
  uint64_t version_ = 0;
  bool ending_ = false;
  std::unique_ptr<TcpServer> server_;

 public:
  ~Store();
};

// A backend server. It answers probes itself; `handler` gets every other request and answers it.
class BackendServer {
 public:
  using Handler = std::function<void(const Message&, Connection&)>;

  BackendServer(std::string id, const std::string& ip, Handler handler);
  const std::string& Id() const { return id_; }
  // The value of its row in the store.
  std::string Row(const std::string& service, const std::string& zone) const;
  // The first line and the headers of an answer, without the empty line after them.
  std::string Head(int status, const Message& request) const;

 private:
  void Serve(Connection& connection);

  std::string id_;
  std::string ip_;
  Handler handler_;
  std::atomic<int> running_{0};
  std::unique_ptr<TcpServer> server_;
};

struct FleetOptions {
  size_t entries = 3;
  int grace_s = 6;
};

// Entry VMs, each at a loopback address of its own, started as the deploy file says.
class Fleet {
 public:
  // Runs from the repository's root.
  Fleet(const FleetOptions& options, Record& record);
  ~Fleet();

  Store& GetStore() { return *store_; }
  std::string EntryIp(size_t i) const { return base_ + "1." + std::to_string(i + 1); }
  std::string ServerIp(size_t i) const { return base_ + "2." + std::to_string(i + 1); }
  // The same ports at all entry VMs.
  uint16_t FrontPort() const { return ports_.front; }
  uint16_t MetricsPort() const { return ports_.metrics; }
  static std::string Zone(size_t i) { return "zone-" + std::to_string(i % 3); }
  // Writes the first desired state, and starts the entry VMs. Returns false if they don't get
  // ready.
  bool Start(const std::string& config);
  void Signal(size_t entry, int signal);
  // Whether the process still runs.
  bool Runs(size_t entry);

 private:
  struct Ports {
    uint16_t front = 8381;
    uint16_t control = 8382;
    uint16_t directory = 8383;
    uint16_t store = 8384;
    uint16_t ready = 8388;
    uint16_t metrics = 9100;
  };

  // Whether none of the ports is in use at the addresses that begin so.
  bool AreFree(const std::string& base, const Ports& ports) const;
  void ChooseAddresses();
  std::string Settings(size_t i) const;
  void StartEntry(size_t i);
  bool IsReady(size_t i) const;

  FleetOptions options_;
  Record& record_;
  std::string base_;  // Start of all addresses, such as "127.41.".
  Ports ports_;
  std::string folder_;  // Temporary.
  std::unique_ptr<Store> store_;
  std::vector<pid_t> pids_;
};

// Whether TROUBLE asks for the disruption; it does unless it is 0.
bool Trouble();

}  // namespace review

#endif  // COWSLIPHILL_REVIEW_HARNESS_2_STAND_H_
