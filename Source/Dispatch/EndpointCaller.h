#ifndef AUBURNHUB_DISPATCH_ENDPOINTCALLER_H
#define AUBURNHUB_DISPATCH_ENDPOINTCALLER_H

#include "EndpointCall.h"

#include "auburnhub/Http/HttpClient.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace auburnhub {

/// Makes calls to endpoints on a pool of threads, each with its own
/// connection while it calls.
///
/// start() returns at once; Done runs later on a thread of the pool and should
/// only post a message. The pool grows up to MaxThreads; further calls wait.
class EndpointCaller {
public:
  using DoneCall = std::function<void(EndpointReply)>;

  explicit EndpointCaller(std::size_t MaxThreads);
  ~EndpointCaller();
  EndpointCaller(const EndpointCaller &) = delete;
  EndpointCaller &operator=(const EndpointCaller &) = delete;

  void start(EndpointCall Call, DoneCall Done);

  /// Waits for the calls in progress, drops those that wait, ends the threads.
  void stop();

private:
  struct Job {
    EndpointCall m_Call;
    DoneCall m_Done;
    MonotonicTime m_Deadline;
  };

  void run();
  std::unique_ptr<HttpClient> takeClient(const Address &Endpoint);
  void keepClient(std::unique_ptr<HttpClient> Client);

  const std::size_t m_MaxThreads;
  std::mutex m_Mutex;
  std::condition_variable m_Ready;
  std::deque<Job> m_Jobs;
  std::map<Address, std::vector<std::unique_ptr<HttpClient>>> m_Idle;
  std::vector<std::thread> m_Threads;
  std::size_t m_IdleThreads = 0;
  bool m_Stopping = false;
};

/// Makes the HTTP request of a call.
HttpRequest makeEndpointRequest(const EndpointCall &Call);

/// Reads what an endpoint answered, or how the exchange failed. A reply that
/// does not repeat the call's number and submission is not trusted.
EndpointReply readEndpointReply(const EndpointCall &Call,
                                absl::StatusOr<HttpResponse> Response);

} // namespace auburnhub

#endif
