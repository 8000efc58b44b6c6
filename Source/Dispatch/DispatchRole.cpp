#include "auburnhub/Dispatch/DispatchRole.h"

#include "Dispatcher.h"
#include "SlotLending.h"
#include "SlotOwnership.h"

#include "auburnhub/Http/Problem.h"

#include <algorithm>
#include <atomic>
#include <future>

namespace auburnhub {
namespace {

constexpr Milliseconds StatusPeriod{1000};
constexpr Milliseconds StatusPageLimit{2000};
constexpr Milliseconds DrainCheckPeriod{20};
/// How long a drain waits for entries that do not answer, such as paused ones.
constexpr Milliseconds DrainingSeenLimit{5000};

Hello makeHello(const ProcessContext &Context, const Address &Link) {
  Hello Self;
  Self.m_Role = "dispatch";
  Self.m_Vm = Context.m_Common.m_Vm;
  Self.m_DataCentre = Context.m_Common.m_DataCentre;
  Self.m_Incarnation = Context.m_Incarnation;
  Self.m_LinkAddress = Link.str();
  Self.m_HttpAddress = Context.m_Common.m_Http.str();
  return Self;
}

} // namespace

class DispatchRole::Impl {
public:
  Impl(const ProcessContext &Context, const Settings &Chosen)
      : m_Context(Context), m_Settings(Chosen) {}

  ~Impl() { stop(); }

  absl::Status start();
  bool isReady() const { return m_Ready; }
  nlohmann::json status();
  void beginStop(std::function<void(bool)> Drained);
  void stop();

private:
  Dispatcher::Links dispatcherLinks();
  SlotLending::Links lendingLinks();
  void onPeerUp(PeerId Peer, const Hello &Greeting);
  void onPeerDown(PeerId Peer, const Hello &Greeting);
  void onReceived(PeerId From, const Envelope &Received);
  template <typename Type, typename Handler>
  bool handleAs(PeerId From, const Envelope &Received, Handler Handle);
  void onConfiguration(const ConfigurationUpdate &Msg);
  void onMembers(const MembersUpdate &Msg);
  void applyView();
  void sendStatus();
  void announceDraining(PeerId To);
  bool allEntriesKnow() const;
  void checkDrained(MonotonicTime Limit);
  std::optional<PeerId> findPeer(std::string_view Role,
                                 Incarnation Wanted) const;
  std::vector<PeerId> findLenders() const;

