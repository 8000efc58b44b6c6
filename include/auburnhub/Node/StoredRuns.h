#ifndef AUBURNHUB_NODE_STOREDRUNS_H
#define AUBURNHUB_NODE_STOREDRUNS_H

#include "auburnhub/Base/Log.h"
#include "auburnhub/Jobs/JobScheduler.h"
#include "auburnhub/Net/EventLoop.h"
#include "auburnhub/Node/NodeMessages.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace auburnhub {

/// What StoredRuns asks of its node.
struct StoredRunsEffects {
  std::function<void(const StoredTask &)> m_Start;
  std::function<void(const TaskRef &)> m_Stop;
  /// The worker may forget the end of a run.
  std::function<void(const std::string &Worker, const StoredEndSettled &)>
      m_Settle;
  std::function<void(const std::string &Node, const StoredJobMessage &)> m_Send;
};

/// The runs of stored tasks at an owner of workers: takes orders from the
/// keepers of the partitions, and tells them every end until that is stored.
///
/// Only the keeper of the highest epoch seen is obeyed. The runs of a keeper
/// that is lost live on for a while, so that the next one can take them over.
class StoredRuns {
public:
  StoredRuns(EventLoop &Loop, std::uint32_t Parts, StoredRunsEffects Effects)
      : m_Loop(Loop), m_PartCount(Parts), m_Effects(std::move(Effects)) {}

  // From keepers.
  void opened(const std::string &Keeper, const LedgerOpened &Msg);
  void run(const std::string &Keeper, const RunStoredTask &Msg);
  /// Tells the keeper that the task is not run here.
  void refuse(const std::string &Keeper, const RunStoredTask &Msg,
              JobReason Why) const;
  void stop(const std::string &Keeper, const StopStoredRun &Msg);
  void settled(const StoredEndSettled &Msg);
  void keeperLost(const std::string &Keeper);

  // From workers.
  void taskOver(const StoredTaskOver &Over);
  /// A worker lists the end of a run that nobody here has ordered. Returns
  /// whether it must keep the end until that is settled.
  bool strayEnd(const std::string &Worker, const TaskRef &Task,
                std::uint32_t Number, RunEnd How);

  /// Says whether the system stores jobs at all. While that is not known, ends
  /// are kept.
  void setJobsAreStored(bool Value);
  std::optional<bool> jobsAreStored() const { return m_JobsAreStored; }

  std::size_t runs() const { return m_Runs.size(); }

private:
  struct Part {
    LedgerEpoch m_Epoch = 0;
    std::string m_Keeper; ///< Empty: lost.
    EventLoop::Timer m_Orphans;
  };
  struct Run {
    std::uint32_t m_Part = 0;
    std::string m_Worker;
    std::optional<StoredTaskReport> m_End; ///< Told, but not settled yet.
  };
  using RunKey = std::pair<TaskRef, std::uint32_t>;

  /// Returns whether the message is of the keeper to obey.
  bool obey(const std::string &Keeper, const LedgerClaim &Claim);
  void report(StoredTaskReport Report);
  void stopOrphans(std::uint32_t Number);

  EventLoop &m_Loop;
  std::uint32_t m_PartCount;
  StoredRunsEffects m_Effects;
  Log m_Log{"stored-runs"};
  std::map<std::uint32_t, Part> m_Parts;
  std::map<RunKey, Run> m_Runs;
  std::optional<bool> m_JobsAreStored;
};

} // namespace auburnhub

#endif
