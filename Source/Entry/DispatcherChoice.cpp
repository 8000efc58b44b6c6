#include "DispatcherChoice.h"

#include <xxhash.h>

#include <algorithm>

namespace auburnhub {
namespace {

/// A dispatcher's score for an id in rendezvous hashing (Thaler and
/// Ravishankar, 1998). The VM's name outlives a restart of its dispatcher.
std::uint64_t score(const DispatcherCandidate &Of, const SubmissionId &Id) {
  return XXH64(Of.m_Vm.data(), Of.m_Vm.size(), Id.hash());
}

} // namespace

std::string_view choiceReasonName(ChoiceReason Reason) {
  switch (Reason) {
  case ChoiceReason::TicketOwner:
    return "ticket_owner";
  case ChoiceReason::IdHash:
    return "id_hash";
  case ChoiceReason::LocalVm:
    return "local_vm";
  case ChoiceReason::FewestCalls:
    return "fewest_calls_of_two";
  }
  return "";
}

absl::StatusOr<ChosenDispatcher>
DispatcherChoice::ownerOf(std::span<const DispatcherCandidate> View,
                          const SubmissionId &Id) {
  if (View.empty())
    return makeFailure(FailureCode::NoDispatcher, "no dispatcher is known yet");
  auto Found = std::ranges::find(View, Id.incarnation(),
                                 &DispatcherCandidate::m_Incarnation);
  if (Found == View.end())
    return makeFailure(FailureCode::OwnerGone,
                       "the dispatcher that minted the ticket is gone");
  if (Found->m_Peer == 0)
    return makeFailure(FailureCode::NoDispatcher,
                       "the dispatcher that minted the ticket cannot be "
                       "reached: " +
                           Found->m_Vm);
  auto Index = static_cast<std::size_t>(Found - View.begin());
  return ChosenDispatcher{Index, ChoiceReason::TicketOwner, 0};
}

std::vector<std::size_t>
DispatcherChoice::usable(std::span<const DispatcherCandidate> View) const {
  std::vector<std::size_t> Near;
  std::vector<std::size_t> Far;
  for (std::size_t I = 0; I != View.size(); ++I) {
    if (!View[I].m_Ready || View[I].m_Peer == 0)
      continue;
    bool IsNear = View[I].m_DataCentre == m_OwnDataCentre;
    (IsNear ? Near : Far).push_back(I);
  }
  return Near.empty() ? Far : Near;
}

ChosenDispatcher
DispatcherChoice::byHash(std::span<const DispatcherCandidate> View,
                         std::span<const std::size_t> Usable,
                         const SubmissionId &Id) {
  std::size_t Best = *std::ranges::max_element(
      Usable, {}, [&](std::size_t I) { return score(View[I], Id); });
  return {Best, ChoiceReason::IdHash, Usable.size() - 1};
}

ChosenDispatcher
DispatcherChoice::withoutId(std::span<const DispatcherCandidate> View,
                            std::span<const std::size_t> Usable,
                            std::size_t First, std::size_t Second) const {
  auto Local = std::ranges::find(
      Usable, m_OwnVm,
      [&](std::size_t I) -> const std::string & { return View[I].m_Vm; });
  if (Local != Usable.end())
    return {*Local, ChoiceReason::LocalVm, Usable.size() - 1};
  // Two equal draws would be one choice only.
  if (First == Second)
    Second = (Second + 1) % Usable.size();
  std::size_t A = Usable[First];
  std::size_t B = Usable[Second];
  std::size_t Chosen = View[B].m_Calls < View[A].m_Calls ? B : A;
  return {Chosen, ChoiceReason::FewestCalls, Usable.size() - 1};
}

} // namespace auburnhub
