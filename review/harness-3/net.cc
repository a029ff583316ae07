#include "review/harness-3/net.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <cstdio>
#include <memory>
#include <random>
#include <utility>

namespace review {

namespace {

constexpr size_t kReadBytes = 16384;

sockaddr_in SocketAddress(const Address& address) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &out.sin_addr);
  return out;
}

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return text;
}

std::string Trimmed(const std::string& text) {
  const size_t begin = text.find_first_not_of(" \t");
  if (begin == std::string::npos) return "";
  return text.substr(begin, text.find_last_not_of(" \t\r") - begin + 1);
}

Message ParseHead(const std::string& head) {
  Message message;
  size_t at = head.find("\r\n");
  message.first_line = head.substr(0, at);
  while (at != std::string::npos && at + 2 < head.size()) {
    const size_t end = head.find("\r\n", at + 2);
    const std::string line = head.substr(at + 2, end - at - 2);
    const size_t colon = line.find(':');
    if (colon != std::string::npos) {
      message.headers.emplace(Lower(line.substr(0, colon)), Trimmed(line.substr(colon + 1)));
    }
    at = end;
  }
  return message;
}

}  // namespace

int64_t NowMs() {
  using Clock = std::chrono::steady_clock;
  static const Clock::time_point start = Clock::now();
  return std::chrono::duration_cast<milliseconds>(Clock::now() - start).count();
}

void SleepMs(int64_t ms) { std::this_thread::sleep_for(milliseconds(std::max<int64_t>(ms, 0))); }

void Record::Line(const std::string& text) {
  std::array<char, 32> time;
  std::snprintf(time.data(), time.size(), "%8.3f  ", static_cast<double>(NowMs()) / 1000);
  const std::lock_guard<std::mutex> lock(mutex_);
  file_ << time.data() << text << "\n" << std::flush;
}

std::string Message::Header(const std::string& name) const {
  const auto it = headers.find(name);
  return it == headers.end() ? "" : it->second;
}

std::string Message::Method() const { return first_line.substr(0, first_line.find(' ')); }

std::string Message::Target() const {
  const size_t begin = std::min(first_line.find(' '), first_line.size() - 1) + 1;
  return first_line.substr(begin, first_line.find(' ', begin) - begin);
}

int Message::Status() const {
  if (first_line.compare(0, 7, "HTTP/1.") != 0 || first_line.size() < 12) return 0;
  return std::atoi(first_line.substr(9, 3).c_str());
}

Connection::~Connection() { close(fd_); }

std::unique_ptr<Connection> Connection::To(const Address& address, milliseconds timeout) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  auto connection = std::make_unique<Connection>(fd);
  const sockaddr_in to = SocketAddress(address);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) != 0) {
    if (errno != EINPROGRESS) return nullptr;
    pollfd item{fd, POLLOUT, 0};
    if (poll(&item, 1, static_cast<int>(timeout.count())) != 1) return nullptr;
    int error = 0;
    socklen_t size = sizeof(error);
    getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) return nullptr;
  }
  const int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  return connection;
}

bool Connection::Send(const std::string& bytes) const {
  size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n = send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n > 0) {
      sent += static_cast<size_t>(n);
      continue;
    }
    if (errno != EAGAIN && errno != EINTR) return false;
    pollfd item{fd_, POLLOUT, 0};
    if (poll(&item, 1, 5000) != 1) return false;
  }
  return true;
}

bool Connection::Fill(int64_t until) {
  pollfd item{fd_, POLLIN, 0};
  const int64_t left = std::max<int64_t>(until - NowMs(), 0);
  if (poll(&item, 1, static_cast<int>(left)) != 1) return false;
  std::array<char, kReadBytes> buf;
  const ssize_t n = recv(fd_, buf.data(), buf.size(), MSG_DONTWAIT);
  if (n < 0 && (errno == EAGAIN || errno == EINTR)) return true;
  if (n <= 0) {
    at_end_ = true;
    return false;
  }
  input_.append(buf.data(), static_cast<size_t>(n));
  return true;
}

