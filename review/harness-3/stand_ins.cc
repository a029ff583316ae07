#include "review/harness-3/stand_ins.h"

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace review {

namespace {

constexpr milliseconds kConnectTime{1000};
constexpr milliseconds kIdleTime{30000};
constexpr size_t kPageRows = 500;

std::string Reply(int status, const std::string& reason, const std::string& headers,
                  const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

uint64_t Number(const std::string& text) { return std::strtoull(text.c_str(), nullptr, 10); }

}  // namespace

std::string Base64(const std::string& text) {
  constexpr std::string_view digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t i = 0; i < text.size(); i += 3) {
    uint32_t bits = 0;
    for (size_t k = 0; k < 3; ++k) {
      bits = bits << 8 | (i + k < text.size() ? static_cast<unsigned char>(text[i + k]) : 0);
    }
    for (size_t k = 0; k < 4; ++k) {
      out += i + k <= text.size() ? digits[bits >> (18 - 6 * k) & 63] : '=';
    }
  }
  return out;
}

// ---- Store --------------------------------------------------------------------------------------

Store::Store(Record& record)
    : record_(record), listener_({"127.0.0.1", 0}, [this](Connection& it) { Serve(it); }) {}

void Store::Put(const std::string& table, const std::string& key, const std::string& value) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (away_) return;
  rows_[{table, key}] = {value, ++ver_};
  changes_.push_back({ver_, table, key, false, value});
  record_.Line("store: " + table + "/" + key + " = " + value.substr(0, 160));
  changed_.notify_all();
}

void Store::Delete(const std::string& table, const std::string& key) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (away_ || rows_.erase({table, key}) == 0) return;
  changes_.push_back({++ver_, table, key, true, ""});
  record_.Line("store: " + table + "/" + key + " removed");
  changed_.notify_all();
}

std::shared_ptr<const Store::Copy> Store::TakeCopy() {
  const std::lock_guard<std::mutex> lock(mutex_);
  record_.Line("store: this is the moment of the older copy, version " + std::to_string(ver_));
  return std::make_shared<const Copy>(Copy{ver_, rows_, changes_});
}

void Store::GoAway() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    away_ = true;
    record_.Line("store: away");
    changed_.notify_all();
  }
  listener_.SetClosed(true);
  listener_.BreakAll();
}

void Store::ComeBack(const std::shared_ptr<const Copy>& copy) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    away_ = false;
    ++era_;
    ver_ = copy->ver;
    rows_ = copy->rows;
    changes_ = copy->changes;
    record_.Line("store: back from the older copy, era " + std::to_string(era_) + ", version " +
                 std::to_string(ver_));
  }
  listener_.SetClosed(false);
}

std::string Store::Finish(const std::string& rows, bool has_more_field) const {
  return "{\"rows\":[" + rows + "]," + (has_more_field ? "\"has-more\":false," : "") +
         "\"ver\":" + std::to_string(ver_) + ",\"now-ms\":" + std::to_string(NowMs()) + "}";
}

std::string Store::Get(const std::string& target) {
  const std::string table = QueryOf(target, "table");
  const std::string from = QueryOf(target, "from");
  std::string out;
  size_t count = 0;
  for (const auto& [name, row] : rows_) {
    if (name.first != table || name.second < from || ++count > kPageRows) continue;
    if (!out.empty()) out += ",";
    out += R"({"table":")" + table + R"(","part":"","key":")" + name.second + R"(","value":")" +
           Base64(row.value) + R"(","ver":)" + std::to_string(row.ver) + "}";
  }
  return Finish(out, true);
}

