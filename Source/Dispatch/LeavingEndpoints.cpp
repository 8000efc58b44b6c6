#include "LeavingEndpoints.h"

#include <vector>

namespace auburnhub {

/// Applies a change and tells if it made the endpoint leaving or not leaving.
template <typename Change>
void LeavingEndpoints::update(const std::string &Endpoint, Change Apply) {
  bool Before = isLeaving(Endpoint);
  Apply();
  bool After = isLeaving(Endpoint);
  if (Before != After)
    m_Links.m_Changed(Endpoint, After);
}

void LeavingEndpoints::setEndpoints(const std::set<std::string> &Endpoints) {
  std::vector<std::string> Gone;
  for (const std::string &Endpoint : m_Known)
    if (!Endpoints.contains(Endpoint))
      Gone.push_back(Endpoint);
  for (const std::string &Endpoint : Gone)
    update(Endpoint, [&] {
      m_Known.erase(Endpoint);
      m_Unasked.erase(Endpoint);
      m_Said.erase(Endpoint);
    });
  for (const std::string &Endpoint : Endpoints) {
    if (!m_Known.insert(Endpoint).second)
      continue;
    update(Endpoint, [&] { m_Unasked.insert(Endpoint); });
    m_Links.m_Ask(Endpoint);
  }
}

void LeavingEndpoints::setListed(const std::set<std::string> &Leaving) {
  std::set<std::string> Before = m_Listed;
  for (const std::string &Endpoint : Leaving)
    update(Endpoint, [&] { m_Listed.insert(Endpoint); });
  for (const std::string &Endpoint : Before)
    if (!Leaving.contains(Endpoint))
      update(Endpoint, [&] { m_Listed.erase(Endpoint); });
}

bool LeavingEndpoints::noteSaid(const std::string &Endpoint) {
  bool IsNew = false;
  if (m_Known.contains(Endpoint))
    update(Endpoint, [&] { IsNew = m_Said.insert(Endpoint).second; });
  return IsNew;
}

void LeavingEndpoints::onAnswer(const std::string &Endpoint, bool TakesWork) {
  if (!m_Known.contains(Endpoint))
    return;
  update(Endpoint, [&] {
    m_Unasked.erase(Endpoint);
    if (TakesWork)
      m_Said.erase(Endpoint);
    else
      m_Said.insert(Endpoint);
  });
}

void LeavingEndpoints::askAgain() const {
  for (const std::string &Endpoint : m_Said)
    m_Links.m_Ask(Endpoint);
}

bool LeavingEndpoints::isLeaving(const std::string &Endpoint) const {
  return m_Unasked.contains(Endpoint) || m_Listed.contains(Endpoint) ||
         m_Said.contains(Endpoint);
}

} // namespace auburnhub
