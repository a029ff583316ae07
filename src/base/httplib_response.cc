#include "src/base/httplib_response.h"

#include <httplib.h>
#include <strings.h>

#include <algorithm>

#include "src/base/http_syntax.h"

namespace cowsliphill {

namespace {

// Whether a header that frames the body has a value that cpp-httplib reads right. Others always do.
bool IsValidFraming(const std::string& name, const std::string& value) {
  if (strcasecmp(name.c_str(), "Transfer-Encoding") == 0) {
    return strcasecmp(value.c_str(), "chunked") == 0;
  }
  if (strcasecmp(name.c_str(), "Content-Length") != 0) return true;
  return !value.empty() && std::all_of(value.begin(), value.end(), IsDigit);
}

}  // namespace

std::string FaultOfResponse(const httplib::Response& response) {
  if (!IsResponseStatus(response.status)) {
    return "invalid status code " + std::to_string(response.status);
  }
  if (!IsFieldValue(response.reason)) return "invalid status line";
  for (const auto& [name, value] : response.headers) {
    if (!IsFieldName(name)) return "header name is not a valid token";
    if (!IsValidFraming(name, value)) return "the header " + name + " has an invalid value";
  }
  return "";
}

}  // namespace cowsliphill
