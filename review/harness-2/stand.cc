#include "review/harness-2/stand.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <sstream>
#include <stdexcept>

namespace review {

namespace {

constexpr size_t kReadBytes = 65536;
constexpr uint16_t kPortStep = 20;  // Between two sets of ports that are tried.
constexpr milliseconds kReadyTimeout{20000};
constexpr milliseconds kServerTimeout{110000};  // Longer than a case runs.

sockaddr_in AddressOf(const std::string& ip, uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

std::string Base64(const std::string& bytes) {
  const std::string digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t group = 0;
    for (size_t j = 0; j < 3; ++j) {
      group = group << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0);
    }
    for (size_t j = 0; j < 4; ++j) {
      out += j <= bytes.size() - i ? digits[group >> (18 - 6 * j) & 63] : '=';
    }
  }
  return out;
}

std::string JsonAnswer(int status, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) +
         " Status\r\nStore-Era: 1\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

bool CanBind(const std::string& ip, uint16_t port, int type) {
  const int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
  const sockaddr_in address = AddressOf(ip, port);
  const bool ok = bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
  close(fd);
  return ok;
}

}  // namespace

// ---- Record -------------------------------------------------------------------------------------

Record::Record(const std::string& file) : out_(file) {}

milliseconds Record::Now() const {
  return std::chrono::duration_cast<milliseconds>(Steady::now() - start_);
}

void Record::Write(const std::string& line) {
  const std::lock_guard<std::mutex> lock(mutex_);
  out_ << Now().count() << " ms  " << line << std::endl;
}

// ---- Messages -----------------------------------------------------------------------------------

std::string Message::Header(const std::string& name) const {
  const auto it = headers.find(name);
  return it == headers.end() ? "" : it->second;
}

std::string Message::Method() const { return first_line.substr(0, first_line.find(' ')); }

std::string Message::Path() const {
  const size_t begin = first_line.find(' ') + 1;
  const std::string target = first_line.substr(begin, first_line.find(' ', begin) - begin);
  return target.substr(0, target.find('?'));
}

std::string Message::Query(const std::string& name) const {
  size_t at = first_line.find("?" + name + "=");
  if (at == std::string::npos) at = first_line.find("&" + name + "=");
  if (at == std::string::npos) return "";
  at += name.size() + 2;
  return first_line.substr(at, first_line.find_first_of("& ", at) - at);
}

int Message::Status() const {
  const size_t at = first_line.find(' ');
  return at == std::string::npos ? 0 : std::atoi(first_line.c_str() + at + 1);
}

// ---- Connection ---------------------------------------------------------------------------------

Connection::~Connection() { close(fd_); }

void Connection::Shutdown() const { shutdown(fd_, SHUT_RDWR); }

