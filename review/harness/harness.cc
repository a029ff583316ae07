#include "review/harness/harness.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <sstream>

namespace review {

namespace {

using nlohmann::json;

constexpr size_t kReadBytes = 16384;
constexpr int64_t kReadyTimeoutMs = 20000;
constexpr int64_t kStoreAnswerMs = 4;   // Of each call of the store, as on the users' sheets.
constexpr uint16_t kFirstPort = 21000;  // Below the ephemeral range.
constexpr uint16_t kLastPort = 31000;
constexpr const char* kProgram = "target/cowsliphill";

std::string LowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return text;
}

std::string Trimmed(const std::string& text) {
  const size_t begin = text.find_first_not_of(" \t");
  if (begin == std::string::npos) return "";
  return text.substr(begin, text.find_last_not_of(" \t\r") - begin + 1);
}

sockaddr_in ToSockaddr(const Address& address) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &out.sin_addr);
  return out;
}

bool CanBind(int type, uint16_t port) {
  const int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
  const sockaddr_in at = ToSockaddr({"127.0.0.1", port});
  const bool ok = bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) == 0;
  close(fd);
  return ok;
}

std::mt19937_64& Random() {
  static std::mt19937_64 random{std::random_device{}()};
  return random;
}

std::string Base64(const std::string& bytes) {
  static constexpr char digits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t group = 0;
    for (size_t k = 0; k < 3; ++k) {
      group = group << 8 | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
    }
    for (size_t k = 0; k < 4; ++k) {
      out += i + k <= bytes.size() ? digits[group >> (18 - 6 * k) & 0x3f] : '=';
    }
  }
  return out;
}

// The parameters of a target's query.
std::map<std::string, std::string> QueryOf(const std::string& target) {
  std::map<std::string, std::string> query;
  const size_t mark = target.find('?');
  std::istringstream pairs(mark == std::string::npos ? "" : target.substr(mark + 1));
  for (std::string pair; std::getline(pairs, pair, '&');) {
    const size_t equals = pair.find('=');
    if (equals != std::string::npos) query[pair.substr(0, equals)] = pair.substr(equals + 1);
  }
  return query;
}

// Processes that were started and have not been waited for, so that a case which is ended from
// outside ends them too.
constexpr size_t kMaxChildren = 64;
std::array<std::atomic<pid_t>, kMaxChildren> children;

void Remember(pid_t pid) {
  for (std::atomic<pid_t>& child : children) {
    pid_t none = 0;
    if (child.compare_exchange_strong(none, pid)) return;
  }
}

void Forget(pid_t pid) {
  for (std::atomic<pid_t>& child : children) {
    pid_t known = pid;
    if (child.compare_exchange_strong(known, 0)) return;
  }
}

void EndAll(int) {
  for (const std::atomic<pid_t>& child : children) {
    if (child > 0) kill(child, SIGKILL);
  }
  _exit(kCouldNotRun);
}

std::string Response(const std::string& status, const std::string& headers,
                     const std::string& body) {
  return "HTTP/1.1 " + status + "\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace

bool HasTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

int64_t NowMs() {
  static const auto started = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() -
                                                               started)
      .count();
}

void SleepMs(int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

Record::Record(const std::string& file) : out_(file) {
  if (!out_) throw SetupError{"the record can't be written"};
}

void Record::Line(const std::string& text) {
  const std::lock_guard<std::mutex> lock(mutex_);
  out_ << NowMs() << " ms: " << text << std::endl;
}

Address FreeAddress() {
  static std::set<uint16_t> used;
  std::uniform_int_distribution<uint16_t> pick(kFirstPort, kLastPort);
  while (true) {
    const uint16_t port = pick(Random());
    const bool is_free = CanBind(SOCK_STREAM, port) && CanBind(SOCK_DGRAM, port);
    if (is_free && used.insert(port).second) return {"127.0.0.1", port};
  }
}

// ---- Messages and sockets ----------------------------------------------------------------------

std::string Message::Header(const std::string& name) const {
  const auto it = headers.find(name);
  return it == headers.end() ? "" : it->second;
}

std::string Message::Target() const {
  const size_t begin = start_line.find(' ') + 1;
  return start_line.substr(begin, start_line.find(' ', begin) - begin);
}

int Message::Status() const { return std::atoi(start_line.substr(9, 3).c_str()); }

Channel::~Channel() { close(fd_); }

std::unique_ptr<Channel> Channel::Connect(const Address& to) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto channel = std::make_unique<Channel>(fd);
  const sockaddr_in at = ToSockaddr(to);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) != 0) return nullptr;
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return channel;
}

