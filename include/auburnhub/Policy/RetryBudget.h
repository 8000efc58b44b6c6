#ifndef AUBURNHUB_POLICY_RETRYBUDGET_H
#define AUBURNHUB_POLICY_RETRYBUDGET_H

namespace auburnhub {

/// Bounds retries to a ratio of first attempts, so that retries cannot multiply
/// an overload. A token bucket as in Finagle's RetryBudget and the retry
/// throttling of gRPC (proposal A6): a first attempt deposits Ratio tokens, a
/// retry withdraws one, and the bucket is full at Reserve.
class RetryBudget {
public:
  RetryBudget(double Ratio, double Reserve)
      : m_Ratio(Ratio), m_Reserve(Reserve), m_Tokens(Reserve) {}

  void setLimits(double Ratio, double Reserve);

  /// Notes a first attempt.
  void deposit();

  /// Takes a token for a retry. Returns false if there is none.
  bool tryWithdraw();

  double tokens() const { return m_Tokens; }

private:
  double m_Ratio;
  double m_Reserve;
  double m_Tokens;
};

} // namespace auburnhub

#endif
