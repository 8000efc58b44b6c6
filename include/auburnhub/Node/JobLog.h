#ifndef AUBURNHUB_NODE_JOBLOG_H
#define AUBURNHUB_NODE_JOBLOG_H

#include "auburnhub/Jobs/JobLedger.h"

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include <concepts>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// The log that stored jobs live in, as a concept: keyed partitions of which
/// the newest record of each key is kept for good, written under epochs, and
/// a group whose members share the partitions.

namespace auburnhub {

/// What a member of the group has been given.
struct JobLogMembership {
  /// Rises with each change in the group; an epoch for the partitions that are
  /// given with it.
  LedgerEpoch m_Generation = 0;
  std::vector<std::uint32_t> m_Parts;
};

/// Some of the newest records of a partition.
struct JobLogPage {
  std::vector<LedgerRecord> m_Records;
  bool m_More = false; ///< Go on after the last key.
};

/// Calls return at once; the answer comes later, once, never from within the
/// call. Failures: Unavailable if nothing was done and nothing will be;
/// FailedPrecondition if another writer has a higher epoch; any other leaves
/// open whether the call was or will be carried out.
template <typename Type>
concept JobLog = requires(
    Type &Log, LedgerEpoch Epoch, std::uint32_t Part, std::uint64_t Sequence,
    std::string_view After, const std::vector<LedgerRecord> &Records,
    std::function<void(absl::Status)> Done,
    std::function<void(absl::StatusOr<JobLogMembership>)> Joined,
    std::function<void(absl::StatusOr<JobLogPage>)> Read) {
  /// Joins the group or stays in it; names the last generation received.
  Log.join(Epoch, Joined);
  Log.leave(Done);
  /// Refuses every writer of a lower epoch from now on.
  Log.open(Part, Epoch, Done);
  /// Reads the newest records, a page at a time.
  Log.read(Part, After, Read);
  /// Appends all records or none. A repeat with the same sequence number
  /// is carried out once. Sequence numbers rise by one from 1.
  Log.append(Part, Epoch, Sequence, Records, Done);
  /// Notes for all nodes, for good, that jobs are stored.
  Log.markInUse(Done);
};

} // namespace auburnhub

#endif