bool Connection::Send(const std::string& bytes) const {
  size_t at = 0;
  while (at < bytes.size()) {
    const ssize_t n = send(fd_, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
    if (n <= 0) return false;
    at += static_cast<size_t>(n);
  }
  return true;
}

bool Connection::Fill(milliseconds timeout) {
  pollfd waiting{fd_, POLLIN, 0};
  if (poll(&waiting, 1, static_cast<int>(timeout.count())) <= 0) return false;
  std::string buffer(kReadBytes, '\0');
  const ssize_t n = recv(fd_, buffer.data(), buffer.size(), 0);
  if (n <= 0) return false;
  unread_.append(buffer, 0, static_cast<size_t>(n));
  return true;
}

bool Connection::ReadLine(std::string& line, milliseconds timeout) {
  size_t end = unread_.find("\r\n");
  while (end == std::string::npos) {
    if (!Fill(timeout)) return false;
    end = unread_.find("\r\n");
  }
  line = unread_.substr(0, end);
  unread_.erase(0, end + 2);
  return true;
}

bool Connection::ReadBytes(size_t n, std::string& out, milliseconds timeout) {
  const size_t wanted = out.size() + n;
  while (out.size() < wanted) {
    const size_t taken = std::min(wanted - out.size(), unread_.size());
    out.append(unread_, 0, taken);
    unread_.erase(0, taken);
    if (out.size() < wanted && !Fill(timeout)) return false;
  }
  return true;
}

bool Connection::ReadHead(Message& message, milliseconds timeout) {
  message = Message();
  if (!ReadLine(message.first_line, timeout)) return false;
  std::string line;
  while (true) {
    if (!ReadLine(line, timeout)) return false;
    if (line.empty()) return true;
    const size_t colon = line.find(':');
    if (colon == std::string::npos) return false;
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    const size_t begin = line.find_first_not_of(' ', colon + 1);
    message.headers[name] = begin == std::string::npos ? "" : line.substr(begin);
  }
}

bool Connection::ReadBody(Message& message, milliseconds timeout) {
  if (message.Header("transfer-encoding") == "chunked") {
    while (true) {
      std::string line;
      if (!ReadLine(line, timeout)) return false;
      const size_t size = std::stoul(line, nullptr, 16);
      if (!ReadBytes(size, message.body, timeout) || !ReadLine(line, timeout)) return false;
      if (size == 0) return true;
    }
  }
  const std::string length = message.Header("content-length");
  return length.empty() || ReadBytes(std::stoul(length), message.body, timeout);
}

bool Connection::AwaitEnd(milliseconds timeout) {
  if (!unread_.empty()) return false;
  pollfd waiting{fd_, POLLIN, 0};
  if (poll(&waiting, 1, static_cast<int>(timeout.count())) <= 0) return false;
  char byte = 0;
  return recv(fd_, &byte, 1, MSG_PEEK) <= 0;
}

// The kernel's list names each connection by both addresses, in hexadecimal, and the bytes in the
// receive queue of its socket.
int64_t Connection::UnreadByPeer() const {
  const auto text = [](const sockaddr_in& address) {
    std::string out(20, '\0');
    const int n = std::snprintf(out.data(), out.size(), "%08X:%04X", address.sin_addr.s_addr,
                                ntohs(address.sin_port));
    return out.substr(0, static_cast<size_t>(n));
  };
  sockaddr_in own{};
  sockaddr_in peer{};
  socklen_t size = sizeof own;
  getsockname(fd_, reinterpret_cast<sockaddr*>(&own), &size);
  size = sizeof peer;
  getpeername(fd_, reinterpret_cast<sockaddr*>(&peer), &size);
  std::ifstream list("/proc/net/tcp");
  std::string line;
  while (std::getline(list, line)) {
    std::istringstream fields(line);
    std::string number;
    std::string local;
    std::string remote;
    std::string state;
    std::string queues;
    fields >> number >> local >> remote >> state >> queues;
    if (local != text(peer) || remote != text(own) || queues.size() < 17) continue;
    return std::stoll(queues.substr(9), nullptr, 16);
  }
  return -1;
}

std::unique_ptr<Connection> ConnectTo(const std::string& ip, uint16_t port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  const sockaddr_in address = AddressOf(ip, port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) {
    return std::make_unique<Connection>(fd);
  }
  close(fd);
  return nullptr;
}

// ---- TcpServer ----------------------------------------------------------------------------------

TcpServer::TcpServer(const std::string& ip, uint16_t port, Handler handler)
    : fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)), handler_(std::move(handler)) {
  const int on = 1;
  setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = AddressOf(ip, port);
  if (bind(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      listen(fd_, SOMAXCONN) != 0) {
    throw std::runtime_error("can't listen at " + ip);
  }
  socklen_t size = sizeof address;
  getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
  port_ = ntohs(address.sin_port);
  acceptor_ = std::thread([this] { Accept(); });
}

TcpServer::~TcpServer() {
  stopping_ = true;
  shutdown(fd_, SHUT_RDWR);
  acceptor_.join();
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const Connection* it : open_) it->Shutdown();
  }
  for (std::thread& it : threads_) it.join();
  close(fd_);
}

void TcpServer::Accept() {
  while (!stopping_) {
    const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) continue;
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    threads_.emplace_back([this, fd] {
      Connection connection(fd);
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        open_.insert(&connection);
      }
      if (!stopping_) handler_(connection);
      const std::lock_guard<std::mutex> lock(mutex_);
      open_.erase(&connection);
    });
  }
}

// ---- Store --------------------------------------------------------------------------------------

Store::Store(const std::string& ip, uint16_t port)
    : server_(std::make_unique<TcpServer>(ip, port, [this](Connection& it) { Serve(it); })) {}

Store::~Store() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    ending_ = true;
  }
  changed_.notify_all();
  server_.reset();
}

void Store::Put(const std::string& table, const std::string& key, const std::string& value) {
  Change({table, key, Base64(value), 0, false});
}

void Store::Erase(const std::string& table, const std::string& key) {
  Change({table, key, "", 0, true});
}

void Store::Change(Row row) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    row.version = ++version_;
    history_.push_back(row);
    const std::pair<std::string, std::string> at(row.table, row.key);
    if (row.deleted) {
      rows_.erase(at);
    } else {
      rows_[at] = row;
    }
  }
  changed_.notify_all();
}

void Store::Serve(Connection& connection) {
  Message request;
  while (connection.Read(request, kServerTimeout)) {
    const std::string path = request.Path();
    const std::string answer = path == "/-/rows-get"    ? RowsGet(request)
                               : path == "/-/rows-feed" ? RowsFeed(request)
                                                        : JsonAnswer(404, "{}");
    if (!connection.Send(answer)) return;
  }
}

