#ifndef AUBURNHUB_NODE_JOBSERVICE_H
#define AUBURNHUB_NODE_JOBSERVICE_H

#include "auburnhub/Base/Log.h"
#include "auburnhub/Net/EventLoop.h"
#include "auburnhub/Node/JobCancels.h"
#include "auburnhub/Node/JobReply.h"
#include "auburnhub/Node/JobRouter.h"
#include "auburnhub/Node/LedgerCalls.h"
#include "auburnhub/Node/StoredJobsQueries.h"

#include <concepts>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>

namespace auburnhub {

/// A node that runs and stores jobs: Node, or a test double.
template <typename Type>
concept JobNode = requires(Type &Node, JobRequest Job, JobRouter::Done JobDone,
                           const std::string &Id, std::uint64_t Call,
                           JobRouter::IsConnected IsConnected,
                           LedgerCalls::Done CallDone,
                           std::function<void(CancelOutcome)> Cancelled,
                           StoredJobsQueries::Done Asked) {
  { Node.submit(Job, JobDone, IsConnected) } -> std::same_as<std::uint64_t>;
  Node.callerDisconnected(Call);
  Node.cancel(Id, Cancelled);
  { Node.knows(Id) } -> std::same_as<bool>;
  Node.askWhetherJobsAreStored(0.0, Asked);
  Node.call(LedgerCallKind::State, Id, Job, 0.0, CallDone);
  { Node.pending(Id) } -> std::same_as<std::uint64_t>;
};

/// Settings of JobService.
struct JobServiceSettings {
  /// Time, in milliseconds, from the request to stop the process until it
  /// exits at the latest.
  double m_StopTimeoutMs = 5000;
};

/// Serves callers' calls about jobs at a node, independent of the protocol.
/// Each call is answered exactly once.
template <JobNode NodeType> class JobService {
public:
  using Done = std::function<void(const JobReply &)>;

  JobService(NodeType &Node, const JobServiceSettings &Settings)
      : m_Node(Node), m_Settings(Settings) {}

  /// Answers when the job has finished or, if MustBeStored, when it is stored.
  /// IsCallerConnected tells whether the caller still waits for the answer.
  /// Returns a function to call if the caller disconnects before the answer.
  std::function<void()> submit(JobRequest Job, bool MustBeStored, Done Answer,
                               JobRouter::IsConnected IsCallerConnected);

  /// Cancels a job. TimeLeftMs is the time until the caller's timeout. Answers
  /// NoSuchJob only if each node that may run the job, and the keeper of stored
  /// jobs, have answered so; otherwise Unknown, as the job may yet be
  /// cancelled.
  void cancel(const std::string &Job, double TimeLeftMs, Done Answer);
  /// Answers with the state of a job. TimeLeftMs as for cancel().
  void state(const std::string &Job, double TimeLeftMs, Done Answer);

  /// Returns how many stored jobs of a queue have not started.
  std::uint64_t waiting(const std::string &Queue) const {
    return m_Node.pending(Queue);
  }

  /// Called when the process is asked to stop. Jobs that need not be stored are
  /// refused from then on unless they are expected to finish before it exits.
  void beginStop() { m_StopBeganAt = EventLoop::now(); }
  std::size_t openCalls() const { return m_OpenCalls; }

private:
  /// Factor applied to the caller's estimates of the run time of steps.
  static constexpr double EstimateMargin = 1.5;
  /// Retry delay, in milliseconds, for callers that a node refuses because it
  /// is stopping or has just started.
  static constexpr double RetryAfterMs = 1000;

  bool finishesBeforeStop(const JobRequest &Job) const;
  /// Forwards a call about a job that does not run at this node to the keeper
  /// of its partition, if jobs are stored.
  void queryKeeper(LedgerCallKind Kind, const std::string &Job,
                   double TimeLeftMs, Done Answer);
  /// Returns the reply about a job that is not known anywhere else to a caller.
  /// JobsAreStored is false if there are no stored jobs, and empty if that is
  /// not known.
  static JobReply replyWithoutKeeper(std::optional<bool> JobsAreStored);
  void callLedger(LedgerCallKind Kind, const std::string &Id, JobRequest Job,
                  double TimeLeftMs, Done Answer);
  /// Returns the reply to a caller if some nodes could not be asked for the
  /// job: that it does not exist is not known then.
  JobReply withoutNoSuchJob(const std::string &Job, JobReply Reply);

  NodeType &m_Node;
  JobServiceSettings m_Settings;
  Log m_Log{"job-calls"};
  std::optional<TimePoint> m_StopBeganAt;
  std::size_t m_OpenCalls = 0;
};

template <JobNode NodeType>
std::function<void()>
JobService<NodeType>::submit(JobRequest Job, bool MustBeStored, Done Answer,
                             JobRouter::IsConnected IsCallerConnected) {
  if (MustBeStored) {
    double TimeLeftMs = Job.m_TimeLeftMs;
    std::string Id = Job.m_Id;
    callLedger(LedgerCallKind::Submit, Id, std::move(Job), TimeLeftMs,
               std::move(Answer));
    return [] {};
  }
  if (!IsCallerConnected()) {
    // The caller may have submitted the job elsewhere already.
    m_Log.info("caller_left_before_read", {{"job", Job.m_Id}});
    Answer(makeJobReply(
        JobResult{JobOutcome::NotRun, JobReason::Cancelled, RetryAfterMs}));
    return [] {};
  }
  if (!finishesBeforeStop(Job)) {
    m_Log.info("job_not_taken", {{"job", Job.m_Id}, {"reason", "stopping"}});
    Answer(makeJobReply(
        JobResult{JobOutcome::NotRun, JobReason::Stopping, RetryAfterMs}));
    return [] {};
  }
  ++m_OpenCalls;
  std::uint64_t Call = m_Node.submit(
      std::move(Job),
      [this, Answer = std::move(Answer)](const JobResult &Result) {
        --m_OpenCalls;
        Answer(makeJobReply(Result));
      },
      std::move(IsCallerConnected));
  return [this, Call] {
    --m_OpenCalls;
    m_Node.callerDisconnected(Call);
  };
}

template <JobNode NodeType>
void JobService<NodeType>::cancel(const std::string &Job, double TimeLeftMs,
                                  Done Answer) {
  m_Node.cancel(Job, [this, Job, TimeLeftMs,
                      Answer = std::move(Answer)](CancelOutcome Outcome) {
    if (Outcome != CancelOutcome::Cancelled) {
      bool IsUndecided = Outcome == CancelOutcome::Undecided;
      queryKeeper(LedgerCallKind::Cancel, Job, TimeLeftMs,
                  [this, Job, IsUndecided, Answer](const JobReply &Reply) {
                    Answer(IsUndecided ? withoutNoSuchJob(Job, Reply) : Reply);
                  });
      return;
    }
    JobReply Reply;
    Reply.m_Kind = JobReplyKind::Done;
    Reply.m_State = StoredJobState::Cancelled;
    Answer(Reply);
  });
}

template <JobNode NodeType>
JobReply JobService<NodeType>::withoutNoSuchJob(const std::string &Job,
                                                JobReply Reply) {
  if (Reply.m_Kind != JobReplyKind::NoSuchJob)
    return Reply;
  m_Log.info("cancel_undecided", {{"job", Job}});
  Reply.m_Kind = JobReplyKind::Unknown;
  Reply.m_Reason = JobReason::OwnerLost;
  return Reply;
}

template <JobNode NodeType>
void JobService<NodeType>::state(const std::string &Job, double TimeLeftMs,
                                 Done Answer) {
  if (!m_Node.knows(Job)) {
    queryKeeper(LedgerCallKind::State, Job, TimeLeftMs, std::move(Answer));
    return;
  }
  JobReply Reply;
  Reply.m_Kind = JobReplyKind::Done;
  Reply.m_State = StoredJobState::Running;
  Answer(Reply);
}

template <JobNode NodeType>
void JobService<NodeType>::queryKeeper(LedgerCallKind Kind,
                                       const std::string &Job,
                                       double TimeLeftMs, Done Answer) {
  ++m_OpenCalls;
  m_Node.askWhetherJobsAreStored(
      TimeLeftMs,
      [this, Kind, Job, TimeLeftMs, AskedAt = EventLoop::now(),
       Answer = std::move(Answer)](std::optional<bool> JobsAreStored) mutable {
        --m_OpenCalls;
        if (!JobsAreStored.value_or(false)) {
          Answer(replyWithoutKeeper(JobsAreStored));
          return;
        }
        double ElapsedMs = millisecondsBetween(AskedAt, EventLoop::now());
        callLedger(Kind, Job, {}, TimeLeftMs - ElapsedMs, std::move(Answer));
      });
}

template <JobNode NodeType>
JobReply
JobService<NodeType>::replyWithoutKeeper(std::optional<bool> JobsAreStored) {
  JobReply Reply;
  Reply.m_Kind =
      JobsAreStored ? JobReplyKind::NoSuchJob : JobReplyKind::Refused;
  Reply.m_Reason = JobsAreStored ? JobReason::None : JobReason::NotStored;
  Reply.m_RetryAfterMs = JobsAreStored ? 0 : RetryAfterMs;
  return Reply;
}

template <JobNode NodeType>
void JobService<NodeType>::callLedger(LedgerCallKind Kind,
                                      const std::string &Id, JobRequest Job,
                                      double TimeLeftMs, Done Answer) {
  ++m_OpenCalls;
  m_Node.call(Kind, Id, std::move(Job), TimeLeftMs,
              [this, Kind, Answer = std::move(Answer)](
                  LedgerCallOutcome Outcome, StoredJobState State) {
                --m_OpenCalls;
                Answer(makeJobReply(Kind, Outcome, State));
              });
}

template <JobNode NodeType>
bool JobService<NodeType>::finishesBeforeStop(const JobRequest &Job) const {
  if (!m_StopBeganAt)
    return true;
  double ExpectedMs = Job.m_Policy.m_TargetLatencyMs;
  for (const JobStep &Step : Job.m_Steps)
    ExpectedMs += EstimateMargin * Step.m_EstimatedMs;
  double StoppingMs = millisecondsBetween(*m_StopBeganAt, EventLoop::now());
  return StoppingMs + ExpectedMs < m_Settings.m_StopTimeoutMs;
}

} // namespace auburnhub

#endif
