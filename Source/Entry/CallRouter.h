#ifndef AUBURNHUB_ENTRY_CALLROUTER_H
#define AUBURNHUB_ENTRY_CALLROUTER_H

#include "CallTable.h"
#include "DispatcherChoice.h"
#include "EntryConfiguration.h"

#include "auburnhub/Program/ProcessContext.h"
#include "auburnhub/Wire/LinkHub.h"

#include <atomic>
#include <functional>
#include <future>
#include <random>
#include <set>

namespace auburnhub {

/// The end of a call, with what the metrics may say of it.
struct CallResult {
  CallReply m_Reply;
  bool m_ServiceKnown = false; ///< The configuration has the service.
};

/// Sends calls to dispatchers and pairs the answers with them.
///
/// Keeps the links to the VM's control and to the dispatchers of the member
/// view. All state belongs to its task; the public functions may be called
/// from any thread.
class CallRouter {
public:
  CallRouter(const ProcessContext &Context, Address Control);
  ~CallRouter();

  void start();

  /// Checks a request against the configuration and sends it; the result is
  /// there at the latest shortly after the caller's timeout.
  std::future<CallResult> call(CallerRequest Request);

  bool isReady() const { return m_IsReady; }

  nlohmann::json status();

  void beginStop(std::function<void(bool)> Drained);
  void stop();

private:
  void accept(std::shared_ptr<const CallerRequest> Request,
              MonotonicTime Received, std::promise<CallResult> Promise);
  absl::Status check(const CallerRequest &Request) const;
  void forward(WaitingCall Call, const ChosenDispatcher &Chosen);
  bool reroute(PeerId From, const Answer &Received);
  void onDraining(PeerId From);
  CallFailure refusal(const CallerRequest &Request, const absl::Status &Why);
  void logForwarded(const CallerRequest &Request, CallNumber Number,
                    const ChosenDispatcher &Chosen) const;
  void send(const CallerRequest &Request, CallNumber Number, PeerId To,
            Milliseconds Timeout);

  void onPeerUp(PeerId Peer, const Hello &Greeting);
  void onPeerDown(PeerId Peer, const Hello &Greeting);
  void onReceived(PeerId From, const Envelope &Received);
  void onMembers(const MembersUpdate &Update);
  void onConfiguration(const ConfigurationUpdate &Update);
  template <WireMessage Reply>
  void onReply(PeerId From, const Envelope &Received);
  void onReject(PeerId From, const Envelope &Received);
  void refuseReply(PeerId From, ReplyMatch Match, CallNumber Number,
                   std::string_view Type);
  void onTimeout(CallNumber Number);
  void onDrainEnd();

  void finish(std::optional<WaitingCall> Call, CallReply Reply);
  void failAll(std::span<const CallNumber> Numbers, const CallFailure &Why);
  void countCall(PeerId Peer, int Change);
  void refreshView();
  void refreshReady();
  void sendStatus();
  void checkDrained(bool InTime);
  nlohmann::json describe() const;

  const ProcessContext m_Context;
  const Address m_Control;
  SerialTask m_Task;
  Log m_RoutingLog{"routing"};
  Log m_ConfigLog{"config"};
  Log m_CallsLog{"calls"};
  DispatcherChoice m_Choice;
  std::mt19937_64 m_Random;
  CallTable m_Calls;
  EntryConfiguration m_Configuration;
  std::vector<Member> m_Members;
  std::vector<DispatcherCandidate> m_View;
  PeerId m_ControlPeer = 0;
  std::set<PeerId> m_DrainingPeers;
  bool m_Stopping = false;
  std::function<void(bool)> m_Drained;
  std::atomic<bool> m_IsReady{false};
  Gauge &m_WaitingGauge;
  Gauge &m_OffsetGauge;
  Counter &m_Mismatches;
  Counter &m_LateAnswers;
  Counter &m_CutCalls;
  LinkHub m_Hub;
};

} // namespace auburnhub

#endif
