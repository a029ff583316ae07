// Case 1: a graceful stop accepts requests for half of the grace period and cuts them off before
// its end.

#include <csignal>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "review/harness/harness.h"

namespace review {

namespace {

// Bounds of large/bdb-vartejs-large.toml, and of its route pazinojums-reg.
constexpr int64_t kGraceS = 10;
constexpr int64_t kRouteTimeoutMs = 6000;
constexpr int64_t kTimeLimitMs = 12000;
// A request that was sent up to this long after SIGTERM may be excused.
constexpr int64_t kExcusedSendMs = 3000;

constexpr int64_t kFirstSendMs = 4600;  // After SIGTERM.
constexpr int64_t kSendStepMs = 100;
constexpr int kRequests = 4;
constexpr int64_t kWorkMs = 4900;  // Of each request. It ends within the grace period.

struct Sent {
  std::string id;
  int64_t sent_ms = 0;   // After SIGTERM.
  int64_t ended_ms = 0;  // When the answer or the end of the connection came.
  bool connected = false;
  int status = 0;  // 0: the connection ended without a complete answer.
  std::string detail;
};

Sent File(const Address& edge, Record& record, int64_t stop_ms) {
  Sent sent;
  sent.id = HexId();
  sent.sent_ms = NowMs() - stop_ms;
  const auto channel = Channel::Connect(edge);
  if (!channel) return sent;
  sent.connected = true;
  channel->SetReadTimeout(kTimeLimitMs);
  const std::string body = "notice " + sent.id;
  record.Line("client sends POST /u/file id " + sent.id + ", " + std::to_string(sent.sent_ms) +
              " ms after SIGTERM");
  channel->Send(FormatRequest("POST", "/u/file?work=" + std::to_string(kWorkMs), sent.id,
                              "Content-Length: " + std::to_string(body.size()) + "\r\n",
                              kTimeLimitMs) +
                body);
  const std::optional<Message> answer = channel->Read();
  sent.ended_ms = NowMs() - stop_ms;
  sent.status = answer ? answer->Status() : 0;
  record.Line("client: " +
              (answer ? "status " + std::to_string(sent.status)
                      : std::string("the connection has ended without an answer")) +
              " for " + sent.id + ", " + std::to_string(sent.ended_ms) + " ms after SIGTERM, " +
              std::to_string(sent.ended_ms - sent.sent_ms) + " ms after it was sent");
  return sent;
}

bool WasRun(const std::string& id, const std::vector<const Server*>& servers) {
  for (const Server* server : servers) {
    for (const Arrival& it : server->Arrivals()) {
      if (it.id == id && it.executed) return true;
    }
  }
  return false;
}

// Asks an entry VM which entry VMs to use.
std::string LookUp(const EntryVm& entry) {
  const auto channel = Channel::Connect(entry.Lookup());
  if (!channel) throw SetupError{"a lookup got no connection"};
  channel->SetReadTimeout(1000);
  channel->Send("GET /-/resolve?name=" + std::string(kHost) +
                "&region=region-a&zone=zone-a HTTP/1.1\r\nHost: " + entry.Lookup().Text() +
                "\r\n\r\n");
  const std::optional<Message> answer = channel->Read();
  if (!answer) throw SetupError{"a lookup got no answer"};
  return answer->body;
}

int Run(Record& record, const std::string& folder) {
  Store store;
  Server server_1(store, record, {"i-0001"});
  Server server_2(store, record, {"i-0002"});
  server_1.Register();
  server_2.Register();
  PutConfig(store, 1, {{"/u/", "unsafe", "svc-a", kRouteTimeoutMs}});
  EntryVm entry_1(store, folder, "entry-1", {kGraceS});
  EntryVm entry_2(store, folder, "entry-2", {kGraceS});
  const std::vector<Address> seeds = {entry_1.Peer(), entry_2.Peer()};
  entry_1.Start(seeds);
  entry_2.Start(seeds);
  entry_1.AwaitReady();
  entry_2.AwaitReady();
  SleepMs(4000);  // The settle window before the first request is calm.
  const std::string lookup = LookUp(entry_2);
  record.Line("client looks up: " + lookup);
  if (lookup.find(entry_1.Edge().Text()) == std::string::npos) {
    throw SetupError{"the lookup does not name entry-1"};
  }
  const int64_t stop_ms = NowMs();
  if (HasTrouble()) {
    entry_1.Signal(SIGTERM);
    record.Line("entry-1 (" + entry_1.Edge().Text() +
                ") gets SIGTERM; SIGKILL would follow after " + std::to_string(kGraceS) + " s");
  }
  SleepMs(kFirstSendMs - (NowMs() - stop_ms));
  std::vector<Sent> sent(kRequests);
  std::vector<std::thread> clients;
  clients.reserve(kRequests);
  for (int i = 0; i < kRequests; ++i) {
    clients.emplace_back([&, i] {
      SleepMs(i * kSendStepMs);
      sent[static_cast<size_t>(i)] = File(entry_1.Edge(), record, stop_ms);
    });
  }
  for (std::thread& client : clients) client.join();
  SleepMs(kGraceS * 1000 + 500 - (NowMs() - stop_ms));
  if (HasTrouble()) record.Line(entry_1.Runs() ? "entry-1 still runs" : "entry-1 has ended");
  int taken = 0;
  int lost = 0;
  for (const Sent& it : sent) {
    const bool was_run = WasRun(it.id, {&server_1, &server_2});
    taken += was_run ? 1 : 0;
    const bool is_excused = it.sent_ms <= kExcusedSendMs ||
                            it.ended_ms - it.sent_ms >= kRouteTimeoutMs ||
                            it.ended_ms > (kGraceS + 1) * 1000;
    if (was_run && it.status == 0 && !is_excused) ++lost;
  }
  record.Line(std::to_string(lost) + " of " + std::to_string(taken) +
              " requests that a server was running were cut off without an answer");
  if (taken == 0) return kCouldNotRun;
  return lost > 0 ? kBroken : kHeld;
}

}  // namespace

}  // namespace review

int main(int argc, char** argv) { return review::RunCase(argc, argv, review::Run); }
