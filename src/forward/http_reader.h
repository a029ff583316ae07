// Incremental HTTP/1.1 parser that produces one event at a time. Wraps http_parser, which rejects
// conflicting lengths and malformed chunks; in addition it rejects header names that are not
// tokens, and responses with an invalid status line, with control characters in a header or trailer
// value, or with another transfer coding than chunked.

#ifndef COWSLIPHILL_FORWARD_HTTP_READER_H_
#define COWSLIPHILL_FORWARD_HTTP_READER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cowsliphill {

struct HttpHeader {
  std::string name;   // In the sender's letter case; compare with HeaderNameIs.
  std::string value;  // Without surrounding white space.
};

// First line and headers of a request or a response.
struct HttpHead {
  std::string method;  // Method; requests only.
  std::string target;  // Path and query; requests only.
  int status = 0;      // Status code; responses only.
  std::vector<HttpHeader> headers;
  std::optional<uint64_t> content_length;  // Absent if the body is chunked or there is no
                                           // Content-Length header.
  bool chunked = false;
  bool close_delimited = false;  // Response with neither length nor chunks; only a close ends it.
  // Response that ends with its head (RFC 9112 6.3): to HEAD, or with status 1xx, 204 or 304. If it
  // has a content_length, that is the length which the body would have.
  bool no_body = false;
  bool keep_alive = true;  // The sender keeps the connection open after the message.

  // Returns the value of the first header with this name, or nullopt.
  std::optional<std::string> Find(std::string_view name) const;
  size_t Count(std::string_view name) const;
};

// Compares header names, ignoring case.
bool HeaderNameIs(std::string_view name, std::string_view wanted);

enum class HttpErrorKind {
  kClosed,           // Connection closed between messages, before any byte of the next one.
  kTruncated,        // Connection closed within a message.
  kMalformed,        // Not HTTP/1.1, or ambiguous framing.
  kHeadersTooLarge,  // First line and headers exceed the size limit.
};

struct HttpNeedBytes {};  // All input was consumed and more is needed.
struct HttpBody {
  std::string_view bytes;  // Points into the input of HttpReader::Read.
};
struct HttpEnd {};  // The message is complete.
struct HttpError {
  HttpErrorKind kind = HttpErrorKind::kMalformed;
  std::string detail;  // For logs and Proxy-Status.
};
using HttpEvent = std::variant<HttpNeedBytes, HttpHead, HttpBody, HttpEnd, HttpError>;

// Kind of messages that a reader parses.
enum class HttpMessageType { kRequests, kResponses };

class HttpReader {
 public:
  HttpReader(HttpMessageType type, size_t max_header_bytes);
  ~HttpReader();
  HttpReader(HttpReader&&) noexcept;
  HttpReader& operator=(HttpReader&&) noexcept;

  struct Step {
    size_t consumed = 0;  // Bytes of `data` that were parsed; the caller must drop them.
    HttpEvent event;
  };
  // Parses `data` up to the next event.
  Step Read(std::string_view data);
  // Returns the event for a connection that the other side closed. `orderly` is false if it was
  // reset. An orderly close completes a close-delimited response.
  HttpEvent OnConnectionClosed(bool orderly);
  // Call before reading the response to a HEAD request, which has no body. Applies to all responses
  // from then on, so the connection can't be used for another request.
  void ExpectNoBody();
  bool BetweenMessages() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_FORWARD_HTTP_READER_H_
