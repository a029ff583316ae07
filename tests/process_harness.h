// Starts the built binaries as real processes on loopback: one platform, backend servers (each
// behind a fault-injecting proxy if wanted) and entry VMs. Everything ends with the object.

#ifndef COWSLIPHILL_TESTS_PROCESS_HARNESS_H_
#define COWSLIPHILL_TESTS_PROCESS_HARNESS_H_

#include <sys/types.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/base/ids.h"
#include "standins/caller.h"

namespace cowsliphill {

inline constexpr std::chrono::seconds kConditionLimit{20};  // Longest wait for any condition.

// Looks every few milliseconds until `condition` holds; false when the limit has passed.
bool WaitUntil(const std::function<bool()>& condition,
               std::chrono::milliseconds limit = kConditionLimit);

// An address on loopback that nothing listens on.
Endpoint FreeEndpoint();
// The folder with the built programs.
std::string BuildFolder();
void WriteFile(const std::string& file, const std::string& text);
std::string NewFolder();

// One child process; its output goes to a file.
class Process {
 public:
  Process(std::vector<std::string> command, std::string output_file);
  ~Process();  // Kills it if it still runs.
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Signal(int signal) const;
  // Exit code, -1 when it ended by a signal, -2 when it still runs at the limit.
  int Wait(std::chrono::milliseconds limit = kConditionLimit);
  std::string Output() const;
  // The address after `label` at the start of an output line; fails the test if none comes.
  Endpoint AwaitAddress(const std::string& label) const;

 private:
  bool Poll();

  pid_t pid_ = -1;
  bool ended_ = false;
  int exit_code_ = -1;
  std::string output_file_;
};

struct RunningBackend {
  std::string name;
  Endpoint address;        // Of the server itself, for control and journal.
  Endpoint proxy_control;  // Port 0 without a proxy.
  std::unique_ptr<Process> process;
  std::unique_ptr<Process> proxy;
};

struct RunningEntry {
  Endpoint edge;
  Endpoint peer;
  Endpoint admin;
  std::unique_ptr<Process> process;
};

struct CommandResult {
  int exit_code = 0;
  std::string output;
};

struct StageOptions {
  size_t entries = 3;
  size_t backends = 3;
  bool own_platforms = false;                // Each entry VM has its own memory platform.
  bool proxies = false;                      // Puts a proxy before each backend server.
  std::string service_rules;                 // More TOML lines of the service.
  std::vector<std::string> backend_options;  // More options of each backend stand-in.
};

// The journal of a backend server: one entry for each request that truly started there.
struct JournalLine {
  std::string server;
  std::string request;
  std::string key;
  bool cancelled = false;
  bool ended = false;
};

class Stage {
 public:
  explicit Stage(const StageOptions& options);
  ~Stage();

  RunningEntry& Entry(size_t i) { return entries_.at(i); }
  RunningBackend& Backend(size_t i) { return backends_.at(i); }
  RunningBackend& Backend(const std::string& name);
  const Endpoint& BackendAt(size_t i) const { return backends_.at(i).address; }
  const Endpoint& EdgeOf(size_t entry) const { return entries_.at(entry).edge; }
  const Endpoint& EntryAdmin(size_t entry) const { return entries_.at(entry).admin; }
  size_t Backends() const { return backends_.size(); }
  const Endpoint& Platform() const { return platform_address_; }
  std::string Manifest() const;
  // Runs `cowsliphill manifest submit` at an entry VM; `base` is the revision that
  // the change was made from.
  CommandResult Submit(size_t entry, const std::string& manifest, const std::string& name,
                       uint64_t base);

  // A caller that asks this entry VM and no other.
  standins::Caller CallerOf(size_t entry, uint32_t resumes = 0) const;
  // A caller that never goes to another entry VM, whatever the lookup says.
  standins::Caller CallerOnlyOf(size_t entry) const;
  // Manifest revision in force at an entry VM, 0 when it does not tell.
  uint64_t RevisionAt(size_t entry) const;
  bool RevisionsAgree() const;
  void RestartEntry(size_t entry);
  // A request of the stage's one service.
  static standins::CallerRequest Get(const std::string& path);
  static standins::CallerRequest Post(const std::string& path, const std::string& key);

  std::vector<JournalLine> Journal(size_t backend) const;
  std::vector<JournalLine> Journals() const;
  // Of requests that have not ended.
  std::vector<JournalLine> JournalsOfRunning() const;
  // How often work under this key started, over all backend servers.
  size_t RunsOf(const std::string& key) const;
  // A counter of the stand-in's GET /stats.
  static uint64_t Count(const Endpoint& standin, const std::string& counter);
  // Sends JSON to a stand-in's control path.
  static void Control(const Endpoint& standin, const std::string& path, const std::string& json);
  static std::string HttpGet(const Endpoint& at, const std::string& path);

 private:
  void StartBackend(const std::string& name);
  void StartEntry(size_t i);
  void ListVms() const;
  void SubmitManifest();
  void AwaitReady(RunningEntry& entry);
  std::string FileOf(const std::string& name) const { return folder_ + "/" + name; }

  SystemClock clock_;
  StageOptions options_;
  std::string folder_;  // Settings, manifest and outputs; removed at the end.
  std::unique_ptr<Process> platform_;
  Endpoint platform_address_;
  std::vector<RunningBackend> backends_;
  std::vector<RunningEntry> entries_;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_TESTS_PROCESS_HARNESS_H_
