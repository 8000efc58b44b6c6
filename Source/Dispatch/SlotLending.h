#ifndef AUBURNHUB_DISPATCH_SLOTLENDING_H
#define AUBURNHUB_DISPATCH_SLOTLENDING_H

#include "TaskRunner.h"

#include "auburnhub/Base/Log.h"
#include "auburnhub/Base/Metrics.h"
#include "auburnhub/Messages/Messages.h"
#include "auburnhub/Wire/LinkHub.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace auburnhub {

/// Lends idle slots to other dispatchers and borrows theirs.
///
/// A dispatcher whose work waits asks one peer after the other, those of its
/// own data centre first. The lender counts a lent slot as taken until it is
/// returned, its loan expires, or the borrower is gone. Wrong views can only
/// oversubscribe an endpoint, which then refuses before it starts anything.
/// All functions are called on the dispatcher's task.
class SlotLending {
public:
  struct Links {
    std::function<void(PeerId, const LoanRequest &)> m_Request;
    std::function<void(PeerId, const LoanGrant &)> m_Grant;
    std::function<void(PeerId, const LoanReturn &)> m_Return;
    /// Returns the dispatchers to ask, in the order in which to ask them.
    std::function<std::vector<PeerId>()> m_Lenders;
  };

  SlotLending(TaskRunner &Runner, MetricsRegistry &Metrics, Links Reach);

  /// Sets the services for which slots are borrowed.
  void setServices(std::vector<std::string> Services);

  void onRequest(PeerId From, const LoanRequest &Msg);
  void onGrant(PeerId From, const LoanGrant &Msg);
  void onReturn(PeerId From, const LoanReturn &Msg);
  void onPeerDown(PeerId Peer);

  /// Lends nothing from now on.
  void beginDrain() { m_Draining = true; }

  /// Asks for slots, returns idle ones and ends expired loans; call it from a
  /// timer.
  void tick();

private:
  struct Lent {
    PeerId m_Borrower;
    std::string m_Service;
    std::vector<EndpointSlots> m_Slots;
    MonotonicTime m_Expiry;
  };
  struct Borrowed {
    PeerId m_Lender;
    std::uint64_t m_Loan;
    std::string m_Service;
    std::vector<EndpointSlots> m_Slots;
    MonotonicTime m_Expiry;
  };
  /// The search of one service for a lender.
  struct Search {
    std::size_t m_Next = 0;   ///< Which lender to ask next.
    CallNumber m_Waiting = 0; ///< The request that waits; 0 for none.
    PeerId m_Asked = 0;
    MonotonicTime m_NotBefore; ///< Ask nobody before.
  };

  void ask(const std::string &Service, Search &State, std::size_t Wanted);
  void returnIdle(const std::string &Service);
  void returnSlots(const std::string &Service, const EndpointSlots &Idle);
  void expireLent(MonotonicTime Now);
  void reclaimSlots(Lent &Loan);

  TaskRunner &m_Runner;
  Links m_Links;
  Log m_Log{"lending"};
  std::map<std::string, Search> m_Searches;
  std::map<std::uint64_t, Lent> m_Lent;
  std::vector<Borrowed> m_Borrowed;
  std::uint64_t m_LastLoan = 0;
  CallNumber m_LastCall = 0;
  bool m_Draining = false;
  Counter &m_Requests;
  Counter &m_SlotsLent;
  Counter &m_SlotsBorrowed;
  Counter &m_Unused;
};

} // namespace auburnhub

#endif
