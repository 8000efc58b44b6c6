#include "SlotLending.h"

#include <algorithm>

namespace auburnhub {
namespace {

constexpr Milliseconds LoanDuration{5000};
/// The borrower stops this much before the lender takes the slots back.
constexpr Milliseconds LoanMargin{250};
constexpr Milliseconds PauseAfterRefusals{50};
constexpr std::size_t MaxSlotsPerRequest = 16;

std::vector<LoanedSlots> toMessage(const std::vector<EndpointSlots> &Slots) {
  std::vector<LoanedSlots> Result;
  Result.reserve(Slots.size());
  for (const EndpointSlots &Item : Slots)
    Result.push_back({Item.m_Address, Item.m_Slots});
  return Result;
}

} // namespace

SlotLending::SlotLending(TaskRunner &Runner, MetricsRegistry &Metrics,
                         Links Reach)
    : m_Runner(Runner), m_Links(std::move(Reach)),
      m_Requests(Metrics.counter("auburnhub_loan_requests_total",
                                 "Requests for slots that were sent.")),
      m_SlotsLent(Metrics.counter("auburnhub_slots_lent_total", "Slots lent.")),
      m_SlotsBorrowed(
          Metrics.counter("auburnhub_slots_borrowed_total", "Slots borrowed.")),
      m_Unused(Metrics.counter("auburnhub_loan_refusals_total",
                               "Requests for slots that gave none.")) {}

void SlotLending::setServices(std::vector<std::string> Services) {
  std::map<std::string, Search> Next;
  for (std::string &Service : Services) {
    auto Known = m_Searches.find(Service);
    if (Known == m_Searches.end())
      Next[std::move(Service)] = {};
    else
      Next.insert(*Known);
  }
  m_Searches = std::move(Next);
}

void SlotLending::onRequest(PeerId From, const LoanRequest &Msg) {
  LoanGrant Grant;
  Grant.m_Call = Msg.m_Call;
  Grant.m_Service = Msg.m_Service;
  MonotonicTime Now = TimerService::now();
  std::vector<EndpointSlots> Slots;
  if (!m_Draining)
    Slots = m_Runner.scheduler().lend(Now, Msg.m_Service, Msg.m_Slots);
  if (!Slots.empty()) {
    Grant.m_Loan = ++m_LastLoan;
    Grant.m_ExpiresInMs = LoanDuration.count();
    Grant.m_Slots = toMessage(Slots);
    for (const EndpointSlots &Item : Slots)
      m_SlotsLent.add(static_cast<std::uint64_t>(Item.m_Slots));
    m_Lent[Grant.m_Loan] = {From, Msg.m_Service, std::move(Slots),
                            Now + LoanDuration};
    m_Log.info("lent", toJson(Grant));
  }
  m_Links.m_Grant(From, Grant);
}

void SlotLending::onGrant(PeerId From, const LoanGrant &Msg) {
  auto Found = m_Searches.find(Msg.m_Service);
  bool IsExpected = Found != m_Searches.end() &&
                    Found->second.m_Waiting == Msg.m_Call &&
                    Found->second.m_Asked == From;
  if (IsExpected)
    Found->second.m_Waiting = 0;
  if (Msg.m_Slots.empty()) {
    m_Unused.add();
    return;
  }
  MonotonicTime Now = TimerService::now();
  Borrowed Loan{From,
                Msg.m_Loan,
                Msg.m_Service,
                {},
                Now + Milliseconds(Msg.m_ExpiresInMs) - LoanMargin};
  for (const LoanedSlots &Item : Msg.m_Slots) {
    Loan.m_Slots.push_back({Item.m_Endpoint, Item.m_Slots});
    m_Runner.scheduler().addBorrowed(
        Now, {Item.m_Endpoint, Msg.m_Service, Item.m_Slots}, Loan.m_Expiry);
    m_SlotsBorrowed.add(static_cast<std::uint64_t>(Item.m_Slots));
  }
  m_Log.info("borrowed", toJson(Msg));
  m_Borrowed.push_back(std::move(Loan));
  if (IsExpected)
    Found->second.m_Next = 0;
  m_Runner.pump();
}

void SlotLending::onReturn(PeerId From, const LoanReturn &Msg) {
  auto Found = m_Lent.find(Msg.m_Loan);
  if (Found == m_Lent.end() || Found->second.m_Borrower != From)
    return;
  std::vector<EndpointSlots> Back;
  for (const LoanedSlots &Item : Msg.m_Slots)
    for (EndpointSlots &Open : Found->second.m_Slots) {
      if (Open.m_Address != Item.m_Endpoint)
        continue;
      int Count = std::clamp(Item.m_Slots, 0, Open.m_Slots);
      Open.m_Slots -= Count;
      Back.push_back({Open.m_Address, Count});
    }
  m_Runner.scheduler().reclaimSlots(TimerService::now(),
                                    Found->second.m_Service, Back);
  std::erase_if(Found->second.m_Slots,
                [](const EndpointSlots &Open) { return Open.m_Slots == 0; });
  if (Found->second.m_Slots.empty())
    m_Lent.erase(Found);
  m_Runner.pump();
}

void SlotLending::onPeerDown(PeerId Peer) {
  for (auto &[Service, State] : m_Searches)
    if (State.m_Asked == Peer)
      State.m_Waiting = 0;
  for (auto It = m_Lent.begin(); It != m_Lent.end();) {
    if (It->second.m_Borrower != Peer) {
      ++It;
      continue;
    }
    reclaimSlots(It->second);
    It = m_Lent.erase(It);
  }
}

void SlotLending::tick() {
  MonotonicTime Now = TimerService::now();
  expireLent(Now);
  std::erase_if(m_Borrowed, [Now](const Borrowed &Loan) {
    return Loan.m_Expiry <= Now || Loan.m_Slots.empty();
  });
  for (auto &[Service, State] : m_Searches) {
    QueuedWork Work = m_Runner.scheduler().queuedWork(Service);
    std::size_t Wanted = Work.m_ShortTasks + Work.m_LongTasks;
    if (Wanted == 0)
      returnIdle(Service);
    else if (State.m_Waiting == 0 && Now >= State.m_NotBefore)
      ask(Service, State, Wanted);
  }
}

void SlotLending::ask(const std::string &Service, Search &State,
                      std::size_t Wanted) {
  std::vector<PeerId> Lenders = m_Links.m_Lenders();
  if (State.m_Next >= Lenders.size()) {
    State.m_Next = 0;
    State.m_NotBefore = TimerService::now() + PauseAfterRefusals;
    return;
  }
  State.m_Asked = Lenders[State.m_Next++];
  State.m_Waiting = ++m_LastCall;
  m_Requests.add();
  LoanRequest Msg;
  Msg.m_Call = State.m_Waiting;
  Msg.m_Service = Service;
  Msg.m_Slots = static_cast<int>(std::min(Wanted, MaxSlotsPerRequest));
  m_Links.m_Request(State.m_Asked, Msg);
}

void SlotLending::returnIdle(const std::string &Service) {
  for (const EndpointSlots &Idle : m_Runner.scheduler().idleBorrowed(Service))
    returnSlots(Service, Idle);
}

void SlotLending::returnSlots(const std::string &Service,
                              const EndpointSlots &Idle) {
  int Left = Idle.m_Slots;
  for (Borrowed &Loan : m_Borrowed) {
    if (Loan.m_Service != Service)
      continue;
    for (EndpointSlots &Open : Loan.m_Slots) {
      int Count = std::min(Left, Open.m_Slots);
      if (Open.m_Address != Idle.m_Address || Count == 0)
        continue;
      Open.m_Slots -= Count;
      Left -= Count;
      LoanReturn Msg;
      Msg.m_Loan = Loan.m_Loan;
      Msg.m_Slots = {{Open.m_Address, Count}};
      m_Runner.scheduler().removeBorrowed(TimerService::now(), Service,
                                          Open.m_Address, Count);
      m_Links.m_Return(Loan.m_Lender, Msg);
    }
    std::erase_if(Loan.m_Slots,
                  [](const EndpointSlots &Open) { return Open.m_Slots == 0; });
  }
}

void SlotLending::expireLent(MonotonicTime Now) {
  for (auto It = m_Lent.begin(); It != m_Lent.end();) {
    if (It->second.m_Expiry > Now) {
      ++It;
      continue;
    }
    m_Log.info("loan_expired", {{"loan", It->first}});
    reclaimSlots(It->second);
    It = m_Lent.erase(It);
  }
}

void SlotLending::reclaimSlots(Lent &Loan) {
  m_Runner.scheduler().reclaimSlots(TimerService::now(), Loan.m_Service,
                                    Loan.m_Slots);
}

} // namespace auburnhub
