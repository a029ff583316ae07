// Reads HTTP/1.1 messages from bytes, one event at a time. Wraps http_parser, which
// refuses conflicting lengths and broken chunks, and refuses header names that are no tokens.

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
  std::string name;   // As sent; compare with HeaderNameIs.
  std::string value;  // Without surrounding white space.
};

// First line and headers of a request or an answer.
struct HttpHead {
  std::string method;  // Requests only.
  std::string target;  // Requests only: path and query.
  int status = 0;      // Answers only.
  std::vector<HttpHeader> headers;
  std::optional<uint64_t> content_length;  // Absent when chunked or without a body.
  bool chunked = false;
  bool ends_by_close = false;  // Answer with neither length nor chunks: only a close ends it.
  bool keep_alive = true;      // The sender keeps the connection open afterwards.

  // First value of the header, or nullopt.
  std::optional<std::string> Find(std::string_view name) const;
  size_t Count(std::string_view name) const;
};

bool HeaderNameIs(std::string_view name, std::string_view wanted);

enum class HttpErrorKind {
  kClosed,           // Ended between messages: not a byte of a next one came.
  kCut,              // Ended within a message.
  kMalformed,        // Not HTTP/1.1, or ambiguous framing.
  kHeadersTooLarge,  // More than the limit.
};

struct HttpNeedBytes {};  // Everything was consumed; feed more.
struct HttpBody {
  std::string_view bytes;  // Points into the bytes that were fed.
};
struct HttpEnd {};  // The message is whole.
struct HttpError {
  HttpErrorKind kind = HttpErrorKind::kMalformed;
  std::string detail;  // For logs and Proxy-Status.
};
using HttpEvent = std::variant<HttpNeedBytes, HttpHead, HttpBody, HttpEnd, HttpError>;

enum class HttpSide { kRequests, kAnswers };

class HttpReader {
 public:
  HttpReader(HttpSide side, size_t max_header_bytes);
  ~HttpReader();
  HttpReader(HttpReader&&) noexcept;
  HttpReader& operator=(HttpReader&&) noexcept;

  struct Step {
    size_t consumed = 0;  // Bytes to drop from the front of `data`.
    HttpEvent event;
  };
  // Reads up to the next event.
  Step Read(std::string_view data);
  // The connection was closed by the other side; `orderly` unless it was reset. An orderly close
  // ends an answer that has neither length nor chunks.
  HttpEvent ReadClose(bool orderly);
  // The answer that follows belongs to a HEAD request: it has no body.
  void ExpectNoBody();
  bool BetweenMessages() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_FORWARD_HTTP_READER_H_
