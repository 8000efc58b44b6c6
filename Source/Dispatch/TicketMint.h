#ifndef AUBURNHUB_DISPATCH_TICKETMINT_H
#define AUBURNHUB_DISPATCH_TICKETMINT_H

#include "auburnhub/Base/SubmissionId.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace auburnhub {

/// Mints the tickets of one incarnation and knows which were handed out.
///
/// Only this incarnation may ever start a ticket that it minted, so a ticket
/// needs no durable write. A ticket is handed out to one team and spent once.
class TicketMint {
public:
  explicit TicketMint(Incarnation Self) : m_Self(Self) {}

  /// Mints a ticket that a team may use later.
  SubmissionId mintFor(std::string_view Team, std::int64_t NowMs);

  /// Mints a ticket that is used at once and cannot be presented.
  SubmissionId mintSpent(std::int64_t NowMs) { return next(NowMs); }

  /// Spends a ticket. Returns false if it was not handed out to this team, or
  /// is spent or forgotten.
  bool spend(const SubmissionId &Ticket, std::string_view Team);

  /// Says whether a ticket is handed out to this team and not spent.
  bool isOpen(const SubmissionId &Ticket, std::string_view Team) const;

  /// Forgets tickets minted before an instant.
  void forgetBefore(std::int64_t TimeMs);

  std::size_t openTickets() const { return m_Open.size(); }

private:
  SubmissionId next(std::int64_t NowMs);

  const Incarnation m_Self;
  std::uint32_t m_Counter = 0;
  std::unordered_map<SubmissionId, std::string> m_Open;
  std::multimap<std::int64_t, SubmissionId> m_ByTime;
};

} // namespace auburnhub

#endif
