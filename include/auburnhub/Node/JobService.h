#ifndef AUBURNHUB_NODE_JOBSERVICE_H
#define AUBURNHUB_NODE_JOBSERVICE_H

#include "auburnhub/Base/Log.h"
#include "auburnhub/Net/EventLoop.h"
#include "auburnhub/Node/JobReply.h"
#include "auburnhub/Node/JobRouter.h"
#include "auburnhub/Node/LedgerCalls.h"

#include <concepts>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>

namespace auburnhub {

/// Runs and stores jobs: a Node, or a stand-in.
template <typename Type>
concept JobNode = requires(Type &Node, JobRequest Job, JobRouter::Done Ended,
                           const std::string &Id, std::uint64_t Call,
                           LedgerCalls::Done Told,
                           std::function<void(bool)> Cancelled) {
  { Node.submit(Job, Ended) } -> std::same_as<std::uint64_t>;
  Node.callerGone(Call);
  Node.cancel(Id, Cancelled);
  { Node.knows(Id) } -> std::same_as<bool>;
  { Node.storesJobs() } -> std::same_as<std::optional<bool>>;
  Node.call(LedgerCallKind::State, Id, Job, 0.0, Told);
  { Node.pending(Id) } -> std::same_as<std::uint64_t>;
};

/// How long a process may go on after it was asked to stop, in milliseconds.
struct JobServiceSettings {
  double m_StopMs = 5000;
};

/// Callers' calls about jobs as a node serves them, whatever protocol they come
/// by. Each call is answered once.
template <JobNode NodeType> class JobService {
public:
  using Done = std::function<void(const JobReply &)>;

  JobService(NodeType &Node, const JobServiceSettings &Settings)
      : m_Node(Node), m_Settings(Settings) {}

  /// Answers when the job has ended, or is stored if it must be. Returns what
  /// is to be called if the caller goes away before.
  std::function<void()> submit(JobRequest Job, bool MustBeStored, Done Answer);

  /// TimeLeftMs is how long the caller waits.
  void cancel(const std::string &Job, double TimeLeftMs, Done Answer);
  void state(const std::string &Job, double TimeLeftMs, Done Answer);

  /// Returns how many stored jobs of a queue have not started.
  std::uint64_t waiting(const std::string &Queue) const {
    return m_Node.pending(Queue);
  }

  /// Takes no more jobs that cannot end before the process does.
  void beginStop() { m_StopSince = EventLoop::now(); }
  std::size_t openCalls() const { return m_OpenCalls; }

private:
  /// Share by which a job may take longer than its caller has guessed.
  static constexpr double EstimateMargin = 1.5;
  /// When a caller may ask again that a node has refused because it stops, or
  /// has just started.
  static constexpr double RetryAfterMs = 1000;

  bool endsBeforeStop(const JobRequest &Job) const;
  /// For a job that does not run here as one that is not stored.
  void askKeeper(LedgerCallKind Kind, const std::string &Job, double TimeLeftMs,
                 Done Answer);
  void callLedger(LedgerCallKind Kind, const std::string &Id, JobRequest Job,
                  double TimeLeftMs, Done Answer);

  NodeType &m_Node;
  JobServiceSettings m_Settings;
  Log m_Log{"job-calls"};
  std::optional<TimePoint> m_StopSince;
  std::size_t m_OpenCalls = 0;
};

template <JobNode NodeType>
std::function<void()>
JobService<NodeType>::submit(JobRequest Job, bool MustBeStored, Done Answer) {
  if (MustBeStored) {
    double TimeLeftMs = Job.m_TimeLeftMs;
    std::string Id = Job.m_Id;
    callLedger(LedgerCallKind::Submit, Id, std::move(Job), TimeLeftMs,
               std::move(Answer));
    return [] {};
  }
  if (!endsBeforeStop(Job)) {
    m_Log.info("job_not_taken", {{"job", Job.m_Id}, {"reason", "stopping"}});
    Answer(replyOf(
        JobResult{JobOutcome::NotRun, JobReason::Stopping, RetryAfterMs}));
    return [] {};
  }
  ++m_OpenCalls;
  std::uint64_t Call = m_Node.submit(
      std::move(Job),
      [this, Answer = std::move(Answer)](const JobResult &Result) {
        --m_OpenCalls;
        Answer(replyOf(Result));
      });
  return [this, Call] { m_Node.callerGone(Call); };
}

template <JobNode NodeType>
void JobService<NodeType>::cancel(const std::string &Job, double TimeLeftMs,
                                  Done Answer) {
  m_Node.cancel(
      Job, [this, Job, TimeLeftMs, Answer = std::move(Answer)](bool Known) {
        if (!Known) {
          askKeeper(LedgerCallKind::Cancel, Job, TimeLeftMs, Answer);
          return;
        }
        JobReply Reply;
        Reply.m_Kind = JobReplyKind::Done;
        Reply.m_State = StoredJobState::Cancelled;
        Answer(Reply);
      });
}

template <JobNode NodeType>
void JobService<NodeType>::state(const std::string &Job, double TimeLeftMs,
                                 Done Answer) {
  if (!m_Node.knows(Job)) {
    askKeeper(LedgerCallKind::State, Job, TimeLeftMs, std::move(Answer));
    return;
  }
  JobReply Reply;
  Reply.m_Kind = JobReplyKind::Done;
  Reply.m_State = StoredJobState::Running;
  Answer(Reply);
}

template <JobNode NodeType>
void JobService<NodeType>::askKeeper(LedgerCallKind Kind,
                                     const std::string &Job, double TimeLeftMs,
                                     Done Answer) {
  std::optional<bool> AreStored = m_Node.storesJobs();
  if (AreStored && *AreStored) {
    callLedger(Kind, Job, {}, TimeLeftMs, std::move(Answer));
    return;
  }
  // A node that has just started must not call a job unknown that is stored.
  JobReply Reply;
  Reply.m_Kind = AreStored ? JobReplyKind::NoSuchJob : JobReplyKind::Refused;
  Reply.m_Reason = AreStored ? JobReason::None : JobReason::NotStored;
  Reply.m_RetryAfterMs = AreStored ? 0 : RetryAfterMs;
  Answer(Reply);
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
                Answer(replyOf(Kind, Outcome, State));
              });
}

template <JobNode NodeType>
bool JobService<NodeType>::endsBeforeStop(const JobRequest &Job) const {
  if (!m_StopSince)
    return true;
  double NeedsMs = Job.m_Policy.m_TargetLatencyMs;
  for (const JobStep &Step : Job.m_Steps)
    NeedsMs += EstimateMargin * Step.m_EstimatedMs;
  double SinceMs = millisecondsBetween(*m_StopSince, EventLoop::now());
  return SinceMs + NeedsMs < m_Settings.m_StopMs;
}

} // namespace auburnhub

#endif