void Channel::SetReadTimeout(int64_t ms) const {
  const timeval time{ms / 1000, ms % 1000 * 1000};
  setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof(time));
}

bool Channel::Send(const std::string& bytes) const {
  size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n = send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return false;
    sent += static_cast<size_t>(n);
  }
  return true;
}

bool Channel::Fill() {
  char bytes[kReadBytes];
  const ssize_t n = recv(fd_, bytes, sizeof(bytes), 0);
  if (n <= 0) return false;
  buffer_.append(bytes, static_cast<size_t>(n));
  return true;
}

std::optional<Message> Channel::Read(bool has_body) {
  size_t end = 0;
  while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
    if (!Fill()) return std::nullopt;
  }
  Message message;
  std::istringstream lines(buffer_.substr(0, end));
  buffer_.erase(0, end + 4);
  std::string line;
  std::getline(lines, line);
  message.start_line = Trimmed(line);
  while (std::getline(lines, line)) {
    const size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    message.headers[LowerCase(line.substr(0, colon))] = Trimmed(line.substr(colon + 1));
  }
  if (!has_body) return message;
  const size_t size = std::strtoul(message.Header("content-length").c_str(), nullptr, 10);
  while (buffer_.size() < size) {
    if (!Fill()) return std::nullopt;
  }
  message.body = buffer_.substr(0, size);
  buffer_.erase(0, size);
  return message;
}

std::string Channel::ReadAvailable(int64_t quiet_ms) {
  SetReadTimeout(quiet_ms);
  while (Fill()) {
  }
  return std::exchange(buffer_, "");
}

bool Channel::IsClosedByPeer() const {
  char byte = 0;
  const ssize_t n = recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void Channel::Shutdown() const { shutdown(fd_, SHUT_RDWR); }

Listener::Listener(Serve serve) : serve_(std::move(serve)) {
  fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in at = ToSockaddr({"127.0.0.1", 0});
  socklen_t size = sizeof(at);
  const bool ok = bind(fd_, reinterpret_cast<const sockaddr*>(&at), size) == 0 &&
                  listen(fd_, SOMAXCONN) == 0 &&
                  getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &size) == 0;
  if (!ok) throw SetupError{"no port to listen on"};
  address_.port = ntohs(at.sin_port);
  accept_thread_ = std::thread([this] { AcceptAll(); });
}

void Listener::AcceptAll() {
  while (true) {
    const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) return;
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const auto channel = std::make_shared<Channel>(fd);
    const std::lock_guard<std::mutex> lock(mutex_);
    if (stopping_) return;
    channels_.push_back(channel);
    threads_.emplace_back([this, channel] {
      serve_(*channel);
      channel->Shutdown();
      const std::lock_guard<std::mutex> inner(mutex_);
      channels_.remove(channel);
    });
  }
}

void Listener::CloseConnections() {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const auto& channel : channels_) channel->Shutdown();
}

void Listener::Stop() {
  if (stopping_.exchange(true)) return;
  shutdown(fd_, SHUT_RDWR);
  accept_thread_.join();
  close(fd_);
  CloseConnections();
  for (std::thread& thread : threads_) thread.join();
}

// ---- Store -------------------------------------------------------------------------------------

Store::Store()
    : listener_(std::make_unique<Listener>([this](Channel& channel) { Serve(channel); })) {}

Store::~Store() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    closing_ = true;
  }
  changed_.notify_all();
  listener_->Stop();
}