std::string Store::Feed(const std::string& target, int& status) {
  const std::string table = QueryOf(target, "table");
  const uint64_t after = Number(QueryOf(target, "after"));
  const auto wait = milliseconds(std::min<uint64_t>(Number(QueryOf(target, "wait-ms")), 30000));
  std::unique_lock<std::mutex> lock(mutex_);
  if (after > ver_) {
    status = 410;
    return "{}";
  }
  const auto has_news = [&] {
    return std::any_of(changes_.begin(), changes_.end(),
                       [&](const Change& it) { return it.table == table && it.ver > after; });
  };
  changed_.wait_for(lock, wait, [&] { return away_ || has_news(); });
  std::string out;
  for (const Change& it : changes_) {
    if (it.table != table || it.ver <= after) continue;
    if (!out.empty()) out += ",";
    out += R"({"table":")" + table + R"(","part":"","key":")" + it.key + "\",";
    out += it.deleted ? "\"deleted\":true," : "\"value\":\"" + Base64(it.value) + "\",";
    out += "\"ver\":" + std::to_string(it.ver) + "}";
  }
  return Finish(out, false);
}

std::string Store::Answer(const std::string& target, int& status) {
  status = 200;
  if (target.rfind("/-/rows-feed", 0) == 0) return Feed(target, status);
  if (target.rfind("/-/rows-get", 0) == 0) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return Get(target);
  }
  status = 404;
  return "{}";
}

void Store::Serve(Connection& connection) {
  while (const auto request = connection.Read(kIdleTime)) {
    int status = 200;
    const std::string body = Answer(request->Target(), status);
    SleepMs(4);
    std::string era;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      if (away_) return;
      era = std::to_string(era_);
    }
    const std::string headers = "Content-Type: application/json\r\nStore-Era: " + era + "\r\n";
    if (!connection.Send(Reply(status, status == 200 ? "OK" : "Gone", headers, body))) return;
  }
}

// ---- Backend servers ----------------------------------------------------------------------------

Server::Server(Store& store, Record& record, Options options)
    : store_(store),
      record_(record),
      options_(std::move(options)),
      work_ms_(options_.work_ms),
      listener_({"127.0.0.1", 0}, [this](Connection& it) { Serve(it); }) {}

Server::~Server() = default;

std::string Server::Entry(const std::string& state) {
  std::string out = R"({"service":")" + options_.service + R"(","address":")" + At().Text() +
                    R"(","zone":")" + options_.zone + R"(","version":"v1","slots":)" +
                    std::to_string(options_.slots) + R"(,"state":")" + state +
                    R"(","warmup-left-ms":0,"seq-no":)" + std::to_string(++seq_no_);
  if (options_.born != 0) out += ",\"born\":" + std::to_string(options_.born);
  return out + "}";
}

void Server::Register(const std::string& state) {
  store_.Put("servers", options_.id, Entry(state));
}

void Server::Unregister() { store_.Delete("servers", options_.id); }

void Server::Crash() {
  listener_.SetClosed(true);
  listener_.BreakAll();
}

std::vector<Run> Server::Runs() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return runs_;
}

std::string Server::LoadHeader() {
  return "X-Server-Load: " + std::to_string(running_) + "," + std::to_string(waiting_) + "," +
         std::to_string(options_.slots) + "\r\n";
}

