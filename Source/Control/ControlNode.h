#ifndef AUBURNHUB_CONTROL_CONTROLNODE_H
#define AUBURNHUB_CONTROL_CONTROLNODE_H

#include "ClaimService.h"
#include "ConfigurationService.h"
#include "VmListPoller.h"

#include "auburnhub/Coordination/MemberView.h"
#include "auburnhub/Program/ProcessContext.h"
#include "auburnhub/Wire/LinkHub.h"

#include <atomic>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace auburnhub {

/// The part of the control process that has its state: links to peers and
/// local processes, members, configuration and claims, all on one task.
class ControlNode {
public:
  ControlNode(const ProcessContext &Context, const ControlSettings &Settings);
  ~ControlNode();

  absl::Status start();
  void stop();

  /// The following are called from any thread.
  Address linkAddress() const { return m_Link; }
  bool isReady() const { return m_HasConfiguration; }
  nlohmann::json status();
  void beginStop(std::function<void(bool)> Drained);

private:
  /// What was last sent to a peer on a link.
  struct SentHeartbeat {
    std::uint64_t m_Version = 0;
    std::set<std::string> m_Known;
  };

  absl::Status startOnTask();
  LinkEvents linkEvents();
  void onPeerUp(PeerId Peer, const Hello &Greeting);
  void onPeerDown(PeerId Peer, const Hello &Greeting);
  void onReceived(PeerId Peer, const Envelope &Received);
  template <WireMessage Type>
  void dispatch(PeerId Peer, const Envelope &Received);
  void on(PeerId Peer, const ClaimRequest &Msg);
  void on(PeerId Peer, const LocalStatus &Msg);
  void on(PeerId Peer, const Heartbeat &Msg);
  void on(PeerId Peer, const MemberPulse &Msg);
  void on(PeerId Peer, const MemberQuery &Msg);
  void on(PeerId Peer, const ConfigurationQuery &Msg);
  void on(PeerId Peer, const ConfigurationUpdate &Msg);
  void on(PeerId Peer, const Reject &Msg);

  void tick();
  void heartbeat();
  void sendHeartbeat(PeerId Peer, const std::set<std::string> &Known);
  void catchUpFromPeer();
  void askForConfiguration();
  void renewConfiguration();
  void refreshConnections();
  void publishMembers();
  void onConfigurationChanged();
  void onVmList(const std::vector<PlatformVm> &Vms);
  void notePlatform(const absl::Status &Seen);
  void changeSelf(const std::function<void(Member &)> &Change);
  void finishStop();
  nlohmann::json describe() const;

  bool isLocal(const Hello &Greeting) const;
  /// Returns one link to each other control, by VM.
  std::map<std::string, PeerId> controlLinks() const;

  const ProcessContext m_Context;
  const ControlSettings m_Settings;
  TimerService &m_Timers;
  Address m_Link;
  std::atomic<bool> m_HasConfiguration{false};
  Log m_MemberLog{"members"};
  Log m_PlatformLog{"platform"};

  MemberView m_Members;
  std::uint64_t m_PublishedRevision = 0;
  std::map<PeerId, SentHeartbeat> m_Sent;
  std::int64_t m_BehindSinceMs = 0; ///< 0: no peer has a newer configuration.
  bool m_IsPlatformUp = true;
  bool m_IsStopping = false;
  std::function<void(bool)> m_Drained; ///< Set until claims have ended.
  std::vector<TimerService::Subscription> m_Subscriptions;

  Gauge &m_MemberCount;
  Gauge &m_LinkBytesSent;
  Gauge &m_LinkBytesReceived;

  SerialTask m_Task{"control"};
  LinkHub m_Hub;
  ClaimService m_Claims;
  ConfigurationService m_Configuration;
  VmListPoller m_VmList;
};

} // namespace auburnhub

#endif
