#ifndef AUBURNHUB_NODE_NODEWORKERCHANGESIMPL_H
#define AUBURNHUB_NODE_NODEWORKERCHANGESIMPL_H

#include "auburnhub/Node/Node.h"
#include "auburnhub/Policy/Ownership.h"

#include <string>
#include <vector>

/// \file
/// The part of Node that hands on changes of registrations.

namespace auburnhub {

namespace workerchanges {

/// Number of peers up to which each node reads the log itself.
inline constexpr std::size_t MaxPeersThatRead = 64;

/// An owner whose own read of the log is older does not answer, in
/// milliseconds: the store may still answer others. Allows for a slow read.
inline constexpr double MaxAgeMs = 1500;

} // namespace workerchanges

template <WorkerTransport Transport, JobLog Log>
bool Node<Transport, Log>::requestWorkerChanges(std::uint64_t From) {
  if (m_Links.linkCount() <= workerchanges::MaxPeersThatRead || isWorking())
    return false;
  std::vector<std::string> Owners = m_Shards.owners();
  std::vector<OwnerCandidate> Candidates;
  Candidates.reserve(Owners.size());
  for (const std::string &Name : Owners)
    Candidates.push_back({Name, 1});
  auto Chosen = selectOwner(m_Settings.m_Name, Candidates);
  if (!Chosen)
    return false;
  m_Links.send(Owners[*Chosen], WorkerChangesRequest{From});
  return true;
}

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::onWorkerChangesRequest(
    const std::string &From, const WorkerChangesRequest &Msg) {
  // A node that no longer works follows another one.
  if (!isWorking() || !m_Events.m_WorkerChangesRequested)
    return;
  auto Changes = m_Events.m_WorkerChangesRequested(Msg.m_From);
  if (Changes && Changes->m_AgeMs <= workerchanges::MaxAgeMs)
    m_Links.send(From, *Changes);
}

} // namespace auburnhub

#endif
