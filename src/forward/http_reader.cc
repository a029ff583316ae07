#include "src/forward/http_reader.h"

#include <http_parser.h>

#include <algorithm>
#include <cctype>
#include <limits>
#include <utility>

#include "src/base/http_syntax.h"

namespace cowsliphill {

namespace {

// http_parser's value for an unknown length.
constexpr uint64_t kNoLength = std::numeric_limits<uint64_t>::max();

// How the body of a message is coded.
enum class TransferCoding { kNone, kChunked, kUnknown };

std::string_view Trimmed(std::string_view text) {
  constexpr std::string_view blanks = " \t";
  text.remove_prefix(std::min(text.find_first_not_of(blanks), text.size()));
  return text.substr(0, text.find_last_not_of(blanks) + 1);
}

char Lower(char c) { return static_cast<char>(std::tolower(static_cast<unsigned char>(c))); }

}  // namespace

bool HeaderNameIs(std::string_view name, std::string_view wanted) {
  return name.size() == wanted.size() &&
         std::equal(name.begin(), name.end(), wanted.begin(),
                    [](char a, char b) { return Lower(a) == Lower(b); });
}

std::optional<std::string> HttpHead::Find(std::string_view name) const {
  for (const HttpHeader& header : headers) {
    if (HeaderNameIs(header.name, name)) return header.value;
  }
  return std::nullopt;
}

size_t HttpHead::Count(std::string_view name) const {
  return static_cast<size_t>(
      std::count_if(headers.begin(), headers.end(),
                    [name](const HttpHeader& header) { return HeaderNameIs(header.name, name); }));
}

struct HttpReader::State {
  http_parser parser;
  HttpMessageType type = HttpMessageType::kRequests;
  size_t max_header_bytes = 0;
  // Bytes of the head being read, or of a body's framing and trailers since its last data.
  size_t header_bytes = 0;
  bool in_message = false;          // Set from the first byte of a message to its end.
  bool reading_value = false;       // http_parser last delivered part of a header value.
  bool answers_head = false;        // The responses belong to a HEAD request.
  bool until_close = false;         // The body being read is close-delimited.
  bool has_unknown_coding = false;  // The body of the response being read can't be decoded.
  HttpHead head;                    // Head being read; its headers are the trailers after the body.
  std::string status_line;          // Of the response being read, without its line end.
  bool has_status_line = false;     // status_line is complete.
  HttpEvent event;                  // Event produced by the last callback.

  static State& Of(http_parser* parser) { return *static_cast<State*>(parser->data); }
  static int Pause(http_parser* parser) {
    http_parser_pause(parser, 1);
    return 0;
  }
  static int OnBegin(http_parser* parser) {
    State& state = Of(parser);
    state.head = HttpHead();
    state.header_bytes = 0;
    state.in_message = true;
    state.until_close = false;
    state.reading_value = false;
    return 0;
  }
  static int OnUrl(http_parser* parser, const char* at, size_t n) {
    Of(parser).head.target.append(at, n);
    return 0;
  }
  static int OnField(http_parser* parser, const char* at, size_t n) {
    State& state = Of(parser);
    if (state.head.headers.empty() || state.reading_value) state.head.headers.emplace_back();
    state.reading_value = false;
    state.head.headers.back().name.append(at, n);
    return 0;
  }
  static int OnValue(http_parser* parser, const char* at, size_t n) {
    State& state = Of(parser);
    state.reading_value = true;
    state.head.headers.back().value.append(at, n);
    return 0;
  }
  static int OnHeaders(http_parser* parser) {
    State& state = Of(parser);
    state.FinishHead();
    Pause(parser);
    const std::string fault = state.FaultOfHead();
    if (!fault.empty()) {
      state.event = HttpError{HttpErrorKind::kMalformed, fault};
      return 0;
    }
    const bool no_body = state.head.no_body;
    state.event = std::move(state.head);
    return no_body ? 1 : 0;  // Returning 1 tells http_parser that no body follows.
  }
  static int OnBody(http_parser* parser, const char* at, size_t n) {
    State& state = Of(parser);
    state.header_bytes = 0;
    state.event = HttpBody{std::string_view(at, n)};
    return Pause(parser);
  }
  static int OnComplete(http_parser* parser) {
    State& state = Of(parser);
    state.in_message = false;
    state.status_line.clear();
    state.has_status_line = false;
    state.event = HttpEnd{};
    const std::string fault =
        state.type == HttpMessageType::kResponses ? state.FaultOfFields() : "";
    if (!fault.empty()) state.event = HttpError{HttpErrorKind::kMalformed, "trailers: " + fault};
    return Pause(parser);
  }

  // http_parser removes the white space before a value, but not that after it.
  void TrimValues() {
    for (HttpHeader& header : head.headers) {
      const size_t end = header.value.find_last_not_of(" \t");
      header.value.resize(end == std::string::npos ? 0 : end + 1);
    }
  }

  // Keeps the status line of a response, because http_parser accepts others than IsStatusLine.
  void KeepStatusLine(std::string_view data) {
    if (has_status_line) return;
    // http_parser ignores empty lines before the status line.
    const bool at_begin = status_line.empty();
    if (at_begin) data.remove_prefix(std::min(data.find_first_not_of("\r\n"), data.size()));
    const size_t end = data.find('\n');
    status_line.append(data.substr(0, end));
    has_status_line = end != std::string_view::npos;
    if (has_status_line && status_line.ends_with('\r')) status_line.pop_back();
  }

