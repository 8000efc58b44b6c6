#include "ControlNode.h"

#include "MonotonicClock.h"

#include <algorithm>
#include <future>
#include <iterator>

namespace auburnhub {
namespace {

constexpr Milliseconds TickPeriod{100};
/// Members are suspected after this share of the time that drops them.
constexpr int SuspectDivisor = 2;
/// How long the platform may take to tell what a peer already knows, before
/// the peer is asked.
constexpr std::int64_t BehindPatienceMs = 1500;

MemberTimings memberTimings(const ControlSettings &Settings) {
  std::int64_t DropMs = Settings.m_HeartbeatTimeout.count();
  return {DropMs / SuspectDivisor, DropMs};
}

Hello makeHello(const ProcessContext &Context, const Address &Link) {
  Hello Self;
  Self.m_Role = "control";
  Self.m_Vm = Context.m_Common.m_Vm;
  Self.m_DataCentre = Context.m_Common.m_DataCentre;
  Self.m_Incarnation = Context.m_Incarnation;
  Self.m_LinkAddress = Link.str();
  Self.m_HttpAddress = Context.m_Common.m_Http.str();
  return Self;
}

} // namespace

ControlNode::ControlNode(const ProcessContext &Context,
                         const ControlSettings &Settings)
    : m_Context(Context), m_Settings(Settings), m_Timers(Context.m_Timers),
      m_Link(Settings.m_Link), m_Members(memberTimings(Settings)),
      m_MemberCount(Context.m_Metrics.gauge(
          "auburnhub_members", "Members that answer, this VM among them")),
      m_LinkBytesSent(Context.m_Metrics.gauge("auburnhub_link_sent_bytes",
                                              "Bytes of messages sent")),
      m_LinkBytesReceived(Context.m_Metrics.gauge(
          "auburnhub_link_received_bytes", "Bytes of messages received")),
      m_Hub(m_Task, m_Timers, makeHello(Context, Settings.m_Link),
            linkEvents()),
      m_Claims(
          Settings, Context.m_Common.m_Vm, m_Task, m_Timers, Context.m_Metrics,
          [this](PeerId Peer, const ClaimReply &Msg) { m_Hub.send(Peer, Msg); },
          [this](const absl::Status &Seen) { notePlatform(Seen); }),
      m_Configuration(
          Settings, Context.m_Common.m_Vm, m_Task, m_Timers, Context.m_Metrics,
          [this] { onConfigurationChanged(); },
          [this](const absl::Status &Seen) { notePlatform(Seen); }),
      m_VmList(Settings.m_Platform, Context.m_Common.m_Vm,
               Settings.m_VmListPeriod, m_Task, m_Timers,
               [this](const std::vector<PlatformVm> &Vms) { onVmList(Vms); }) {}

ControlNode::~ControlNode() { stop(); }

absl::Status ControlNode::start() {
  std::promise<absl::Status> Started;
  m_Task.post([&] { Started.set_value(startOnTask()); });
  return Started.get_future().get();
}

absl::Status ControlNode::startOnTask() {
  absl::StatusOr<std::uint16_t> Port = m_Hub.listen(m_Settings.m_Link);
  if (!Port.ok())
    return Port.status();
  m_Link.m_Port = *Port;
  m_Hub.setSelf(makeHello(m_Context, m_Link));
  Member Self;
  Self.m_Vm = m_Context.m_Common.m_Vm;
  Self.m_DataCentre = m_Context.m_Common.m_DataCentre;
  Self.m_ControlAddress = m_Link.str();
  Self.m_Weight = m_Settings.m_Weight;
  Self.m_ConfigurationSchema = NewestReadableConfigurationSchema;
  // Versions must rise over restarts too.
  Self.m_Version = static_cast<std::uint64_t>(TimerService::wallMilliseconds());
  m_Members.setSelf(std::move(Self));
  m_Claims.start();
  m_Configuration.start();
  m_VmList.start();
  refreshConnections();
  m_Subscriptions = {
      m_Timers.every(TickPeriod, m_Task, [this] { tick(); }),
      m_Timers.every(m_Settings.m_HeartbeatPeriod, m_Task,
                     [this] { heartbeat(); }),
  };
  return absl::OkStatus();
}

void ControlNode::stop() {
  for (TimerService::Subscription Id : m_Subscriptions)
    m_Timers.cancel(Id);
  m_Claims.requestStop();
  m_Configuration.requestStop();
  m_VmList.stop();
  m_Claims.stop();
  m_Configuration.stop();
  m_Hub.stop();
  m_Task.stop();
}

nlohmann::json ControlNode::status() {
  std::promise<nlohmann::json> Described;
  bool IsPosted = m_Task.post([&] { Described.set_value(describe()); });
  return IsPosted ? Described.get_future().get() : nlohmann::json::object();
}

void ControlNode::beginStop(std::function<void(bool)> Drained) {
  m_Task.post([this, Drained = std::move(Drained)] {
    m_IsStopping = true;
    m_Drained = Drained;
    changeSelf([](Member &Self) { Self.m_DispatchReady = false; });
    heartbeat();
    finishStop();
  });
}

void ControlNode::finishStop() {
  if (m_Drained && m_Claims.isIdle())
    std::exchange(m_Drained, nullptr)(true);
}

LinkEvents ControlNode::linkEvents() {
  return {
      [this](PeerId Peer, const Hello &Greeting) { onPeerUp(Peer, Greeting); },
      [this](PeerId Peer, const Hello &Greeting) {
        onPeerDown(Peer, Greeting);
      },
      [this](PeerId Peer, const Envelope &Received) {
        onReceived(Peer, Received);
      }};
}

bool ControlNode::isLocal(const Hello &Greeting) const {
  return Greeting.m_Role != "control" &&
         Greeting.m_Vm == m_Context.m_Common.m_Vm;
}

void ControlNode::onPeerUp(PeerId Peer, const Hello &Greeting) {
  if (isLocal(Greeting)) {
    if (m_Configuration.accepted())
      m_Hub.send(Peer, *m_Configuration.accepted());
    m_Hub.send(Peer, m_Members.update());
    return;
  }
  if (Greeting.m_Role != "control")
    return;
  m_Members.learnAddress(Greeting.m_LinkAddress, monotonicMilliseconds());
  sendHeartbeat(Peer, {});
  if (!m_Configuration.accepted())
    m_Hub.send(Peer, ConfigurationQuery{m_Configuration.offset()});
}

void ControlNode::onPeerDown(PeerId Peer, const Hello &Greeting) {
  m_Sent.erase(Peer);
  if (!isLocal(Greeting))
    return;
  changeSelf([&](Member &Self) {
    bool IsCurrent = Self.m_DispatchIncarnation == Greeting.m_Incarnation;
    if (Greeting.m_Role == "dispatch" && IsCurrent) {
      Self.m_DispatchAddress.clear();
      Self.m_DispatchReady = false;
    }
    bool IsCurrentEntry = Self.m_EntryAddress == Greeting.m_HttpAddress;
    if (Greeting.m_Role == "entry" && IsCurrentEntry)
      Self.m_EntryAddress.clear();
  });
}

template <WireMessage Type>
void ControlNode::dispatch(PeerId Peer, const Envelope &Received) {
  absl::StatusOr<Type> Msg = decode<Type>(Received);
  if (Msg.ok()) {
    on(Peer, *Msg);
    return;
  }
  Reject Reply;
  Reply.m_Failure = failureName(failureCode(Msg.status()));
  Reply.m_Detail = failureDetail(Msg.status());
  m_Hub.send(Peer, Reply);
}

void ControlNode::onReceived(PeerId Peer, const Envelope &Received) {
  using Handler = void (ControlNode::*)(PeerId, const Envelope &);
  static const std::map<std::string_view, Handler> Handlers = {
      {ClaimRequest::TypeName, &ControlNode::dispatch<ClaimRequest>},
      {LocalStatus::TypeName, &ControlNode::dispatch<LocalStatus>},
      {Heartbeat::TypeName, &ControlNode::dispatch<Heartbeat>},
      {MemberPulse::TypeName, &ControlNode::dispatch<MemberPulse>},
      {MemberQuery::TypeName, &ControlNode::dispatch<MemberQuery>},
      {ConfigurationQuery::TypeName,
       &ControlNode::dispatch<ConfigurationQuery>},
      {ConfigurationUpdate::TypeName,
       &ControlNode::dispatch<ConfigurationUpdate>},
      {Reject::TypeName, &ControlNode::dispatch<Reject>},
  };
  auto Found = Handlers.find(Received.m_Type);
  if (Found != Handlers.end()) {
    (this->*Found->second)(Peer, Received);
    return;
  }
  Reject Reply;
  Reply.m_Failure = failureName(FailureCode::BadMessage);
  Reply.m_Detail = "a control does not take " + Received.m_Type;
  m_Hub.send(Peer, Reply);
}

void ControlNode::on(PeerId Peer, const ClaimRequest &Msg) {
  if (!m_IsStopping) {
    m_Claims.request(Peer, Msg);
    return;
  }
  ClaimReply Reply;
  Reply.m_Call = Msg.m_Call;
  Reply.m_Id = Msg.m_Id;
  Reply.m_Failure = failureName(FailureCode::ShuttingDown);
  m_Hub.send(Peer, Reply);
}

void ControlNode::on(PeerId Peer, const LocalStatus &Msg) {
  auto Found = m_Hub.peers().find(Peer);
  if (Found == m_Hub.peers().end() || !isLocal(Found->second))
    return;
  changeSelf([&](Member &Self) {
    if (Msg.m_Role == "dispatch") {
      Self.m_DispatchAddress = Msg.m_LinkAddress;
      Self.m_DispatchIncarnation = Msg.m_Incarnation;
      Self.m_DispatchReady = Msg.m_Ready && !m_IsStopping;
    }
    if (Msg.m_Role == "entry")
      Self.m_EntryAddress = Msg.m_HttpAddress;
  });
}

void ControlNode::on(PeerId, const Heartbeat &Msg) {
  std::int64_t NowMs = monotonicMilliseconds();
  m_Members.heard(Msg.m_Self, NowMs);
  for (const std::string &Where : Msg.m_Known)
    m_Members.learnAddress(Where, NowMs);
  publishMembers();
}

void ControlNode::on(PeerId Peer, const MemberPulse &) {
  const std::string &Vm = m_Hub.peers().at(Peer).m_Vm;
  if (!m_Members.alive(Vm, monotonicMilliseconds()))
    m_Hub.send(Peer, MemberQuery{});
}

void ControlNode::on(PeerId Peer, const MemberQuery &) {
  m_Sent.erase(Peer);
  sendHeartbeat(Peer, {});
}

void ControlNode::on(PeerId Peer, const ConfigurationQuery &Msg) {
  if (m_Configuration.offset() > Msg.m_Known)
    m_Hub.send(Peer, *m_Configuration.accepted());
}

void ControlNode::on(PeerId, const ConfigurationUpdate &Msg) {
  m_Configuration.adopt(Msg);
}

void ControlNode::on(PeerId, const Reject &Msg) {
  m_MemberLog.warning("message_refused_by_peer",
                      {{"failure", Msg.m_Failure}, {"detail", Msg.m_Detail}});
}

void ControlNode::tick() {
  m_Members.expire(monotonicMilliseconds());
  m_Claims.tick();
  catchUpFromPeer();
  publishMembers();
  finishStop();
  TransportTraffic Traffic = m_Hub.traffic();
  m_LinkBytesSent.set(static_cast<double>(Traffic.m_BytesSent));
  m_LinkBytesReceived.set(static_cast<double>(Traffic.m_BytesReceived));
}

void ControlNode::heartbeat() {
  std::set<std::string> Known;
  for (std::string &Where : m_Members.liveAddresses())
    Known.insert(std::move(Where));
  for (const auto &[Unused, Peer] : controlLinks())
    sendHeartbeat(Peer, Known);
  refreshConnections();
  renewConfiguration();
}

void ControlNode::sendHeartbeat(PeerId Peer,
                                const std::set<std::string> &Known) {
  const Member &Self = m_Members.self();
  SentHeartbeat &Sent = m_Sent[Peer];
  Heartbeat Msg;
  Msg.m_Self = Self;
  std::set_difference(Known.begin(), Known.end(), Sent.m_Known.begin(),
                      Sent.m_Known.end(), std::back_inserter(Msg.m_Known));
  if (Sent.m_Version == Self.m_Version && Msg.m_Known.empty()) {
    m_Hub.send(Peer, MemberPulse{});
    return;
  }
  m_Hub.send(Peer, Msg);
  Sent.m_Version = Self.m_Version;
  Sent.m_Known.insert(Msg.m_Known.begin(), Msg.m_Known.end());
}

std::map<std::string, PeerId> ControlNode::controlLinks() const {
  std::map<std::string, PeerId> Links;
  for (const auto &[Peer, Greeting] : m_Hub.peers())
    if (Greeting.m_Role == "control" &&
        Greeting.m_Vm != m_Context.m_Common.m_Vm)
      Links.insert_or_assign(Greeting.m_Vm, Peer);
  return Links;
}

void ControlNode::catchUpFromPeer() {
  std::int64_t Newest = -1;
  for (const Member &Other : m_Members.others())
    Newest = std::max(Newest, Other.m_ConfigurationOffset);
  if (Newest <= m_Configuration.offset()) {
    m_BehindSinceMs = 0;
    return;
  }
  std::int64_t NowMs = monotonicMilliseconds();
  if (m_BehindSinceMs == 0)
    m_BehindSinceMs = NowMs;
  if (NowMs - m_BehindSinceMs < BehindPatienceMs)
    return;
  m_BehindSinceMs = NowMs;
  askForConfiguration();
}

void ControlNode::askForConfiguration() {
  std::map<std::string, PeerId> Links = controlLinks();
  const Member *Best = nullptr;
  std::vector<Member> Others = m_Members.others();
  for (const Member &Other : Others) {
    bool IsNewer =
        !Best || Other.m_ConfigurationOffset > Best->m_ConfigurationOffset;
    if (IsNewer && Links.contains(Other.m_Vm))
      Best = &Other;
  }
  if (Best)
    m_Hub.send(Links[Best->m_Vm], ConfigurationQuery{m_Configuration.offset()});
}

void ControlNode::renewConfiguration() {
  for (const Member &Other : m_Members.others())
    if (Other.m_Vm < m_Members.self().m_Vm)
      return;
  m_Configuration.renewIfDue();
}

void ControlNode::refreshConnections() {
  std::set<Address> Wanted(m_Settings.m_Seeds.begin(),
                           m_Settings.m_Seeds.end());
  for (const std::string &Text : m_Members.wantedAddresses()) {
    absl::StatusOr<Address> Where = parseAddress(Text);
    if (Where.ok())
      Wanted.insert(*Where);
  }
  Wanted.erase(m_Link);
  m_Hub.keepOnly(Wanted);
}

void ControlNode::publishMembers() {
  for (const MemberChange &Change : m_Members.takeChanges())
    m_MemberLog.info(Change.m_IsUp ? "member_up" : "member_down",
                     {{"member", Change.m_Member.m_Vm},
                      {"member_data_centre", Change.m_Member.m_DataCentre},
                      {"control", Change.m_Member.m_ControlAddress}});
  if (m_Members.revision() == m_PublishedRevision)
    return;
  m_PublishedRevision = m_Members.revision();
  MembersUpdate Update = m_Members.update();
  m_MemberCount.set(static_cast<double>(Update.m_Members.size()));
  for (const auto &[Peer, Greeting] : m_Hub.peers())
    if (isLocal(Greeting))
      m_Hub.send(Peer, Update);
}

void ControlNode::onConfigurationChanged() {
  m_HasConfiguration = true;
  const LimitsConfiguration &Limits = m_Configuration.body().m_Limits;
  m_Claims.setLimits({Limits.m_ResubmissionWindowMs, Limits.m_ClockBoundMs});
  for (const auto &[Peer, Greeting] : m_Hub.peers())
    if (isLocal(Greeting))
      m_Hub.send(Peer, *m_Configuration.accepted());
  changeSelf([this](Member &Self) {
    Self.m_ConfigurationOffset = m_Configuration.offset();
  });
}

void ControlNode::onVmList(const std::vector<PlatformVm> &Vms) {
  std::set<std::string> Leaving;
  for (const PlatformVm &Vm : Vms) {
    if (Vm.m_Role == "entry")
      m_Members.learnAddress(Vm.m_Address, monotonicMilliseconds());
    else if (Vm.m_State == "leaving")
      Leaving.insert(Vm.m_Vm);
  }
  m_Members.setLeaving(std::move(Leaving));
  publishMembers();
}

void ControlNode::notePlatform(const absl::Status &Seen) {
  if (Seen.ok() == m_IsPlatformUp)
    return;
  m_IsPlatformUp = Seen.ok();
  if (m_IsPlatformUp)
    m_PlatformLog.info("platform_back");
  else
    m_PlatformLog.warning("platform_unavailable",
                          {{"detail", failureDetail(Seen)}});
}

void ControlNode::changeSelf(const std::function<void(Member &)> &Change) {
  Member Changed = m_Members.self();
  Change(Changed);
  if (toJson(Changed) == toJson(m_Members.self()))
    return;
  ++Changed.m_Version;
  m_Members.setSelf(std::move(Changed));
  heartbeat();
  publishMembers();
}

nlohmann::json ControlNode::describe() const {
  TransportTraffic Traffic = m_Hub.traffic();
  return {{"link", m_Link.str()},
          {"configuration", m_Configuration.status()},
          {"claims", m_Claims.status()},
          {"members", toJson(m_Members.update())},
          {"platform_up", m_IsPlatformUp},
          {"bytes_sent", Traffic.m_BytesSent},
          {"bytes_received", Traffic.m_BytesReceived}};
}

} // namespace auburnhub
