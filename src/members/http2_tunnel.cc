#include "src/members/http2_tunnel.h"

#include <algorithm>
#include <asio/post.hpp>

#include "src/members/http2_connection.h"

namespace cowsliphill {

void Http2Tunnel::AwaitReadable(std::function<void()> ready) {
  on_readable_ = std::move(ready);
  if (HasInput() || input_ended_ || broken_) Wake();
}

void Http2Tunnel::Wake() {
  if (!on_readable_) return;
  asio::post(executor_, [self = shared_from_this()] {
    if (const auto ready = std::exchange(self->on_readable_, nullptr)) ready();
  });
}

size_t Http2Tunnel::ReadSome(char* buf, size_t size) {
  const size_t n = std::min(size, input_.size() - input_at_);
  std::copy_n(input_.data() + input_at_, n, buf);
  input_at_ += n;
  if (input_at_ == input_.size()) {
    input_.clear();
    input_at_ = 0;
  }
  const auto connection = connection_.lock();
  if (n > 0 && !broken_ && connection) connection->OnTunnelRead(stream_, n);
  return n;
}

void Http2Tunnel::Write(std::string bytes, std::function<void(bool ok)> done) {
  const auto connection = connection_.lock();
  if (broken_ || !connection || bytes.empty()) {
    asio::post(executor_, [ok = !broken_ && connection, done = std::move(done)] { done(ok); });
    return;
  }
  output_ = std::move(bytes);
  output_at_ = 0;
  on_written_ = std::move(done);
  connection->ResumeTunnel(stream_);
}

void Http2Tunnel::FinishWriting() {
  output_finished_ = true;
  if (const auto connection = connection_.lock(); connection && !broken_) {
    connection->ResumeTunnel(stream_);
  }
}

void Http2Tunnel::Reset() {
  on_readable_ = nullptr;
  on_written_ = nullptr;
  if (std::exchange(broken_, true)) return;
  if (const auto connection = connection_.lock()) connection->ResetTunnel(stream_);
}

void Http2Tunnel::OnInput(const char* data, size_t size) {
  input_.append(data, size);
  Wake();
}

void Http2Tunnel::OnInputEnd() {
  input_ended_ = true;
  Wake();
}

void Http2Tunnel::OnBroken() {
  if (std::exchange(broken_, true)) return;
  Wake();
  if (!on_written_) return;
  asio::post(executor_, [done = std::exchange(on_written_, nullptr)] { done(false); });
}

size_t Http2Tunnel::TakeOutput(char* buf, size_t size) {
  const size_t n = std::min(size, output_.size() - output_at_);
  std::copy_n(output_.data() + output_at_, n, buf);
  output_at_ += n;
  if (output_at_ < output_.size()) return n;
  output_.clear();
  output_at_ = 0;
  if (on_written_) {
    asio::post(executor_, [done = std::exchange(on_written_, nullptr)] { done(true); });
  }
  return n;
}

}  // namespace cowsliphill