std::string Store::RowsText(const std::vector<Row>& rows) {
  std::string text;
  for (const Row& it : rows) {
    if (!text.empty()) text += ",";
    text += R"({"table":")" + it.table + R"(","part":"","key":")" + it.key + R"(","ver":)" +
            std::to_string(it.version) + ",";
    text += it.deleted ? R"("deleted":true})" : R"("value":")" + it.value + "\"}";
  }
  return text;
}

std::string Store::Answer(const std::vector<Row>& rows) const {
  return JsonAnswer(200, R"({"rows":[)" + RowsText(rows) + R"(],"has-more":false,"ver":)" +
                             std::to_string(version_) + R"(,"now-ms":1})");
}

std::string Store::RowsGet(const Message& request) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<Row> rows;
  for (const auto& [at, row] : rows_) {
    if (at.first == request.Query("table") && at.second >= request.Query("from")) {
      rows.push_back(row);
    }
  }
  return Answer(rows);
}

std::string Store::RowsFeed(const Message& request) {
  const uint64_t after = std::stoull(request.Query("after"));
  const auto end = Steady::now() + milliseconds(std::stoll(request.Query("wait-ms")));
  std::unique_lock<std::mutex> lock(mutex_);
  if (after > version_) return JsonAnswer(410, "{}");
  std::vector<Row> rows;
  const auto has_changes = [&] {
    for (const Row& it : history_) {
      if (it.table == request.Query("table") && it.version > after) rows.push_back(it);
    }
    return ending_ || !rows.empty();
  };
  changed_.wait_until(lock, end, has_changes);
  return Answer(rows);
}

// ---- BackendServer ------------------------------------------------------------------------------

BackendServer::BackendServer(std::string id, const std::string& ip, Handler handler)
    : id_(std::move(id)),
      ip_(ip),
      handler_(std::move(handler)),
      server_(std::make_unique<TcpServer>(ip, 0, [this](Connection& it) { Serve(it); })) {}

std::string BackendServer::Row(const std::string& service, const std::string& zone) const {
  return R"({"service":")" + service + R"(","address":")" + ip_ + ":" +
         std::to_string(server_->Port()) + R"(","zone":")" + zone +
         R"(","version":"v1","slots":3,"state":"ready","warmup-left-ms":0,"seq-no":1,)" +
         R"("born":1700000000000})";
}

std::string BackendServer::Head(int status, const Message& request) const {
  return "HTTP/1.1 " + std::to_string(status) +
         " Status\r\nX-Request-Id: " + request.Header("x-request-id") +
         "\r\nX-Response-Signature: signed." + id_ + "." + request.Header("x-request-id") +
         "\r\nX-Server-Load: " + std::to_string(running_.load()) + ",0,3,100\r\n";
}

void BackendServer::Serve(Connection& connection) {
  Message request;
  while (connection.Read(request, kServerTimeout)) {
    if (request.Path() == "/health") {
      const bool sent = connection.Send("HTTP/1.1 200 OK\r\nX-Instance-Id: " + id_ +
                                        "\r\nX-Server-Load: " + std::to_string(running_.load()) +
                                        ",0,3,100\r\nContent-Length: 0\r\n\r\n");
      if (!sent) return;
      continue;
    }
    if (request.Header("x-target-instance") != id_) {
      connection.Send("HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n");
      continue;
    }
    ++running_;
    handler_(request, connection);
    --running_;
  }
}

// ---- Fleet --------------------------------------------------------------------------------------

Fleet::Fleet(const FleetOptions& options, Record& record) : options_(options), record_(record) {
  ChooseAddresses();
  std::string pattern = std::filesystem::temp_directory_path().string() + "/cowsliphill-XXXXXX";
  if (mkdtemp(pattern.data()) == nullptr) throw std::runtime_error("no temporary folder");
  folder_ = pattern;
  store_ = std::make_unique<Store>(base_ + "3.1", ports_.store);
}

bool Fleet::AreFree(const std::string& base, const Ports& ports) const {
  bool free = CanBind(base + "3.1", ports.store, SOCK_STREAM);
  for (size_t i = 0; i < options_.entries; ++i) {
    const std::string ip = base + "1." + std::to_string(i + 1);
    for (const uint16_t port :
         {ports.front, ports.control, ports.directory, ports.ready, ports.metrics}) {
      free = free && CanBind(ip, port, SOCK_STREAM) && CanBind(ip, port, SOCK_DGRAM);
    }
  }
  return free;
}

