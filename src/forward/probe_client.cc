#include "src/forward/probe_client.h"

#include <utility>

namespace cowsliphill {

namespace {

constexpr size_t kMaxHeaderBytes = 8192;
constexpr size_t kBufferBytes = 4096;
constexpr size_t kMaxBodyBytes = 65536;
// A connection that fails later has timed out.
constexpr std::chrono::milliseconds kMaxRefusalTime{100};

constexpr const char* kProbeName = "probe";  // In place of a request's id.
constexpr uint32_t kMaxProbes = 2;

std::string ProbeRequest(const ProbeTarget& target) {
  return "GET " + target.path + " HTTP/1.1\r\nHost: " + target.endpoint.ToString() + "\r\n\r\n";
}

}  // namespace

ProbeClient::ProbeClient(asio::io_context& io, const Clock& clock, const BackendSettings& settings,
                         LinkHooks links, ReadReport read, Done done)
    : links_(std::move(links)),
      client_(io, clock, settings, kMaxHeaderBytes, kBufferBytes, kMaxBodyBytes, links_),
      read_report_(std::move(read)),
      done_(std::move(done)) {}

void ProbeClient::Send(const ProbeTarget& target) { Send(target, 1); }

void ProbeClient::Send(const ProbeTarget& target, uint32_t number) {
  ++counts_.sent;
  ConnectTarget to;
  to.endpoint = target.endpoint;
  to.server = target.server;
  to.request = kProbeName;
  to.time_left = target.timeout;
  client_.Call(to, ProbeRequest(target), HttpCallTimeouts::Total(target.timeout),
               [this, target, number](const Result<HttpCallResponse, HttpCallError>& result) {
                 OnResult(target, number, result);
               });
}

void ProbeClient::OnResult(const ProbeTarget& target, uint32_t number,
                           const Result<HttpCallResponse, HttpCallError>& result) {
  ProbeOutcome outcome;
  outcome.probes = number;
  outcome.answered = Ok(result);
  if (Ok(result)) outcome.report = read_report_(ValueOf(result).head, target);
  ++(outcome.report ? counts_.answered : counts_.failed);
  if (!Ok(result)) {
    const HttpCallError& error = ErrorOf(result);
    outcome.refused = error.kind == HttpCallErrorKind::kNotSent && error.took < kMaxRefusalTime;
    const bool unanswered = error.kind != HttpCallErrorKind::kNotSent;
    const bool has_other_path = unanswered && links_.on_failure && links_.on_failure(target.server);
    if (has_other_path && number < kMaxProbes) return Send(target, number + 1);
  }
  done_(target, outcome);
}

}  // namespace cowsliphill
