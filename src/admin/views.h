// What the administration API tells, as JSON.

#ifndef COWSLIPHILL_ADMIN_VIEWS_H_
#define COWSLIPHILL_ADMIN_VIEWS_H_

#include <string>
#include <vector>

#include "src/admin/admin_server.h"
#include "src/choose/chooser.h"
#include "src/manifest/acceptance.h"
#include "src/manifest/manifest_keeper.h"
#include "src/manifest/revision_tracker.h"
#include "src/members/peer.h"
#include "src/records/record_reader.h"

namespace cowsliphill {

// What an entry VM knows of itself and the system.
struct EntryVmView {
  EntryVmId id;
  FailureDomainId failure_domain;
  Endpoint edge;
  bool stopping = false;
  size_t open_requests = 0;
  size_t caller_connections = 0;
  TrackerView manifest;
  std::vector<Member> members;  // Others.
  std::vector<ServerView> servers;
  EntryVmId record_partner;     // Holds the notes of our requests; empty if none.
  bool table_reachable = true;  // As claims see it.
};

AdminAnswer AnswerOf(const EntryVmView& view);
AdminAnswer AnswerOf(const std::string& service, const std::vector<Decision>& decisions);
AdminAnswer AnswerOf(const SubmissionAnswer& answer);
AdminAnswer AnswerOf(const HistoryResult& history);
AdminAnswer AnswerOf(const DifferenceResult& difference);
AdminAnswer AnswerOf(const RecordReadResult& records);
// Whether the backend server is free of this entry VM's requests.
AdminAnswer DrainAnswer(const ServerView& view);

}  // namespace cowsliphill

#endif  // COWSLIPHILL_ADMIN_VIEWS_H_
