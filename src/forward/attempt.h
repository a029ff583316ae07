// One attempt to get a response from one backend server: connects, sends the request and reads the
// response. The owner (Exchange or HttpClient) decides whether to retry. Closing an unfinished
// attempt closes its connection, which cancels the request at the backend server.

#ifndef COWSLIPHILL_FORWARD_ATTEMPT_H_
#define COWSLIPHILL_FORWARD_ATTEMPT_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "src/choose/chooser.h"
#include "src/forward/backend_pool.h"
#include "src/forward/request_headers.h"

namespace cowsliphill {

class Attempt : public std::enable_shared_from_this<Attempt> {
 public:
  struct Events {
    std::function<void(const HttpEvent&)> on_response;  // Called for each event of the response.
    // Called for the head of each response on the connection, also of those that are discarded and
    // of interim ones.
    std::function<void(const HttpHead&)> on_any_head;
    // Called if the attempt fails before the response's head arrives. No event follows.
    std::function<void(AttemptEnd, std::string)> on_failed;
    // Called once the bytes that `make_request` of Start returned were written.
    std::function<void()> on_sent;
    // Whether a response belongs to this request; other responses are discarded. Null: each does,
    // and its server never sends another response.
    std::function<ResponseMatch(const HttpHead&)> match;
  };

  Attempt(BackendPool& pool, const Clock& clock, SendTo target, RequestClass request_class);
  ~Attempt();

  // Returns the request's head and the first part of its body, or "" if it must not be sent any
  // more.
  using MakeRequest = std::function<std::string()>;

  // Connects and sends the request. `make_request` is called once connected, because what it
  // returns may depend on the time: connecting may take long, and the process may have been paused
  // meanwhile. `head_request`: the method is HEAD, so the response has no body. Its connection is
  // not reused: the length of a late second response would depend on the method of its request.
  void Start(MakeRequest make_request, ConnectionReuse reuse, bool head_request, Events events);
  // Sends a further part of the request's body.
  void Send(std::string bytes, std::function<void(bool ok)> done);
  // Requests the next event of the response. Call it only after the previous event was processed.
  void ReadNext();
  // Tells whether the whole request body was passed to Start and Send. The connection is not reused
  // while a part of the body is missing.
  void SetRequestBodyComplete(bool complete) { request_body_complete_ = complete; }
  // Ends the attempt. Returns the connection to the pool after a complete response that allows its
  // reuse, else closes it.
  void Close();

  // Returns true on the first call only. The dispatcher must be told exactly once how an attempt
  // ended.
  bool MarkEndReported() { return !std::exchange(end_reported_, true); }

  // The limit that the server named in the response's head, in requests per second.
  void SetNamedLimit(std::optional<double> limit) { named_limit_ = limit; }
  std::optional<double> NamedLimit() const { return named_limit_; }

  const SendTo& Target() const { return target_; }
  // Peer address of the entry VM that the connection leads through; port 0 if it is direct, or not
  // made yet.
  const Endpoint& Through() const { return through_; }
  bool HasSentBytes() const { return write_started_; }  // The server may have received bytes.
  bool IsReused() const { return connection_.reused; }
  // Leaves out the time that it took to find a way through another entry VM.
  Duration FirstByteLatency() const { return response_head_time_ - send_time_; }
  Duration Age() const { return clock_.Now() - start_time_; }
  bool IsOpen() const { return !closed_; }
  bool HasResponse() const { return has_response_; }
  // Whether the response names no request and came on a connection that had carried others, so that
  // it may be a copy of an earlier one.
  bool MayBeAnEarlierResponse() const { return response_unstated_ && connection_.reused; }

 private:
  ConnectTarget Address() const;
  void OnConnected(PooledConnection connection, const MakeRequest& make_request);
  void OnEvent(const HttpEvent& event);
  void Fail(AttemptEnd end, std::string detail);
  bool IsReusable() const;

  BackendPool& pool_;
  const Clock& clock_;
  SendTo target_;
  RequestClass request_class_;
  Events events_;
  PooledConnection connection_;
  Endpoint through_;
  MonotonicTime start_time_;          // Creation of this attempt.
  MonotonicTime send_time_;           // When latency begins to count.
  MonotonicTime response_head_time_;  // Arrival of the response's head.
  std::optional<double> named_limit_;
  bool head_request_ = false;          // See Start.
  bool write_started_ = false;         // The request's first write has begun.
  bool request_body_complete_ = true;  // See SetRequestBodyComplete.
  bool has_response_ = false;          // The response's head has arrived.
  bool discarding_response_ = false;   // The response being read belongs to another request.
  bool response_unstated_ = false;     // The response names no request.
  // A response arrived that did not name this request; more may follow.
  bool saw_unmatched_response_ = false;
  uint32_t skipped_responses_ = 0;  // Interim responses and responses to other requests.
  size_t skipped_bytes_ = 0;        // Bytes of the latter's bodies.
  bool response_complete_ = false;  // The response's end has arrived.
  bool keep_alive_ = false;         // The server keeps the connection open afterwards.
  bool end_reported_ = false;       // MarkEndReported has been called.
  bool closed_ = false;             // Close was called or the attempt failed.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_FORWARD_ATTEMPT_H_
