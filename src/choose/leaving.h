// Whether one backend server is leaving, whichever source tells first. Marks are sticky.
//
// A mark of the manifest or the VM list stays until the manifest says otherwise. A mark that the
// server itself caused (its answers, a probe, another entry VM that saw either) may end: a server
// that restarted in place reports that it serves. Such reports count only long after the last
// sign of draining, and several are needed, for reports may lag or mislead.

#ifndef COWSLIPHILL_CHOOSE_LEAVING_H_
#define COWSLIPHILL_CHOOSE_LEAVING_H_

#include <chrono>
#include <cstdint>

#include "src/base/clock.h"

namespace cowsliphill {

enum class LeavingSource { kAnswer, kProbe, kVmList, kManifest, kPeer };

class LeavingMark {
 public:
  static constexpr std::chrono::seconds kHold{30};  // Least silence after a sign of draining.
  static constexpr uint32_t kServingReports = 2;    // Reports that end a mark, after kHold.

  // Returns whether the server was not leaving before.
  bool Set(LeavingSource source, MonotonicTime now) {
    const bool before = Leaving();
    switch (source) {
      case LeavingSource::kManifest:
        by_manifest_ = true;
        break;
      case LeavingSource::kVmList:
        by_vm_list_ = true;
        break;
      default:
        by_server_ = true;
    }
    last_sign_ = now;
    serving_reports_ = 0;
    return !before;
  }

  // The manifest lists the server as active after it listed it as leaving.
  void ClearByManifest() { *this = LeavingMark(); }

  // A report that says nothing of draining. Returns whether the mark ended.
  bool OnServingReport(MonotonicTime now) {
    if (!by_server_ || now - last_sign_ < kHold) return false;
    if (++serving_reports_ < kServingReports) return false;
    by_server_ = false;
    return !Leaving();
  }

  bool Leaving() const { return by_manifest_ || by_vm_list_ || by_server_; }
  bool ByManifest() const { return by_manifest_; }

 private:
  bool by_manifest_ = false;
  bool by_vm_list_ = false;
  bool by_server_ = false;        // By its answers or probes, here or at another entry VM.
  uint32_t serving_reports_ = 0;  // Since kHold passed.
  MonotonicTime last_sign_;       // Of draining.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_CHOOSE_LEAVING_H_
