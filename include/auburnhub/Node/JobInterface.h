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
/// The product's own HTTP interface for jobs that a node runs or stores:
///
/// - `PUT /v1/queues/QUEUE/jobs/ID` hands a job in;
/// - `GET /v1/queues/QUEUE` tells how many stored jobs wait;
/// - `GET /v1/jobs/ID` tells the state of a job;
/// - `DELETE /v1/jobs/ID` cancels it.
///
/// An id is the caller's: a job that is handed in again under its id is the
/// same job. Refusals and failures are problem documents (RFC 9457).

namespace auburnhub {

/// The newest schema version of a job's body that is read.
inline constexpr int JobBodySchema = 1;

/// The body of a job that is handed in.
struct JobBody {
  int m_Schema = JobBodySchema;
  std::string m_Spec; ///< Opaque; each task gets it.
  std::vector<JobStep> m_Steps;
  /// Answer when it is stored; otherwise it is answered when it has ended, and
  /// lost with the node that runs it.
  bool m_Stored = true;

  template <typename Visitor> void fields(Visitor &V) {
    V("schema", m_Schema);
    V("spec", m_Spec);
    V("steps", m_Steps);
    V("stored", m_Stored);
  }
};

/// What a call of the interface asks for.
struct JobInterfaceCall {
  enum class Action { Submit, State, Cancel, CountWaiting };
  Action m_Action = Action::State;
  std::string m_Id;    ///< Empty for CountWaiting.
  std::string m_Queue; ///< Empty for State and Cancel.
};

/// Reads what a request asks for. Fails with NotFound, MethodNotAllowed or
/// BadId.
absl::StatusOr<JobInterfaceCall> parseJobCall(const HttpRequest &Request);

/// Reads the body of a job. Fails with BadRequest or UnsupportedSchema.
absl::StatusOr<JobBody> parseJobBody(std::string_view Text);

/// Returns how long a caller waits: its header Auburnhub-Timeout, or what its
/// queue says.
double jobTimeoutMs(const HttpRequest &Request, double DefaultMs);

/// Makes the response to a call about a job.
HttpResponse jobResponse(const std::string &Id, const JobReply &Reply);

/// Makes the response to a call that cannot be served.
HttpResponse jobProblem(const absl::Status &Why);

/// Serves the interface on a service of jobs.
template <typename Service> class JobInterface {
public:
  /// Returns the queues in force; null while there is no configuration.
  using Queues = std::function<const QueueTable *()>;

  JobInterface(Service &Jobs, Queues Known)
      : m_Jobs(Jobs), m_Queues(std::move(Known)) {}

  void onCall(const HttpExchange &Exchange);

private:
  /// For callers that do not say how long they wait, in milliseconds: several
  /// appends to a slow log.
  static constexpr double DefaultTimeoutMs = 5000;

  void submit(const HttpExchange &Exchange, const JobInterfaceCall &Call);
  absl::StatusOr<const QueueEntry *> queue(const std::string &Name) const;

  Service &m_Jobs;
  Queues m_Queues;
};

template <typename Service>
absl::StatusOr<const QueueEntry *>
JobInterface<Service>::queue(const std::string &Name) const {
  const QueueTable *Known = m_Queues();
  if (!Known)
    return makeFailure(FailureCode::NoConfiguration,
                       "no configuration is in force yet");
  const QueueEntry *Found = Known->named(Name);
  if (!Found)
    return makeFailure(FailureCode::NotFound, "there is no queue " + Name);
  return Found;
}

template <typename Service>
void JobInterface<Service>::submit(const HttpExchange &Exchange,
                                   const JobInterfaceCall &Call) {
  const HttpRequest &Request = Exchange.request();
  auto Queue = queue(Call.m_Queue);
  if (!Queue.ok()) {
    Exchange.respond(jobProblem(Queue.status()));
    return;
  }
  if ((*Queue)->m_Restricted) {
    Exchange.respond(jobProblem(makeFailure(
        FailureCode::NoEndpoint, "the queue has a policy that is not served")));
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
  Job.m_TimeLeftMs = jobTimeoutMs(Request, (*Queue)->m_TimeoutMs);
  Exchange.onCallerGone(
      m_Jobs.submit(std::move(Job), Body->m_Stored,
                    [Exchange, Id = Call.m_Id](const JobReply &Reply) {
                      Exchange.respond(jobResponse(Id, Reply));
                    }));
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
  auto Queue = queue(Call->m_Queue);
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
