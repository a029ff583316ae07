// Runs the built binaries as real processes on loopback: the platform stand-in of
// standins/platform_standin.h, backend servers (optionally each behind a fault-injecting proxy) and
// entry VMs. The destructor ends all processes.

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

inline constexpr std::chrono::seconds kWaitTimeout{20};  // Default timeout of all waits below.

// Polls `condition` every few milliseconds. Returns false if it does not hold within `timeout`.
bool WaitUntil(const std::function<bool()>& condition,
               std::chrono::milliseconds timeout = kWaitTimeout);

// Returns a loopback address with a port that is free for TCP and UDP. Never returns one twice.
Endpoint FreeEndpoint();
// Directory of the running test binary, where the other programs are built too.
std::string BuildDirectory();
void WriteFile(const std::string& file, const std::string& text);
// Creates a new temporary directory; the caller removes it.
std::string MakeTempFolder();

// A child process whose stdout and stderr go to a file.
class Process {
 public:
  Process(std::vector<std::string> command, std::string output_file);
  ~Process();  // Sends SIGKILL to the process if it still runs.
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  pid_t Pid() const { return pid_; }
  void Signal(int signal) const;
  // Returns the exit code, -1 if a signal ended the process, or -2 if it still runs at the timeout.
  int Wait(std::chrono::milliseconds timeout = kWaitTimeout);
  std::string Output() const;
  // Largest resident size so far. Fails the test if the process has ended.
  size_t PeakMemoryKb() const;
  // Waits for an output line "LABEL IP:PORT" and returns the address. Fails the test on timeout.
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
  Endpoint address;        // Address of the server itself, which bypasses the proxy.
  Endpoint proxy_control;  // Control address of the proxy; port 0 without a proxy.
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

struct TestClusterOptions {
  size_t entries = 3;
  size_t backends = 3;
  bool memory_platforms = false;  // Each entry VM uses its own in-memory platform.
  bool proxies = false;           // Puts a fault-injecting proxy in front of each backend server.
  std::string service_toml;       // TOML lines added to the [[service]] table of the manifest.
  std::vector<std::string> backend_options;  // Added to the command line of each backend stand-in.
};

// Journal line of a backend server. There is one for each request that started executing there.
struct JournalLine {
  std::string server;
  std::string request;
  std::string key;
  bool cancelled = false;
  bool ended = false;
};

// Entry VM i is in failure domain "place-<i>". Backend servers are named "register-1", "register-2"
// and so on, belong to one service and are spread over the failure domains.
class TestCluster {
 public:
  explicit TestCluster(const TestClusterOptions& options);
  ~TestCluster();

  RunningEntry& Entry(size_t i) { return entries_.at(i); }
  RunningBackend& Backend(size_t i) { return backends_.at(i); }
  RunningBackend& Backend(const std::string& name);
  const Endpoint& BackendAddress(size_t i) const { return backends_.at(i).address; }
  const Endpoint& EdgeAddress(size_t entry) const { return entries_.at(entry).edge; }
  const Endpoint& AdminAddress(size_t entry) const { return entries_.at(entry).admin; }
  size_t BackendCount() const { return backends_.size(); }
  const Endpoint& PlatformAddress() const { return platform_address_; }
  std::string Manifest() const;
  // Runs `cowsliphill manifest submit` against an entry VM. `base` is the revision that `manifest`
  // was derived from, `name` distinguishes the files of this call.
  CommandResult Submit(size_t entry, const std::string& manifest, const std::string& name,
                       uint64_t base);

  // A caller that asks this entry VM which entry VMs to use, and follows the answer.
  standins::Caller CallerWithLookup(size_t entry, uint32_t max_resumes = 0) const;
  // A caller that sends all requests to this entry VM and makes no lookup.
  standins::Caller CallerPinnedTo(size_t entry) const;
  // Manifest revision in force at an entry VM, or 0 if it does not answer.
  uint64_t ManifestRevision(size_t entry) const;
  bool ManifestRevisionsAgree() const;
  void RestartEntry(size_t entry);
  // Requests to the cluster's only service. `key` is the idempotency key.
  static standins::CallerRequest Get(const std::string& path);
  static standins::CallerRequest Post(const std::string& path, const std::string& key);

  std::vector<JournalLine> Journal(size_t backend) const;
  std::vector<JournalLine> AllJournals() const;
  // Journal lines of requests that have not ended.
  std::vector<JournalLine> RunningRequests() const;
  // Number of times that a request with this idempotency key started, over all backend servers.
  size_t RunCount(const std::string& key) const;
  // Reads a counter from GET /stats of a stand-in.
  static uint64_t ReadCounter(const Endpoint& standin, const std::string& counter);
  // Posts JSON to a control path of a stand-in.
  static void Control(const Endpoint& standin, const std::string& path, const std::string& json);
  // Returns the body of a 200 answer, or "".
  static std::string HttpGet(const Endpoint& at, const std::string& path);

 private:
  void StartBackend(const std::string& name);
  void StartEntry(size_t i);
  void PublishVmList() const;
  void SubmitManifest();
  void AwaitReady(RunningEntry& entry);
  std::string PathOf(const std::string& name) const { return folder_ + "/" + name; }

  SystemClock clock_;
  TestClusterOptions options_;
  std::string folder_;  // Holds settings, manifest and output files; removed by the destructor.
  std::unique_ptr<Process> platform_;
  Endpoint platform_address_;
  std::vector<RunningBackend> backends_;
  std::vector<RunningEntry> entries_;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_TESTS_PROCESS_HARNESS_H_
