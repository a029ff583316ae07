// The answers of the administration API, as JSON.

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

// The state of an entry VM and what it knows about the system, for the status answer.
struct EntryVmView {
  EntryVmId id;
  FailureDomainId failure_domain;
  Endpoint edge;
  bool stopping = false;
  size_t open_requests = 0;
  size_t caller_connections = 0;
  TrackerView manifest;
  std::vector<Member> members;  // The other live entry VMs.
  std::vector<ServerView> servers;
  EntryVmId record_partner;  // Holds the notes of this entry VM's requests; empty if none does.
  // False while the claims' circuit breaker is open, after repeated failed calls of the platform's
  // table.
  bool table_reachable = true;
};

AdminAnswer ToAdminAnswer(const EntryVmView& view);
AdminAnswer ToAdminAnswer(const std::string& service, const std::vector<Decision>& decisions);
AdminAnswer ToAdminAnswer(const SubmissionAnswer& answer);
AdminAnswer ToAdminAnswer(const HistoryResult& history);
AdminAnswer ToAdminAnswer(const DifferenceResult& difference);
AdminAnswer ToAdminAnswer(const RecordReadResult& records);
// Reports whether the backend server is leaving and has no more requests of this entry VM.
AdminAnswer DrainAnswer(const ServerView& view);

}  // namespace cowsliphill

#endif  // COWSLIPHILL_ADMIN_VIEWS_H_
