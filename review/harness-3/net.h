// Blocking sockets and HTTP/1.1 messages for the stand-ins of the review. Loopback addresses only.

#ifndef COWSLIPHILL_REVIEW_HARNESS_3_NET_H_
#define COWSLIPHILL_REVIEW_HARNESS_3_NET_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

using std::chrono::milliseconds;

// Milliseconds since the start of this program.
int64_t NowMs();
void SleepMs(int64_t ms);

// Writes one line for each event to a file, with its time.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path) {}
  void Line(const std::string& text);

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

struct Address {
  std::string ip = "127.0.0.1";
  uint16_t port = 0;
  std::string Text() const { return ip + ":" + std::to_string(port); }
};

// First line, headers (names in lower case) and body of a message.
struct Message {
  std::string first_line;
  std::multimap<std::string, std::string> headers;
  std::string body;

  std::string Header(const std::string& name) const;
  bool Has(const std::string& name) const { return headers.count(name) > 0; }
  std::string Method() const;
  std::string Target() const;
  int Status() const;  // 0 if this is no response.
};

// One connection. Not thread-safe, but for Break.
class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {}
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Returns null if no connection could be made.
  static std::unique_ptr<Connection> To(const Address& address, milliseconds timeout);

  bool Send(const std::string& bytes) const;
  // Reads one message; nullopt if the connection ends before, or the time is over.
  std::optional<Message> Read(milliseconds timeout);
  bool AtEnd() const { return at_end_; }  // The other side has closed or reset it.
  void Break() const;                     // Ends blocking calls of other threads.
  int Descriptor() const { return fd_; }
  uint16_t LocalPort() const;

 private:
  bool Fill(int64_t until);

  int fd_;
  std::string input_;
  bool at_end_ = false;
};

// Accepts connections and runs `serve` for each in a thread of its own.
class Listener {
 public:
  using Serve = std::function<void(Connection&)>;

  // Port 0: a free one.
  Listener(const Address& address, Serve serve);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  const Address& At() const { return address_; }
  // Resets all connections.
  void BreakAll();
  // While closed, new connections are reset.
  void SetClosed(bool closed) { closed_ = closed; }

 private:
  void Run();

  Address address_;
  Serve serve_;
  int fd_ = -1;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> closed_{false};
  std::mutex mutex_;
  std::set<Connection*> open_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

// Returns a port that is free for TCP and UDP now, each time another one; 0 if there is none.
uint16_t FreePort(const std::string& ip);

// Returns the value of a parameter of a request's target, percent-decoded; "" if it has none.
std::string QueryOf(const std::string& target, const std::string& name);

}  // namespace review

#endif  // COWSLIPHILL_REVIEW_HARNESS_3_NET_H_
