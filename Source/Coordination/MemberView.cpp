#include "auburnhub/Coordination/MemberView.h"

#include <utility>

namespace auburnhub {
namespace {

/// Addresses that nobody answers at are forgotten after this many times the
/// time after which members are dropped.
constexpr std::int64_t LearnedTimeouts = 4;

} // namespace

void MemberView::setSelf(Member Self) {
  m_Self = std::move(Self);
  ++m_Revision;
}

void MemberView::heard(const Member &What, std::int64_t NowMs) {
  if (What.m_Vm.empty() || What.m_Vm == m_Self.m_Vm)
    return;
  auto [Place, IsNew] = m_Members.try_emplace(What.m_Vm);
  Known &Into = Place->second;
  if (!IsNew && What.m_Version < Into.m_Member.m_Version)
    return;
  bool IsChanged =
      IsNew || Into.m_IsSuspected || What.m_Version > Into.m_Member.m_Version;
  Into.m_HeardMs = NowMs;
  Into.m_IsSuspected = false;
  if (!IsChanged)
    return;
  Into.m_Member = What;
  ++m_Revision;
  if (IsNew)
    m_Changes.push_back({true, What});
}

bool MemberView::alive(std::string_view Vm, std::int64_t NowMs) {
  auto Found = m_Members.find(Vm);
  if (Found == m_Members.end())
    return false;
  Known &Into = Found->second;
  Into.m_HeardMs = NowMs;
  if (std::exchange(Into.m_IsSuspected, false))
    ++m_Revision;
  return true;
}

void MemberView::learnAddress(const std::string &ControlAddress,
                              std::int64_t NowMs) {
  if (!ControlAddress.empty())
    m_Learned[ControlAddress] = NowMs;
}

void MemberView::setLeaving(std::set<std::string> Vms) {
  if (Vms == m_Leaving)
    return;
  m_Leaving = std::move(Vms);
  ++m_Revision;
}

void MemberView::expire(std::int64_t NowMs) {
  for (auto It = m_Members.begin(); It != m_Members.end();) {
    Known &What = It->second;
    std::int64_t SilentMs = NowMs - What.m_HeardMs;
    if (SilentMs >= m_Timings.m_DropAfterMs) {
      m_Changes.push_back({false, What.m_Member});
      It = m_Members.erase(It);
      ++m_Revision;
      continue;
    }
    bool IsSilent = SilentMs >= m_Timings.m_SuspectAfterMs;
    if (IsSilent && !std::exchange(What.m_IsSuspected, true))
      ++m_Revision;
    ++It;
  }
  std::int64_t ForgetMs = m_Timings.m_DropAfterMs * LearnedTimeouts;
  std::erase_if(m_Learned, [&](const auto &Item) {
    return NowMs - Item.second >= ForgetMs;
  });
}

std::vector<MemberChange> MemberView::takeChanges() {
  return std::exchange(m_Changes, {});
}

MembersUpdate MemberView::update() const {
  MembersUpdate Result;
  Result.m_Members.push_back(m_Self);
  for (const auto &[Unused, What] : m_Members) {
    Result.m_Members.push_back(What.m_Member);
    if (What.m_IsSuspected)
      Result.m_Members.back().m_DispatchReady = false;
  }
  Result.m_LeavingVms.assign(m_Leaving.begin(), m_Leaving.end());
  return Result;
}

std::vector<std::string> MemberView::liveAddresses() const {
  std::vector<std::string> Result;
  for (const auto &[Unused, What] : m_Members)
    if (!What.m_IsSuspected)
      Result.push_back(What.m_Member.m_ControlAddress);
  return Result;
}

std::set<std::string> MemberView::wantedAddresses() const {
  std::set<std::string> Result;
  for (const auto &[Unused, What] : m_Members)
    Result.insert(What.m_Member.m_ControlAddress);
  for (const auto &[Where, Unused] : m_Learned)
    Result.insert(Where);
  Result.erase(m_Self.m_ControlAddress);
  Result.erase("");
  return Result;
}

std::vector<Member> MemberView::others() const {
  std::vector<Member> Result;
  for (const auto &[Unused, What] : m_Members)
    Result.push_back(What.m_Member);
  return Result;
}

} // namespace auburnhub
