// Measures the time that an entry VM adds to a call. Each client alternates between a direct call
// and a call through the entry VM, so that both run under the same load of the machine.
// scripts/bench-path starts the processes that this program needs.
//
//   path_bench DIRECT_IP:PORT ENTRY_IP:PORT SERVICE CLIENTS PAIRS [THINK_US]
//
// CLIENTS  clients that run concurrently, each with one connection to either address
// PAIRS    pairs of a direct call and a call through the entry VM, over all clients
// THINK_US pause of a client between two pairs, in microseconds (default 0)

#include <algorithm>
#include <asio.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "src/base/ids.h"
#include "src/base/toml_reader.h"
#include "src/forward/http_stream.h"

namespace cowsliphill {
namespace {

using std::chrono::microseconds;
using std::chrono::steady_clock;

constexpr size_t kBufferBytes = 16384;
constexpr size_t kHeaderBytes = 8192;

struct Plan {
  Endpoint direct;
  Endpoint through;
  std::string service;
  size_t clients = 1;
  // Pairs of a direct call and a call through the entry VM, over all clients.
  size_t call_pairs = 1000;
  microseconds think_time{0};  // Pause of a client between two pairs.
};

struct Samples {
  std::vector<double> direct;  // Call times in milliseconds.
  std::vector<double> through;
  std::vector<double> added;  // Difference of the two call times of each pair, in milliseconds.
  size_t failed = 0;
};

// A client with two connections that sends pairs of calls until none remain.
class Client : public std::enable_shared_from_this<Client> {
 public:
  Client(asio::io_context& io, const Plan& plan, Samples& samples, size_t& remaining_pairs)
      : plan_(plan), samples_(samples), remaining_pairs_(remaining_pairs), timer_(io) {
    direct_ = Connect(io, plan.direct);
    through_ = Connect(io, plan.through);
  }

  void SendNextPair() {
    if (remaining_pairs_ == 0) return Close();
    --remaining_pairs_;
    Call(direct_, [self = shared_from_this()](double direct) {
      self->Call(self->through_, [self, direct](double through) {
        self->samples_.direct.push_back(direct);
        self->samples_.through.push_back(through);
        self->samples_.added.push_back(through - direct);
        self->Pause();
      });
    });
  }

 private:
  static std::shared_ptr<HttpStream> Connect(asio::io_context& io, const Endpoint& to) {
    asio::ip::tcp::socket socket(io);
    socket.connect({asio::ip::make_address(to.ip), to.port});
    socket.set_option(asio::ip::tcp::no_delay(true));
    socket.non_blocking(true);
    return std::make_shared<HttpStream>(std::move(socket), HttpMessageType::kResponses,
                                        kHeaderBytes, kBufferBytes);
  }

  void Pause() {
    if (plan_.think_time.count() == 0) return SendNextPair();
    timer_.expires_after(plan_.think_time);
    timer_.async_wait([self = shared_from_this()](std::error_code) { self->SendNextPair(); });
  }

  void Call(const std::shared_ptr<HttpStream>& stream, std::function<void(double)> done) {
    const auto started = steady_clock::now();
    std::string request = "GET /bench HTTP/1.1\r\nHost: " + plan_.service + "\r\n\r\n";
    stream->Write(std::move(request), [](bool) {});
    ReadUntilEnd(stream, started, std::move(done));
  }

  void ReadUntilEnd(const std::shared_ptr<HttpStream>& stream, steady_clock::time_point started,
                    std::function<void(double)> done) {
    stream->Read([self = shared_from_this(), stream, started,
                  done = std::move(done)](const HttpEvent& event) {
      if (std::holds_alternative<HttpError>(event)) {
        ++self->samples_.failed;
        return self->Close();
      }
      const auto* head = std::get_if<HttpHead>(&event);
      if (head != nullptr && head->status != 200) ++self->samples_.failed;
      if (!std::holds_alternative<HttpEnd>(event)) return self->ReadUntilEnd(stream, started, done);
      done(std::chrono::duration<double, std::milli>(steady_clock::now() - started).count());
    });
  }

  void Close() {
    direct_->Close();
    through_->Close();
  }

  const Plan& plan_;
  Samples& samples_;
  size_t& remaining_pairs_;
  asio::steady_timer timer_;
  std::shared_ptr<HttpStream> direct_;
  std::shared_ptr<HttpStream> through_;
};

double Quantile(std::vector<double> values, double q) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto index = static_cast<size_t>(q * static_cast<double>(values.size() - 1));
  return values[index];
}

void PrintRow(const char* name, const std::vector<double>& values) {
  std::printf("%-10s p50 %8.3f  p99 %8.3f  p99.9 %8.3f ms\n", name, Quantile(values, 0.5),
              Quantile(values, 0.99), Quantile(values, 0.999));
}

int Run(const Plan& plan) {
  asio::io_context io;
  Samples samples;
  size_t remaining_pairs = plan.call_pairs;
  const auto started = steady_clock::now();
  for (size_t i = 0; i < plan.clients; ++i) {
    std::make_shared<Client>(io, plan, samples, remaining_pairs)->SendNextPair();
  }
  io.run();
  const double seconds = std::chrono::duration<double>(steady_clock::now() - started).count();
  std::printf("clients %zu  pairs %zu  failed %zu  calls through the entry VM %.0f/s\n",
              plan.clients, samples.added.size(), samples.failed,
              static_cast<double>(samples.through.size()) / seconds);
  PrintRow("direct", samples.direct);
  PrintRow("through", samples.through);
  PrintRow("added", samples.added);
  return samples.failed == 0 ? 0 : 1;
}

}  // namespace
}  // namespace cowsliphill

int main(int argc, char** argv) {
  using cowsliphill::ParseEndpoint;
  const auto direct = argc >= 6 ? ParseEndpoint(argv[1]) : std::nullopt;
  const auto through = argc >= 6 ? ParseEndpoint(argv[2]) : std::nullopt;
  if (!direct || !through) {
    std::cerr << "usage: path_bench DIRECT_IP:PORT ENTRY_IP:PORT SERVICE CLIENTS PAIRS "
                 "[THINK_US]\n";
    return 2;
  }
  cowsliphill::Plan plan{*direct, *through, argv[3]};
  plan.clients = std::strtoul(argv[4], nullptr, 10);
  plan.call_pairs = std::strtoul(argv[5], nullptr, 10);
  if (argc > 6) plan.think_time = std::chrono::microseconds(std::strtoul(argv[6], nullptr, 10));
  return cowsliphill::Run(plan);
}