void Store::Put(const std::string& table, const std::string& key, const std::string& value) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    rows_[{table, key}] = {value, ++version_};
    history_.push_back({version_, table, key, value});
  }
  changed_.notify_all();
}

void Store::Erase(const std::string& table, const std::string& key) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    rows_.erase({table, key});
    history_.push_back({++version_, table, key, std::nullopt});
  }
  changed_.notify_all();
}

void Store::Serve(Channel& channel) {
  while (const std::optional<Message> request = channel.Read()) {
    SleepMs(kStoreAnswerMs);
    if (!channel.Send(Answer(*request))) return;
  }
}

std::string Store::Answer(const Message& request) {
  const std::string target = request.Target();
  const std::map<std::string, std::string> query = QueryOf(target);
  const std::string headers = "Content-Type: application/json\r\nStore-Era: 1\r\n";
  if (target.rfind("/-/rows-get?", 0) == 0) return Response("200 OK", headers, RowsOf(query));
  if (target.rfind("/-/rows-feed?", 0) == 0) {
    return Response("200 OK", headers, ChangesAfter(query));
  }
  return Response("404 Not Found", headers, "");
}

std::string Store::RowsOf(const std::map<std::string, std::string>& query) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto from = query.find("from");
  json rows = json::array();
  for (const auto& [key, row] : rows_) {
    if (key.first != query.at("table")) continue;
    if (from != query.end() && key.second < from->second) continue;
    rows.push_back({{"table", key.first},
                    {"part", ""},
                    {"key", key.second},
                    {"value", Base64(row.first)},
                    {"ver", row.second}});
  }
  return json{{"rows", rows}, {"has-more", false}, {"ver", version_}, {"now-ms", NowMs()}}.dump();
}

std::string Store::ChangesAfter(const std::map<std::string, std::string>& query) {
  const std::string table = query.at("table");
  const uint64_t after = std::stoull(query.at("after"));
  const auto wait = std::chrono::milliseconds(std::stoll(query.at("wait-ms")));
  const auto is_new = [&](const Change& it) { return it.table == table && it.version > after; };
  std::unique_lock<std::mutex> lock(mutex_);
  changed_.wait_for(lock, wait, [&] {
    return closing_ || std::any_of(history_.begin(), history_.end(), is_new);
  });
  json rows = json::array();
  for (const Change& it : history_) {
    if (!is_new(it)) continue;
    json row = {{"table", table}, {"part", ""}, {"key", it.key}, {"ver", it.version}};
    if (it.value) {
      row["value"] = Base64(*it.value);
    } else {
      row["deleted"] = true;
    }
    rows.push_back(std::move(row));
  }
  return json{{"rows", rows}, {"ver", version_}, {"now-ms", NowMs()}}.dump();
}

// ---- Backend servers ---------------------------------------------------------------------------

Server::Server(Store& store, Record& record, ServerOptions options)
    : store_(store),
      record_(record),
      options_(std::move(options)),
      born_ms_(std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
                   .count()),
      listener_(std::make_unique<Listener>([this](Channel& channel) { Serve(channel); })) {}

void Server::Register() {
  const json entry = {{"service", options_.service},
                      {"address", listener_->At().Text()},
                      {"zone", options_.zone},
                      {"version", "v1"},
                      {"slots", options_.slots},
                      {"state", "ready"},
                      {"warmup-left-ms", 0},
                      {"seq-no", ++sequence_},
                      {"born", born_ms_}};
  store_.Put("servers", options_.id, entry.dump());
}

std::vector<Arrival> Server::Arrivals() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return arrivals_;
}

std::string Server::BodyFor(const std::string& request_id, const std::string& server_id) {
  std::string body = "answer to " + request_id + " by " + server_id + ";";
  while (body.size() < 600) body += " data";
  return body;
}

std::string Server::CommonHeaders() const {
  return "X-Instance-Id: " + options_.id + "\r\nX-Server-Load: " + std::to_string(running_) +
         ",0," + std::to_string(options_.slots) + ",100\r\n";
}

