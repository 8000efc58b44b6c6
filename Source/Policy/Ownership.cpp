#include "auburnhub/Policy/Ownership.h"

#include <xxhash.h>

#include <cmath>
#include <cstdint>

namespace auburnhub {
namespace {

/// Returns a hash of an endpoint and a candidate's name, uniformly distributed
/// in (0, 1).
double unitHash(std::string_view Endpoint, std::string_view Name) {
  XXH64_hash_t Seed = XXH64(Name.data(), Name.size(), 0);
  XXH64_hash_t Hash = XXH64(Endpoint.data(), Endpoint.size(), Seed);
  constexpr int MantissaBits = 53;
  auto Top = static_cast<double>(Hash >> (64 - MantissaBits));
  return std::ldexp(Top + 0.5, -MantissaBits);
}

/// Compares two candidates by score. Equal scores are compared by name, so that
/// the owner does not depend on the order of the candidates.
bool ranksHigher(double Score, std::string_view Name, double BestScore,
                 std::string_view BestName) {
  return Score > BestScore || (Score == BestScore && Name < BestName);
}

} // namespace

std::optional<std::size_t>
selectOwner(std::string_view Endpoint,
            std::span<const OwnerCandidate> Candidates) {
  std::optional<std::size_t> Best;
  double BestScore = 0;
  for (std::size_t I = 0; I < Candidates.size(); ++I) {
    const OwnerCandidate &Candidate = Candidates[I];
    if (!(Candidate.m_Weight > 0))
      continue;
    double Score =
        -Candidate.m_Weight / std::log(unitHash(Endpoint, Candidate.m_Name));
    if (Best && !ranksHigher(Score, Candidate.m_Name, BestScore,
                             Candidates[*Best].m_Name))
      continue;
    Best = I;
    BestScore = Score;
  }
  return Best;
}

} // namespace auburnhub
