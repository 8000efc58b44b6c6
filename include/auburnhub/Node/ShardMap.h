#ifndef AUBURNHUB_NODE_SHARDMAP_H
#define AUBURNHUB_NODE_SHARDMAP_H

#include "auburnhub/Node/NodeMessages.h"
#include "auburnhub/Policy/Types.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace auburnhub {

/// Decides which shards this node should claim or release.
///
/// The views of different nodes may differ temporarily, and two nodes may then
/// claim the same shard. The higher token wins, by fencing at the workers and
/// by comparison here, so an outdated view causes only delays. An owner in the
/// data centre of the shard is preferred, so that a data centre without a
/// connection to the others continues to serve.
class ShardMap {
public:
  struct Node {
    std::string m_Name;
    std::string m_DataCentre;
    double m_Weight = 1;
    bool m_Draining = false;
    bool m_HasStatus = false; ///< Its claims are known.
    TimePoint m_UpSince;
    std::vector<ShardClaim> m_Claims;
  };

  ShardMap(std::string Self, std::string DataCentre, double Weight);

  // Peers.
  void nodeUp(TimePoint Now, const NodeHello &Hello);
  /// Updates a connected node. Returns whether its claims or its draining state
  /// have changed.
  bool updateNodeStatus(const std::string &Name, const NodeStatus &Status);
  void nodeDown(const std::string &Name);
  /// Returns whether the claims of all connected nodes are known.
  bool hasAllStatuses() const;
  const std::map<std::string, Node> &nodes() const { return m_Nodes; }

  /// Sets the registered workers, as pairs of worker and data centre. Their
  /// number determines the number of shards of each data centre. The cost grows
  /// with the number of workers: to be called only when the set has changed.
  void setWorkers(std::span<const std::pair<std::string, std::string>> Workers);

  /// Returns the registered workers of a shard. Valid until setWorkers().
  std::span<const std::string> workersOf(const ShardId &Shard) const;
  /// Returns the shard of a worker, by rendezvous hashing of its name.
  ShardId shardOf(std::string_view Worker, const std::string &DataCentre) const;

  // This node.
  /// Stops claiming shards, and releases own shards once another node can claim
  /// them.
  void setDraining() { m_Draining = true; }
  /// After setDraining(): releases all shards even if no other node can claim
  /// them.
  void setReleasingAll() { m_ReleasingAll = true; }
  void addOwnClaim(const ShardId &Shard, std::uint64_t Token);
  void removeOwnClaim(const ShardId &Shard);
  const std::vector<ShardClaim> &ownClaims() const { return m_OwnClaims; }
  ShardClaim *ownClaim(const ShardId &Shard);

  /// Returns the shards that this node should claim now.
  std::vector<ShardId> shardsToClaim() const;
  /// Returns the other nodes that decide who claims the shards without an
  /// owner, besides this node. One that has lost power and is still in the view
  /// would keep all others from claiming.
  std::set<std::string> nodesToClaim() const;
  /// Returns the nodes that decide who claims the shards of an owner if it is
  /// lost, except this node and the owner.
  std::set<std::string> successors(const std::string &Owner) const;
  /// Returns the own shards that should be released.
  std::vector<ShardId> shardsToRelease(TimePoint Now) const;
  /// Returns the own shards that another node claims with a higher token, or
  /// with the same token and a lower name.
  std::vector<ShardId> outbidShards() const;

  /// Returns the highest token seen for any shard.
  std::uint64_t highestToken() const { return m_HighestToken; }

  /// Returns the workers of a shard that are still in use by other nodes
  /// that are releasing the shard.
  std::set<std::string> busyAtReleasingOwners(const ShardId &Shard) const;

  /// Returns the other nodes that own a shard and accept jobs.
  std::vector<std::string> owners() const;

private:
  struct Candidate {
    std::string_view m_Name;
    double m_Weight;
  };
  /// Returns the nodes that may claim a shard, the most suitable ones first.
  std::vector<Candidate> candidates(const ShardId &Shard) const;
  std::optional<std::string> preferredOwner(const ShardId &Shard) const;
  bool hasOwner(const ShardId &Shard) const;
  bool hasNonDrainingPeer() const;

  std::string m_Self;
  std::string m_DataCentre;
  double m_Weight;
  bool m_Draining = false;
  bool m_ReleasingAll = false;
  std::map<std::string, Node> m_Nodes;
  std::map<std::string, std::uint32_t> m_ShardCounts; ///< By data centre.
  /// By ShardId::str().
  std::map<std::string, std::vector<std::string>> m_WorkersByShard;
  std::vector<ShardClaim> m_OwnClaims;
  std::uint64_t m_HighestToken = 0;
};

} // namespace auburnhub

#endif