void Server::Serve(Channel& channel) {
  while (const std::optional<Message> request = channel.Read()) {
    const std::string answer = AnswerTo(*request);
    if (channel.IsClosedByPeer()) {
      record_.Line("server " + options_.id + " finds its connection closed before its answer to " +
                   request->Header("x-request-id"));
      return;
    }
    if (!channel.Send(answer)) return;
  }
}

std::string Server::AnswerTo(const Message& request) {
  if (request.Target() == "/health") return Response("200 OK", CommonHeaders(), "");
  const std::string id = request.Header("x-request-id");
  const std::string echoed = "X-Request-Id: " + id + "\r\n";
  Arrival arrival{NowMs(), request.Method(), request.Target(), id, false};
  const bool is_meant = request.Header("x-target-instance") == options_.id;
  const bool has_slot = is_meant && !full_ && ++running_ <= options_.slots;
  arrival.executed = has_slot && !id.empty();
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    arrivals_.push_back(arrival);
  }
  record_.Line("server " + options_.id + (arrival.executed ? " runs " : " turns away ") +
               request.Method() + " " + request.Target() + " id " + id);
  if (!is_meant) return Response("421 Misdirected Request", CommonHeaders(), "");
  if (!has_slot) {
    if (!full_) --running_;
    return Response("503 Service Unavailable", echoed + CommonHeaders() + "X-Not-Executed: 1\r\n",
                    "");
  }
  if (id.empty()) {
    --running_;
    return Response("400 Bad Request", CommonHeaders() + "X-Not-Executed: 1\r\n", "");
  }
  const std::map<std::string, std::string> query = QueryOf(request.Target());
  const auto work = query.find("work");
  SleepMs(work == query.end() ? options_.work_ms : std::atoll(work->second.c_str()));
  --running_;
  record_.Line("server " + options_.id + " has finished " + request.Method() + " " + id);
  const std::string answer =
      Response("200 OK", echoed + "X-Response-Signature: signed." + id + "\r\n" + CommonHeaders(),
               BodyFor(id, options_.id));
  // The answer to HEAD has the headers of the answer to GET, without its body (RFC 9110, 9.3.2).
  return request.Method() == "HEAD" ? answer.substr(0, answer.find("\r\n\r\n") + 4) : answer;
}

// ---- Entry VMs ---------------------------------------------------------------------------------

EntryVm::EntryVm(const Store& store, std::string folder, std::string name, EntryOptions options)
    : folder_(std::move(folder)), name_(std::move(name)), options_(options), store_(store.At()) {}

EntryVm::~EntryVm() {
  if (pid_ <= 0) return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
  Forget(pid_);
}

void EntryVm::Start(const std::vector<Address>& seeds) {
  std::string seed_list;
  for (const Address& it : seeds) {
    seed_list += (seed_list.empty() ? "\"" : ",\"") + it.Text() + "\"";
  }
  const std::string settings_file = folder_ + "/" + name_ + ".toml";
  std::ofstream(settings_file)
      << "place = \"zone-a\"\nregion = \"region-a\"\ncapacity = 0.2\nstop_timeout_ms = "
      << options_.grace_s << "000\n[edge]\nlisten = \"" << edge_.Text() << "\"\n[peer]\nlisten = \""
      << peer_.Text() << "\"\nkey = \"cowsliphill " << store_.Text() << " zone-a\"\nseeds = ["
      << seed_list << "]\n[platform]\nkind = \"store\"\nendpoint = \"" << store_.Text()
      << "\"\nlookup_listen = \"" << lookup_.Text() << "\"\nreadiness_listen = \""
      << readiness_.Text() << "\"\nmetrics_listen = \"" << metrics_.Text()
      << "\"\npeer_patience_ms = 4000\nsilent_patience_ms = 4000\n"
      << "[retries]\nratio = 0.2\nslack = 64\nwindow_ms = 10000\n";
  const std::string log_file = folder_ + "/" + name_ + ".log";
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_file.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  std::vector<std::string> words = {kProgram, "serve", "--settings-from", "COWSLIPHILL_BOOT"};
  std::vector<char*> argv;
  argv.reserve(words.size() + 1);
  for (std::string& it : words) argv.push_back(it.data());
  argv.push_back(nullptr);
  std::vector<std::string> variables = {"PATH=/usr/bin:/bin", "LANG=C.UTF-8",
                                        "COWSLIPHILL_BOOT=" + settings_file};
  std::vector<char*> environment;
  environment.reserve(variables.size() + 1);
  for (std::string& it : variables) environment.push_back(it.data());
  environment.push_back(nullptr);
  const int error =
      posix_spawn(&pid_, kProgram, &actions, nullptr, argv.data(), environment.data());
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) throw SetupError{std::string(kProgram) + " can't be started"};
  Remember(pid_);
}

