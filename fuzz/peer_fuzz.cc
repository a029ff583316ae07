// Fuzzes the decoders of messages from other entry VMs and of rows in the platform: any input is
// decoded or rejected.

#include "src/claims/claim_row.h"
#include "src/manifest/manifest_codec.h"
#include "src/members/gossip_message.h"
#include "src/records/record_codec.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string bytes(reinterpret_cast<const char*>(data), size);
  cowsliphill::DecodeGossip(bytes);
  cowsliphill::NotesFromBytes(bytes, cowsliphill::EntryVmId("a"));
  cowsliphill::BatchFromBytes(bytes);
  cowsliphill::ClaimRowFromBytes(bytes);
  cowsliphill::DecodeHead(bytes);
  cowsliphill::DecodeHistoryEntry(bytes);
  return 0;
}
