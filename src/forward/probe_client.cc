#include "src/forward/probe_client.h"

#include <asio/steady_timer.hpp>
#include <utility>

#include "src/forward/attempt.h"

namespace cowsliphill {

namespace {

constexpr std::chrono::milliseconds kProbeTimeout{1000};  // From sending to the answer's head.
constexpr size_t kMostHeaderBytes = 8192;
constexpr size_t kBufferBytes = 4096;

std::string ProbeRequest(const ProbeTarget& target) {
  return "GET " + target.path + " HTTP/1.1\r\nHost: " + target.endpoint.ToString() + "\r\n\r\n";
}

}  // namespace

// One probe on its way.
struct ProbeClient::Probe {
  Probe(asio::io_context& io, ProbeTarget wanted) : target(std::move(wanted)), timer(io) {}
  ProbeTarget target;
  asio::steady_timer timer;
  std::shared_ptr<Attempt> attempt;
  std::optional<Report> report;
  bool ended = false;
};

ProbeClient::ProbeClient(asio::io_context& io, const Clock& clock, const Settings& settings,
                         Done done)
    : io_(io),
      clock_(clock),
      pool_(io, clock, settings.backend, kMostHeaderBytes, kBufferBytes),
      done_(std::move(done)) {}

void ProbeClient::Send(const ProbeTarget& target) {
  ++counts_.sent;
  const auto probe = std::make_shared<Probe>(io_, target);
  probe->timer.expires_after(kProbeTimeout);
  probe->timer.async_wait([this, probe](std::error_code ec) {
    if (!ec) Finish(probe, std::nullopt);
  });
  SendTo send_to;
  send_to.server = target.server;
  send_to.endpoint = target.endpoint;
  probe->attempt = std::make_shared<Attempt>(pool_, clock_, send_to, RequestClass::kRoutine);
  Attempt::Events events;
  events.on_failed = [this, probe](AttemptEnd, const std::string&) { Finish(probe, std::nullopt); };
  events.on_answer = [this, probe](const HttpEvent& event) {
    if (const auto* head = std::get_if<HttpHead>(&event)) {
      probe->report = ParseReport(probe->target.format,
                                  [head](const std::string& name) { return head->Find(name); });
    }
    const bool over =
        std::holds_alternative<HttpEnd>(event) || std::holds_alternative<HttpError>(event);
    if (over) return Finish(probe, probe->report);
    probe->attempt->ReadNext();
  };
  probe->attempt->Start(ProbeRequest(target), ConnectionNeed::kAny, false, std::move(events));
}

void ProbeClient::Finish(const std::shared_ptr<Probe>& probe, const std::optional<Report>& report) {
  if (probe->ended) return;
  probe->ended = true;
  ++(report ? counts_.answered : counts_.failed);
  probe->timer.cancel();
  probe->attempt->Close();
  done_(probe->target, report);
}

}  // namespace cowsliphill
