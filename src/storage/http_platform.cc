#include "src/storage/http_platform.h"

#include <httplib.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "src/base/httplib_response.h"
#include "src/base/msgpack.h"
#include "src/base/toml_reader.h"

namespace cowsliphill {

namespace {

using nlohmann::json;

constexpr int kNoResponse = 0;  // Status of a call that got no HTTP response.
constexpr std::string_view kMsgpackContentType = "application/msgpack";

std::string ToMsgpack(const json& message) {
  const std::vector<uint8_t> bytes = json::to_msgpack(message);
  return std::string(bytes.begin(), bytes.end());
}

json ToBinary(const std::string& bytes) {
  return json::binary(std::vector<uint8_t>(bytes.begin(), bytes.end()));
}

std::string FromBinary(const json& binary) {
  const auto& bytes = binary.get_binary();
  return std::string(bytes.begin(), bytes.end());
}

Row ParseRow(const json& message) {
  Row row;
  row.key = message.at("key").get<std::string>();
  row.value = FromBinary(message.at("value"));
  row.version = message.at("version").get<uint64_t>();
  return row;
}

std::vector<Row> ParseRows(const json& message) {
  std::vector<Row> rows;
  for (const json& item : message) rows.push_back(ParseRow(item));
  return rows;
}

ListedVm ParseVm(const json& message) {
  ListedVm vm;
  vm.edge = ParseEndpoint(message.at("edge").get<std::string>()).value_or(Endpoint{});
  vm.peer = ParseEndpoint(message.at("peer").get<std::string>()).value_or(Endpoint{});
  vm.failure_domain = FailureDomainId(message.at("place").get<std::string>());
  vm.leaving = message.at("leaving").get<bool>();
  return vm;
}

PlatformError MalformedResponse() {
  return {PlatformError::Kind::kUnknown, "platform response is malformed"};
}

PlatformError UnexpectedStatus(int status) {
  return {PlatformError::Kind::kUnknown,
          "platform returned unexpected HTTP status " + std::to_string(status)};
}

// Decodes the response body and converts it with `read`. A malformed body gives an error.
template <typename Response, typename Read>
Response ParseResponse(const std::string& body, Read read) {
  if (!IsShallowMsgpack(body)) return MalformedResponse();
  try {
    return read(json::from_msgpack(body));
  } catch (const json::exception&) {
    return MalformedResponse();
  }
}

json WritesToJson(const std::vector<ConditionalWrite>& writes) {
  json items = json::array();
  for (const ConditionalWrite& write : writes) {
    items.push_back({{"key", write.key},
                     {"expect", write.expected_version},
                     {"value", write.value ? ToBinary(*write.value) : json(nullptr)}});
  }
  return {{"writes", items}};
}

std::string ListPath(const std::string& prefix, const std::string& after, size_t limit) {
  return "/objects?prefix=" + httplib::detail::encode_query_param(prefix) +
         "&after=" + httplib::detail::encode_query_param(after) + "&most=" + std::to_string(limit);
}

PlatformError TransportError(httplib::Error error) {
  const bool sent = error != httplib::Error::Connection &&
                    error != httplib::Error::ConnectionTimeout &&
                    error != httplib::Error::BindIPAddress;
  return {sent ? PlatformError::Kind::kUnknown : PlatformError::Kind::kUnavailable,
          httplib::to_string(error)};
}

}  // namespace

struct HttpPlatform::Worker {
  explicit Worker(const PlatformSettings& settings)
      : client(settings.endpoint.ip, settings.endpoint.port) {
    client.set_keep_alive(true);
    client.set_tcp_nodelay(true);
    client.set_connection_timeout(settings.timeout);
    client.set_read_timeout(settings.timeout);
    client.set_write_timeout(settings.timeout);
  }
  httplib::Client client;
};

HttpPlatform::HttpPlatform(const Clock& clock, PlatformSettings settings, Executor executor)
    : clock_(clock), settings_(std::move(settings)), executor_(std::move(executor)) {
  for (uint32_t i = 0; i < settings_.connections; ++i) {
    threads_.emplace_back([this] { RunWorker(); });
  }
}

HttpPlatform::~HttpPlatform() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  call_available_.notify_all();
  for (std::thread& thread : threads_) thread.join();
}

PlatformCounts HttpPlatform::Counts() const {
  return {reads_.load(), writes_.load(), unavailable_.load(), unknown_.load()};
}

void HttpPlatform::Enqueue(Call call, bool is_write) {
  ++(is_write ? writes_ : reads_);
  call.enqueued_at = clock_.Now();
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (queue_.size() < settings_.queue_limit) {
      queue_.push_back(std::move(call));
      call_available_.notify_one();
      return;
    }
  }
  Deliver(call, kNoResponse, "",
          {PlatformError::Kind::kUnavailable, "the queue of platform calls is full"});
}

void HttpPlatform::RunWorker() {
  Worker worker(settings_);
  while (true) {
    std::unique_lock<std::mutex> lock(mutex_);
    call_available_.wait(lock, [this] { return stopping_ || !queue_.empty(); });
    if (stopping_) return;
    const Call call = std::move(queue_.front());
    queue_.pop_front();
    lock.unlock();
    Perform(worker, call);
  }
}

