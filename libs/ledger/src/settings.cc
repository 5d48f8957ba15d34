// Validation of the settings.
#include "ledger/ledger.h"

namespace balsambay::ledger {

result<void> Validate(const settings& settings) {
  if (settings.self.empty()) return Failure(errc::kInvalidArgument, "self is empty");
  if (settings.shard_count == 0) return Failure(errc::kInvalidArgument, "shard_count is 0");
  if (settings.batch_interval >= settings.lease.renew_interval) {
    return Failure(errc::kInvalidArgument, "batch_interval must be below the renew interval");
  }
  if (settings.reply_bound <= settings.batch_interval) {
    return Failure(errc::kInvalidArgument, "reply_bound must be above batch_interval");
  }
  // The factor of ten is a wide safety margin, because the clocks of claimant and owner may differ.
  if (settings.retention < settings.longest_run + 10 * settings.grant_time) {
    return Failure(errc::kInvalidArgument,
                   "retention must be at least longest_run plus ten times grant_time");
  }
  return lease::Validate(settings.lease);
}

}  // namespace balsambay::ledger
