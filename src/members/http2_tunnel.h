// One end of a tunnel: a stream of a connection between two entry VMs that carries bytes in both
// directions, opened by HTTP/2's CONNECT. Each direction ends on its own (FinishWriting); Reset
// ends both at once, and the other end can tell the two apart. What is not read yet is bounded by
// the flow control of HTTP/2.

#ifndef COWSLIPHILL_MEMBERS_HTTP2_TUNNEL_H_
#define COWSLIPHILL_MEMBERS_HTTP2_TUNNEL_H_

#include <asio/any_io_executor.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace cowsliphill {

class Http2Connection;

class Http2Tunnel : public std::enable_shared_from_this<Http2Tunnel> {
 public:
  Http2Tunnel(std::weak_ptr<Http2Connection> connection, int32_t stream,
              asio::any_io_executor executor)
      : connection_(std::move(connection)), stream_(stream), executor_(std::move(executor)) {}

  // `ready` runs once, never inside the call, when there is input, or the other end has finished or
  // reset the tunnel. Only one may be pending.
  void AwaitReadable(std::function<void()> ready);
  // Moves up to `size` bytes of the input to `buf` and returns their number.
  size_t ReadSome(char* buf, size_t size);
  bool HasInput() const { return input_at_ < input_.size(); }
  // The other end has finished, and all of its bytes have been read.
  bool AtEnd() const { return input_ended_ && !HasInput(); }
  // The tunnel was reset, or its connection has ended.
  bool IsBroken() const { return broken_; }
  // Sends all bytes. Only one Write may be pending. `done` runs once, never inside the call: with
  // true when the connection has taken the bytes, with false if the tunnel breaks before.
  void Write(std::string bytes, std::function<void(bool ok)> done);
  // Tells the other end that no more bytes follow, after those of a pending Write.
  void FinishWriting();
  // Ends the tunnel at once. Pending callbacks are not called.
  void Reset();

 private:
  friend class Http2Connection;

  // Calls of the connection.
  void OnInput(const char* data, size_t size);
  void OnInputEnd();
  void OnBroken();
  // Moves up to `size` bytes of the output to `buf` and returns their number.
  size_t TakeOutput(char* buf, size_t size);
  bool OutputEnded() const { return output_.empty() && output_finished_; }

  void Wake();

  std::weak_ptr<Http2Connection> connection_;
  int32_t stream_;
  asio::any_io_executor executor_;
  std::string input_;
  size_t input_at_ = 0;  // Bytes of input_ that were read.
  std::string output_;
  size_t output_at_ = 0;  // Bytes of output_ that the connection has taken.
  std::function<void()> on_readable_;
  std::function<void(bool ok)> on_written_;
  bool input_ended_ = false;
  bool output_finished_ = false;
  bool broken_ = false;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_MEMBERS_HTTP2_TUNNEL_H_