void HttpPlatform::Perform(Worker& worker, const Call& call) {
  if (clock_.Now() - call.enqueued_at > settings_.timeout) {
    return Deliver(call, kNoResponse, "",
                   {PlatformError::Kind::kUnavailable,
                    "platform call timed out waiting for a free connection"});
  }
  httplib::Request request;
  request.method = call.method;
  request.path = call.path;
  request.body = call.body;
  if (call.method != "GET") request.set_header("Content-Type", std::string(kMsgpackContentType));
  if (call.method == "PUT") request.set_header("If-None-Match", "*");
  const httplib::Result result = worker.client.send(request);
  if (!result) return Deliver(call, kNoResponse, "", TransportError(result.error()));
  const std::string fault = FaultOfResponse(*result);
  if (!fault.empty()) {
    return Deliver(
        call, kNoResponse, "",
        {PlatformError::Kind::kUnknown, "platform sent bytes that are not a response, " + fault});
  }
  const bool not_applied = result->status == 503 && result->has_header("X-Not-Applied");
  PlatformError error = UnexpectedStatus(result->status);
  if (not_applied) error.kind = PlatformError::Kind::kUnavailable;
  Deliver(call, result->status, result->body, std::move(error));
}

void HttpPlatform::Deliver(const Call& call, int status, std::string body, PlatformError error) {
  if (status == kNoResponse || status >= 500) {
    ++(error.kind == PlatformError::Kind::kUnavailable ? unavailable_ : unknown_);
  }
  executor_([done = call.done, status, body = std::move(body), error = std::move(error)] {
    done(status, body, error);
  });
}

void HttpPlatform::Get(std::string key, std::function<void(GetResult)> done) {
  const auto read = [](const json& message) -> GetResult {
    const json& row = message.at("row");
    if (row.is_null()) return std::optional<Row>();
    return std::optional<Row>(ParseRow(row));
  };
  Enqueue({"POST",
           "/table/get",
           ToMsgpack({{"key", key}}),
           {},
           [done = std::move(done), read](int status, const std::string& body,
                                          const PlatformError& error) {
             done(status == 200 ? ParseResponse<GetResult>(body, read) : GetResult(error));
           }},
          false);
}

void HttpPlatform::Scan(std::string prefix, std::string after, size_t limit,
                        std::function<void(ScanResult)> done) {
  const auto read = [](const json& message) -> ScanResult { return ParseRows(message.at("rows")); };
  Enqueue({"POST",
           "/table/scan",
           ToMsgpack({{"prefix", prefix}, {"after", after}, {"most", limit}}),
           {},
           [done = std::move(done), read](int status, const std::string& body,
                                          const PlatformError& error) {
             done(status == 200 ? ParseResponse<ScanResult>(body, read) : ScanResult(error));
           }},
          false);
}

void HttpPlatform::Commit(std::vector<ConditionalWrite> writes,
                          std::function<void(CommitResult)> done) {
  const auto read_versions = [](const json& message) -> CommitResult {
    return Committed{message.at("versions").get<std::vector<uint64_t>>()};
  };
  const auto read_conflict = [](const json& message) -> CommitResult {
    return Conflict{ParseRows(message.at("current"))};
  };
  Enqueue({"POST",
           "/table/commit",
           ToMsgpack(WritesToJson(writes)),
           {},
           [done = std::move(done), read_versions, read_conflict](
               int status, const std::string& body, const PlatformError& error) {
             if (status == 200) return done(ParseResponse<CommitResult>(body, read_versions));
             if (status == 409) return done(ParseResponse<CommitResult>(body, read_conflict));
             done(error);
           }},
          true);
}

void HttpPlatform::GetObject(std::string name, std::function<void(ObjectResult)> done) {
  Enqueue(
      {"GET",
       "/objects/" + name,
       "",
       {},
       [done = std::move(done)](int status, const std::string& body, const PlatformError& error) {
         if (status == 200) return done(std::optional<std::string>(body));
         if (status == 404) return done(std::optional<std::string>());
         done(error);
       }},
      false);
}

void HttpPlatform::PutIfAbsent(std::string name, std::string bytes,
                               std::function<void(PutObjectResult)> done) {
  Enqueue(
      {"PUT",
       "/objects/" + name,
       std::move(bytes),
       {},
       [done = std::move(done)](int status, const std::string& body, const PlatformError& error) {
         if (status == 201) return done(PutObject::kStored);
         if (status == 412) return done(PutObject::kAlreadyExists);
         done(error);
       }},
      true);
}

void HttpPlatform::ListObjects(std::string prefix, std::string after, size_t limit,
                               std::function<void(ListResult)> done) {
  const auto read = [](const json& message) -> ListResult {
    return message.at("names").get<std::vector<std::string>>();
  };
  Enqueue({"GET",
           ListPath(prefix, after, limit),
           "",
           {},
           [done = std::move(done), read](int status, const std::string& body,
                                          const PlatformError& error) {
             done(status == 200 ? ParseResponse<ListResult>(body, read) : ListResult(error));
           }},
          false);
}

void HttpPlatform::ListVms(std::function<void(VmListResult)> done) {
  const auto read = [](const json& message) -> VmListResult {
    std::vector<ListedVm> vms;
    for (const json& item : message.at("vms")) vms.push_back(ParseVm(item));
    return vms;
  };
  Enqueue({"GET",
           "/vms",
           "",
           {},
           [done = std::move(done), read](int status, const std::string& body,
                                          const PlatformError& error) {
             done(status == 200 ? ParseResponse<VmListResult>(body, read) : VmListResult(error));
           }},
          false);
}

}  // namespace cowsliphill
