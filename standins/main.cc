// The stand-ins' program: platform, backend server, fault-injecting proxy and caller. Servers print
// `listening IP:PORT` once they can be reached and run until SIGTERM.

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

// Thrown on a bad option value; the message goes to the user.
struct UsageError {
  std::string text;
};

Endpoint EndpointOf(const std::string& text) {
  const std::optional<Endpoint> endpoint = ParseEndpoint(text);
  if (!endpoint) throw UsageError{"found \"" + text + "\"; allowed: IP-NUMBER:PORT"};
  return *endpoint;
}

// Like EndpointOf, and port 0 stands for any free one.
Endpoint ListenOf(const std::string& text) {
  const std::string any_port = ":0";
  const size_t at = text.rfind(any_port);
  if (at == std::string::npos || at + any_port.size() != text.size()) return EndpointOf(text);
  Endpoint endpoint = EndpointOf(text.substr(0, at) + ":1");
  endpoint.port = 0;
  return endpoint;
}

std::chrono::milliseconds MillisecondsOf(const cxxopts::ParseResult& args, const char* name) {
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
      "writes", "writes a second", cxxopts::value<double>()->default_value("500"))(
      "reads", "reads a second", cxxopts::value<double>()->default_value("2000"));
  const auto args = options.parse(argc, argv);
  const SystemClock clock;
  asio::io_context loop;
  PlatformOptions platform;
  platform.listen = ListenOf(args["listen"].as<std::string>());
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
      "slots", "requests at the same time", cxxopts::value<uint32_t>()->default_value("3"))(
      "work-ms", "work of a request", cxxopts::value<int64_t>()->default_value("5"))(
      "probe-ms", "time of a probe", cxxopts::value<int64_t>()->default_value("5"))(
      "drain-ms", "least time from SIGTERM to the end",
      cxxopts::value<int64_t>()->default_value("3000"))(
      "connections", "most connections", cxxopts::value<uint32_t>()->default_value("250"))(
      "by-priority", "queue by the Priority header");
  const auto args = options.parse(argc, argv);
  const SystemClock clock;
  asio::io_context loop;
  BackendOptions backend;
  backend.listen = ListenOf(args["listen"].as<std::string>());
  backend.name = args["name"].as<std::string>();
  backend.slots = args["slots"].as<uint32_t>();
  backend.work = MillisecondsOf(args, "work-ms");
  backend.probe_cost = MillisecondsOf(args, "probe-ms");
  backend.drain = MillisecondsOf(args, "drain-ms");
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
      "servers", "backend servers", cxxopts::value<size_t>()->default_value("3"))(
      "work-ms", "work of a request", cxxopts::value<int64_t>()->default_value("5"));
  const auto args = options.parse(argc, argv);
  const SystemClock clock;
  asio::io_context loop;
  FleetOptions fleet;
  fleet.listen = ListenOf(args["listen"].as<std::string>());
  fleet.servers = args["servers"].as<size_t>();
  fleet.work = MillisecondsOf(args, "work-ms");
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
  proxy.listen = ListenOf(args["listen"].as<std::string>());
  proxy.to = EndpointOf(args["to"].as<std::string>());
  proxy.control = ListenOf(args["control"].as<std::string>());
  const Proxy standin(loop, proxy);
  PrintAddress("control", standin.ControlAddress());
  PrintAddress("listening", standin.Address());
  return RunUntilSignal(loop);
}

struct CallerPlan {
  CallerOptions caller;
  CallerRequest request;
  uint32_t count = 1;        // Requests in all.
  uint32_t concurrency = 1;  // Callers at the same time.
};

CallerPlan ReadPlan(const cxxopts::ParseResult& args) {
  CallerPlan plan;
  for (const std::string& it : args["entry"].as<std::vector<std::string>>()) {
    plan.caller.entries.push_back(EndpointOf(it));
  }
  plan.caller.ask_lookup = args.count("no-lookup") == 0;
  plan.caller.resumes = args["resumes"].as<uint32_t>();
  plan.request.method = args["method"].as<std::string>();
  plan.request.path = args["path"].as<std::string>();
  plan.request.service = args["service"].as<std::string>();
  plan.request.priority = args["priority"].as<std::string>();
  plan.request.tenant = args["tenant"].as<std::string>();
  plan.request.key = args["key"].as<std::string>();
  plan.request.body = args["body"].as<std::string>();
  if (args.count("deadline-ms") > 0) plan.request.deadline = MillisecondsOf(args, "deadline-ms");
  plan.count = args["count"].as<uint32_t>();
  plan.concurrency = std::max(1U, args["concurrency"].as<uint32_t>());
  return plan;
}

// True when every answer was whole and not a refusal.
bool SendAll(const CallerPlan& plan) {
  const SystemClock clock;
  std::mutex print_mutex;
  std::atomic<uint32_t> next{0};
  std::atomic<bool> all_good{true};
  std::vector<std::thread> threads;
  for (uint32_t i = 0; i < plan.concurrency; ++i) {
    threads.emplace_back([&] {
      Caller caller(clock, plan.caller);
      while (true) {
        const uint32_t n = next++;
        if (n >= plan.count) return;
        CallerRequest request = plan.request;
        const size_t mark = request.key.find('%');
        if (mark != std::string::npos) request.key.replace(mark, 1, std::to_string(n));
        const CallerView view = caller.Send(request);
        if (!view.whole || view.status >= 400) all_good = false;
        const std::lock_guard<std::mutex> lock(print_mutex);
        std::cout << ToJsonLine(request, view) << std::endl;
      }
    });
  }
  for (std::thread& it : threads) it.join();
  return all_good;
}

int RunCaller(cxxopts::Options& options, int argc, char** argv) {
  const auto text = [](const char* fallback) {
    return cxxopts::value<std::string>()->default_value(fallback);
  };
  options.add_options()("entry", "IP:PORT of an entry VM; may be repeated",
                        cxxopts::value<std::vector<std::string>>())(
      "method", "method", text("GET"))("path", "path", text("/"))("service", "service", text(""))(
      "priority", "RFC 9218, as u=0", text(""))("tenant", "tenant", text(""))(
      "key", "Idempotency-Key; a % becomes the request's number", text(""))(
      "body", "body", text(""))("deadline-ms", "deadline", cxxopts::value<int64_t>())(
      "count", "requests", cxxopts::value<uint32_t>()->default_value("1"))(
      "concurrency", "at the same time", cxxopts::value<uint32_t>()->default_value("1"))(
      "no-lookup", "use the entry VMs as given")("resumes", "continue a cut download so often",
                                                 cxxopts::value<uint32_t>()->default_value("0"));
  const auto args = options.parse(argc, argv);
  return SendAll(ReadPlan(args)) ? 0 : 1;
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
  cxxopts::Options options("standins " + command, "Stand-ins for proving cowsliphill");
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
