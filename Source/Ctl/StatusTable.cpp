#include "auburnhub/Ctl/StatusTable.h"

#include <algorithm>

namespace auburnhub {
namespace {

constexpr std::size_t ColumnGap = 2;
using Row = std::vector<std::string>;

const Row ProcessHeading = {"VM",     "DATA CENTRE", "PROCESS", "STATE",
                            "CONFIG", "INCARNATION", "MEMBERS", "ADDRESS"};
const Row MemberHeading = {"VM",          "DATA CENTRE", "CONTROL", "DISPATCH",
                           "INCARNATION", "READY",       "ENTRY",   "CONFIG"};

std::string valueText(const nlohmann::json &Value) {
  if (Value.is_string())
    return Value.get<std::string>();
  // A list of members is shown by its length.
  return Value.is_array() ? std::to_string(Value.size()) : Value.dump();
}

std::string field(const nlohmann::json &Object, const char *Name) {
  if (!Object.is_object() || !Object.contains(Name) || Object[Name].is_null())
    return "-";
  std::string Text = valueText(Object[Name]);
  return Text.empty() ? "-" : Text;
}

/// Returns the value at a JSON pointer of a status page; null if there is none.
nlohmann::json valueAt(const nlohmann::json &Page, const char *Pointer) {
  nlohmann::json::json_pointer Where(Pointer);
  return Page.contains(Where) ? Page[Where] : nlohmann::json();
}

/// Returns the offset of the configuration in force that a process reports.
std::string configurationOffset(const nlohmann::json &Page) {
  for (const char *Pointer :
       {"/role/configuration/offset", "/role/configuration_offset"})
    if (nlohmann::json Value = valueAt(Page, Pointer); !Value.is_null())
      return Value.dump();
  return "-";
}

/// Returns the members that a control process reports; null if it does not.
nlohmann::json membersOf(const ProcessStatus &Process) {
  nlohmann::json Members = valueAt(Process.m_Page, "/role/members/members");
  return Members.is_array() ? Members : nlohmann::json();
}

/// Returns how many members a process sees.
std::string memberCount(const ProcessStatus &Process) {
  nlohmann::json Members = membersOf(Process);
  if (Members.is_null())
    Members = valueAt(Process.m_Page, "/role/members");
  return Members.is_null() ? "-" : valueText(Members);
}

Row makeProcessRow(const ProcessStatus &Process) {
  if (!Process.m_Page.is_object())
    return {"-", "-", "-", Process.m_Failure, "-", "-", "-", Process.m_Address};
  const nlohmann::json &Page = Process.m_Page;
  return {field(Page, "vm"),         field(Page, "data_centre"),
          field(Page, "process"),    field(Page, "state"),
          configurationOffset(Page), field(Page, "incarnation"),
          memberCount(Process),      Process.m_Address};
}

Row makeMemberRow(const nlohmann::json &Member) {
  return {field(Member, "vm"),          field(Member, "data_centre"),
          field(Member, "control"),     field(Member, "dispatch"),
          field(Member, "incarnation"), field(Member, "ready"),
          field(Member, "entry"),       field(Member, "config")};
}

std::string formatRow(const Row &Cells, std::span<const std::size_t> Widths) {
  std::string Result;
  for (std::size_t I = 0; I + 1 < Cells.size(); ++I) {
    Result += Cells[I];
    Result.append(Widths[I] + ColumnGap - Cells[I].size(), ' ');
  }
  return Result + Cells.back() + "\n";
}

std::string formatTable(const Row &Heading, std::vector<Row> Rows) {
  std::sort(Rows.begin(), Rows.end());
  Rows.insert(Rows.begin(), Heading);
  std::vector<std::size_t> Widths(Heading.size());
  for (const Row &Cells : Rows)
    for (std::size_t I = 0; I < Cells.size(); ++I)
      Widths[I] = std::max(Widths[I], Cells[I].size());
  std::string Result;
  for (const Row &Cells : Rows)
    Result += formatRow(Cells, Widths);
  return Result;
}

} // namespace

std::string formatStatusTable(std::span<const ProcessStatus> Processes) {
  std::vector<Row> Rows;
  for (const ProcessStatus &Process : Processes)
    Rows.push_back(makeProcessRow(Process));
  return formatTable(ProcessHeading, std::move(Rows));
}

std::string formatMemberTables(std::span<const ProcessStatus> Processes) {
  std::string Result;
  for (const ProcessStatus &Process : Processes) {
    nlohmann::json Members = membersOf(Process);
    if (Members.is_null())
      continue;
    std::vector<Row> Rows;
    for (const nlohmann::json &Member : Members)
      Rows.push_back(makeMemberRow(Member));
    Result += "\nMembers as " + field(Process.m_Page, "vm") + " sees them:\n" +
              formatTable(MemberHeading, std::move(Rows));
  }
  return Result;
}

std::optional<int>
oldestReaderSchema(std::span<const ProcessStatus> Processes) {
  constexpr const char *SchemaField = "config_schema";
  std::optional<int> Oldest;
  for (const ProcessStatus &Process : Processes) {
    const nlohmann::json Members = membersOf(Process);
    for (const nlohmann::json &Member : Members) {
      if (!Member.is_object() || !Member.contains(SchemaField) ||
          !Member[SchemaField].is_number_integer())
        continue;
      int Schema = Member[SchemaField].get<int>();
      Oldest = std::min(Oldest.value_or(Schema), Schema);
    }
  }
  return Oldest;
}

} // namespace auburnhub