void Server::Serve(Connection& connection) {
  while (const auto request = connection.Read(kIdleTime)) {
    const bool leaving = leaving_;
    std::string headers = leaving ? "Server-Leaving: 1\r\n" : "";
    const auto note_leaving = [&] {
      int64_t none = -1;
      if (leaving) first_leaving_answer_.compare_exchange_strong(none, NowMs());
    };
    if (request->Target() == "/health") {
      headers += "X-Instance-Id: " + options_.id + "\r\n";
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        headers += LoadHeader();
      }
      if (!connection.Send(Reply(leaving ? 503 : 200, "Health", headers, ""))) return;
      continue;
    }
    const std::string id = request->Header("x-request-id");
    if (request->Header("x-target-instance") != options_.id) {
      headers += "X-Instance-Id: " + options_.id + "\r\n";
      if (!connection.Send(Reply(421, "Misdirected Request", headers, ""))) return;
      continue;
    }
    headers += "X-Request-Id: " + id + "\r\n";
    {
      std::unique_lock<std::mutex> lock(mutex_);
      if (running_ >= options_.slots && waiting_ >= options_.queue) {
        headers += LoadHeader() + "X-Not-Executed: 1\r\n";
        lock.unlock();
        if (!connection.Send(Reply(503, "Service Unavailable", headers, ""))) return;
        continue;
      }
      ++waiting_;
      slot_free_.wait(lock, [this] { return running_ < options_.slots; });
      --waiting_;
      ++running_;
      runs_.push_back(
          {NowMs(), id, request->Method(), request->Target(), request->Header("x-tenant")});
      record_.Line("server " + options_.id + ": runs " + id + " " + request->Method() + " " +
                   request->Target() + (leaving ? " (is leaving)" : ""));
    }
    SleepMs(work_ms_);
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      --running_;
      headers += LoadHeader();
    }
    slot_free_.notify_one();
    // It may have begun to leave meanwhile.
    if (leaving_ && !leaving) {
      headers += "Server-Leaving: 1\r\n";
      int64_t none = -1;
      first_leaving_answer_.compare_exchange_strong(none, NowMs());
    }
    note_leaving();
    headers += "X-Response-Signature: 1." + id + "\r\n";
    if (!connection.Send(Reply(200, "OK", headers, "done by " + options_.id + "\n"))) return;
  }
}

// ---- Entry VMs ----------------------------------------------------------------------------------

EntryVm::EntryVm(std::string folder, Address store, Options options, Record& record)
    : folder_(std::move(folder)),
      store_(std::move(store)),
      options_(std::move(options)),
      record_(record) {
  for (Address* it : {&edge_, &peer_, &directory_, &readiness_, &metrics_}) {
    it->ip = options_.ip;
    it->port = FreePort(options_.ip);
  }
}

EntryVm::~EntryVm() {
  if (pid_ == 0) return;
  Signal(SIGCONT);
  Signal(SIGKILL);
  waitpid(pid_, nullptr, 0);
}

void EntryVm::WriteSettings(const std::vector<Address>& seeds) {
  std::string zones;
  for (const std::string& it : options_.zones) zones += " " + it;
  std::string list;
  for (const Address& it : seeds) list += (list.empty() ? "\"" : ",\"") + it.Text() + "\"";
  const std::string path = folder_ + "/" + options_.name + ".conf";
  std::ofstream file(path + ".new");
  file << "place = \"" << options_.zone
       << "\"\nregion = \"region-a\"\ncapacity = " << options_.capacity
       << "\nstop_timeout_ms = " << options_.grace_s << "e3\n[edge]\nlisten = \"" << edge_.Text()
       << "\"\n[peer]\nlisten = \"" << peer_.Text() << "\"\nkey = \"cowsliphill " << store_.Text()
       << zones << "\"\nseeds = [" << list << "]\n[platform]\nkind = \"store\"\nendpoint = \""
       << store_.Text() << "\"\nlookup_listen = \"" << directory_.Text()
       << "\"\nreadiness_listen = \"" << readiness_.Text() << "\"\nmetrics_listen = \""
       << metrics_.Text() << "\"\npeer_patience_ms = " << (options_.bootstrap ? 4000 : 500)
       << "\nsilent_patience_ms = " << (options_.bootstrap ? 4000 : 200) << "\n[workspace_limits]\n"
       << options_.limits << "[retries]\nratio = 0.2\nslack = " << options_.retry_slack
       << "\nwindow_ms = 10e3\n";
  file.close();
  std::filesystem::rename(path + ".new", path);
}

void EntryVm::Start() {
  const std::string settings = folder_ + "/" + options_.name + ".conf";
  const std::string output = folder_ + "/" + options_.name + ".log";
  const pid_t pid = fork();
  if (pid == 0) {
    const int fd = open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(fd, 1);
    dup2(fd, 2);
    setenv("COWSLIPHILL_BOOT", settings.c_str(), 1);
    execl("target/cowsliphill", "target/cowsliphill", "serve", "--settings-from",
          "COWSLIPHILL_BOOT", static_cast<char*>(nullptr));
    _exit(127);
  }
  pid_ = pid;
  record_.Line("entry VM " + options_.name + ": started, edge " + edge_.Text());
}

