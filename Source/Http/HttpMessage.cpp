#include "auburnhub/Http/HttpMessage.h"

#include <Poco/String.h>

namespace auburnhub {

std::string_view HttpHeaders::get(std::string_view Name) const {
  for (const auto &[Field, Value] : m_Fields)
    if (Poco::icompare(Field, std::string(Name)) == 0)
      return Value;
  return {};
}

std::vector<std::string_view> HttpRequest::pathParts() const {
  std::string_view Rest = m_Path;
  Rest = Rest.substr(0, Rest.find('?'));
  std::vector<std::string_view> Parts;
  while (!Rest.empty()) {
    std::size_t Slash = Rest.find('/');
    std::string_view Part = Rest.substr(0, Slash);
    if (!Part.empty())
      Parts.push_back(Part);
    if (Slash == std::string_view::npos)
      break;
    Rest.remove_prefix(Slash + 1);
  }
  return Parts;
}

std::string_view HttpRequest::query(std::string_view Name) const {
  std::string_view Rest = m_Path;
  std::size_t Mark = Rest.find('?');
  if (Mark == std::string_view::npos)
    return {};
  Rest.remove_prefix(Mark + 1);
  while (!Rest.empty()) {
    std::string_view Pair = Rest.substr(0, Rest.find('&'));
    std::size_t Equal = Pair.find('=');
    if (Equal != std::string_view::npos && Pair.substr(0, Equal) == Name)
      return Pair.substr(Equal + 1);
    if (Pair.size() == Rest.size())
      break;
    Rest.remove_prefix(Pair.size() + 1);
  }
  return {};
}

} // namespace auburnhub
