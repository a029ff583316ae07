// Many entry VMs are lost for good at once. How long the directories of the others name them.

#include <csignal>
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include "review/harness-3/stand_ins.h"

namespace {

using review::EntryVm;
using review::NowMs;
using review::Server;
using review::SleepMs;
using std::chrono::milliseconds;

constexpr size_t kEntryVms = 17;
constexpr size_t kLost = 15;
constexpr int64_t kLossAt = 14000;  // Traffic has begun, and all machines are in touch.
constexpr int64_t kWatchMs = 14000;
constexpr int64_t kBetweenLookups = 200;  // Ten callers that look up every ttl-s, 2 s.
// Bound settle-window-ms, and what the rule adds to it.
constexpr int64_t kNamedMs = 3000 + 3000;
constexpr int kAllowed = 3;

constexpr const char* kConfig =
    R"({"version":7,"routes":{"r-feed":{"host":"shop.example","prefix":"/feed/",)"
    R"("route-type":"safe","timeout-ms":3000,"target-latency-ms":600,"priority":1,)"
    R"("service":"edge","max-attempts":2}},"services":{"edge":{"health-path":"/health",)"
    R"("max-conns":980,"protocol":"h1","tls":false}},"limits":{"max-header-bytes":16384,)"
    R"("max-body-bytes":67108864,"header-timeout-ms":3000,"idle-timeout-ms":15000}})";

bool Names(const std::string& answer, const EntryVm& entry) {
  return answer.find("\"" + entry.Edge().Text() + "\"") != std::string::npos;
}

int Play(review::Record& record) {
  const review::TemporaryFolder folder;
  review::Store store(record);
  store.Put("op", "config", kConfig);
  Server::Options server_options;
  server_options.id = "i-one";
  server_options.service = "edge";
  Server server(store, record, server_options);
  server.Register("ready");

  std::vector<std::unique_ptr<EntryVm>> entries;
  std::vector<review::Address> seeds;
  for (size_t n = 0; n < kEntryVms; ++n) {
    EntryVm::Options options;
    options.name = "entry-" + std::to_string(n);
    entries.push_back(std::make_unique<EntryVm>(folder.Path(), store.At(), options, record));
    if (seeds.size() < 3) seeds.push_back(entries.back()->Peer());
  }
  for (const auto& it : entries) {
    it->WriteSettings(seeds);
    it->Start();
  }
  for (const auto& it : entries) {
    if (!it->WaitUntilReady(milliseconds(9000))) return 2;
  }
  SleepMs(kLossAt - NowMs());
  const std::string before = entries.back()->Lookup();
  record.Line("directory before: " + before);
  for (const auto& it : entries) {
    if (!Names(before, *it)) return 2;
  }

  const int64_t lost_at = NowMs();
  if (review::HasTrouble()) {
    for (size_t n = 0; n < kLost; ++n) entries[n]->Signal(SIGKILL);
    record.Line(std::to_string(kLost) + " of " + std::to_string(kEntryVms) +
                " entry VMs are killed; they don't come back");
  }
  int broken = 0;
  int answers = 0;
  for (int64_t n = 0; NowMs() < lost_at + kWatchMs; ++n) {
    const size_t asked = kLost + static_cast<size_t>(n) % (kEntryVms - kLost);
    const std::string answer = entries[asked]->Lookup();
    const int64_t since = NowMs() - lost_at;
    int dead = 0;
    for (size_t it = 0; it < kLost; ++it) {
      if (review::HasTrouble() && Names(answer, *entries[it])) ++dead;
    }
    bool running = false;
    for (size_t it = kLost; it < kEntryVms; ++it) running = running || Names(answer, *entries[it]);
    answers += answer.empty() ? 0 : 1;
    const bool counts = dead > 0 && running && since > kNamedMs;
    broken += counts ? 1 : 0;
    record.Line((counts ? "BROKEN: " : "") + entries[asked]->Directory().Text() + " names " +
                std::to_string(dead) + " that were killed " + std::to_string(since) +
                " ms before: " + answer);
    SleepMs(kBetweenLookups);
  }
  for (size_t n = kLost; n < kEntryVms; ++n) {
    if (!entries[n]->IsRunning()) return 2;
  }
  record.Line("---- rule DRAIN, directory");
  record.Line(std::to_string(broken) + " of " + std::to_string(answers) +
              " answers name a machine that was killed over 6 s before, beside a running one; " +
              std::to_string(kAllowed) + " are allowed");
  if (answers == 0) return 2;
  return broken > kAllowed ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) return 2;
  review::Record record(argv[1]);
  const int result = Play(record);
  std::printf("%s\n", result == 1 ? "broken" : result == 0 ? "held" : "could not run");
  return result;
}