  // Returns what is wrong with the head or, if nothing is, "".
  std::string FaultOfHead() const {
    const std::string fault = type == HttpMessageType::kResponses ? FaultOfResponse() : "";
    return fault.empty() ? FaultOfFields() : fault;
  }
  std::string FaultOfResponse() const {
    if (!IsResponseStatus(head.status)) {
      return "invalid status code " + std::to_string(head.status);
    }
    if (!IsStatusLine(status_line)) return "invalid status line";
    if (has_unknown_coding) return "the body has another transfer coding than chunked";
    return "";
  }
  // Debian's http_parser is built without strict mode and accepts a space as part of a header name.
  // The parser then ignores the header, but the next reader may honour it (smuggling).
  std::string FaultOfFields() const {
    for (const HttpHeader& header : head.headers) {
      if (!IsFieldName(header.name)) return "header name is not a valid token";
      // http_parser checks all characters of a value but the first.
      if (type == HttpMessageType::kResponses && !IsFieldValue(header.value)) {
        return "header value contains a control character";
      }
    }
    return "";
  }

  TransferCoding CodingOfBody() const {
    TransferCoding coding = TransferCoding::kNone;
    for (const HttpHeader& header : head.headers) {
      if (!HeaderNameIs(header.name, "transfer-encoding")) continue;
      std::string_view list = header.value;
      while (!list.empty()) {
        const size_t comma = std::min(list.find(','), list.size());
        const std::string_view item = Trimmed(list.substr(0, comma));
        list.remove_prefix(std::min(comma + 1, list.size()));
        if (item.empty()) continue;
        const bool is_first = coding == TransferCoding::kNone;
        coding = is_first && HeaderNameIs(item, "chunked") ? TransferCoding::kChunked
                                                           : TransferCoding::kUnknown;
      }
    }
    return coding;
  }

  void FinishHead() {
    TrimValues();
    const TransferCoding coding = CodingOfBody();
    // http_parser overlooks "chunked" with a tab behind it.
    const bool is_response = type == HttpMessageType::kResponses;
    if (is_response && coding == TransferCoding::kChunked) parser.flags |= F_CHUNKED;
    head.chunked = (parser.flags & F_CHUNKED) != 0;
    if (!head.chunked && parser.content_length != kNoLength) {
      head.content_length = parser.content_length;
    }
    head.keep_alive = http_should_keep_alive(&parser) != 0;
    if (type == HttpMessageType::kRequests) {
      head.method = http_method_str(static_cast<http_method>(parser.method));
      return;
    }
    head.status = static_cast<int>(parser.status_code);
    const bool never_has_body = head.status < 200 || head.status == 204;
    head.no_body = answers_head || never_has_body || head.status == 304;
    if (head.no_body) head.chunked = false;
    if (never_has_body) head.content_length.reset();
    head.close_delimited = !head.no_body && !head.chunked && !head.content_length;
    until_close = head.close_delimited;
    has_unknown_coding = coding == TransferCoding::kUnknown && !head.no_body;
  }

  static const http_parser_settings& Callbacks() {
    static const http_parser_settings callbacks = [] {
      http_parser_settings settings;
      http_parser_settings_init(&settings);
      settings.on_message_begin = OnBegin;
      settings.on_url = OnUrl;
      settings.on_header_field = OnField;
      settings.on_header_value = OnValue;
      settings.on_headers_complete = OnHeaders;
      settings.on_body = OnBody;
      settings.on_message_complete = OnComplete;
      return settings;
    }();
    return callbacks;
  }
};

HttpReader::HttpReader(HttpMessageType type, size_t max_header_bytes)
    : state_(std::make_unique<State>()) {
  state_->type = type;
  state_->max_header_bytes = max_header_bytes;
  http_parser_init(&state_->parser,
                   type == HttpMessageType::kRequests ? HTTP_REQUEST : HTTP_RESPONSE);
  state_->parser.data = state_.get();
}

HttpReader::~HttpReader() = default;
HttpReader::HttpReader(HttpReader&&) noexcept = default;
HttpReader& HttpReader::operator=(HttpReader&&) noexcept = default;

HttpReader::Step HttpReader::Read(std::string_view data) {
  State& state = *state_;
  state.event = HttpNeedBytes{};
  http_parser_pause(&state.parser, 0);
  if (state.type == HttpMessageType::kResponses) state.KeepStatusLine(data);
  const size_t n =
      http_parser_execute(&state.parser, &State::Callbacks(), data.data(), data.size());
  const http_errno error = HTTP_PARSER_ERRNO(&state.parser);
  if (state.parser.upgrade != 0 && state.type == HttpMessageType::kRequests) {
    return {n, HttpError{HttpErrorKind::kMalformed, "protocol upgrades are not supported"}};
  }
  if (error == HPE_HEADER_OVERFLOW) {
    return {n, HttpError{HttpErrorKind::kHeadersTooLarge, http_errno_description(error)}};
  }
  if (error != HPE_OK && error != HPE_PAUSED) {
    return {n, HttpError{HttpErrorKind::kMalformed, http_errno_description(error)}};
  }
  const bool no_data = state.in_message && std::holds_alternative<HttpNeedBytes>(state.event);
  if (no_data || std::holds_alternative<HttpHead>(state.event)) {
    state.header_bytes += n;
    if (state.header_bytes > state.max_header_bytes) {
      return {n, HttpError{HttpErrorKind::kHeadersTooLarge,
                           "first line and headers exceed the size limit"}};
    }
  }
  return {n, std::move(state.event)};
}

HttpEvent HttpReader::OnConnectionClosed(bool orderly) {
  if (!state_->in_message) return HttpError{HttpErrorKind::kClosed, "connection closed"};
  if (orderly && state_->until_close) {
    state_->in_message = false;
    return HttpEnd{};
  }
  return HttpError{HttpErrorKind::kTruncated, "connection closed before the message was complete"};
}

void HttpReader::ExpectNoBody() { state_->answers_head = true; }

bool HttpReader::BetweenMessages() const { return !state_->in_message; }

}  // namespace cowsliphill
