// Fuzzes the HTTP request reader: any input yields events or an error, and how the input is split
// into reads does not change them.

#include <cstdlib>
#include <string>

#include "src/forward/http_reader.h"
#include "src/forward/request_headers.h"

namespace {

using cowsliphill::HttpBody;
using cowsliphill::HttpEnd;
using cowsliphill::HttpError;
using cowsliphill::HttpEvent;
using cowsliphill::HttpHead;
using cowsliphill::HttpReader;

constexpr size_t kMaxHeaderBytes = 4096;

std::string EventText(const HttpEvent& event) {
  if (const auto* head = std::get_if<HttpHead>(&event)) return "H" + head->target;
  if (const auto* body = std::get_if<HttpBody>(&event)) return std::string(body->bytes);
  return std::holds_alternative<HttpEnd>(event) ? "E" : "";
}

// Returns the events of the bytes as text; the reader receives `step` bytes at a time.
std::string Events(std::string_view bytes, size_t step) {
  HttpReader reader(cowsliphill::HttpMessageType::kRequests, kMaxHeaderBytes);
  std::string events;
  while (!bytes.empty()) {
    std::string_view part = bytes.substr(0, step);
    bytes.remove_prefix(part.size());
    while (!part.empty()) {
      const HttpReader::Step read = reader.Read(part);
      if (std::holds_alternative<HttpError>(read.event)) return events + "!";
      events += EventText(read.event);
      part.remove_prefix(read.consumed);
    }
  }
  return events;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  if (Events(bytes, bytes.size()) != Events(bytes, 1)) std::abort();
  return 0;
}
