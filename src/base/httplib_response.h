// What cpp-httplib does not check in the responses that it reads.
//
// Limits: it shows neither interim responses nor trailers, and decodes %-sequences in values, so
// that control characters in values can't be told from these. Only the values that frame the body
// are checked.

#ifndef COWSLIPHILL_BASE_HTTPLIB_RESPONSE_H_
#define COWSLIPHILL_BASE_HTTPLIB_RESPONSE_H_

#include <string>

namespace httplib {
struct Response;
}  // namespace httplib

namespace cowsliphill {

// Returns why these bytes are not an HTTP/1.1 response, or "" if they are one.
std::string FaultOfResponse(const httplib::Response& response);

}  // namespace cowsliphill

#endif  // COWSLIPHILL_BASE_HTTPLIB_RESPONSE_H_
