#include "auburnhub/Node/ShardMap.h"

#include "auburnhub/Policy/Ownership.h"

#include <algorithm>
#include <bit>

namespace auburnhub {
namespace {

/// Maximum number of workers per shard; larger data centres have several
/// shards. A job runs within one shard, so a few large shards use capacity
/// better than many small ones. At the peak rate of the users' largest
/// deployment, 8 starts per second and worker, a shard of this size takes a
/// fifth of a core.
constexpr std::size_t MaxWorkersPerShard = 128;

/// Minimum time that a node must have been connected before a shard of its data
/// centre is released to it, in milliseconds.
constexpr double MinUptimeMs = 1500;

/// An owner hands a shard of its own data centre to a node that has at least
/// this many times its processor share. A smaller gain is not worth a move.
constexpr double HandOverRatio = 2;

} // namespace

ShardMap::ShardMap(std::string Self, std::string DataCentre, double Weight)
    : m_Self(std::move(Self)), m_DataCentre(std::move(DataCentre)),
      m_Weight(Weight) {}

void ShardMap::nodeUp(TimePoint Now, const NodeHello &Hello) {
  Node &Added = m_Nodes[Hello.m_Node];
  Added = Node();
  Added.m_Name = Hello.m_Node;
  Added.m_DataCentre = Hello.m_DataCentre;
  Added.m_Weight = Hello.m_Weight;
  Added.m_UpSince = Now;
}

bool ShardMap::updateNodeStatus(const std::string &Name,
                                const NodeStatus &Status) {
  auto Found = m_Nodes.find(Name);
  if (Found != m_Nodes.end())
    Found->second.m_HasStatus = true;
  if (Found == m_Nodes.end() ||
      (Found->second.m_Draining == Status.m_Draining &&
       Found->second.m_Claims == Status.m_Claims))
    return false;
  Found->second.m_Draining = Status.m_Draining;
  Found->second.m_Claims = Status.m_Claims;
  for (const ShardClaim &Claim : Status.m_Claims)
    m_HighestToken = std::max(m_HighestToken, Claim.m_Token);
  return true;
}

void ShardMap::nodeDown(const std::string &Name) { m_Nodes.erase(Name); }

bool ShardMap::hasAllStatuses() const {
  return std::all_of(m_Nodes.begin(), m_Nodes.end(), [](const auto &Entry) {
    return Entry.second.m_HasStatus;
  });
}

void ShardMap::setWorkers(
    std::span<const std::pair<std::string, std::string>> Workers) {
  std::map<std::string, std::size_t> WorkerCounts;
  for (const auto &[Worker, DataCentre] : Workers)
    ++WorkerCounts[DataCentre];
  for (const auto &[DataCentre, WorkerCount] : WorkerCounts) {
    // The number of shards is a power of two, so that small changes of the
    // number of workers rarely move workers between shards.
    std::size_t ShardCount = std::bit_ceil(
        (WorkerCount + MaxWorkersPerShard - 1) / MaxWorkersPerShard);
    m_ShardCounts[DataCentre] = static_cast<std::uint32_t>(ShardCount);
  }
  m_WorkersByShard.clear();
  for (const auto &[Worker, DataCentre] : Workers)
    m_WorkersByShard[shardOf(Worker, DataCentre).str()].push_back(Worker);
}

std::span<const std::string> ShardMap::workersOf(const ShardId &Shard) const {
  auto Found = m_WorkersByShard.find(Shard.str());
  if (Found == m_WorkersByShard.end())
    return {};
  return Found->second;
}

ShardId ShardMap::shardOf(std::string_view Worker,
                          const std::string &DataCentre) const {
  auto Found = m_ShardCounts.find(DataCentre);
  std::uint32_t ShardCount = Found == m_ShardCounts.end() ? 1 : Found->second;
  if (ShardCount <= 1)
    return {DataCentre, 0};
  std::vector<std::string> Names;
  Names.reserve(ShardCount);
  for (std::uint32_t I = 0; I < ShardCount; ++I)
    Names.push_back(std::to_string(I));
  std::vector<OwnerCandidate> Candidates;
  Candidates.reserve(ShardCount);
  for (const std::string &Name : Names)
    Candidates.push_back({Name, 1});
  auto Chosen = selectOwner(Worker, Candidates);
  return {DataCentre, static_cast<std::uint32_t>(Chosen.value_or(0))};
}

void ShardMap::addOwnClaim(const ShardId &Shard, std::uint64_t Token) {
  removeOwnClaim(Shard);
  ShardClaim &Added = m_OwnClaims.emplace_back();
  Added.m_Shard = Shard;
  Added.m_Token = Token;
  m_HighestToken = std::max(m_HighestToken, Token);
}

void ShardMap::removeOwnClaim(const ShardId &Shard) {
  std::erase_if(m_OwnClaims, [&](const ShardClaim &Claim) {
    return Claim.m_Shard == Shard;
  });
}

ShardClaim *ShardMap::ownClaim(const ShardId &Shard) {
  auto Found =
      std::find_if(m_OwnClaims.begin(), m_OwnClaims.end(),
                   [&](const auto &Claim) { return Claim.m_Shard == Shard; });
  return Found == m_OwnClaims.end() ? nullptr : &*Found;
}

bool ShardMap::hasOwner(const ShardId &Shard) const {
  auto IsActiveClaim = [&](const ShardClaim &Claim) {
    return Claim.m_Shard == Shard && !Claim.m_Releasing;
  };
  if (std::any_of(m_OwnClaims.begin(), m_OwnClaims.end(), IsActiveClaim))
    return true;
  return std::any_of(m_Nodes.begin(), m_Nodes.end(), [&](const auto &Entry) {
    const auto &Claims = Entry.second.m_Claims;
    return std::any_of(Claims.begin(), Claims.end(), IsActiveClaim);
  });
}

std::vector<ShardMap::Candidate>
ShardMap::candidates(const ShardId &Shard) const {
  std::vector<Candidate> SameDataCentre;
  std::vector<Candidate> AllCandidates;
  auto AddCandidate = [&](std::string_view Name, const std::string &DataCentre,
                          double Weight) {
    AllCandidates.push_back({Name, Weight});
    if (DataCentre == Shard.m_DataCentre)
      SameDataCentre.push_back({Name, Weight});
  };
  if (!m_Draining)
    AddCandidate(m_Self, m_DataCentre, m_Weight);
  for (const auto &[Name, Other] : m_Nodes)
    if (!Other.m_Draining)
      AddCandidate(Name, Other.m_DataCentre, Other.m_Weight);
  std::vector<Candidate> &Eligible =
      SameDataCentre.empty() ? AllCandidates : SameDataCentre;
  std::sort(Eligible.begin(), Eligible.end(), [](const auto &A, const auto &B) {
    return A.m_Weight != B.m_Weight ? A.m_Weight > B.m_Weight
                                    : A.m_Name < B.m_Name;
  });
  return Eligible;
}

std::optional<std::string>
ShardMap::preferredOwner(const ShardId &Shard) const {
  std::vector<Candidate> Eligible = candidates(Shard);
  if (Eligible.empty())
    return std::nullopt;
  return std::string(Eligible[Shard.m_Index % Eligible.size()].m_Name);
}

std::set<std::string> ShardMap::nodesToClaim() const {
  std::set<std::string> Result;
  for (const auto &[DataCentre, ShardCount] : m_ShardCounts)
    for (std::uint32_t I = 0; I < ShardCount; ++I)
      if (ShardId Shard{DataCentre, I}; !hasOwner(Shard))
        for (const Candidate &Eligible : candidates(Shard))
          Result.emplace(Eligible.m_Name);
  Result.erase(m_Self);
  return Result;
}

std::set<std::string> ShardMap::successors(const std::string &Owner) const {
  std::set<std::string> Result;
  auto Found = m_Nodes.find(Owner);
  if (Found == m_Nodes.end())
    return Result;
  for (const ShardClaim &Claim : Found->second.m_Claims)
    for (const Candidate &Eligible : candidates(Claim.m_Shard))
      Result.emplace(Eligible.m_Name);
  Result.erase(m_Self);
  Result.erase(Owner);
  return Result;
}

std::vector<ShardId> ShardMap::shardsToClaim() const {
  std::vector<ShardId> Result;
  for (const auto &[DataCentre, ShardCount] : m_ShardCounts)
    for (std::uint32_t I = 0; I < ShardCount; ++I) {
      ShardId Shard{DataCentre, I};
      if (!hasOwner(Shard) && preferredOwner(Shard) == m_Self)
        Result.push_back(Shard);
    }
  return Result;
}

bool ShardMap::hasNonDrainingPeer() const {
  return std::any_of(m_Nodes.begin(), m_Nodes.end(), [](const auto &Entry) {
    return !Entry.second.m_Draining;
  });
}

std::vector<ShardId> ShardMap::shardsToRelease(TimePoint Now) const {
  std::vector<ShardId> Result;
  for (const ShardClaim &Claim : m_OwnClaims) {
    if (Claim.m_Releasing)
      continue;
    if (m_Draining) {
      if (m_ReleasingAll || hasNonDrainingPeer())
        Result.push_back(Claim.m_Shard);
      continue;
    }
    auto Preferred = preferredOwner(Claim.m_Shard);
    auto Found = Preferred ? m_Nodes.find(*Preferred) : m_Nodes.end();
    if (Found == m_Nodes.end() ||
        Found->second.m_DataCentre != Claim.m_Shard.m_DataCentre)
      continue;
    bool IsWorthIt = m_DataCentre != Claim.m_Shard.m_DataCentre ||
                     Found->second.m_Weight >= HandOverRatio * m_Weight;
    if (IsWorthIt &&
        millisecondsBetween(Found->second.m_UpSince, Now) > MinUptimeMs)
      Result.push_back(Claim.m_Shard);
  }
  return Result;
}

std::vector<ShardId> ShardMap::outbidShards() const {
  std::vector<ShardId> Result;
  for (const ShardClaim &Own : m_OwnClaims)
    for (const auto &[Name, Other] : m_Nodes)
      for (const ShardClaim &Claim : Other.m_Claims)
        if (Claim.m_Shard == Own.m_Shard && !Claim.m_Releasing &&
            !Own.m_Releasing &&
            (Claim.m_Token > Own.m_Token ||
             (Claim.m_Token == Own.m_Token && Name < m_Self)))
          Result.push_back(Own.m_Shard);
  return Result;
}

std::set<std::string>
ShardMap::busyAtReleasingOwners(const ShardId &Shard) const {
  std::set<std::string> Result;
  for (const auto &[Name, Other] : m_Nodes)
    for (const ShardClaim &Claim : Other.m_Claims)
      if (Claim.m_Shard == Shard && Claim.m_Releasing)
        Result.insert(Claim.m_Busy.begin(), Claim.m_Busy.end());
  return Result;
}

std::vector<std::string> ShardMap::owners() const {
  std::vector<std::string> Result;
  for (const auto &[Name, Other] : m_Nodes)
    if (std::any_of(Other.m_Claims.begin(), Other.m_Claims.end(),
                    [](const auto &Claim) { return !Claim.m_Releasing; }))
      Result.push_back(Name);
  return Result;
}

} // namespace auburnhub
