#include "src/forward/http_stream.h"

#include <asio/post.hpp>
#include <cassert>
#include <utility>

namespace cowsliphill {

HttpStream::HttpStream(ByteStream transport, HttpMessageType type, size_t max_header_bytes,
                       size_t buffer_bytes)
    : transport_(std::move(transport)),
      reader_(type, max_header_bytes),
      message_type_(type),
      buffer_bytes_(buffer_bytes) {}

void HttpStream::Read(EventCallback done) {
  assert(!on_event_ && "HttpStream::Read: another Read is still pending");
  on_close_ = nullptr;
  on_event_ = std::move(done);
  while (begin_ < end_) {
    const HttpReader::Step step =
        reader_.Read(std::string_view(buffer_.get() + begin_, end_ - begin_));
    begin_ += step.consumed;
    if (std::holds_alternative<HttpNeedBytes>(step.event)) continue;
    // Posted, because a callback that calls Read again would otherwise recurse
    // and grow the stack.
    asio::post(transport_.Executor(),
               [self = shared_from_this(), event = step.event] { self->Deliver(event); });
    return;
  }
  ReadSome();
}

void HttpStream::ReadSome() {
  if (!open_) return;
  const auto self = shared_from_this();
  if (reader_.BetweenMessages()) buffer_.reset();
  transport_.AwaitReadable([self](std::error_code ec) {
    if (!self->open_ || !self->on_event_) return;
    self->EnsureBuffer();
    size_t n = 0;
    if (!ec) {
      n = self->transport_.ReadSome(self->buffer_.get(), self->buffer_bytes_, ec);
    }
    if (ec == asio::error::would_block || ec == asio::error::try_again) return self->ReadSome();
    if (ec) return self->Deliver(self->reader_.OnConnectionClosed(ec == asio::error::eof));
    self->begin_ = 0;
    self->end_ = n;
    while (self->begin_ < self->end_) {
      const HttpReader::Step step = self->reader_.Read(
          std::string_view(self->buffer_.get() + self->begin_, self->end_ - self->begin_));
      self->begin_ += step.consumed;
      if (!std::holds_alternative<HttpNeedBytes>(step.event)) return self->Deliver(step.event);
    }
    self->ReadSome();
  });
}

void HttpStream::EnsureBuffer() {
  if (!buffer_) buffer_ = std::make_unique_for_overwrite<char[]>(buffer_bytes_);
}

void HttpStream::Deliver(const HttpEvent& event) {
  if (!open_ || !on_event_) return;
  const EventCallback done = std::exchange(on_event_, nullptr);
  done(event);
}

void HttpStream::Write(std::string bytes, std::function<void(bool ok)> done) {
  if (!open_) return;
  assert(!writing_ && "HttpStream::Write: another Write is still pending");
  if (writing_) return Close();  // Its bytes would mix with those of the pending Write.
  writing_ = true;
  outgoing_ = std::move(bytes);
  transport_.Write(outgoing_,
                   [self = shared_from_this(), done = std::move(done)](std::error_code ec) {
                     self->writing_ = false;
                     if (self->open_) done(!ec);
                   });
}

void HttpStream::WatchClose(std::function<void()> closed) {
  on_close_ = std::move(closed);
  Watch();
}

void HttpStream::Watch() {
  if (watching_ || !open_) return;
  watching_ = true;
  if (!HasUnread()) begin_ = end_ = 0;
  const bool full = end_ == buffer_bytes_;
  const auto on_input = [self = shared_from_this()](std::error_code ec) {
    self->watching_ = false;
    if (self->open_ && self->on_close_) self->OnWatchedInput(ec);
  };
  full ? transport_.AwaitError(on_input) : transport_.AwaitReadable(on_input);
}

void HttpStream::OnWatchedInput(std::error_code ec) {
  const bool keeps_bytes = message_type_ == HttpMessageType::kRequests;
  if (!ec && keeps_bytes) {
    EnsureBuffer();
    if (end_ < buffer_bytes_) {
      end_ += transport_.ReadSome(buffer_.get() + end_, buffer_bytes_ - end_, ec);
      if (ec == asio::error::would_block || ec == asio::error::try_again) ec.clear();
      if (!ec) return Watch();
    }
  }
  const auto on_close = std::exchange(on_close_, nullptr);
  on_close();
}

void HttpStream::CloseGracefully(std::chrono::milliseconds max_wait) {
  if (!open_) return;
  on_event_ = nullptr;
  on_close_ = nullptr;
  transport_.FinishWriting();
  linger_.emplace(transport_.Executor());
  linger_->expires_after(max_wait);
  linger_->async_wait([self = shared_from_this()](std::error_code ec) {
    if (!ec) self->Close();
  });
  DiscardSome();
}

void HttpStream::DiscardSome() {
  transport_.AwaitReadable([self = shared_from_this()](std::error_code ec) {
    if (!self->open_) return;
    self->EnsureBuffer();
    if (!ec) self->transport_.ReadSome(self->buffer_.get(), self->buffer_bytes_, ec);
    if (ec && ec != asio::error::would_block) return self->Close();
    self->DiscardSome();
  });
}

void HttpStream::Close() {
  if (!open_) return;
  open_ = false;
  on_event_ = nullptr;
  on_close_ = nullptr;
  if (linger_) linger_->cancel();
  transport_.Close();
}

}  // namespace cowsliphill