void EntryVm::Signal(int signal) const {
  if (pid_ != 0) kill(pid_, signal);
}

bool EntryVm::IsRunning() {
  if (pid_ == 0) return false;
  int status = 0;
  if (waitpid(pid_, &status, WNOHANG) != pid_) return true;
  record_.Line("entry VM " + options_.name + ": ended, " +
               (WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                    : "exit code " + std::to_string(WEXITSTATUS(status))));
  pid_ = 0;
  return false;
}

bool EntryVm::WaitForEnd(milliseconds timeout) {
  const int64_t until = NowMs() + timeout.count();
  while (IsRunning()) {
    if (NowMs() >= until) return false;
    SleepMs(10);
  }
  return true;
}

bool EntryVm::IsReady() const {
  const auto connection = Connection::To(readiness_, kConnectTime);
  if (!connection) return false;
  connection->Send("GET /-/readiness HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n\r\n");
  const auto answer = connection->Read(kConnectTime);
  return answer && answer->Status() == 200;
}

bool EntryVm::WaitUntilReady(milliseconds timeout) const {
  const int64_t until = NowMs() + timeout.count();
  while (!IsReady()) {
    if (NowMs() >= until) return false;
    SleepMs(50);
  }
  return true;
}

std::string EntryVm::Lookup() const {
  const auto connection = Connection::To(directory_, kConnectTime);
  if (!connection) return "";
  connection->Send("GET /-/resolve?name=shop.example&region=region-a&zone=" + options_.zone +
                   " HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n\r\n");
  const auto answer = connection->Read(kConnectTime);
  return answer ? answer->body : "";
}

// ---- Callers ------------------------------------------------------------------------------------

std::string NextId(const std::string& prefix) {
  static std::atomic<int> next{1};
  return prefix + "-" + std::to_string(next++);
}

std::string Format(const Ask& ask) {
  std::string out = ask.method + " " + ask.target + " HTTP/1.1\r\nHost: " + ask.host +
                    "\r\nX-Request-Id: " + ask.id +
                    "\r\nX-Deadline-Ms: " + std::to_string(ask.deadline_ms) + "\r\n" + ask.headers;
  if (!ask.body.empty() || ask.method == "POST") {
    out += "Content-Length: " + std::to_string(ask.body.size()) + "\r\n";
  }
  return out + "\r\n" + ask.body;
}

Ended SendOnce(const Address& edge, const Ask& ask, Record& record) {
  Ended ended;
  ended.id = ask.id;
  ended.via = edge.Text();
  ended.sent = NowMs();
  const auto connection = Connection::To(edge, kConnectTime);
  if (connection) {
    record.Line("caller: sends " + ask.id + " " + ask.method + " " + ask.target + " to " +
                edge.Text());
    connection->Send(Format(ask));
    if (auto answer = connection->Read(milliseconds(ask.deadline_ms + 2000))) {
      ended.status = answer->Status();
      ended.answer = std::move(*answer);
    }
  }
  ended.ended = NowMs();
  record.Line("caller: " + ask.id + " ends with " +
              (ended.status == 0 ? "no answer" : std::to_string(ended.status)) +
              (ended.answer.Has("server-leaving") ? " (Server-Leaving)" : ""));
  return ended;
}

// ---- Other --------------------------------------------------------------------------------------

TemporaryFolder::TemporaryFolder() {
  std::string path = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  path_ = mkdtemp(path.data()) != nullptr ? path : std::string();
}

TemporaryFolder::~TemporaryFolder() {
  if (path_.empty() || std::getenv("KEEP_FOLDER") != nullptr) return;
  std::error_code ignored;
  std::filesystem::remove_all(path_, ignored);
}

bool HasTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

}  // namespace review