void Fleet::ChooseAddresses() {
  for (int n = 0; n < 200; ++n) {
    const std::string base = "127." + std::to_string(20 + (getpid() + n) % 200) + ".";
    const auto step = static_cast<uint16_t>(n % 10 * kPortStep);
    Ports ports;
    for (uint16_t* it : {&ports.front, &ports.control, &ports.directory, &ports.store, &ports.ready,
                         &ports.metrics}) {
      *it = static_cast<uint16_t>(*it + step);
    }
    if (!AreFree(base, ports)) continue;
    base_ = base;
    ports_ = ports;
    return;
  }
  throw std::runtime_error("no free addresses");
}

Fleet::~Fleet() {
  for (size_t i = 0; i < pids_.size(); ++i) {
    if (!Runs(i)) continue;
    kill(pids_[i], SIGKILL);
    waitpid(pids_[i], nullptr, 0);
  }
  std::filesystem::remove_all(folder_);
}

// platform/entry.toml, filled in.
std::string Fleet::Settings(size_t i) const {
  std::string seeds;
  for (size_t n = 0; n < std::min<size_t>(options_.entries, 3); ++n) {
    seeds += (n > 0 ? ",\"" : "\"") + EntryIp(n) + ":" + std::to_string(ports_.control) + "\"";
  }
  const auto at = [&](uint16_t port) { return "\"" + EntryIp(i) + ":" + std::to_string(port); };
  const std::string store = base_ + "3.1:" + std::to_string(ports_.store);
  std::ostringstream out;
  out << "place = \"" << Zone(i) << "\"\nregion = \"region-a\"\ncapacity = 0.2\n"
      << "stop_timeout_ms = " << options_.grace_s << "e3\n[edge]\nlisten = " << at(ports_.front)
      << "\"\n[peer]\nlisten = " << at(ports_.control) << "\"\nkey = \"cowsliphill " << store
      << " zone-0 zone-1 zone-2\"\nseeds = [" << seeds << "]\n[platform]\nkind = \"store\"\n"
      << "endpoint = \"" << store << "\"\nlookup_listen = " << at(ports_.directory)
      << "\"\nreadiness_listen = " << at(ports_.ready)
      << "\"\nmetrics_listen = " << at(ports_.metrics)
      << "\"\npeer_patience_ms = 500\nsilent_patience_ms = 200\n[workspace_limits]\n"
      << "[retries]\nratio = 0.2\nslack = 64\nwindow_ms = 10e3\n";
  return out.str();
}

void Fleet::StartEntry(size_t i) {
  const std::string file = folder_ + "/node-" + std::to_string(i) + ".conf";
  std::ofstream(file) << Settings(i);
  const std::string variable = "COWSLIPHILL_BOOT=" + file;
  std::vector<std::string> command = {"target/cowsliphill", "serve", "--settings-from",
                                      "COWSLIPHILL_BOOT"};
  std::vector<char*> argv;
  argv.reserve(command.size() + 1);
  for (std::string& it : command) argv.push_back(it.data());
  argv.push_back(nullptr);
  std::string path = "PATH=/usr/bin:/bin";
  std::string boot = variable;
  char* environment[] = {path.data(), boot.data(), nullptr};
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  const std::string log = folder_ + "/node-" + std::to_string(i) + ".log";
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  pid_t pid = 0;
  const int error =
      posix_spawn(&pid, argv[0], &actions, nullptr, argv.data(), static_cast<char**>(environment));
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) throw std::runtime_error("can't start target/cowsliphill");
  pids_.push_back(pid);
}

bool Fleet::IsReady(size_t i) const {
  const auto connection = ConnectTo(EntryIp(i), ports_.ready);
  Message answer;
  return connection && connection->Send("GET /-/readiness HTTP/1.1\r\nHost: ready\r\n\r\n") &&
         connection->Read(answer, milliseconds(1000)) && answer.Status() == 200;
}

bool Fleet::Start(const std::string& config) {
  store_->Put("op", "config", config);
  for (size_t i = 0; i < options_.entries; ++i) StartEntry(i);
  const auto end = Steady::now() + kReadyTimeout;
  for (size_t i = 0; i < options_.entries; ++i) {
    while (!IsReady(i)) {
      if (Steady::now() > end) return false;
      std::this_thread::sleep_for(milliseconds(50));
    }
  }
  record_.Write("all " + std::to_string(options_.entries) + " entry VMs are ready");
  return true;
}

void Fleet::Signal(size_t entry, int signal) {
  if (Runs(entry)) kill(pids_[entry], signal);
}

// A process that has ended is waited for only once: its id may be in use again.
bool Fleet::Runs(size_t entry) {
  if (pids_[entry] != 0 && waitpid(pids_[entry], nullptr, WNOHANG) != 0) pids_[entry] = 0;
  return pids_[entry] != 0;
}

bool Trouble() {
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::strcmp(text, "0") != 0;
}

}  // namespace review
