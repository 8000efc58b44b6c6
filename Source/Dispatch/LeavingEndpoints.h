#ifndef AUBURNHUB_DISPATCH_LEAVINGENDPOINTS_H
#define AUBURNHUB_DISPATCH_LEAVINGENDPOINTS_H

#include <functional>
#include <set>
#include <string>

namespace auburnhub {

/// Knows which endpoints get no new work because they leave.
///
/// An endpoint leaves when the platform lists its VM as leaving, or when it
/// said so itself, here or to another dispatcher, until its health page says
/// that it takes work again. One that is newly listed is asked first. Addresses
/// are "host:port". Pure: asking and telling go through the links.
class LeavingEndpoints {
public:
  struct Links {
    /// The endpoint gets no new work from now on, or gets it again.
    std::function<void(const std::string &Endpoint, bool Leaving)> m_Changed;
    /// Ask the endpoint's health page; onAnswer() follows.
    std::function<void(const std::string &Endpoint)> m_Ask;
  };

  explicit LeavingEndpoints(Links Reach) : m_Links(std::move(Reach)) {}

  /// Sets which endpoints there are.
  void setEndpoints(const std::set<std::string> &Endpoints);

  /// Sets the endpoints whose VMs the platform lists as leaving.
  void setListed(const std::set<std::string> &Leaving);

  /// Notes an endpoint's own word. Returns whether that is news.
  bool noteSaid(const std::string &Endpoint);

  /// Takes the answer of a health page.
  void onAnswer(const std::string &Endpoint, bool TakesWork);

  /// Asks those that said that they leave; call it from a timer.
  void askAgain() const;

  bool isLeaving(const std::string &Endpoint) const;

private:
  template <typename Change>
  void update(const std::string &Endpoint, Change Apply);

  Links m_Links;
  std::set<std::string> m_Known;
  std::set<std::string> m_Unasked; ///< Known, but not answered yet.
  std::set<std::string> m_Listed;
  std::set<std::string> m_Said;
};

} // namespace auburnhub

#endif
