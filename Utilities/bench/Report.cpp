#include "Report.h"

#include <algorithm>
#include <cstdio>
#include <iomanip>
#include <ostream>

namespace auburnhub::bench {

ReportRow &ReportRow::add(std::string Name, std::string Value) {
  m_Cells.emplace_back(std::move(Name), std::move(Value));
  return *this;
}

ReportRow &ReportRow::add(std::string Name, double Value) {
  char Text[32];
  std::snprintf(Text, sizeof(Text), "%.3f", Value);
  std::string Short = Text;
  Short.erase(Short.find_last_not_of('0') + 1);
  if (Short.back() == '.')
    Short.pop_back();
  return add(std::move(Name), std::move(Short));
}

void Report::writeText(std::ostream &Output) const {
  if (m_Rows.empty())
    return;
  std::vector<std::size_t> Widths;
  for (const auto &[Name, Value] : m_Rows.front().cells())
    Widths.push_back(Name.size());
  for (const ReportRow &Row : m_Rows)
    for (std::size_t I = 0; I < Row.cells().size(); ++I)
      Widths[I] = std::max(Widths[I], Row.cells()[I].second.size());
  auto Put = [&](const std::string &Text, std::size_t Column) {
    Output << std::left << std::setw(static_cast<int>(Widths[Column] + 2))
           << Text;
  };
  for (std::size_t I = 0; I < Widths.size(); ++I)
    Put(m_Rows.front().cells()[I].first, I);
  Output << '\n';
  for (const ReportRow &Row : m_Rows) {
    for (std::size_t I = 0; I < Row.cells().size(); ++I)
      Put(Row.cells()[I].second, I);
    Output << '\n';
  }
}

void Report::writeCsv(std::ostream &Output) const {
  if (m_Rows.empty())
    return;
  auto Line = [&Output](const ReportRow &Row, auto Pick) {
    const char *Comma = "";
    for (const auto &Cell : Row.cells()) {
      Output << Comma << Pick(Cell);
      Comma = ",";
    }
    Output << '\n';
  };
  Line(m_Rows.front(), [](const auto &Cell) { return Cell.first; });
  for (const ReportRow &Row : m_Rows)
    Line(Row, [](const auto &Cell) { return Cell.second; });
}

} // namespace auburnhub::bench
