#include "auburnhub/Policy/RetryBudget.h"

#include <algorithm>

namespace auburnhub {

void RetryBudget::setLimits(double Ratio, double Reserve) {
  m_Ratio = Ratio;
  m_Reserve = Reserve;
  m_Tokens = std::min(m_Tokens, Reserve);
}

void RetryBudget::deposit() {
  m_Tokens = std::min(m_Tokens + m_Ratio, m_Reserve);
}

bool RetryBudget::tryWithdraw() {
  if (m_Tokens < 1)
    return false;
  m_Tokens -= 1;
  return true;
}

} // namespace auburnhub
