// Identifiers as distinct types, so that, for example, a failure domain can't be passed where a
// service is expected.

#ifndef COWSLIPHILL_BASE_IDS_H_
#define COWSLIPHILL_BASE_IDS_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace cowsliphill {

template <typename Tag>
class StringId {
 public:
  StringId() = default;
  explicit StringId(std::string text) : text_(std::move(text)) {}

  const std::string& Text() const { return text_; }
  bool Empty() const { return text_.empty(); }

  friend bool operator==(const StringId& a, const StringId& b) = default;
  friend auto operator<=>(const StringId& a, const StringId& b) { return a.text_ <=> b.text_; }

 private:
  std::string text_;
};

using ServiceId = StringId<struct ServiceTag>;
using BackendServerId = StringId<struct BackendServerTag>;
using FailureDomainId = StringId<struct FailureDomainTag>;
using RegionId = StringId<struct RegionTag>;  // A region is a group of failure domains.
using TenantId = StringId<struct TenantTag>;
using TeamId = StringId<struct TeamTag>;
using EntryVmId = StringId<struct EntryVmTag>;  // Unique per process start; never reused.
using RequestId = StringId<struct RequestTag>;

// IP address and port. The program never resolves host names.
struct Endpoint {
  std::string ip;     // IPv4 or IPv6 address.
  uint16_t port = 0;  // TCP or UDP port.

  std::string ToString() const {
    const bool v6 = ip.find(':') != std::string::npos;
    return (v6 ? "[" + ip + "]" : ip) + ":" + std::to_string(port);
  }
  friend bool operator==(const Endpoint& a, const Endpoint& b) = default;
  friend std::strong_ordering operator<=>(const Endpoint& a, const Endpoint& b) {
    const std::strong_ordering by_ip = a.ip <=> b.ip;
    return by_ip == std::strong_ordering::equal ? a.port <=> b.port : by_ip;
  }
};

}  // namespace cowsliphill

template <typename Tag>
struct std::hash<cowsliphill::StringId<Tag>> {
  size_t operator()(const cowsliphill::StringId<Tag>& id) const noexcept {
    return std::hash<std::string>()(id.Text());
  }
};

#endif  // COWSLIPHILL_BASE_IDS_H_
