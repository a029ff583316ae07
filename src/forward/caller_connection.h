// One caller's connection: reads its requests, serves lookups itself and passes every other request
// to an Exchange.
//
// A caller may send further requests before the first one is answered. Those that may run more than
// once and have no body are read and run meanwhile, up to Pipeline::kMaxRequests; any other waits
// until all earlier ones are answered, and what is behind it stays unread. Answers are sent in the
// order of the requests. Requests that were read are answered before the connection is closed.
//
// Limits: a caller that closes its side of the connection counts as gone, also if it still waits
// for answers. A close behind more unread bytes than HttpStream buffers is not noticed before these
// are read; a reset is.

#ifndef COWSLIPHILL_FORWARD_CALLER_CONNECTION_H_
#define COWSLIPHILL_FORWARD_CALLER_CONNECTION_H_

#include <asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>

#include "src/forward/exchange.h"
#include "src/forward/forward_context.h"
#include "src/forward/http_stream.h"
#include "src/forward/pipeline.h"

namespace cowsliphill {

// Its pending operations and EdgeServer::connections_ share ownership.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
 public:
  CallerConnection(ForwardContext& context, HttpStream::Socket socket,
                   std::function<void(CallerConnection&)> on_closed);

  void Start();
  void Abort();
  // Closes the connection as soon as no request is open on it.
  void CloseWhenIdle();

 private:
  void ReadNextRequest();
  void ReadHead();
  void StartIdleTimer();
  void OnHead(const HttpEvent& event);
  void OnInputEnded(const HttpError& error);
  void StartExchange(const HttpHead& head);
  void ServeLookup(const HttpHead& head);
  void DiscardBody(std::function<void()> done);
  void RejectMalformed(const HttpError& error);
  void WatchCaller();
  void OnCallerGone();
  bool IsIdle() const;
  void OnExchangeDone(const std::shared_ptr<PipelineSlot>& slot, ConnectionAction action);
  void OnAnswered(ConnectionAction action);
  void Finish(ConnectionAction action);

  ForwardContext& context_;
  std::shared_ptr<HttpStream> stream_;
  std::string caller_ip_;  // Remote address of the socket; empty if unknown.
  std::function<void(CallerConnection&)> on_closed_;  // Called once, when the connection ends.
  Pipeline pipeline_;                                 // Requests in progress, lookups too.
  // Exchanges of the requests in progress, in the order of their requests.
  std::list<std::shared_ptr<Exchange>> exchanges_;
  // What is next on the connection is the head of a request.
  bool last_request_read_ = true;
  bool reading_head_ = false;
  // No further request is read, because the last one asked for the connection to be closed or what
  // follows it is no request.
  bool no_more_requests_ = false;
  bool close_when_idle_ = false;
  bool finished_ = false;
  asio::steady_timer idle_timer_;  // Limits the wait for a request while none is in progress.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_FORWARD_CALLER_CONNECTION_H_
