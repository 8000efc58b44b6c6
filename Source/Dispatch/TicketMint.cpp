#include "TicketMint.h"

namespace auburnhub {

SubmissionId TicketMint::mintFor(std::string_view Team, std::int64_t NowMs) {
  SubmissionId Ticket = next(NowMs);
  m_Open.emplace(Ticket, std::string(Team));
  m_ByTime.emplace(NowMs, Ticket);
  return Ticket;
}

bool TicketMint::spend(const SubmissionId &Ticket, std::string_view Team) {
  if (!isOpen(Ticket, Team))
    return false;
  m_Open.erase(Ticket);
  return true;
}

bool TicketMint::isOpen(const SubmissionId &Ticket,
                        std::string_view Team) const {
  auto Found = m_Open.find(Ticket);
  return Found != m_Open.end() && Found->second == Team;
}

void TicketMint::forgetBefore(std::int64_t TimeMs) {
  auto End = m_ByTime.lower_bound(TimeMs);
  for (auto It = m_ByTime.begin(); It != End; ++It)
    m_Open.erase(It->second);
  m_ByTime.erase(m_ByTime.begin(), End);
}

SubmissionId TicketMint::next(std::int64_t NowMs) {
  return SubmissionId::makeTicket(NowMs, m_Self, ++m_Counter);
}

} // namespace auburnhub
