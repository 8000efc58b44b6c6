#ifndef AUBURNHUB_NODE_JOBINTERFACE_H
#define AUBURNHUB_NODE_JOBINTERFACE_H

#include "auburnhub/Http/HttpMessage.h"
#include "auburnhub/Net/LoopHttpServer.h"
#include "auburnhub/Node/JobReply.h"
#include "auburnhub/Node/QueueTable.h"

#include "absl/status/statusor.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

/// \file
/// The native HTTP interface for jobs that a node runs or stores:
///
/// - `PUT /v1/queues/QUEUE/jobs/ID` submits a job;
/// - `GET /v1/queues/QUEUE` returns the number of stored jobs that have not
///   started;
/// - `GET /v1/jobs/ID` returns the state of a job;
/// - `DELETE /v1/jobs/ID` cancels it.
///
/// The caller chooses the id, which makes submission idempotent: a job that is
/// submitted again under the same id is the same job. Refusals and failures are
/// returned as problem documents (RFC 9457).

namespace auburnhub {

/// The schema version of job bodies that is accepted.
inline constexpr int JobBodySchema = 1;

/// The request body of a job submission.
struct JobBody {
  int m_Schema = JobBodySchema;
  std::string m_Spec; ///< Opaque; passed to each task.
  std::vector<JobStep> m_Steps;
  /// If true, the call is answered once the job is stored. Otherwise it is
  /// answered when the job has finished, and the job is lost if the node that
  /// runs it fails.
  bool m_Stored = true;

  template <typename Visitor> void fields(Visitor &V) {
    V("schema", m_Schema);
    V("spec", m_Spec);
    V("steps", m_Steps);
    V("stored", m_Stored);
  }
};

/// The parsed method and path of a request to the interface.
struct JobInterfaceCall {
  enum class Action { Submit, State, Cancel, CountWaiting };
  Action m_Action = Action::State;
  std::string m_Id;    ///< Empty for CountWaiting.
  std::string m_Queue; ///< Empty for State and Cancel.
};

/// Parses the method and path of a request. Fails with NotFound,
/// MethodNotAllowed or BadId.
absl::StatusOr<JobInterfaceCall> parseJobCall(const HttpRequest &Request);

/// Parses the body of a job submission. Fails with BadRequest or
/// UnsupportedSchema.
absl::StatusOr<JobBody> parseJobBody(std::string_view Text);

/// Returns the caller's timeout in milliseconds: the value of the
/// Auburnhub-Timeout header, or DefaultMs if the header is missing or invalid.
double jobTimeoutMs(const HttpRequest &Request, double DefaultMs);

/// Returns the HTTP response for a reply about the job Id: the state of the
/// job, or a problem document.
HttpResponse jobResponse(const std::string &Id, const JobReply &Reply);

/// Returns the problem document for a call that failed with this status.
HttpResponse jobProblem(const absl::Status &Status);

/// Maps HTTP requests to calls of a job service.
template <typename Service> class JobInterface {
public:
  /// Returns the queues of the configuration in force; null while there is no
  /// configuration.
  using QueueSource = std::function<const QueueTable *()>;

  JobInterface(Service &Jobs, QueueSource Source)
      : m_Jobs(Jobs), m_QueueSource(std::move(Source)) {}

  /// Serves one request; responds exactly once, possibly after it returns.
  void onCall(const HttpExchange &Exchange);

private:
  /// Timeout of state queries and cancellations without an Auburnhub-Timeout
  /// header, in milliseconds: long enough for several appends to a slow log.
  static constexpr double DefaultTimeoutMs = 5000;

  void submit(const HttpExchange &Exchange, const JobInterfaceCall &Call);
  absl::StatusOr<const QueueEntry *> findQueue(const std::string &Name) const;

  Service &m_Jobs;
  QueueSource m_QueueSource;
};

template <typename Service>
absl::StatusOr<const QueueEntry *>
JobInterface<Service>::findQueue(const std::string &Name) const {
  const QueueTable *Table = m_QueueSource();
  if (!Table)
    return makeFailure(FailureCode::NoConfiguration,
                       "no configuration is in force yet");
  const QueueEntry *Queue = Table->findByName(Name);
  if (!Queue)
    return makeFailure(FailureCode::NotFound, "unknown queue " + Name);
  return Queue;
}

template <typename Service>
void JobInterface<Service>::submit(const HttpExchange &Exchange,
                                   const JobInterfaceCall &Call) {
  const HttpRequest &Request = Exchange.request();
  auto Queue = findQueue(Call.m_Queue);
  if (!Queue.ok()) {
    Exchange.respond(jobProblem(Queue.status()));
    return;
  }
  if ((*Queue)->m_Restricted) {
    Exchange.respond(jobProblem(makeFailure(
        FailureCode::NoEndpoint,
        "the queue has a worker policy that this node does not support")));
    return;
  }
  auto Body = parseJobBody(Request.m_Body);
  if (!Body.ok()) {
    Exchange.respond(jobProblem(Body.status()));
    return;
  }
  JobRequest Job;
  Job.m_Id = Call.m_Id;
  Job.m_Policy = (*Queue)->m_Policy;
  Job.m_Spec = std::move(Body->m_Spec);
  Job.m_Steps = std::move(Body->m_Steps);
  Job.m_TimeLeftMs =
      jobTimeoutMs(Request, (*Queue)->m_TimeoutMs) - Exchange.readDelayMs();
  Exchange.onCallerDisconnected(m_Jobs.submit(
      std::move(Job), Body->m_Stored,
      [Exchange, Id = Call.m_Id](const JobReply &Reply) {
        Exchange.respond(jobResponse(Id, Reply));
      },
      [Exchange] { return Exchange.isCallerConnected(); }));
}

template <typename Service>
void JobInterface<Service>::onCall(const HttpExchange &Exchange) {
  const HttpRequest &Request = Exchange.request();
  absl::StatusOr<JobInterfaceCall> Call = parseJobCall(Request);
  if (!Call.ok()) {
    Exchange.respond(jobProblem(Call.status()));
    return;
  }
  auto Answer = [Exchange, Id = Call->m_Id](const JobReply &Reply) {
    Exchange.respond(jobResponse(Id, Reply));
  };
  double TimeoutMs = jobTimeoutMs(Request, DefaultTimeoutMs);
  switch (Call->m_Action) {
  case JobInterfaceCall::Action::Submit:
    submit(Exchange, *Call);
    return;
  case JobInterfaceCall::Action::State:
    m_Jobs.state(Call->m_Id, TimeoutMs, Answer);
    return;
  case JobInterfaceCall::Action::Cancel:
    m_Jobs.cancel(Call->m_Id, TimeoutMs, Answer);
    return;
  case JobInterfaceCall::Action::CountWaiting:
    break;
  }
  auto Queue = findQueue(Call->m_Queue);
  if (!Queue.ok()) {
    Exchange.respond(jobProblem(Queue.status()));
    return;
  }
  HttpResponse Response;
  Response.m_Body = nlohmann::json({{"queue", Call->m_Queue},
                                    {"waiting", m_Jobs.waiting(Call->m_Queue)}})
                        .dump();
  Exchange.respond(std::move(Response));
}

} // namespace auburnhub

#endif
