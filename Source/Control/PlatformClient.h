#ifndef AUBURNHUB_CONTROL_PLATFORMCLIENT_H
#define AUBURNHUB_CONTROL_PLATFORMCLIENT_H

#include "auburnhub/Http/HttpClient.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace auburnhub {

/// One record of a stream.
struct StreamRecord {
  std::int64_t m_Offset = 0;
  std::int64_t m_TimeMs = 0; ///< By the platform's clock.
  nlohmann::json m_Data;
  template <typename Visitor> void fields(Visitor &V) {
    V("offset", m_Offset);
    V("time", m_TimeMs);
    V("data", m_Data);
  }
};

/// The reply to a read of a stream.
struct StreamPage {
  std::int64_t m_First = 0; ///< Oldest kept offset.
  std::int64_t m_End = 0;   ///< Next offset to be written.
  std::vector<StreamRecord> m_Records;
  std::size_t m_Bytes = 0; ///< Size of the reply.
  template <typename Visitor> void fields(Visitor &V) {
    V("first", m_First);
    V("end", m_End);
    V("records", m_Records);
  }
};

/// One VM of the platform's list.
struct PlatformVm {
  std::string m_Vm;
  std::string m_DataCentre;
  std::string m_Role; ///< "entry" or "endpoint".
  std::string m_Address;
  std::string m_State; ///< "live" or "leaving".
  template <typename Visitor> void fields(Visitor &V) {
    V("vm", m_Vm);
    V("data_centre", m_DataCentre);
    V("role", m_Role);
    V("address", m_Address);
    V("state", m_State);
  }
};

/// The platform's VM list.
struct VmListing {
  std::vector<PlatformVm> m_Vms;
  std::size_t m_Bytes = 0; ///< Size of the reply's body.
  template <typename Visitor> void fields(Visitor &V) { V("vms", m_Vms); }
};

/// Calls the platform; each call blocks. Used by one thread at a time. All
/// calls fail with PlatformUnavailable.
class PlatformClient {
public:
  PlatformClient(Address Platform, std::string Vm);

  /// Appends records and returns the offset of the first. After a failure the
  /// records may have been appended.
  absl::StatusOr<std::int64_t> append(std::string_view Stream,
                                      const nlohmann::json &Records);

  /// Reads from an offset; an empty reply is held for Wait.
  absl::StatusOr<StreamPage> read(std::string_view Stream, std::int64_t From,
                                  int Limit, Milliseconds Wait);

  absl::StatusOr<VmListing> listVms();

private:
  absl::StatusOr<HttpResponse> call(std::string Method, std::string Path,
                                    std::string Body, Milliseconds Timeout);

  HttpClient m_Http;
  std::string m_Vm;
};

} // namespace auburnhub

#endif
