#include "auburnhub/Ctl/ConfigurationPublisher.h"

#include "auburnhub/Ctl/FieldDiff.h"

#include <set>

namespace auburnhub {
namespace {

constexpr std::int64_t AnyOffset = std::numeric_limits<std::int64_t>::max();

nlohmann::json bodyAt(const ConfigurationReader &Reader, std::int64_t Offset) {
  auto It = Reader.records().find(Offset);
  return It == Reader.records().end() ? nlohmann::json::object()
                                      : It->second.body();
}

std::string describeWinners(const ConfigurationReader &Reader,
                            const ConfigurationRecord &Own,
                            std::int64_t OwnOffset) {
  std::string Result;
  std::int64_t Before = OwnOffset < 0 ? AnyOffset : OwnOffset;
  for (const JudgedRecord *Winner : Reader.acceptedBetween(Own.m_Base, Before))
    Result += "Accepted instead: offset " +
              std::to_string(Winner->m_Decision.m_Offset) + " by " +
              Winner->m_Decision.m_Author + ", change " +
              Winner->m_Decision.m_ChangeId + "\n";
  return Result;
}

std::string describeOverlap(std::span<const FieldChange> Theirs,
                            std::span<const FieldChange> Ours) {
  std::set<std::string> Paths;
  for (const FieldChange &Change : Theirs)
    Paths.insert(Change.m_Path);
  std::string Result;
  for (const FieldChange &Change : Ours)
    if (Paths.contains(Change.m_Path))
      Result += "Both changed: " + Change.m_Path + "\n";
  return Result;
}

} // namespace

std::string describeConflict(const ConfigurationReader &Reader,
                             const ConfigurationRecord &Own,
                             std::int64_t OwnOffset) {
  std::int64_t InForce = Reader.history().offset();
  std::string Result = describeWinners(Reader, Own, OwnOffset);
  bool HasBase = Own.m_Base < 0 || Reader.records().contains(Own.m_Base);
  if (!HasBase)
    Result += "The base " + std::to_string(Own.m_Base) +
              " is not on the stream, so what changed since is not known.\n";
  else {
    nlohmann::json Base = bodyAt(Reader, Own.m_Base);
    auto Theirs = compareFields(Base, bodyAt(Reader, InForce));
    auto Ours = compareFields(Base, Own.m_Body);
    Result += "Changed from offset " + std::to_string(Own.m_Base) + " to " +
              std::to_string(InForce) + ":\n" + formatChanges(Theirs) +
              "Your changes from offset " + std::to_string(Own.m_Base) + ":\n" +
              formatChanges(Ours) + describeOverlap(Theirs, Ours);
  }
  return Result +
         "To rebase: 'config show > FILE', make your changes in FILE, then "
         "'config publish FILE --base " +
         std::to_string(InForce) + "'.\n";
}

} // namespace auburnhub
