#ifndef AUBURNHUB_BENCH_REPORT_H
#define AUBURNHUB_BENCH_REPORT_H

#include <iosfwd>
#include <string>
#include <utility>
#include <vector>

namespace auburnhub::bench {

/// One line of a report: names and values in order.
class ReportRow {
public:
  ReportRow &add(std::string Name, std::string Value);
  /// Adds a number with at most three places after the point.
  ReportRow &add(std::string Name, double Value);

  const std::vector<std::pair<std::string, std::string>> &cells() const {
    return m_Cells;
  }

private:
  std::vector<std::pair<std::string, std::string>> m_Cells;
};

/// Writes rows as aligned text and as CSV. All rows have the same names.
class Report {
public:
  void add(ReportRow Row) { m_Rows.push_back(std::move(Row)); }

  void writeText(std::ostream &Output) const;
  void writeCsv(std::ostream &Output) const;

private:
  std::vector<ReportRow> m_Rows;
};

} // namespace auburnhub::bench

#endif
