#ifndef AUBURNHUB_POLICY_RETRYBUDGET_H
#define AUBURNHUB_POLICY_RETRYBUDGET_H

namespace auburnhub {

/// Limits retries to a ratio of first attempts, so that retries cannot amplify
/// an overload. A token bucket as in Finagle's RetryBudget and the retry
/// throttling of gRPC (proposal A6): a first attempt deposits Ratio tokens, a
/// retry withdraws one. The bucket holds at most Reserve tokens and is full
/// initially.
class RetryBudget {
public:
  RetryBudget(double Ratio, double Reserve)
      : m_Ratio(Ratio), m_Reserve(Reserve), m_Tokens(Reserve) {}

  void setLimits(double Ratio, double Reserve);

  /// Deposits Ratio tokens for a first attempt.
  void deposit();

  /// Withdraws a token for a retry. Returns false, and withdraws nothing,
  /// if less than one token is left.
  bool tryWithdraw();

  double tokens() const { return m_Tokens; }

private:
  double m_Ratio;
  double m_Reserve;
  double m_Tokens;
};

} // namespace auburnhub

#endif