bool EntryVm::Runs() {
  if (pid_ <= 0 || waitpid(pid_, nullptr, WNOHANG) == 0) return pid_ > 0;
  Forget(pid_);
  pid_ = -1;
  return false;
}

void EntryVm::Signal(int signal) const {
  if (pid_ > 0) kill(pid_, signal);
}

void EntryVm::AwaitReady() const {
  const int64_t deadline = NowMs() + kReadyTimeoutMs;
  while (NowMs() < deadline) {
    const auto channel = Channel::Connect(readiness_);
    if (channel) {
      channel->SetReadTimeout(1000);
      channel->Send("GET /-/readiness HTTP/1.1\r\nHost: " + readiness_.Text() + "\r\n\r\n");
      const std::optional<Message> answer = channel->Read();
      if (answer && answer->Status() == 200) return;
    }
    SleepMs(50);
  }
  throw SetupError{"an entry VM is not ready"};
}

// ---- Configuration and requests ----------------------------------------------------------------

void PutConfig(Store& store, uint64_t version, const std::vector<RouteSpec>& routes) {
  json route_table = json::object();
  json service_table = json::object();
  for (const RouteSpec& it : routes) {
    route_table["r-" + std::to_string(route_table.size() + 1)] = {{"host", kHost},
                                                                  {"prefix", it.prefix},
                                                                  {"route-type", it.type},
                                                                  {"priority", 1},
                                                                  {"timeout-ms", it.timeout_ms},
                                                                  {"target-latency-ms", 600},
                                                                  {"service", it.service},
                                                                  {"max-attempts", 2}};
    service_table[it.service] = {
        {"health-path", "/health"}, {"max-conns", 260}, {"protocol", "h1"}, {"tls", false}};
  }
  const json config = {{"version", version},
                       {"routes", route_table},
                       {"services", service_table},
                       {"limits",
                        {{"max-header-bytes", 16384},
                         {"max-body-bytes", 67108864},
                         {"header-timeout-ms", 3000},
                         {"idle-timeout-ms", 15000}}}};
  store.Put("op", "config", config.dump());
}

std::string FormatRequest(const std::string& method, const std::string& target,
                          const std::string& id, const std::string& headers, int64_t deadline_ms) {
  return method + " " + target + " HTTP/1.1\r\nHost: " + kHost + "\r\nX-Request-Id: " + id +
         "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n" + headers + "\r\n";
}

std::string HexId() {
  std::ostringstream out;
  out.width(16);
  out.fill('0');
  out << std::hex << Random()();
  return out.str();
}

int RunCase(int argc, char** argv,
            const std::function<int(Record& record, const std::string& folder)>& body) {
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGTERM, EndAll);
  std::signal(SIGINT, EndAll);
  if (argc != 3) {
    std::cerr << "usage: " << argv[0] << " FOLDER RECORD\n";
    return kCouldNotRun;
  }
  NowMs();
  try {
    Record record(argv[2]);
    record.Line(HasTrouble() ? "with the disturbance" : "TROUBLE=0: without the disturbance");
    const int code = body(record, argv[1]);
    record.Line(code == kHeld     ? "the rule held"
                : code == kBroken ? "THE RULE WAS BROKEN"
                                  : "the case could not run");
    return code;
  } catch (const SetupError& error) {
    std::cerr << error.text << "\n";
    return kCouldNotRun;
  }
}

}  // namespace review
