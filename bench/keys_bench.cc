// Measures the time that callers' keys add to a request: to take the key out of the head, to find
// its workspace, and to name the workspace to the server.
//
//   keys_bench

#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

#include "platform/platform_wire.h"
#include "src/forward/caller_key.h"

namespace cowsliphill {
namespace {

constexpr size_t kKeysPerWorkspace = 2;
constexpr int kRequests = 200000;
constexpr int kRuns = 5;  // The fastest counts; the others were disturbed.

std::string KeyOf(size_t workspace, size_t n) {
  return "key-0123456789abcdef-" + std::to_string(workspace) + "-" + std::to_string(n);
}

std::shared_ptr<const Manifest> MakeManifest(size_t workspaces) {
  auto manifest = std::make_shared<Manifest>();
  manifest->keys_required = workspaces > 0;
  for (size_t i = 0; i < workspaces; ++i) {
    Workspace workspace;
    workspace.id = TenantId("workspace-" + std::to_string(i));
    for (size_t n = 0; n < kKeysPerWorkspace; ++n) {
      workspace.keys.push_back(DigestOfKey(KeyOf(i, n)));
    }
    manifest->workspaces.push_back(workspace);
  }
  return manifest;
}

// Returns nanoseconds for each request, from its head to the head for the server.
double Measure(size_t workspaces) {
  const WireFormat format = platform::PlatformWireFormat();
  KeyIndex keys;
  keys.SetManifest(MakeManifest(workspaces));
  HttpHead head;
  head.method = "GET";
  head.target = "/x/1";
  head.headers = {{"Host", "h"}, {"X-Request-Id", "request-0123456789"}, {"Accept", "text/plain"}};
  if (workspaces > 0) {
    head.headers.push_back({"Authorization", "Token " + KeyOf(workspaces / 2, 1)});
  }
  const BackendTarget target{BackendServerId("i-1"), {"10.0.0.1", 80}};
  double best = 0;
  for (int run = 0; run < kRuns; ++run) {
    size_t bytes = 0;
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < kRequests; ++i) {
      HttpHead request = head;
      RequestMeta meta;
      meta.id = RequestId("request-0123456789");
      if (keys.KeysRequired()) {
        const KeyCheck check = CheckKey(format.take_key(request), false, keys);
        if (check.workspace != nullptr) meta.tenant = check.workspace->id;
      }
      bytes += format.backend_request(request, meta, std::chrono::milliseconds(900), target).size();
    }
    const std::chrono::duration<double, std::nano> taken = std::chrono::steady_clock::now() - start;
    if (bytes == 0) return 0;
    const double each = taken.count() / kRequests;
    if (run == 0 || each < best) best = each;
  }
  return best;
}

}  // namespace
}  // namespace cowsliphill

int main() {
  const double without = cowsliphill::Measure(0);
  std::printf("workspaces  ns per request  added\n%10d %15.0f %6d\n", 0, without, 0);
  for (const size_t workspaces : {1, 80, 500}) {
    const double with = cowsliphill::Measure(workspaces);
    std::printf("%10zu %15.0f %6.0f\n", workspaces, with, with - without);
  }
  return 0;
}
