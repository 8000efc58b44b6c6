#ifndef AUBURNHUB_HTTP_HTTPMESSAGE_H
#define AUBURNHUB_HTTP_HTTPMESSAGE_H

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace auburnhub {

/// Header fields in order; names compare without regard to case.
class HttpHeaders {
public:
  void set(std::string Name, std::string Value) {
    m_Fields.emplace_back(std::move(Name), std::move(Value));
  }

  /// Returns the first value of a field, or an empty view.
  std::string_view get(std::string_view Name) const;

  const std::vector<std::pair<std::string, std::string>> &fields() const {
    return m_Fields;
  }

private:
  std::vector<std::pair<std::string, std::string>> m_Fields;
};

/// One HTTP request with its whole body.
struct HttpRequest {
  std::string m_Method = "GET";
  std::string m_Path; ///< With the query, not decoded.
  HttpHeaders m_Headers;
  std::string m_Body;

  /// Returns the parts of the path between slashes, without the query.
  std::vector<std::string_view> pathParts() const;

  /// Returns the value of a query parameter, or an empty view.
  std::string_view query(std::string_view Name) const;
};

/// One HTTP response with its whole body.
struct HttpResponse {
  int m_Status = 200;
  std::string m_ContentType = "application/json";
  HttpHeaders m_Headers;
  std::string m_Body;
};

} // namespace auburnhub

#endif
