#include "auburnhub/Node/EvacuatedDataCentres.h"

#include "auburnhub/Base/BoundedJson.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>

namespace auburnhub {

EvacuatedDataCentres::Change
EvacuatedDataCentres::update(std::uint64_t Version, const Names &DataCentres) {
  Change Result;
  if (Version <= m_Version)
    return Result;
  m_Version = Version;
  std::set_difference(
      DataCentres.begin(), DataCentres.end(), m_Names.begin(), m_Names.end(),
      std::inserter(Result.m_Requested, Result.m_Requested.end()));
  std::set_difference(
      m_Names.begin(), m_Names.end(), DataCentres.begin(), DataCentres.end(),
      std::inserter(Result.m_TakenBack, Result.m_TakenBack.end()));
  m_Names = DataCentres;
  return Result;
}

std::string EvacuatedDataCentres::encodeNames() const {
  using Json = nlohmann::json;
  return Json({{"names", m_Names}})
      .dump(-1, ' ', false, Json::error_handler_t::replace);
}

absl::StatusOr<EvacuatedDataCentres::Names>
EvacuatedDataCentres::decodeNames(std::string_view Text) {
  absl::StatusOr<nlohmann::json> Parsed = parseBoundedJson(Text);
  if (!Parsed.ok())
    return Parsed.status();
  JsonFields Fields(*Parsed);
  std::vector<std::string> Listed = Fields.requireTexts("names");
  if (!Fields.status().ok())
    return Fields.status();
  return Names(Listed.begin(), Listed.end());
}

} // namespace auburnhub
