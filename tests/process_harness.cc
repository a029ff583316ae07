#include "tests/process_harness.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fcntl.h>
#include <httplib.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <asio.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <thread>
#include <utility>

#include "src/base/toml_reader.h"

namespace cowsliphill {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kLook{10};  // Between looks at a condition.
const char* const kService = "permit-register";

// Ports for settings are taken from below those that the system gives to outgoing connections and
// to listeners on port 0: one of these could take a port between the look and its use.
constexpr uint16_t kFirstPort = 12000;
constexpr uint16_t kPorts = 18000;

template <typename Protocol, typename Socket>
bool MayBind(asio::io_context& io, uint16_t port) {
  std::error_code ec;
  Socket socket(io);
  const typename Protocol::endpoint at(asio::ip::make_address("127.0.0.1"), port);
  socket.open(Protocol::v4(), ec);
  if (!ec) socket.bind(at, ec);
  return !ec;
}

// A port that is free now for TCP and UDP. Entry VMs are told their ports by settings, so port 0
// can't be used.
uint16_t FreePort() {
  static std::set<uint16_t> given;
  static auto next = static_cast<uint16_t>(getpid() * 97 % kPorts);
  asio::io_context io;
  while (true) {
    const auto port = static_cast<uint16_t>(kFirstPort + next);
    next = static_cast<uint16_t>((next + 1) % kPorts);
    const bool free = MayBind<asio::ip::tcp, asio::ip::tcp::acceptor>(io, port) &&
                      MayBind<asio::ip::udp, asio::ip::udp::socket>(io, port);
    if (free && given.insert(port).second) return port;
  }
}

std::string ReadFile(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

}  // namespace

std::string BuildFolder() {
  return std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
}

Endpoint FreeEndpoint() { return {"127.0.0.1", FreePort()}; }

void WriteFile(const std::string& file, const std::string& text) {
  std::ofstream(file, std::ios::binary) << text;
}

std::string NewFolder() {
  std::string pattern = std::filesystem::temp_directory_path().string() + "/cowsliphill-XXXXXX";
  CPPUNIT_ASSERT_MESSAGE("no temporary folder", mkdtemp(pattern.data()) != nullptr);
  return pattern;
}

bool WaitUntil(const std::function<bool()>& condition, milliseconds limit) {
  const auto end = std::chrono::steady_clock::now() + limit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= end) return false;
    std::this_thread::sleep_for(kLook);
  }
  return true;
}

