// One attempt at one backend server: connection, request, answer. Its exchange decides what an end
// means. Closing it cancels the request towards the backend server.

#ifndef COWSLIPHILL_FORWARD_ATTEMPT_H_
#define COWSLIPHILL_FORWARD_ATTEMPT_H_

#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "src/choose/chooser.h"
#include "src/forward/backend_pool.h"

namespace cowsliphill {

class Attempt : public std::enable_shared_from_this<Attempt> {
 public:
  struct Events {
    std::function<void(const HttpEvent&)> on_answer;  // Each event of the answer.
    std::function<void(AttemptEnd, std::string)>
        on_failed;                  // Before the answer's head; last event.
    std::function<void()> on_sent;  // The first bytes were sent.
    // Whether an answer belongs to the request; others are dropped. Null: every one does.
    std::function<bool(const HttpHead&)> is_ours;
  };

  Attempt(BackendPool& pool, const Clock& clock, SendTo target, RequestClass request_class);
  ~Attempt();

  // Connects and sends `head_and_body`.
  void Start(std::string head_and_body, ConnectionNeed need, bool head_request, Events events);
  // Sends more of the request's body.
  void Send(std::string bytes, std::function<void(bool ok)> done);
  // Asks for the answer's next event, once the previous one was used.
  void ReadNext();
  // Whether the request's body is still to be sent in part; such a connection is not reused.
  void SetRequestWhole(bool whole) { request_whole_ = whole; }
  // Ends it: takes the connection back to the pool after a whole answer, else closes it.
  void Close();

  // True the first time: the chooser must be told exactly once how an attempt ended.
  bool TakeEndReport() { return !std::exchange(end_reported_, true); }

  const SendTo& Target() const { return target_; }
  bool SentBytes() const { return sent_; }  // Bytes may have reached the server.
  bool IsReused() const { return connection_.reused; }
  Duration FirstByteLatency() const { return first_byte_ - started_; }
  Duration Age() const { return clock_.Now() - started_; }
  bool IsOpen() const { return !closed_; }
  bool HasAnswer() const { return has_answer_; }

 private:
  void OnConnected(PooledConnection connection, std::string bytes, bool head_request);
  void OnEvent(const HttpEvent& event);
  void Fail(AttemptEnd end, std::string detail);
  bool IsReusable() const;

  BackendPool& pool_;
  const Clock& clock_;
  SendTo target_;
  RequestClass request_class_;
  Events events_;
  PooledConnection connection_;
  MonotonicTime started_;      // When it was started.
  MonotonicTime first_byte_;   // When the answer's head came.
  bool sent_ = false;          // Writing has begun.
  bool request_whole_ = true;  // Nothing of the request's body is missing.
  bool has_answer_ = false;    // The answer's head came.
  bool dropping_ = false;      // Reading an answer that belongs to another request.
  bool met_stray_ = false;     // Such an answer came: more may follow on the connection.
  bool whole_ = false;         // The answer's end came.
  bool keep_alive_ = false;    // The server keeps the connection open.
  bool end_reported_ = false;  // TakeEndReport was called.
  bool closed_ = false;        // Close was called, or it failed.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_FORWARD_ATTEMPT_H_
