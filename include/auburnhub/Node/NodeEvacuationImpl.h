#ifndef AUBURNHUB_NODE_NODEEVACUATIONIMPL_H
#define AUBURNHUB_NODE_NODEEVACUATIONIMPL_H

#include "auburnhub/Node/NodeImpl.h"

#include <algorithm>
#include <cmath>
#include <utility>

/// \file
/// The part of Node that evacuates data centres.

namespace auburnhub {

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::setEvacuated(
    std::uint64_t Version, const EvacuatedDataCentres::Names &DataCentres) {
  bool IsFirst = m_Evacuated.version() == 0;
  EvacuatedDataCentres::Change Change =
      m_Evacuated.update(Version, DataCentres);
  if (!Change.empty() || (IsFirst && m_Evacuated.version() != 0))
    setDocument(nodedocuments::Evacuated, m_Evacuated.version(),
                [Text = m_Evacuated.encodeNames()] { return Text; });
  if (!Change.empty())
    onEvacuationChanged(Change);
}

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::onEvacuatedDocument(const Document &Msg) {
  auto Names = EvacuatedDataCentres::decodeNames(Msg.m_Text);
  if (!Names.ok()) {
    m_EvacuationLog.warning("evacuation_unreadable",
                            {{"version", Msg.m_Version},
                             {"detail", failureDetail(Names.status())}});
    return;
  }
  setEvacuated(Msg.m_Version, *Names);
  // The own version may be higher although it was not announced, because the
  // set was the same. Announced now, it ends requests for the peer's document.
  setDocument(nodedocuments::Evacuated, m_Evacuated.version(),
              [Text = m_Evacuated.encodeNames()] { return Text; });
}

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::onEvacuationChanged(
    const EvacuatedDataCentres::Change &Change) {
  TimePoint Now = EventLoop::now();
  for (const std::string &Name : Change.m_Requested) {
    m_EvacuatedSince[Name] = Now;
    m_EvacuationLog.info(
        "evacuation_requested",
        {{"evacuated", Name}, {"version", m_Evacuated.version()}});
  }
  m_Host.setEvacuated(m_Evacuated.names());
  updateRouter();
  for (const std::string &Name : Change.m_Requested)
    m_EvacuationLog.info(
        "evacuation_in_force",
        {{"evacuated", Name},
         {"version", m_Evacuated.version()},
         {"age_ms", std::round(millisecondsBetween(Now, EventLoop::now()))},
         {"workers", workersIn(Name)},
         {"runs", m_Host.evacuatedRuns()}});
  for (const std::string &Name : Change.m_TakenBack) {
    m_EvacuationLog.info("evacuation_taken_back",
                         {{"evacuated", Name},
                          {"version", m_Evacuated.version()},
                          {"age_ms", std::round(millisecondsBetween(
                                         m_EvacuatedSince[Name], Now))},
                          {"workers", workersIn(Name)}});
    m_EvacuatedSince.erase(Name);
    m_UnknownEvacuated.erase(Name);
  }
  m_EvacuatedCount.set(static_cast<double>(m_Evacuated.names().size()));
  m_EvacuatedVersion.set(static_cast<double>(m_Evacuated.version()));
  checkEvacuatedNames();
  sendStatus();
}

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::checkEvacuatedNames() {
  if (!m_WorkersComplete)
    return;
  for (const std::string &Name : m_Evacuated.names())
    if (workersIn(Name) == 0 && m_UnknownEvacuated.insert(Name).second)
      m_EvacuationLog.warning(
          "evacuation_without_workers",
          {{"evacuated", Name}, {"version", m_Evacuated.version()}});
}

template <WorkerTransport Transport, JobLog Log>
std::size_t Node<Transport, Log>::workersIn(const std::string &Name) const {
  return static_cast<std::size_t>(
      std::count_if(m_Workers.begin(), m_Workers.end(), [&](const auto &Entry) {
        return Entry.second.m_DataCentre == Name;
      }));
}

template <WorkerTransport Transport, JobLog Log>
bool Node<Transport, Log>::isEvacuated(
    std::span<const ShardClaim> Claims) const {
  return !m_Evacuated.names().empty() && !Claims.empty() &&
         std::all_of(Claims.begin(), Claims.end(), [this](const auto &Claim) {
           return m_Evacuated.contains(Claim.m_Shard.m_DataCentre);
         });
}

template <WorkerTransport Transport, JobLog Log>
bool Node<Transport, Log>::areAllEvacuated() const {
  return !m_Evacuated.names().empty() && !m_Workers.empty() &&
         std::all_of(m_Workers.begin(), m_Workers.end(),
                     [this](const auto &Entry) {
                       return m_Evacuated.contains(Entry.second.m_DataCentre);
                     });
}

template <WorkerTransport Transport, JobLog Log>
nlohmann::json Node<Transport, Log>::describeEvacuation() const {
  nlohmann::json List = nlohmann::json::array();
  for (const auto &[Name, Since] : m_EvacuatedSince)
    List.push_back(
        {{"data_centre", Name},
         {"for_ms", std::round(millisecondsBetween(Since, EventLoop::now()))},
         {"workers", workersIn(Name)}});
  return {{"version", m_Evacuated.version()},
          {"data_centres", std::move(List)},
          {"runs", m_Host.evacuatedRuns()}};
}

} // namespace auburnhub

#endif
