// Pieces of HTTP/1.1 heads as text, used by every wire form.

#ifndef COWSLIPHILL_FORWARD_HTTP_FORMAT_H_
#define COWSLIPHILL_FORWARD_HTTP_FORMAT_H_

#include <string>
#include <string_view>

#include "src/forward/http_reader.h"

namespace cowsliphill {

// Whether a header concerns one connection only (RFC 9110 7.6.1) or is rewritten at each hop.
bool IsHopHeader(std::string_view name);

// Whether a comma-separated list holds the name.
bool IsListed(std::string_view name, std::string_view list);

std::string_view ReasonOf(int status);
std::string StatusLine(int status);
void AppendHeader(std::string& out, std::string_view name, std::string_view value);

// Headers of a message with a body of known length, the empty line, and the body.
void AppendBody(std::string& out, const std::string& type, const std::string& body,
                bool keep_alive);

// A piece of a chunked body; kLastChunk ends it.
std::string AsChunk(std::string_view bytes);
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

// How the body of a forwarded message is framed.
void AppendFraming(std::string& out, const HttpHead& head);

}  // namespace cowsliphill

#endif  // COWSLIPHILL_FORWARD_HTTP_FORMAT_H_
