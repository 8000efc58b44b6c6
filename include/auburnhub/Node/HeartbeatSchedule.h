#ifndef AUBURNHUB_NODE_HEARTBEATSCHEDULE_H
#define AUBURNHUB_NODE_HEARTBEATSCHEDULE_H

#include "auburnhub/Policy/Types.h"

#include <map>
#include <string>
#include <vector>

namespace auburnhub {

/// Decides how often this node sends its status to each peer.
///
/// A peer is *working* if it owns a shard, keeps a partition or runs jobs. The
/// loss of a working node must be noticed at once, and a working node must
/// notice at once that a node whose jobs it runs is lost. Links with a working
/// node at one end at least therefore carry a heartbeat every ShortIntervalMs.
///
/// The other links exist only to learn of new claims. Their interval grows with
/// their number, so that the messages that an idle node sends on them do not
/// increase with the number of nodes. Each status states the time until the
/// next one, from which the receiver derives its timeout.
///
/// Load pattern: hundreds of nodes of which few own workers, in a quiet hour.
class HeartbeatSchedule {
public:
  /// Heartbeat interval of links with a working node, in milliseconds: short
  /// compared with the time after which a caller retries a job.
  static constexpr double ShortIntervalMs = 200;

  /// Adds a peer. The caller must send it a status now.
  void peerUp(const std::string &Peer, bool SupportsLongIntervals);
  void peerDown(const std::string &Peer) { m_Peers.erase(Peer); }
  /// Returns whether the peer has just become a working one and must be told
  /// the short interval now.
  bool setPeerWorking(const std::string &Peer, bool Working);
  void setSelfWorking(bool Working) { m_SelfWorking = Working; }

  /// Returns the time until the next status for this peer, in milliseconds.
  double intervalMs(const std::string &Peer) const;

  /// Returns the peers that are due for a status if the next call comes after
  /// TickMs. The caller must send it to each of them.
  std::vector<std::string> duePeers(TimePoint Now, double TickMs) const;
  /// Records that a status was sent that stated intervalMs().
  void markSent(TimePoint Now, const std::string &Peer);

private:
  struct Peer {
    bool m_SupportsLongIntervals = false;
    bool m_IsWorking = true; ///< Assumed until its first status arrives.
    TimePoint m_LastSentAt;
    /// Interval stated in the last status, in milliseconds: the peer closes the
    /// link if the next one comes much later.
    double m_StatedIntervalMs = ShortIntervalMs;
  };

  double longIntervalMs() const;

  bool m_SelfWorking = false;
  std::map<std::string, Peer> m_Peers;
};

} // namespace auburnhub

#endif
