// Tracks whether one backend server is leaving; the first source that reports it is enough.
//
// A mark set by the manifest or the VM list stays until the manifest lists the server as active
// after it listed it as leaving. A mark caused by the server itself (by its answers, by a probe, or
// by another entry VM that saw either) may end, because a server that restarted in place reports
// that it serves again. Such reports count only kMinQuietTime after the last sign of draining, and
// several are needed, because reports may be delayed or wrong.

#ifndef COWSLIPHILL_CHOOSE_LEAVING_H_
#define COWSLIPHILL_CHOOSE_LEAVING_H_

#include <chrono>
#include <cstdint>

#include "src/base/clock.h"

namespace cowsliphill {

enum class LeavingSource { kAnswer, kProbe, kVmList, kManifest, kPeer };

class LeavingMark {
 public:
  // Time without signs of draining before reports count.
  static constexpr std::chrono::seconds kMinQuietTime{30};
  // Number of reports without the draining flag, after kMinQuietTime, that clear a mark.
  static constexpr uint32_t kReportsToClear = 2;

  // Marks the server as leaving. Returns whether it was not marked before.
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
    last_draining_sign_ = now;
    serving_reports_ = 0;
    return !before;
  }

  // Clears all marks. To be called when the manifest lists the server as active after it listed it
  // as leaving.
  void ClearByManifest() { *this = LeavingMark(); }

  // Handles a report without the draining flag. Returns whether the server is no longer leaving.
  bool OnServingReport(MonotonicTime now) {
    if (!by_server_ || now - last_draining_sign_ < kMinQuietTime) return false;
    if (++serving_reports_ < kReportsToClear) return false;
    by_server_ = false;
    return !Leaving();
  }

  bool Leaving() const { return by_manifest_ || by_vm_list_ || by_server_; }
  bool ByManifest() const { return by_manifest_; }

 private:
  bool by_manifest_ = false;
  bool by_vm_list_ = false;
  bool by_server_ = false;        // Set by answers or probes, here or at another entry VM.
  uint32_t serving_reports_ = 0;  // Reports without the draining flag since kMinQuietTime passed.
  MonotonicTime last_draining_sign_;  // Time of the newest sign of draining.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_CHOOSE_LEAVING_H_
