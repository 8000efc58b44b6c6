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

/// Decides which shards this node should claim or hand over.
///
/// Views of different nodes may differ for a while, and two may then claim one
/// shard: the higher token wins, at the workers by fencing and here by
/// comparison, so a wrong view costs time only. A shard prefers an owner in
/// its own data centre, so that a data centre that is cut off serves on.
class ShardMap {
public:
  struct Node {
    std::string m_Name;
    std::string m_DataCentre;
    double m_Weight = 1;
    bool m_Draining = false;
    TimePoint m_UpSince;
    std::vector<ShardClaim> m_Claims;
  };

  ShardMap(std::string Self, std::string DataCentre, double Weight);

  // What is known of others.
  void nodeUp(TimePoint Now, const NodeHello &Hello);
  /// Returns whether the node's claims, or whether it drains, have changed.
  bool nodeStatus(const std::string &Name, const NodeStatus &Status);
  void nodeDown(const std::string &Name);
  const std::map<std::string, Node> &nodes() const { return m_Nodes; }

  /// Sets the workers that are registered, as (worker, data centre).
  void setWorkers(std::span<const std::pair<std::string, std::string>> Workers);

  /// Returns the shard of a worker.
  ShardId shardOf(std::string_view Worker, const std::string &DataCentre) const;

  // What this node does.
  /// Claims nothing more, and hands shards over once another node can take
  /// them.
  void setDraining() { m_Draining = true; }
  /// Hands all shards over, whether another node can take them or not.
  void setHandingOver() { m_HandingOver = true; }
  void claimed(const ShardId &Shard, std::uint64_t Token);
  void lost(const ShardId &Shard);
  const std::vector<ShardClaim> &ownClaims() const { return m_Own; }
  ShardClaim *ownClaim(const ShardId &Shard);

  /// Returns the shards that this node should claim now.
  std::vector<ShardId> toClaim() const;
  /// Returns own shards that are to be handed over.
  std::vector<ShardId> toRelease(TimePoint Now) const;
  /// Returns own shards that another node holds under a higher token.
  std::vector<ShardId> outbid() const;

  /// Returns the highest token seen for any shard.
  std::uint64_t highestToken() const { return m_HighestToken; }

  /// Returns the workers that a node which hands this shard over still uses.
  std::set<std::string> busyElsewhere(const ShardId &Shard) const;

  /// Returns the nodes that own shards and take jobs, without this one.
  std::vector<std::string> owners() const;

private:
  struct Candidate {
    std::string_view m_Name;
    double m_Weight;
  };
  std::optional<std::string> preferred(const ShardId &Shard) const;
  bool hasOwner(const ShardId &Shard) const;
  bool anotherTakesOver() const;

  std::string m_Self;
  std::string m_DataCentre;
  double m_Weight;
  bool m_Draining = false;
  bool m_HandingOver = false;
  std::map<std::string, Node> m_Nodes;
  std::map<std::string, std::uint32_t> m_ShardsOf; ///< By data centre.
  std::vector<ShardClaim> m_Own;
  std::uint64_t m_HighestToken = 0;
};

} // namespace auburnhub

#endif