std::optional<Message> Connection::Read(milliseconds timeout) {
  const int64_t until = NowMs() + timeout.count();
  size_t end = input_.find("\r\n\r\n");
  while (end == std::string::npos) {
    if (!Fill(until)) return std::nullopt;
    end = input_.find("\r\n\r\n");
  }
  Message message = ParseHead(input_.substr(0, end + 2));
  input_.erase(0, end + 4);
  if (Lower(message.Header("transfer-encoding")) == "chunked") {
    while (true) {
      size_t line = input_.find("\r\n");
      while (line == std::string::npos) {
        if (!Fill(until)) return std::nullopt;
        line = input_.find("\r\n");
      }
      const size_t size = std::stoul("0" + input_.substr(0, line), nullptr, 16);
      while (input_.size() < line + 2 + size + 2) {
        if (!Fill(until)) return std::nullopt;
      }
      message.body += input_.substr(line + 2, size);
      input_.erase(0, line + 2 + size + 2);
      if (size == 0) return message;
    }
  }
  const size_t length = std::stoul("0" + message.Header("content-length"));
  while (input_.size() < length) {
    if (!Fill(until)) return std::nullopt;
  }
  message.body = input_.substr(0, length);
  input_.erase(0, length);
  return message;
}

void Connection::Break() const { shutdown(fd_, SHUT_RDWR); }

uint16_t Connection::LocalPort() const {
  sockaddr_in at{};
  socklen_t size = sizeof(at);
  getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &size);
  return ntohs(at.sin_port);
}

Listener::Listener(const Address& address, Serve serve)
    : address_(address), serve_(std::move(serve)) {
  fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  sockaddr_in at = SocketAddress(address_);
  if (bind(fd_, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) != 0 || listen(fd_, 512) != 0) {
    std::perror("stand-in: can't listen");
    std::exit(2);
  }
  socklen_t size = sizeof(at);
  getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &size);
  address_.port = ntohs(at.sin_port);
  acceptor_ = std::thread([this] { Run(); });
}

Listener::~Listener() {
  stopping_ = true;
  shutdown(fd_, SHUT_RDWR);
  acceptor_.join();
  close(fd_);
  BreakAll();
  for (std::thread& it : threads_) it.join();
}

void Listener::BreakAll() {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const Connection* it : open_) {
    const linger reset{1, 0};
    setsockopt(it->Descriptor(), SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    it->Break();
  }
}

void Listener::Run() {
  while (!stopping_) {
    const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
    if (fd < 0) continue;
    const int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    if (closed_ || stopping_) {
      const linger reset{1, 0};
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
      close(fd);
      continue;
    }
    threads_.emplace_back([this, fd] {
      Connection connection(fd);
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        open_.insert(&connection);
      }
      serve_(connection);
      const std::lock_guard<std::mutex> lock(mutex_);
      open_.erase(&connection);
    });
  }
}

uint16_t FreePort(const std::string& ip) {
  // Below the ports that the system gives to outgoing connections.
  constexpr uint16_t first = 20000;
  constexpr uint16_t last = 32000;
  static std::mt19937 random{std::random_device()()};
  static std::set<uint16_t> given;
  std::uniform_int_distribution<uint16_t> draw(first, last);
  for (int n = 0; n < 1000; ++n) {
    const uint16_t port = draw(random);
    const sockaddr_in at = SocketAddress({ip, port});
    const int tcp = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int udp = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    const bool both = bind(tcp, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) == 0 &&
                      bind(udp, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) == 0;
    close(tcp);
    close(udp);
    if (both && given.insert(port).second) return port;
  }
  return 0;
}

std::string QueryOf(const std::string& target, const std::string& name) {
  size_t at = std::min(target.find('?'), target.size());
  while (at < target.size()) {
    const size_t end = std::min(target.find('&', at + 1), target.size());
    const std::string part = target.substr(at + 1, end - at - 1);
    if (part.rfind(name + "=", 0) == 0) {
      std::string out;
      for (size_t i = name.size() + 1; i < part.size(); ++i) {
        const bool encoded = part[i] == '%' && i + 2 < part.size();
        if (!encoded) {
          out += part[i];
          continue;
        }
        out += static_cast<char>(std::stoi(part.substr(i + 1, 2), nullptr, 16));
        i += 2;
      }
      return out;
    }
    at = end;
  }
  return "";
}

}  // namespace review
