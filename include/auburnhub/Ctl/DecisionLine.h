#ifndef AUBURNHUB_CTL_DECISIONLINE_H
#define AUBURNHUB_CTL_DECISIONLINE_H

#include "auburnhub/Base/SubmissionId.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <istream>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburnhub {

/// One log line about one submission.
struct DecisionLine {
  std::string m_Time; ///< UTC with milliseconds; sorts as text.
  std::string m_Process;
  std::string m_Vm;
  std::string m_DataCentre;
  std::string m_Event;
  nlohmann::json m_Fields; ///< The whole line.

  /// Returns a field as text without quotes; empty if it is missing.
  std::string text(std::string_view Field) const;

  /// Returns the task's index, if the line is about one task.
  std::optional<int> task() const;
};

/// The log lines of one submission or of one job of a node.
class DecisionLog {
public:
  explicit DecisionLog(SubmissionId Id);
  /// Job is the id of a job that nodes run or store.
  explicit DecisionLog(std::string Job);

  /// Adds the lines of a log that name the submission or job; skips all others.
  void read(std::istream &Input);

  /// Returns the lines by time; lines of equal time keep the order in which
  /// they were read. Each line is returned once, however often it was read.
  std::vector<DecisionLine> ordered() const;

  /// Returns how many lines were skipped because they are no JSON objects.
  std::size_t malformedLines() const { return m_MalformedLines; }

private:
  void addLine(const std::string &Text);

  std::function<bool(const DecisionLine &)> m_Concerns;
  std::vector<DecisionLine> m_Lines;
  std::size_t m_MalformedLines = 0;
};

} // namespace auburnhub

#endif
