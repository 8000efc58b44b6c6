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
/// The concept of the log that holds stored jobs. It has keyed, compacted
/// partitions, which keep the newest record of each key without time limit and
/// are written under epochs, and a group whose members share the partitions.

namespace auburnhub {

/// The partitions that the group has assigned to a member.
struct JobLogMembership {
  /// Increases with each change in the group; serves as the epoch of the
  /// partitions that are assigned with it.
  LedgerEpoch m_Generation = 0;
  std::vector<std::uint32_t> m_PartitionIds;
};

/// One page of the newest records of a partition.
struct JobLogPage {
  std::vector<LedgerRecord> m_Records;
  bool m_HasMore = false; ///< More records follow the last key of this page.
};

/// The calls to a log of stored jobs. They do not block. The callback is called
/// exactly once, and never before the call has returned. Failures: Unavailable
/// if the call had no effect and will have none; InvalidArgument if, besides,
/// the log will never accept it; FailedPrecondition if another writer has a
/// higher epoch; after any other failure the call may have been
/// applied or may yet be.
template <typename Type>
concept JobLog =
    requires(Type &Log, LedgerEpoch Epoch, std::uint32_t PartitionId,
             std::uint64_t Sequence, std::string_view After,
             const std::vector<LedgerRecord> &Records,
             std::function<void(absl::Status)> Done,
             std::function<void(absl::StatusOr<JobLogMembership>)> Joined,
             std::function<void(absl::StatusOr<JobLogPage>)> Read) {
  /// Joins the group or renews the membership. Epoch is the last generation
  /// received, 0 if none.
  Log.join(Epoch, Joined);
  /// Leaves the group; its partitions are assigned to other members.
  Log.leave(Done);
  /// Opens a partition for writing and fences off all writers with a lower
  /// epoch.
  Log.open(PartitionId, Epoch, Done);
  /// Reads a page of the newest records, with keys after After.
  Log.read(PartitionId, After, Read);
  /// Appends all records or none. Idempotent: a retry with the same sequence
  /// number is applied once. Sequence numbers start at 1 and increase by one.
  Log.append(PartitionId, Epoch, Sequence, Records, Done);
  /// Records permanently, for all nodes, that jobs are stored.
  Log.markInUse(Done);
};

} // namespace auburnhub

#endif
