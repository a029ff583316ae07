// Datagrams between entry VMs that carry records of PoisonList.

#ifndef COWSLIPHILL_POISON_POISON_MESSAGE_H_
#define COWSLIPHILL_POISON_POISON_MESSAGE_H_

#include <optional>
#include <string>
#include <vector>

#include "src/poison/poison_list.h"

namespace cowsliphill {

inline constexpr size_t kMaxPoisonRecords = 64;  // In one datagram; at most 18 KB.

// Whether the first byte, which no other kind of datagram starts with, is that of such a message.
bool IsPoisonMessage(const std::string& bytes);
// Encodes the first kMaxPoisonRecords records.
std::string EncodePoisonRecords(const std::vector<PoisonRecord>& records);
// Returns nullopt if the message is malformed.
std::optional<std::vector<PoisonRecord>> DecodePoisonRecords(const std::string& bytes);

}  // namespace cowsliphill

#endif  // COWSLIPHILL_POISON_POISON_MESSAGE_H_
