// Formats the parts of HTTP/1.1 messages. Used by every wire format.

#ifndef COWSLIPHILL_FORWARD_HTTP_FORMAT_H_
#define COWSLIPHILL_FORWARD_HTTP_FORMAT_H_

#include <string>
#include <string_view>

#include "src/forward/http_reader.h"

namespace cowsliphill {

// Returns whether a header applies to a single connection (RFC 9110 7.6.1) or is rewritten at each
// hop. Such headers are not forwarded.
bool IsHopByHopHeader(std::string_view name);

// Returns whether a comma-separated list contains the name, ignoring case.
bool IsListed(std::string_view name, std::string_view list);

std::string_view ReasonPhrase(int status);
std::string StatusLine(int status);
void AppendHeader(std::string& out, std::string_view name, std::string_view value);

// Appends Content-Type, Content-Length and, unless `keep_alive`, Connection: close; then the empty
// line and the body.
void AppendBody(std::string& out, const std::string& type, const std::string& body,
                bool keep_alive);

// Removes the body of a complete response, for a HEAD request. Its headers stay as they are.
void RemoveBody(std::string& response);

// Formats one chunk of a chunked body. kLastChunk ends the body.
std::string FormatChunk(std::string_view bytes);
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

// Appends the headers that frame the body of a forwarded message: Transfer-Encoding or
// Content-Length.
void AppendFraming(std::string& out, const HttpHead& head);

}  // namespace cowsliphill

#endif  // COWSLIPHILL_FORWARD_HTTP_FORMAT_H_
