// A backend server for large request bodies, on a thread of its own. It records what it receives
// and misbehaves as told. Its health path works.

#ifndef COWSLIPHILL_TESTS_UPLOAD_SERVER_H_
#define COWSLIPHILL_TESTS_UPLOAD_SERVER_H_

#include <array>
#include <asio.hpp>
#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "src/base/ids.h"
#include "src/forward/http_reader.h"

namespace cowsliphill {

class UploadServer {
 public:
  enum class Mode {
    kRead,          // Reads the whole body, then answers 200.
    kAnswerAtHead,  // Answers 200 at once, then reads on.
    kRefuseAtHead,  // States at once that it does not run the request, then reads on.
    kRefuseLate,    // The same once it has received kLateBytes of the body.
    kStopReading,   // Reads the head only and never answers.
    kCutLate,       // Closes the connection once it has received kLateBytes of the body.
  };
  static constexpr size_t kLateBytes = 200000;

  UploadServer(std::string name, Mode mode)
      : name_(std::move(name)),
        mode_(mode),
        acceptor_(io_, {asio::ip::make_address("127.0.0.1"), 0}) {
    Accept();
    thread_ = std::thread([this] { io_.run(); });
  }
  ~UploadServer() {
    io_.stop();
    thread_.join();
  }
  UploadServer(const UploadServer&) = delete;
  UploadServer& operator=(const UploadServer&) = delete;

  Endpoint Address() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }
  size_t Begun() const { return begun_; }  // Requests whose head has arrived.
  size_t Open() const { return open_; }    // Of these, those that are neither complete nor cut off.
  // Body of a request that has arrived completely; "" if it has not.
  std::string BodyOf(const std::string& id) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = bodies_.find(id);
    return it == bodies_.end() ? "" : it->second;
  }
  // Whether bytes arrived that belong to no request.
  bool GotGarbage() const { return got_garbage_; }

 private:
  struct Connection {
    explicit Connection(asio::ip::tcp::socket accepted) : socket(std::move(accepted)) {}
    asio::ip::tcp::socket socket;
    std::array<char, 16384> buffer{};
    HttpReader reader{HttpMessageType::kRequests, 16384};
    std::string id;
    std::string body;
    bool is_probe = false;
    bool counted = false;  // In open_.
    bool answered = false;
  };

  void Accept() {
    acceptor_.async_accept([this](std::error_code ec, asio::ip::tcp::socket socket) {
      if (ec) return;
      Read(std::make_shared<Connection>(std::move(socket)));
      Accept();
    });
  }
  void Read(const std::shared_ptr<Connection>& it) {
    it->socket.async_read_some(asio::buffer(it->buffer), [this, it](std::error_code ec, size_t n) {
      if (ec) return EndRequest(*it);
      std::string_view bytes(it->buffer.data(), n);
      while (!bytes.empty()) {
        const HttpReader::Step step = it->reader.Read(bytes);
        bytes.remove_prefix(step.consumed);
        if (!OnEvent(*it, step.event)) return unread_.push_back(it);
      }
      Read(it);
    });
  }
  // Returns false if nothing more is to be read.
  bool OnEvent(Connection& it, const HttpEvent& event) {
    if (const auto* head = std::get_if<HttpHead>(&event)) return OnHead(it, *head);
    if (const auto* body = std::get_if<HttpBody>(&event)) return OnBody(it, body->bytes);
    if (std::holds_alternative<HttpEnd>(event)) OnEnd(it);
    if (std::holds_alternative<HttpError>(event)) got_garbage_ = true;
    return !std::holds_alternative<HttpError>(event);
  }
  bool OnHead(Connection& it, const HttpHead& head) {
    it.is_probe = head.target == "/health";
    if (it.is_probe) return true;
    it.id = head.Find("X-Request-Id").value_or("");
    it.body.clear();
    it.answered = false;
    it.counted = true;
    ++begun_;
    ++open_;
    if (mode_ == Mode::kAnswerAtHead) Answer(it, true);
    if (mode_ == Mode::kRefuseAtHead) Answer(it, false);
    return mode_ != Mode::kStopReading;
  }
  bool OnBody(Connection& it, std::string_view bytes) {
    it.body += bytes;
    if (it.body.size() < kLateBytes) return true;
    if (mode_ == Mode::kRefuseLate) Answer(it, false);
    if (mode_ != Mode::kCutLate) return true;
    EndRequest(it);
    it.socket.close();
    return false;
  }
  void OnEnd(Connection& it) {
    if (it.is_probe) {
      return Write(it, "HTTP/1.1 200 OK\r\nX-Instance-Id: " + name_ +
                           "\r\nX-Server-Load: 0,0,40,100\r\nContent-Length: 0\r\n\r\n");
    }
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      bodies_[it.id] = it.body;
    }
    EndRequest(it);
    Answer(it, mode_ != Mode::kRefuseLate);
  }
  void EndRequest(Connection& it) {
    if (std::exchange(it.counted, false)) --open_;
  }
  void Answer(Connection& it, bool executed) {
    if (std::exchange(it.answered, true)) return;
    const std::string id = "X-Request-Id: " + it.id + "\r\nContent-Length: 2\r\n";
    Write(it, executed ? "HTTP/1.1 200 OK\r\nX-Response-Signature: signed\r\n" + id + "\r\nok"
                       : "HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\n" + id + "\r\nno");
  }
  static void Write(Connection& it, const std::string& bytes) {
    std::error_code ignored;
    asio::write(it.socket, asio::buffer(bytes), ignored);
  }

  std::string name_;
  Mode mode_;
  asio::io_context io_;
  asio::ip::tcp::acceptor acceptor_;
  std::vector<std::shared_ptr<Connection>> unread_;  // Nothing more is read from these.
  std::atomic<size_t> begun_{0};
  std::atomic<size_t> open_{0};
  std::atomic<bool> got_garbage_{false};
  mutable std::mutex mutex_;  // Guards bodies_.
  std::map<std::string, std::string> bodies_;
  std::thread thread_;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_TESTS_UPLOAD_SERVER_H_
