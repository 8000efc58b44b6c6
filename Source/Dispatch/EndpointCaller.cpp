#include "EndpointCaller.h"

#include "auburnhub/Base/Failure.h"

#include <algorithm>

namespace auburnhub {
namespace {

constexpr int HttpOk = 200;
/// The endpoint understood the task and reports that it failed.
constexpr int HttpUnprocessable = 422;
constexpr int FirstErrorStatus = 400;
constexpr std::size_t IdleClientsPerEndpoint = 64;

EndpointReply failed(CallEnd End, absl::Status Why) {
  EndpointReply Reply;
  Reply.m_End = End;
  Reply.m_Failure = std::move(Why);
  return Reply;
}

} // namespace

HttpRequest makeEndpointRequest(const EndpointCall &Call) {
  HttpRequest Request;
  Request.m_Method = "POST";
  Request.m_Path = "/v1/run";
  Request.m_Headers.set("Auburnhub-Service", Call.m_Service);
  Request.m_Headers.set("Auburnhub-Submission", Call.m_Submission.str());
  Request.m_Headers.set("Auburnhub-Task", std::to_string(Call.m_Task));
  Request.m_Headers.set("Auburnhub-Attempt", std::to_string(Call.m_Attempt));
  Request.m_Headers.set("Auburnhub-Call", Call.m_CallId);
  Request.m_Headers.set("Content-Type", "application/octet-stream");
  Request.m_Body = Call.m_Body;
  return Request;
}

EndpointReply readEndpointReply(const EndpointCall &Call,
                                absl::StatusOr<HttpResponse> Response) {
  if (!Response.ok()) {
    bool NothingSent =
        failureCode(Response.status()) == FailureCode::EndpointRefused;
    return failed(NothingSent ? CallEnd::NotStarted : CallEnd::Lost,
                  Response.status());
  }
  const HttpHeaders &Headers = Response->m_Headers;
  bool IsOurs = Headers.get("Auburnhub-Call") == Call.m_CallId &&
                Headers.get("Auburnhub-Submission") == Call.m_Submission.str();
  if (!IsOurs)
    return failed(CallEnd::Lost,
                  makeFailure(FailureCode::EndpointFailed,
                              Call.m_Endpoint.str() +
                                  ": the reply belongs to another call"));
  EndpointReply Reply;
  Reply.m_Leaving = Headers.get("Auburnhub-Leaving") == "yes";
  std::string Status =
      Call.m_Endpoint.str() + ": status " + std::to_string(Response->m_Status);
  if (Response->m_Status == HttpOk) {
    Reply.m_End = CallEnd::Done;
    Reply.m_Result = std::move(Response->m_Body);
    return Reply;
  }
  bool Refused = Response->m_Status >= FirstErrorStatus &&
                 Headers.get("Auburnhub-Started") == "no";
  if (Refused) {
    Reply.m_End = CallEnd::NotStarted;
    Reply.m_Failure = makeFailure(FailureCode::EndpointRefused, Status);
  } else if (Response->m_Status == HttpUnprocessable) {
    Reply.m_End = CallEnd::TaskFailed;
    Reply.m_Failure = makeFailure(FailureCode::TaskFailed, Status);
  } else {
    Reply.m_End = CallEnd::Broken;
    Reply.m_Failure = makeFailure(FailureCode::EndpointFailed, Status);
  }
  return Reply;
}

EndpointCaller::EndpointCaller(std::size_t MaxThreads)
    : m_MaxThreads(MaxThreads) {}

EndpointCaller::~EndpointCaller() { stop(); }

void EndpointCaller::start(EndpointCall Call, DoneCall Done) {
  MonotonicTime Deadline = TimerService::now() + Call.m_Timeout;
  {
    std::lock_guard Lock(m_Mutex);
    m_Jobs.push_back({std::move(Call), std::move(Done), Deadline});
    bool NeedsThread =
        m_Jobs.size() > m_IdleThreads && m_Threads.size() < m_MaxThreads;
    if (NeedsThread)
      m_Threads.emplace_back([this] { run(); });
  }
  m_Ready.notify_one();
}

void EndpointCaller::stop() {
  {
    std::lock_guard Lock(m_Mutex);
    m_Stopping = true;
    m_Jobs.clear();
  }
  m_Ready.notify_all();
  for (std::thread &Thread : m_Threads)
    if (Thread.joinable())
      Thread.join();
}

void EndpointCaller::run() {
  std::unique_lock Lock(m_Mutex);
  while (true) {
    ++m_IdleThreads;
    m_Ready.wait(Lock, [this] { return m_Stopping || !m_Jobs.empty(); });
    --m_IdleThreads;
    if (m_Stopping)
      return;
    Job Next = std::move(m_Jobs.front());
    m_Jobs.pop_front();
    std::unique_ptr<HttpClient> Client = takeClient(Next.m_Call.m_Endpoint);
    Lock.unlock();
    auto Left = std::chrono::duration_cast<Milliseconds>(Next.m_Deadline -
                                                         TimerService::now());
    EndpointReply Reply;
    if (Left <= Milliseconds::zero()) {
      Reply = failed(CallEnd::NotStarted,
                     makeFailure(FailureCode::Timeout, "not sent in time"));
    } else {
      Reply = readEndpointReply(
          Next.m_Call, Client->call(makeEndpointRequest(Next.m_Call), Left));
    }
    // A connection whose last reply was not trusted is closed.
    if (Reply.m_End == CallEnd::Lost)
      Client.reset();
    Next.m_Done(std::move(Reply));
    Lock.lock();
    if (Client)
      keepClient(std::move(Client));
  }
}

std::unique_ptr<HttpClient>
EndpointCaller::takeClient(const Address &Endpoint) {
  auto Found = m_Idle.find(Endpoint);
  if (Found == m_Idle.end() || Found->second.empty())
    return std::make_unique<HttpClient>(Endpoint);
  std::unique_ptr<HttpClient> Client = std::move(Found->second.back());
  Found->second.pop_back();
  return Client;
}

void EndpointCaller::keepClient(std::unique_ptr<HttpClient> Client) {
  auto &Idle = m_Idle[Client->server()];
  if (Idle.size() < IdleClientsPerEndpoint)
    Idle.push_back(std::move(Client));
}

} // namespace auburnhub