  const ProcessContext m_Context;
  const Settings m_Settings;
  Log m_Log{"dispatch"};
  SerialTask m_Task{"dispatch"};
  std::optional<LinkHub> m_Hub;
  std::optional<Dispatcher> m_Dispatcher;
  std::optional<SlotLending> m_Lending;
  bool m_MayBorrow = true;
  std::optional<PeerId> m_Control;
  std::int64_t m_ConfigurationOffset = -1;
  MembersUpdate m_Members;
  std::atomic<bool> m_Ready{false};
  bool m_Draining = false;
  MonotonicTime m_DrainBegin;
  /// Entries that may still send new work.
  std::set<PeerId> m_Unaware;
  std::function<void(bool)> m_Drained;
  std::vector<TimerService::Subscription> m_Timers;
};

absl::Status DispatchRole::Impl::start() {
  absl::StatusOr<StateChart> Chart = StateChart::load(
      m_Context.m_ChartDirectory + "/task-life.yaml", TaskRunner::vocabulary());
  if (!Chart.ok())
    return Chart.status();
  TimerService &Timers = m_Context.m_Timers;
  m_Dispatcher.emplace(m_Task, Timers, m_Context.m_Metrics,
                       m_Context.m_Incarnation, m_Context.m_Common.m_Vm,
                       std::move(*Chart), dispatcherLinks());
  m_Lending.emplace(m_Dispatcher->runner(), m_Context.m_Metrics,
                    lendingLinks());
  LinkEvents Events{
      [this](PeerId Peer, const Hello &Greeting) { onPeerUp(Peer, Greeting); },
      [this](PeerId Peer, const Hello &Greeting) {
        onPeerDown(Peer, Greeting);
      },
      [this](PeerId From, const Envelope &Received) {
        onReceived(From, Received);
      }};
  m_Hub.emplace(m_Task, Timers, makeHello(m_Context, m_Settings.m_Link),
                Events);
  absl::StatusOr<std::uint16_t> Port = m_Hub->listen(m_Settings.m_Link);
  if (!Port.ok())
    return Port.status();
  m_Task.post([this] { m_Hub->keep(m_Settings.m_Control); });
  m_Timers.push_back(Timers.every(Dispatcher::TickPeriod, m_Task, [this] {
    m_Dispatcher->tick();
    m_Lending->tick();
  }));
  m_Timers.push_back(Timers.every(StatusPeriod, m_Task, [this] {
    sendStatus();
    m_Dispatcher->runner().leaving().askAgain();
  }));
  return absl::OkStatus();
}

Dispatcher::Links DispatchRole::Impl::dispatcherLinks() {
  Dispatcher::Links Links;
  Links.m_Answer = [this](PeerId To, const Answer &Msg) {
    m_Hub->send(To, Msg);
  };
  Links.m_CancelReply = [this](PeerId To, const CancelReply &Msg) {
    m_Hub->send(To, Msg);
  };
  Links.m_Claim = [this](const ClaimRequest &Msg) {
    if (m_Control)
      m_Hub->send(*m_Control, Msg);
    return m_Control.has_value();
  };
  Links.m_FindOwner = [this](Incarnation Wanted) {
    return findPeer("dispatch", Wanted);
  };
  Links.m_ForwardSubmit = [this](PeerId To, const Submit &Msg) {
    m_Hub->send(To, Msg);
  };
  Links.m_ForwardCancel = [this](PeerId To, const Cancel &Msg) {
    m_Hub->send(To, Msg);
  };
  Links.m_EndpointLeaves = [this](const std::string &Endpoint) {
    for (PeerId To : findLenders())
      m_Hub->send(To, EndpointLeaving{Endpoint});
  };
  return Links;
}

SlotLending::Links DispatchRole::Impl::lendingLinks() {
  SlotLending::Links Links;
  Links.m_Request = [this](PeerId To, const LoanRequest &Msg) {
    m_Hub->send(To, Msg);
  };
  Links.m_Grant = [this](PeerId To, const LoanGrant &Msg) {
    m_Hub->send(To, Msg);
  };
  Links.m_Return = [this](PeerId To, const LoanReturn &Msg) {
    m_Hub->send(To, Msg);
  };
  Links.m_Lenders = [this] { return findLenders(); };
  return Links;
}

void DispatchRole::Impl::onPeerUp(PeerId Peer, const Hello &Greeting) {
  bool IsOurControl =
      Greeting.m_Role == "control" && Greeting.m_Vm == m_Context.m_Common.m_Vm;
  if (m_Draining && Greeting.m_Role == "entry")
    announceDraining(Peer);
  if (!IsOurControl)
    return;
  m_Control = Peer;
  sendStatus();
}

void DispatchRole::Impl::onPeerDown(PeerId Peer, const Hello &) {
  m_Unaware.erase(Peer);
  m_Dispatcher->onPeerDown(Peer);
  m_Lending->onPeerDown(Peer);
  if (m_Control != Peer)
    return;
  m_Control.reset();
  m_Dispatcher->onControlDown();
}

template <typename Type, typename Handler>
bool DispatchRole::Impl::handleAs(PeerId From, const Envelope &Received,
                                  Handler Handle) {
  if (Received.m_Type != Type::TypeName)
    return false;
  absl::StatusOr<Type> Msg = decode<Type>(Received);
  if (Msg.ok()) {
    Handle(*Msg);
    return true;
  }
  Reject Reply;
  Reply.m_Failure = failureName(failureCode(Msg.status()));
  Reply.m_Detail = failureDetail(Msg.status());
  m_Log.warning("message_rejected", toJson(Reply));
  m_Hub->send(From, Reply);
  return true;
}

void DispatchRole::Impl::onReceived(PeerId From, const Envelope &Received) {
  auto Try = [&]<typename Type>(auto Handle) {
    return handleAs<Type>(From, Received, Handle);
  };
  bool Handled = Try.operator()<Submit>([&](const Submit &Msg) {
    m_Dispatcher->submit(From, Msg);
  }) || Try.operator()<Answer>([&](const Answer &Msg) {
    m_Dispatcher->onForwardedAnswer(From, Msg);
  }) || Try.operator()<ClaimReply>([&](const ClaimReply &Msg) {
    m_Dispatcher->onClaimReply(Msg);
  }) || Try.operator()<LoanRequest>([&](const LoanRequest &Msg) {
    m_Lending->onRequest(From, Msg);
  }) || Try.operator()<LoanGrant>([&](const LoanGrant &Msg) {
    m_Lending->onGrant(From, Msg);
  }) || Try.operator()<LoanReturn>([&](const LoanReturn &Msg) {
    m_Lending->onReturn(From, Msg);
  }) || Try.operator()<MintTickets>([&](const MintTickets &Msg) {
    m_Hub->send(From, m_Dispatcher->mint(Msg));
  }) || Try.operator()<Cancel>([&](const Cancel &Msg) {
    m_Dispatcher->cancel(From, Msg);
  }) || Try.operator()<CancelReply>([&](const CancelReply &Msg) {
    m_Dispatcher->onForwardedCancelReply(From, Msg);
  }) || Try.operator()<DrainingSeen>([&](const DrainingSeen &) {
    m_Unaware.erase(From);
  }) || Try.operator()<EndpointLeaving>([&](const EndpointLeaving &Msg) {
    m_Dispatcher->runner().leaving().noteSaid(Msg.m_Endpoint);
  }) ||
                 Try.operator()<ConfigurationUpdate>(
                     [&](const ConfigurationUpdate &Msg) {
                       onConfiguration(Msg);
                     }) ||
                 Try.operator()<MembersUpdate>(
                     [&](const MembersUpdate &Msg) { onMembers(Msg); });
  if (!Handled && Received.m_Type != Reject::TypeName)
    m_Log.warning("message_ignored", {{"type", Received.m_Type}});
}

void DispatchRole::Impl::onConfiguration(const ConfigurationUpdate &Msg) {
  // A lower offset never replaces a higher one.
  if (Msg.m_Offset <= m_ConfigurationOffset)
    return;
  absl::StatusOr<DispatchConfiguration> Decoded =
      DispatchConfiguration::fromRecord(Msg.m_Record);
  if (!Decoded.ok()) {
    m_Log.error("configuration_refused",
                {{"offset", Msg.m_Offset},
                 {"detail", failureDetail(Decoded.status())}});
    return;
  }
  m_ConfigurationOffset = Msg.m_Offset;
  m_Dispatcher->configure(*Decoded);
  m_MayBorrow = Decoded->m_Policy.m_Lending;
  std::vector<std::string> Services;
  for (const auto &[Name, Service] : Decoded->m_Body.m_Services)
    if (m_MayBorrow)
      Services.push_back(Name);
  m_Lending->setServices(std::move(Services));
  m_Log.info("configuration_in_force", {{"offset", Msg.m_Offset},
                                        {"change_id", Msg.m_Record.m_ChangeId},
                                        {"author", Msg.m_Record.m_Author}});
  m_Context.m_Metrics
      .gauge("auburnhub_configuration_offset",
             "Offset of the configuration in force.")
      .set(static_cast<double>(Msg.m_Offset));
  applyView();
  m_Ready = !m_Draining;
  sendStatus();
}

void DispatchRole::Impl::onMembers(const MembersUpdate &Msg) {
  m_Members = Msg;
  std::set<Address> Wanted = {m_Settings.m_Control};
  for (const Member &Item : Msg.m_Members) {
    bool IsOther = Item.m_Vm != m_Context.m_Common.m_Vm;
    absl::StatusOr<Address> Where = parseAddress(Item.m_DispatchAddress);
    if (IsOther && Where.ok())
      Wanted.insert(*Where);
  }
  m_Hub->keepOnly(Wanted);
  applyView();
}

void DispatchRole::Impl::applyView() {
  const auto &Configuration = m_Dispatcher->configuration();
  if (!Configuration)
    return;
  OwnedSlots Owned =
      findOwnedSlots(Configuration->m_Body, m_Members, m_Context.m_Common.m_Vm,
                     m_Context.m_Common.m_DataCentre);
  m_Dispatcher->runner().leaving().setListed(Owned.m_Leaving);
  // A dispatcher that drains keeps its slots for the work that it still has.
  if (m_Draining)
    return;
  if (!m_MayBorrow)
    for (auto &[Service, Slots] : Owned.m_ExpectedSlots)
      Slots = 0; // Admission counts on the slots at hand.
  m_Dispatcher->runner().setEndpoints(Owned.m_Endpoints, Owned.m_ExpectedSlots);
  m_Log.debug("owned_endpoints", {{"count", Owned.m_Endpoints.size()}});
}

void DispatchRole::Impl::sendStatus() {
  if (!m_Control)
    return;
  LocalStatus Msg;
  Msg.m_Role = "dispatch";
  Msg.m_LinkAddress = m_Settings.m_Link.str();
  Msg.m_HttpAddress = m_Context.m_Common.m_Http.str();
  Msg.m_Incarnation = m_Context.m_Incarnation;
  Msg.m_Ready = m_Ready;
  Msg.m_ConfigurationOffset = m_ConfigurationOffset;
  m_Hub->send(*m_Control, Msg);
}

std::optional<PeerId> DispatchRole::Impl::findPeer(std::string_view Role,
                                                   Incarnation Wanted) const {
  for (const auto &[Peer, Greeting] : m_Hub->peers())
    if (Greeting.m_Role == Role && Greeting.m_Incarnation == Wanted)
      return Peer;
  return std::nullopt;
}

std::vector<PeerId> DispatchRole::Impl::findLenders() const {
  std::vector<PeerId> Near;
  std::vector<PeerId> Far;
  std::set<Incarnation> Seen;
  for (const auto &[Peer, Greeting] : m_Hub->peers()) {
    bool IsNew = Greeting.m_Role == "dispatch" &&
                 Seen.insert(Greeting.m_Incarnation).second;
    if (!IsNew)
      continue;
    bool IsNear = Greeting.m_DataCentre == m_Context.m_Common.m_DataCentre;
    (IsNear ? Near : Far).push_back(Peer);
  }
  Near.insert(Near.end(), Far.begin(), Far.end());
  return Near;
}

nlohmann::json DispatchRole::Impl::status() {
  auto Result = std::make_shared<std::promise<nlohmann::json>>();
  std::future<nlohmann::json> Future = Result->get_future();
  bool Posted = m_Task.post([this, Result] {
    nlohmann::json Status = m_Dispatcher->status();
    Status["configuration_offset"] = m_ConfigurationOffset;
    Status["members"] = m_Members.m_Members.size();
    nlohmann::json Endpoints = nlohmann::json::array();
    for (const EndpointSnapshot &Item :
         m_Dispatcher->runner().scheduler().snapshot())
      Endpoints.push_back({{"endpoint", Item.m_Address},
                           {"service", Item.m_Service},
                           {"slots", Item.m_OwnedSlots},
                           {"borrowed", Item.m_BorrowedSlots},
                           {"lent", Item.m_LentSlots},
                           {"running", Item.m_Running},
                           {"slowness", Item.m_Slowness},
                           {"health", healthStateName(Item.m_Health)},
                           {"leaving", Item.m_Leaving}});
    Status["endpoints"] = std::move(Endpoints);
    Result->set_value(std::move(Status));
  });
  if (!Posted || Future.wait_for(StatusPageLimit) != std::future_status::ready)
    return nlohmann::json::object();
  return Future.get();
}

void DispatchRole::Impl::beginStop(std::function<void(bool)> Drained) {
  m_Ready = false;
  m_Task.post([this, Drained = std::move(Drained)] {
    m_Draining = true;
    m_DrainBegin = TimerService::now();
    m_Drained = Drained;
    for (const auto &[Peer, Greeting] : m_Hub->peers())
      if (Greeting.m_Role == "entry")
        announceDraining(Peer);
    m_Dispatcher->beginDrain();
    m_Lending->beginDrain();
    sendStatus();
    const auto &Configuration = m_Dispatcher->configuration();
    Milliseconds Limit(Configuration ? Configuration->m_Body.m_Limits.m_DrainMs
                                     : LimitsConfiguration().m_DrainMs);
    checkDrained(TimerService::now() + Limit);
  });
}

void DispatchRole::Impl::announceDraining(PeerId To) {
  m_Unaware.insert(To);
  m_Hub->send(To, Draining());
}

bool DispatchRole::Impl::allEntriesKnow() const {
  return m_Unaware.empty() ||
         TimerService::now() - m_DrainBegin >= DrainingSeenLimit;
}

void DispatchRole::Impl::checkDrained(MonotonicTime Limit) {
  if (m_Dispatcher->isIdle() && allEntriesKnow()) {
    m_Drained(true);
    return;
  }
  if (TimerService::now() >= Limit) {
    std::size_t Cut = m_Dispatcher->cutAll();
    m_Log.warning("drain_expired", {{"cut", Cut}});
    m_Drained(false);
    return;
  }
  m_Context.m_Timers.once(DrainCheckPeriod, m_Task,
                          [this, Limit] { checkDrained(Limit); });
}

void DispatchRole::Impl::stop() {
  for (TimerService::Subscription Timer : m_Timers)
    m_Context.m_Timers.cancel(Timer);
  m_Timers.clear();
  m_Task.stop();
  if (m_Dispatcher)
    m_Dispatcher->runner().stop();
  if (m_Hub)
    m_Hub->stop();
}

DispatchRole::Settings DispatchRole::readSettings(SettingsReader &Reader) {
  Settings Result;
  Result.m_Link = Reader.requireAddress("link");
  Result.m_Control = Reader.requireAddress("control");
  return Result;
}

DispatchRole::DispatchRole(const ProcessContext &Context,
                           const Settings &Chosen)
    : m_Impl(std::make_unique<Impl>(Context, Chosen)) {}

DispatchRole::~DispatchRole() = default;

absl::Status DispatchRole::start() { return m_Impl->start(); }

bool DispatchRole::isReady() const { return m_Impl->isReady(); }

nlohmann::json DispatchRole::status() { return m_Impl->status(); }

HttpResponse DispatchRole::handle(const HttpRequest &) {
  return problemResponse(
      {FailureCode::NotFound, "there is no such page", "not_run", "", 0});
}

void DispatchRole::beginStop(std::function<void(bool)> Drained) {
  m_Impl->beginStop(std::move(Drained));
}

void DispatchRole::stop() { m_Impl->stop(); }

} // namespace auburnhub
