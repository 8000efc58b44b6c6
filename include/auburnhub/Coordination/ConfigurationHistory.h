#ifndef AUBURNHUB_COORDINATION_CONFIGURATIONHISTORY_H
#define AUBURNHUB_COORDINATION_CONFIGURATIONHISTORY_H

#include "auburnhub/Coordination/ConfigurationBody.h"
#include "auburnhub/Messages/Messages.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburnhub {

enum class ConfigurationVerdict {
  Accepted,      ///< In force from now on.
  Renewed,       ///< The record in force was appended again; its offset moved.
  Repeated,      ///< Its change_id was accepted before: the same change.
  Conflict,      ///< Another record was accepted on its base.
  Malformed,     ///< Not a record, or its body is not valid.
  UnknownSchema, ///< Of a schema version that this process cannot read.
  Passed,        ///< At or before the offset in force.
  Held           ///< Decided by caughtUp(), as the log before it was trimmed.
};

/// Returns "accepted", "renewed", ...
std::string_view configurationVerdictName(ConfigurationVerdict Verdict);

/// What became of one record.
struct ConfigurationDecision {
  ConfigurationVerdict m_Verdict = ConfigurationVerdict::Passed;
  std::int64_t m_Offset = -1;
  std::string m_ChangeId; ///< Empty for what is not a record.
  std::string m_Author;
  std::string m_Detail;
};

/// Decides which records of the configuration log are accepted.
///
/// The rule, the same for every reader: a record is accepted if its base is
/// the offset of the record accepted before it (-1 for none), its schema is
/// readable and its body valid. Nothing else counts, so the log's order alone
/// decides between operators, and offsets only rise.
///
/// The record in force is kept from being trimmed by appending it again with
/// its own offset as base (renewal()). So a renewal is an ordinary record: it
/// is accepted at its new offset, of two renewals the second has lost, and an
/// operator's change on the same base either precedes it and wins, or follows
/// it and is a conflict. A repeated change_id that is not accepted by the rule
/// is reported as Repeated rather than as Conflict; that changes nothing of
/// what is in force.
///
/// A reader whose first record is not the log's first does not know the record
/// in force before it. As that one is renewed before it is trimmed, the first
/// accepted record that it reads has a base before the part read. Writers
/// take as base an offset that was accepted, so no base is larger than the
/// offset in force, and the first valid record with the largest such base is
/// the accepted one. (Bases of records of an unreadable schema count too.)
/// Records are held until the reader has caught up, then decided in this way. A
/// peer's record (adopt()) makes this unnecessary.
class ConfigurationHistory {
public:
  /// Says that the log's oldest kept record is First: call with each page
  /// read, before its records.
  void beginPage(std::int64_t First);

  /// Takes the record at an offset of the log. Offsets rise.
  ConfigurationDecision apply(std::int64_t Offset, const nlohmann::json &Data);

  /// Says that the end of the log was reached; decides what was held.
  std::vector<ConfigurationDecision> caughtUp();

  /// Takes a peer's record in force. A lower offset than the one in force
  /// changes nothing.
  ConfigurationDecision adopt(const ConfigurationUpdate &FromPeer);

  /// Returns the record in force with its offset, or nothing.
  const std::optional<ConfigurationUpdate> &accepted() const {
    return m_Accepted;
  }

  /// Returns the body in force; that of an empty configuration if there is
  /// none.
  const ConfigurationBody &body() const { return m_Body; }

  std::int64_t offset() const { return m_Accepted ? m_Accepted->m_Offset : -1; }

  /// Returns the offset of the next record to read.
  std::int64_t nextOffset() const { return m_NextOffset; }

  /// Returns the record to append so that the one in force is kept. There must
  /// be one.
  ConfigurationRecord renewal() const;

  /// Says whether the record in force lies in the older half of the log, and
  /// the log was trimmed before.
  bool isRenewalDue(std::int64_t First, std::int64_t End) const;

private:
  struct Candidate {
    std::int64_t m_Offset;
    ConfigurationRecord m_Record;
    ConfigurationBody m_Body;
  };

  ConfigurationDecision decide(Candidate What);
  void accept(Candidate What);
  bool wasAccepted(const std::string &ChangeId) const;

  std::optional<ConfigurationUpdate> m_Accepted;
  ConfigurationBody m_Body;
  std::int64_t m_NextOffset = 0;
  /// Set while records are held: the first offset that was read.
  std::optional<std::int64_t> m_HeldFrom;
  std::vector<Candidate> m_Held;
  /// Bases of records read since then that only newer processes understand.
  std::vector<std::int64_t> m_UnreadableBases;
  std::deque<std::string> m_ChangeIds; ///< The latest that were accepted.
};

} // namespace auburnhub

#endif
