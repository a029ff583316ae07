#include "src/admin/admin_server.h"

#include <httplib.h>

#include <future>
#include <utility>

#include "src/admin/log.h"

namespace cowsliphill {

namespace {

constexpr std::chrono::seconds kCallTimeout{15};  // After this time the answer is status 504.
constexpr size_t kMaxBodyBytes = 4194304;         // A manifest is the largest body.
constexpr size_t kServerThreads = 4;              // Calls handled at the same time.
constexpr std::string_view kBearer = "Bearer ";

// Compares texts of the same length in constant time, so that the duration does not reveal where
// they differ.
bool ConstantTimeEqual(const std::string& a, const std::string& b) {
  if (a.size() != b.size()) return false;
  unsigned char differing_bits = 0;
  for (size_t i = 0; i < a.size(); ++i) differing_bits |= static_cast<unsigned char>(a[i] ^ b[i]);
  return differing_bits == 0;
}

void Set(httplib::Response& out, const AdminAnswer& answer) {
  out.status = answer.status;
  out.set_content(answer.body, answer.type.c_str());
}

}  // namespace

std::string AdminRequest::Parameter(const std::string& name) const {
  const auto it = parameters.find(name);
  return it == parameters.end() ? "" : it->second;
}

AdminAnswer AdminError(int status, const std::string& text) {
  return {status, "{\"error\":" + JsonText(text) + "}\n"};
}

struct AdminServer::Server {
  httplib::Server http;
};

AdminServer::AdminServer(AdminSettings settings, Executor on_loop)
    : settings_(std::move(settings)),
      on_loop_(std::move(on_loop)),
      server_(std::make_unique<Server>()) {
  server_->http.new_task_queue = [] { return new httplib::ThreadPool(kServerThreads); };
  server_->http.set_payload_max_length(kMaxBodyBytes);
  server_->http.set_keep_alive_max_count(1);  // An idle client must not occupy a thread.
}

AdminServer::~AdminServer() { Stop(); }

const AdminToken* AdminServer::FindToken(const std::string& authorization) const {
  if (authorization.rfind(kBearer, 0) != 0) return nullptr;
  const std::string secret = authorization.substr(kBearer.size());
  for (const AdminToken& token : settings_.tokens) {
    if (ConstantTimeEqual(token.token, secret)) return &token;
  }
  return nullptr;
}

void AdminServer::Add(AdminRoute route) {
  const auto serve = [this, route](const httplib::Request& in, httplib::Response& out) {
    AdminRequest request;
    request.parameters.insert(in.params.begin(), in.params.end());
    request.body = in.body;
    request.team = TeamId("local");
    if (route.needs_token && !settings_.tokens.empty()) {
      const AdminToken* token = FindToken(in.get_header_value("Authorization"));
      if (token == nullptr) return Set(out, AdminError(401, "missing or unknown bearer token"));
      request.team = token->team;
      request.services = token->services;
    }
    const auto promise = std::make_shared<std::promise<AdminAnswer>>();
    std::future<AdminAnswer> answer = promise->get_future();
    on_loop_([promise, request = std::move(request), &route] {
      route.handle(request, [promise](AdminAnswer reply) { promise->set_value(std::move(reply)); });
    });
    if (answer.wait_for(kCallTimeout) != std::future_status::ready) {
      return Set(out, AdminError(504, "the call did not finish in time; its outcome is unknown"));
    }
    try {
      Set(out, answer.get());
    } catch (const std::future_error&) {
      Set(out, AdminError(503, "this entry VM is stopping"));
    }
  };
  if (route.method == "POST") {
    server_->http.Post(route.path, serve);
  } else {
    server_->http.Get(route.path, serve);
  }
}

std::string AdminServer::Start() {
  const Endpoint& listen = settings_.listen;
  if (listen.port == 0) {
    port_ = static_cast<uint16_t>(server_->http.bind_to_any_port(listen.ip.c_str()));
  } else if (server_->http.bind_to_port(listen.ip.c_str(), listen.port)) {
    port_ = listen.port;
  }
  if (port_ == 0) return "admin.listen: can't bind to " + listen.ToString();
  thread_ = std::thread([this] { server_->http.listen_after_bind(); });
  return "";
}

void AdminServer::Stop() {
  if (!thread_.joinable()) return;
  server_->http.stop();
  thread_.join();
}

}  // namespace cowsliphill
