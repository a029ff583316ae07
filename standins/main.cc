// Runs one of the stand-ins: platform, fleet, backend server, fault-injecting proxy or caller.
// Servers print `listening IP:PORT` once they accept connections, and run until SIGTERM.

#include <algorithm>
#include <asio.hpp>
#include <atomic>
#include <cxxopts.hpp>
#include <iostream>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "src/base/clock.h"
#include "src/base/toml_reader.h"
#include "standins/backend_standin.h"
#include "standins/caller.h"
#include "standins/fleet_standin.h"
#include "standins/platform_standin.h"
#include "standins/proxy.h"

namespace cowsliphill::standins {
namespace {

constexpr int kUsageError = 2;

// Thrown on an invalid option value; `text` is printed to stderr.
struct UsageError {
  std::string text;
};

Endpoint ToEndpoint(const std::string& text) {
  const std::optional<Endpoint> endpoint = ParseEndpoint(text);
  if (!endpoint) throw UsageError{"found \"" + text + "\"; allowed: IP-NUMBER:PORT"};
  return *endpoint;
}

// Like ToEndpoint, but also allows port 0, which selects a free port.
Endpoint ToListenEndpoint(const std::string& text) {
  const std::string any_port = ":0";
  const size_t at = text.rfind(any_port);
  if (at == std::string::npos || at + any_port.size() != text.size()) return ToEndpoint(text);
  Endpoint endpoint = ToEndpoint(text.substr(0, at) + ":1");
  endpoint.port = 0;
  return endpoint;
}

std::chrono::milliseconds ToMilliseconds(const cxxopts::ParseResult& args, const char* name) {
  return std::chrono::milliseconds(args[name].as<int64_t>());
}

void PrintAddress(const char* label, const Endpoint& address) {
  std::cout << label << " " << address.ToString() << std::endl;
}

int RunUntilSignal(asio::io_context& loop) {
  asio::signal_set signals(loop, SIGTERM, SIGINT);
  signals.async_wait([&loop](std::error_code, int) { loop.stop(); });
  loop.run();
  return 0;
}

int RunPlatform(cxxopts::Options& options, int argc, char** argv) {
  options.add_options()("listen", "IP:PORT",
                        cxxopts::value<std::string>()->default_value("127.0.0.1:0"))(
      "writes", "writes per second; further writes are refused",
      cxxopts::value<double>()->default_value("500"))(
      "reads", "reads per second; further reads are refused",
      cxxopts::value<double>()->default_value("2000"));
  const auto args = options.parse(argc, argv);
  const SystemClock clock;
  asio::io_context loop;
  PlatformOptions platform;
  platform.listen = ToListenEndpoint(args["listen"].as<std::string>());
  platform.writes_per_second = args["writes"].as<double>();
  platform.reads_per_second = args["reads"].as<double>();
  const PlatformStandin standin(loop, clock, platform);
  PrintAddress("listening", standin.Address());
  return RunUntilSignal(loop);
}

int RunBackend(cxxopts::Options& options, int argc, char** argv) {
  options.add_options()("listen", "IP:PORT",
                        cxxopts::value<std::string>()->default_value("127.0.0.1:0"))(
      "name", "name", cxxopts::value<std::string>()->default_value("backend"))(
      "slots", "requests executed concurrently", cxxopts::value<uint32_t>()->default_value("3"))(
      "work-ms", "execution time of a request", cxxopts::value<int64_t>()->default_value("5"))(
      "probe-ms", "time until a probe is answered", cxxopts::value<int64_t>()->default_value("5"))(
      "drain-ms", "shortest time from SIGTERM to the exit",
      cxxopts::value<int64_t>()->default_value("3000"))(
      "connections", "largest number of connections",
      cxxopts::value<uint32_t>()->default_value("250"))("by-priority",
                                                        "order the queue by the Priority header");
  const auto args = options.parse(argc, argv);
  const SystemClock clock;
  asio::io_context loop;
  BackendOptions backend;
  backend.listen = ToListenEndpoint(args["listen"].as<std::string>());
  backend.name = args["name"].as<std::string>();
  backend.slots = args["slots"].as<uint32_t>();
  backend.work = ToMilliseconds(args, "work-ms");
  backend.probe_cost = ToMilliseconds(args, "probe-ms");
  backend.drain = ToMilliseconds(args, "drain-ms");
  backend.max_connections = args["connections"].as<uint32_t>();
  backend.by_priority = args.count("by-priority") > 0;
  BackendStandin standin(loop, clock, backend);
  PrintAddress("listening", standin.Address());
  asio::signal_set signals(loop, SIGTERM, SIGINT);
  signals.async_wait([&](std::error_code, int) { standin.Stop([&loop] { loop.stop(); }); });
  loop.run();
  return 0;
}

int RunFleet(cxxopts::Options& options, int argc, char** argv) {
  options.add_options()("listen", "IP:PORT of the store",
                        cxxopts::value<std::string>()->default_value("127.0.0.1:0"))(
      "servers", "number of backend servers", cxxopts::value<size_t>()->default_value("3"))(
      "work-ms", "execution time of a request", cxxopts::value<int64_t>()->default_value("5"))(
      "links", "servers are reached through links that can be cut");
  const auto args = options.parse(argc, argv);
  const SystemClock clock;
  asio::io_context loop;
  FleetOptions fleet;
  fleet.listen = ToListenEndpoint(args["listen"].as<std::string>());
  fleet.servers = args["servers"].as<size_t>();
  fleet.work = ToMilliseconds(args, "work-ms");
  fleet.links = args.count("links") > 0;
  const FleetStandin standin(loop, clock, fleet);
  PrintAddress("listening", standin.StoreAddress());
  return RunUntilSignal(loop);
}

int RunProxy(cxxopts::Options& options, int argc, char** argv) {
  options.add_options()("listen", "IP:PORT",
                        cxxopts::value<std::string>()->default_value("127.0.0.1:0"))(
      "to", "IP:PORT", cxxopts::value<std::string>())(
      "control", "IP:PORT", cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
  const auto args = options.parse(argc, argv);
  asio::io_context loop;
  ProxyOptions proxy;
  proxy.listen = ToListenEndpoint(args["listen"].as<std::string>());
  proxy.to = ToEndpoint(args["to"].as<std::string>());
  proxy.control = ToListenEndpoint(args["control"].as<std::string>());
  const Proxy standin(loop, proxy);
  PrintAddress("control", standin.ControlAddress());
  PrintAddress("listening", standin.Address());
  return RunUntilSignal(loop);
}

struct CallerPlan {
  CallerOptions caller;
  CallerRequest request;
  uint32_t count = 1;        // Total number of requests.
  uint32_t concurrency = 1;  // Concurrent callers.
};

CallerPlan ParseCallerPlan(const cxxopts::ParseResult& args) {
  CallerPlan plan;
  for (const std::string& it : args["entry"].as<std::vector<std::string>>()) {
    plan.caller.entries.push_back(ToEndpoint(it));
  }
  plan.caller.use_lookup = args.count("no-lookup") == 0;
  plan.caller.max_resumes = args["resumes"].as<uint32_t>();
  plan.request.method = args["method"].as<std::string>();
  plan.request.path = args["path"].as<std::string>();
  plan.request.service = args["service"].as<std::string>();
  plan.request.priority = args["priority"].as<std::string>();
  plan.request.tenant = args["tenant"].as<std::string>();
  plan.request.key = args["key"].as<std::string>();
  plan.request.body = args["body"].as<std::string>();
  if (args.count("deadline-ms") > 0) plan.request.deadline = ToMilliseconds(args, "deadline-ms");
  plan.count = args["count"].as<uint32_t>();
  plan.concurrency = std::max(1U, args["concurrency"].as<uint32_t>());
  return plan;
}

// Sends all requests. Returns true if every answer was complete and its status below 400.
bool SendAll(const CallerPlan& plan) {
  const SystemClock clock;
  std::mutex print_mutex;
  std::atomic<uint32_t> next{0};
  std::atomic<bool> all_succeeded{true};
  std::vector<std::thread> threads;
  for (uint32_t i = 0; i < plan.concurrency; ++i) {
    threads.emplace_back([&] {
      Caller caller(clock, plan.caller);
      while (true) {
        const uint32_t n = next++;
        if (n >= plan.count) return;
        CallerRequest request = plan.request;
        const size_t percent = request.key.find('%');
        if (percent != std::string::npos) request.key.replace(percent, 1, std::to_string(n));
        const CallerResult result = caller.Send(request);
        if (!result.complete || result.status >= 400) all_succeeded = false;
        const std::lock_guard<std::mutex> lock(print_mutex);
        std::cout << ToJsonLine(request, result) << std::endl;
      }
    });
  }
  for (std::thread& it : threads) it.join();
  return all_succeeded;
}

int RunCaller(cxxopts::Options& options, int argc, char** argv) {
  const auto text = [](const char* fallback) {
    return cxxopts::value<std::string>()->default_value(fallback);
  };
  options.add_options()("entry", "IP:PORT of an entry VM; may be repeated",
                        cxxopts::value<std::vector<std::string>>())(
      "method", "method", text("GET"))("path", "path", text("/"))("service", "service", text(""))(
      "priority", "Priority header (RFC 9218), such as u=0", text(""))("tenant", "tenant",
                                                                       text(""))(
      "key", "Idempotency-Key; the first % becomes the number of the request", text(""))(
      "body", "body", text(""))("deadline-ms", "deadline", cxxopts::value<int64_t>())(
      "count", "requests", cxxopts::value<uint32_t>()->default_value("1"))(
      "concurrency", "concurrent callers", cxxopts::value<uint32_t>()->default_value("1"))(
      "no-lookup", "send requests to the given entry VMs")(
      "resumes", "limit on Range requests that resume an interrupted download",
      cxxopts::value<uint32_t>()->default_value("0"));
  const auto args = options.parse(argc, argv);
  return SendAll(ParseCallerPlan(args)) ? 0 : 1;
}

void PrintUsage() {
  std::cerr << "usage: standins platform|fleet|backend|proxy|caller [OPTIONS]; each has --help\n";
}

int Run(int argc, char** argv) {
  if (argc < 2) {
    PrintUsage();
    return kUsageError;
  }
  const std::string command = argv[1];
  cxxopts::Options options("standins " + command, "Stand-ins for testing cowsliphill");
  options.add_options()("help", "Shows the options");
  using Runner = int (*)(cxxopts::Options&, int, char**);
  Runner runner = nullptr;
  if (command == "platform") runner = RunPlatform;
  if (command == "backend") runner = RunBackend;
  if (command == "fleet") runner = RunFleet;
  if (command == "proxy") runner = RunProxy;
  if (command == "caller") runner = RunCaller;
  if (runner == nullptr) {
    PrintUsage();
    return kUsageError;
  }
  try {
    return runner(options, argc - 1, argv + 1);
  } catch (const UsageError& e) {
    std::cerr << e.text << "\n";
  } catch (const cxxopts::exceptions::exception& e) {
    std::cerr << e.what() << "\n" << options.help() << "\n";
  }
  return kUsageError;
}

}  // namespace
}  // namespace cowsliphill::standins

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  return cowsliphill::standins::Run(argc, argv);
}
