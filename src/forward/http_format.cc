#include "src/forward/http_format.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace cowsliphill {

namespace {

constexpr std::array<std::string_view, 9> kHopByHopHeaders = {
    "connection",        "keep-alive", "proxy-connection", "te",    "trailer",
    "transfer-encoding", "upgrade",    "content-length",   "expect"};

}  // namespace

bool IsHopByHopHeader(std::string_view name) {
  return std::any_of(kHopByHopHeaders.begin(), kHopByHopHeaders.end(),
                     [name](std::string_view candidate) { return HeaderNameIs(name, candidate); });
}

bool IsListed(std::string_view name, std::string_view list) {
  while (!list.empty()) {
    const size_t comma = std::min(list.find(','), list.size());
    std::string_view item = list.substr(0, comma);
    while (!item.empty() && item.front() == ' ') item.remove_prefix(1);
    while (!item.empty() && item.back() == ' ') item.remove_suffix(1);
    if (HeaderNameIs(name, item)) return true;
    list.remove_prefix(std::min(comma + 1, list.size()));
  }
  return false;
}

void AppendHeader(std::string& out, std::string_view name, std::string_view value) {
  out.append(name).append(": ").append(value).append("\r\n");
}

std::string_view ReasonPhrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 403:
      return "Forbidden";
    case 404:
      return "Not Found";
    case 408:
      return "Request Timeout";
    case 409:
      return "Conflict";
    case 410:
      return "Gone";
    case 413:
      return "Content Too Large";
    case 421:
      return "Misdirected Request";
    case 422:
      return "Unprocessable Content";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Unspecified";
  }
}

std::string StatusLine(int status) {
  std::string line = "HTTP/1.1 " + std::to_string(status) + " ";
  return line.append(ReasonPhrase(status)).append("\r\n");
}

void AppendBody(std::string& out, const std::string& type, const std::string& body,
                bool keep_alive) {
  AppendHeader(out, "Content-Type", type);
  AppendHeader(out, "Content-Length", std::to_string(body.size()));
  if (!keep_alive) AppendHeader(out, "Connection", "close");
  out.append("\r\n").append(body);
}

void AppendFraming(std::string& out, const HttpHead& head) {
  if (head.chunked) AppendHeader(out, "Transfer-Encoding", "chunked");
  if (head.content_length) {
    AppendHeader(out, "Content-Length", std::to_string(*head.content_length));
  }
}

void RemoveBody(std::string& response) {
  constexpr std::string_view end_of_head = "\r\n\r\n";
  const size_t end = response.find(end_of_head);
  if (end != std::string::npos) response.resize(end + end_of_head.size());
}

std::string FormatChunk(std::string_view bytes) {
  std::array<char, 20> size;
  const int n = std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
  std::string chunk(size.data(), static_cast<size_t>(n));
  return chunk.append(bytes).append("\r\n");
}

}  // namespace cowsliphill