Process::Process(std::vector<std::string> command, std::string output_file)
    : output_file_(std::move(output_file)) {
  std::vector<char*> argv;
  argv.reserve(command.size() + 1);
  for (std::string& it : command) argv.push_back(it.data());
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output_file_.c_str(),
                                   O_WRONLY | O_CREAT | O_TRUNC | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  const int error = posix_spawn(&pid_, argv[0], &actions, nullptr, argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  CPPUNIT_ASSERT_EQUAL_MESSAGE("starting " + command[0], 0, error);
}

Process::~Process() {
  if (Poll()) return;
  Signal(SIGKILL);
  waitpid(pid_, nullptr, 0);
}

void Process::Signal(int signal) const {
  if (!ended_) kill(pid_, signal);
}

bool Process::Poll() {
  if (ended_) return true;
  int status = 0;
  if (waitpid(pid_, &status, WNOHANG) != pid_) return false;
  ended_ = true;
  exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  return true;
}

int Process::Wait(milliseconds limit) {
  const bool ended = WaitUntil([this] { return Poll(); }, limit);
  return ended ? exit_code_ : -2;
}

std::string Process::Output() const { return ReadFile(output_file_); }

Endpoint Process::AwaitAddress(const std::string& label) const {
  Endpoint found;
  const bool came = WaitUntil([&] {
    std::istringstream lines(Output());
    std::string line;
    while (std::getline(lines, line)) {
      if (line.rfind(label + " ", 0) != 0 || lines.eof()) continue;
      found = ParseEndpoint(line.substr(label.size() + 1)).value_or(Endpoint{});
      return found.port != 0;
    }
    return false;
  });
  CPPUNIT_ASSERT_MESSAGE("no address \"" + label + "\" in: " + Output(), came);
  return found;
}

Stage::Stage(const StageOptions& options) : options_(options) {
  folder_ = NewFolder();
  platform_ = std::make_unique<Process>(
      std::vector<std::string>{BuildFolder() + "/standins", "platform"}, FileOf("platform.log"));
  platform_address_ = platform_->AwaitAddress("listening");
  for (size_t i = 1; i <= options_.backends; ++i) StartBackend("register-" + std::to_string(i));
  WriteFile(FileOf("manifest.toml"), Manifest());
  for (size_t i = 0; i < options_.entries; ++i) {
    entries_.push_back({FreeEndpoint(), FreeEndpoint(), FreeEndpoint(), nullptr});
  }
  ListVms();
  for (size_t i = 0; i < options_.entries; ++i) StartEntry(i);
  if (!options_.own_platforms && options_.entries > 0) SubmitManifest();
  for (RunningEntry& it : entries_) AwaitReady(it);
}

void Stage::ListVms() const {
  json vms = json::array();
  for (size_t i = 0; i < entries_.size(); ++i) {
    vms.push_back({{"edge", entries_[i].edge.ToString()},
                   {"peer", entries_[i].peer.ToString()},
                   {"place", "place-" + std::to_string(i)}});
  }
  httplib::Client client(platform_address_.ip, platform_address_.port);
  const httplib::Result result = client.Put("/vms", json{{"vms", vms}}.dump(), "application/json");
  CPPUNIT_ASSERT_MESSAGE("the platform took no VM list", result && result->status == 200);
}

void Stage::SubmitManifest() {
  RunningEntry& entry = entries_.front();
  const bool up = WaitUntil([&entry] {
    return !HttpGet(entry.admin, "/healthz").empty() || entry.process->Wait(milliseconds(0)) != -2;
  });
  CPPUNIT_ASSERT_MESSAGE("entry VM is not up: " + entry.process->Output(), up);
  const CommandResult first = Submit(0, Manifest(), "first", 0);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(first.output, 0, first.exit_code);
}

CommandResult Stage::Submit(size_t entry, const std::string& manifest, const std::string& name,
                            uint64_t base) {
  const std::string file = FileOf("manifest-" + name + ".toml");
  WriteFile(file, manifest);
  Process submit({BuildFolder() + "/cowsliphill", "manifest", "submit", file, "--entry",
                  entries_.at(entry).admin.ToString(), "--base", std::to_string(base)},
                 FileOf("submit-" + name + ".log"));
  const int exit_code = submit.Wait();
  return {exit_code, submit.Output()};
}

void Stage::AwaitReady(RunningEntry& entry) {
  const bool ready = WaitUntil([&entry] {
    return !HttpGet(entry.admin, "/readyz").empty() || entry.process->Wait(milliseconds(0)) != -2;
  });
  const bool runs = entry.process->Wait(milliseconds(0)) == -2;
  CPPUNIT_ASSERT_MESSAGE("entry VM is not ready: " + entry.process->Output(), ready && runs);
}

Stage::~Stage() {
  entries_.clear();
  backends_.clear();
  platform_.reset();
  std::error_code ec;
  std::filesystem::remove_all(folder_, ec);
}

void Stage::StartBackend(const std::string& name) {
  RunningBackend backend;
  backend.name = name;
  std::vector<std::string> command = {BuildFolder() + "/standins", "backend", "--name", name};
  command.insert(command.end(), options_.backend_options.begin(), options_.backend_options.end());
  backend.process = std::make_unique<Process>(command, FileOf(name + ".log"));
  backend.address = backend.process->AwaitAddress("listening");
  if (options_.proxies) {
    backend.proxy =
        std::make_unique<Process>(std::vector<std::string>{BuildFolder() + "/standins", "proxy",
                                                           "--to", backend.address.ToString()},
                                  FileOf(name + "-proxy.log"));
    backend.proxy_control = backend.proxy->AwaitAddress("control");
  }
  backends_.push_back(std::move(backend));
}

void Stage::StartEntry(size_t i) {
  RunningEntry& entry = entries_[i];
  const std::string name = "entry-" + std::to_string(i);
  std::ostringstream text;
  text << "place = \"place-" << i << "\"\n"
       << "region = \"local\"\n";
  if (options_.own_platforms) {
    text << "manifest_file = \"" << FileOf("manifest.toml") << "\"\n";
  }
  text << "[edge]\nlisten = \"" << entry.edge.ToString() << "\"\n"
       << "[peer]\nlisten = \"" << entry.peer.ToString() << "\"\n"
       << "[admin]\nlisten = \"" << entry.admin.ToString() << "\"\n"
       << "[platform]\n";
  if (options_.own_platforms) {
    text << "kind = \"memory\"\n";
  } else {
    text << "kind = \"http\"\nendpoint = \"" << platform_address_.ToString() << "\"\n";
  }
  WriteFile(FileOf(name + ".toml"), text.str());
  entry.process =
      std::make_unique<Process>(std::vector<std::string>{BuildFolder() + "/cowsliphill", "serve",
                                                         "--settings", FileOf(name + ".toml")},
                                FileOf(name + ".log"));
}

std::string Stage::Manifest() const {
  std::ostringstream text;
  for (size_t i = 0; i < std::max<size_t>(options_.entries, 1); ++i) {
    text << "[[place]]\nid = \"place-" << i << "\"\nregion = \"local\"\n";
  }
  text << "[[service]]\nid = \"" << kService << "\"\n" << options_.service_rules << "\n";
  for (size_t i = 0; i < backends_.size(); ++i) {
    const RunningBackend& it = backends_[i];
    const Endpoint& at = it.proxy ? it.proxy->AwaitAddress("listening") : it.address;
    text << "[[backend_server]]\nid = \"" << it.name << "\"\nservice = \"" << kService
         << "\"\nplace = \"place-" << i % options_.entries << "\"\nendpoint = \"" << at.ToString()
         << "\"\n";
  }
  return text.str();
}

RunningBackend& Stage::Backend(const std::string& name) {
  for (RunningBackend& it : backends_) {
    if (it.name == name) return it;
  }
  CPPUNIT_FAIL("no backend server named \"" + name + "\"");
  return backends_.front();
}

standins::Caller Stage::CallerOf(size_t entry, uint32_t resumes) const {
  standins::CallerOptions options;
  options.entries = {entries_.at(entry).edge};
  options.resumes = resumes;
  return {clock_, options};
}

standins::Caller Stage::CallerOnlyOf(size_t entry) const {
  standins::CallerOptions options;
  options.entries = {entries_.at(entry).edge};
  options.ask_lookup = false;
  return {clock_, options};
}

uint64_t Stage::RevisionAt(size_t entry) const {
  const json status = json::parse(HttpGet(entries_.at(entry).admin, "/v1/status"), nullptr, false);
  return status.is_object() && status.contains("manifest")
             ? status["manifest"].value("revision", uint64_t{0})
             : 0;
}

bool Stage::RevisionsAgree() const {
  for (size_t i = 1; i < entries_.size(); ++i) {
    if (RevisionAt(i) != RevisionAt(0)) return false;
  }
  return true;
}

void Stage::RestartEntry(size_t entry) {
  StartEntry(entry);
  AwaitReady(entries_.at(entry));
}

standins::CallerRequest Stage::Get(const std::string& path) {
  standins::CallerRequest request;
  request.path = path;
  request.service = kService;
  return request;
}

standins::CallerRequest Stage::Post(const std::string& path, const std::string& key) {
  standins::CallerRequest request = Get(path);
  request.method = "POST";
  request.key = key;
  request.body = "{\"permit\": 7}";
  return request;
}

std::vector<JournalLine> Stage::Journal(size_t backend) const {
  std::vector<JournalLine> lines;
  std::istringstream text(HttpGet(backends_.at(backend).address, "/journal"));
  std::string line;
  while (std::getline(text, line)) {
    const json it = json::parse(line);
    lines.push_back(
        {it["server"], it["request"], it["key"], it["cancelled"], !it["ended_ms"].is_null()});
  }
  return lines;
}

std::vector<JournalLine> Stage::Journals() const {
  std::vector<JournalLine> all;
  for (size_t i = 0; i < backends_.size(); ++i) {
    const std::vector<JournalLine> lines = Journal(i);
    all.insert(all.end(), lines.begin(), lines.end());
  }
  return all;
}

std::vector<JournalLine> Stage::JournalsOfRunning() const {
  std::vector<JournalLine> lines = Journals();
  std::erase_if(lines, [](const JournalLine& it) { return it.ended; });
  return lines;
}

size_t Stage::RunsOf(const std::string& key) const {
  size_t n = 0;
  for (const JournalLine& it : Journals()) n += it.key == key ? 1 : 0;
  return n;
}

uint64_t Stage::Count(const Endpoint& standin, const std::string& counter) {
  return json::parse(HttpGet(standin, "/stats")).at(counter).get<uint64_t>();
}

void Stage::Control(const Endpoint& standin, const std::string& path, const std::string& text) {
  httplib::Client client(standin.ip, standin.port);
  const httplib::Result result = client.Post(path.c_str(), text, "application/json");
  CPPUNIT_ASSERT_MESSAGE("no answer from " + standin.ToString() + path, static_cast<bool>(result));
  CPPUNIT_ASSERT_EQUAL_MESSAGE(result->body, 200, result->status);
}

std::string Stage::HttpGet(const Endpoint& at, const std::string& path) {
  httplib::Client client(at.ip, at.port);
  client.set_read_timeout(std::chrono::seconds(5));
  const httplib::Result result = client.Get(path.c_str());
  return result && result->status == 200 ? result->body : "";
}

}  // namespace cowsliphill
