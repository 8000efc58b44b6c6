#ifndef AUBURNHUB_COORDINATION_MEMBERVIEW_H
#define AUBURNHUB_COORDINATION_MEMBERVIEW_H

#include "auburnhub/Messages/Messages.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace auburnhub {

/// When silent members are suspected and dropped, in milliseconds.
struct MemberTimings {
  std::int64_t m_SuspectAfterMs = 1250;
  std::int64_t m_DropAfterMs = 2500;
};

/// A member that came or went.
struct MemberChange {
  bool m_IsUp = false;
  Member m_Member;
};

/// Knows the members of the system from their heartbeats, and from the
/// platform the VMs that leave.
///
/// Times are milliseconds of any clock that does not go back. A member is its
/// VM's name; a higher version replaces a lower one. Views of several VMs may
/// differ for a while; that may cost time, never safety.
class MemberView {
public:
  explicit MemberView(MemberTimings Timings = {}) : m_Timings(Timings) {}

  /// Sets this VM's own entry, which never times out.
  void setSelf(Member Self);
  const Member &self() const { return m_Self; }

  /// Takes a member's description, from itself or relayed.
  void heard(const Member &What, std::int64_t NowMs);

  /// Takes a sign of life: what was heard before still holds. Returns false if
  /// the member is not known, so that its description is needed.
  bool alive(std::string_view Vm, std::int64_t NowMs);

  /// Takes a control address learned from a peer or the platform.
  void learnAddress(const std::string &ControlAddress, std::int64_t NowMs);

  /// Replaces the platform's list of leaving endpoint VMs.
  void setLeaving(std::set<std::string> Vms);

  /// Suspects and drops silent members, and forgets addresses.
  void expire(std::int64_t NowMs);

  /// Returns what came and went since the last call.
  std::vector<MemberChange> takeChanges();

  /// Returns a number that changes whenever update() would.
  std::uint64_t revision() const { return m_Revision; }

  /// Returns what local processes get: the members with this VM first.
  /// Suspected ones are there, as not ready.
  MembersUpdate update() const;

  /// Returns the control addresses of the members that answer.
  std::vector<std::string> liveAddresses() const;

  /// Returns the control addresses to stay connected to, without our own.
  std::set<std::string> wantedAddresses() const;

  /// Returns the members but this VM, by VM name.
  std::vector<Member> others() const;

private:
  struct Known {
    Member m_Member;
    std::int64_t m_HeardMs = 0;
    bool m_IsSuspected = false;
  };

  MemberTimings m_Timings;
  Member m_Self;
  std::map<std::string, Known, std::less<>> m_Members;
  std::map<std::string, std::int64_t> m_Learned; ///< Address to time learned.
  std::set<std::string> m_Leaving;
  std::vector<MemberChange> m_Changes;
  std::uint64_t m_Revision = 0;
};

} // namespace auburnhub

#endif
