#include "auburnhub/Messages/Codec.h"

namespace auburnhub {

std::string encodeEnvelope(std::string_view Type, nlohmann::json Body) {
  nlohmann::json Json = {
      {"v", WireSchema}, {"t", Type}, {"b", std::move(Body)}};
  std::string Cbor;
  nlohmann::json::to_cbor(Json, Cbor);
  return Cbor;
}

absl::StatusOr<Envelope> decodeEnvelope(std::string_view Cbor) {
  nlohmann::json Json = nlohmann::json::from_cbor(
      Cbor.begin(), Cbor.end(), /*strict=*/true, /*allow_exceptions=*/false);
  bool Valid = Json.is_object() && Json.contains("v") && Json.contains("t") &&
               Json.contains("b") && Json["v"].is_number_integer() &&
               Json["t"].is_string() && Json["b"].is_object();
  if (!Valid)
    return makeFailure(FailureCode::BadMessage, "not an envelope in CBOR");
  Envelope Result;
  Result.m_Schema = Json["v"].get<int>();
  Result.m_Type = Json["t"].get<std::string>();
  Result.m_Body = std::move(Json["b"]);
  if (Result.m_Schema < OldestWireSchema || Result.m_Schema > WireSchema)
    return makeFailure(FailureCode::UnsupportedSchema,
                       "schema version " + std::to_string(Result.m_Schema));
  return Result;
}

} // namespace auburnhub
