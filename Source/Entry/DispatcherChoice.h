#ifndef AUBURNHUB_ENTRY_DISPATCHERCHOICE_H
#define AUBURNHUB_ENTRY_DISPATCHERCHOICE_H

#include "auburnhub/Base/Failure.h"
#include "auburnhub/Base/SubmissionId.h"
#include "auburnhub/Wire/LinkHub.h"

#include "absl/status/statusor.h"

#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace auburnhub {

/// A dispatcher of the member view as this entry sees it.
struct DispatcherCandidate {
  std::string m_Vm;
  std::string m_DataCentre;
  Incarnation m_Incarnation = 0;
  bool m_Ready = false;    ///< Takes new work.
  PeerId m_Peer = 0;       ///< Zero: no link.
  std::size_t m_Calls = 0; ///< Calls of this entry that wait there.
};

enum class ChoiceReason { TicketOwner, IdHash, LocalVm, FewestCalls };

/// Returns the reason's name in log lines, e.g. "ticket_owner".
std::string_view choiceReasonName(ChoiceReason Reason);

struct ChosenDispatcher {
  std::size_t m_Index; ///< In the candidates given.
  ChoiceReason m_Reason;
  std::size_t m_Alternatives; ///< Others that could have been chosen.
};

/// Chooses the dispatcher for a submission. Pure: the view and the randomness
/// are passed in.
class DispatcherChoice {
public:
  DispatcherChoice(std::string OwnVm, std::string OwnDataCentre)
      : m_OwnVm(std::move(OwnVm)), m_OwnDataCentre(std::move(OwnDataCentre)) {}

  /// A ticket goes to the incarnation that minted it, ready or not, as only
  /// that one may ever start it. A caller's id goes to the same dispatcher
  /// from each entry of the data centre. Without an id (nil) it is the local
  /// dispatcher, else the less busy of two drawn at random. Dispatchers of
  /// other data centres are taken when the own one has none that is ready and
  /// linked. Fails with OwnerGone or NoDispatcher.
  template <std::uniform_random_bit_generator Random>
  absl::StatusOr<ChosenDispatcher>
  choose(std::span<const DispatcherCandidate> View, const SubmissionId &Id,
         Random &Draw) const {
    if (Id.isTicket())
      return ownerOf(View, Id);
    std::vector<std::size_t> Usable = usable(View);
    if (Usable.empty())
      return makeFailure(FailureCode::NoDispatcher,
                         "no dispatcher that takes work can be reached");
    if (!Id.isNil())
      return byHash(View, Usable, Id);
    std::uniform_int_distribution<std::size_t> Any(0, Usable.size() - 1);
    return withoutId(View, Usable, Any(Draw), Any(Draw));
  }

private:
  static absl::StatusOr<ChosenDispatcher>
  ownerOf(std::span<const DispatcherCandidate> View, const SubmissionId &Id);
  std::vector<std::size_t>
  usable(std::span<const DispatcherCandidate> View) const;
  static ChosenDispatcher byHash(std::span<const DispatcherCandidate> View,
                                 std::span<const std::size_t> Usable,
                                 const SubmissionId &Id);
  ChosenDispatcher withoutId(std::span<const DispatcherCandidate> View,
                             std::span<const std::size_t> Usable,
                             std::size_t First, std::size_t Second) const;

  std::string m_OwnVm;
  std::string m_OwnDataCentre;
};

} // namespace auburnhub

#endif
