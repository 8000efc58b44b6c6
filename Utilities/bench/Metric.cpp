#include "Metric.h"

#include "System/Support/HttpCall.h"

#include <sstream>

namespace auburnhub::bench {

double sumMetric(const test::Cluster &Of, test::Role Which,
                 const std::string &Name) {
  double Sum = 0;
  for (std::size_t Vm = 0; Vm < Of.vms().size(); ++Vm) {
    auto Reply =
        test::callHttp(Of.http(Vm, Which), {"GET", "/metrics", {}, ""});
    if (!Reply.ok())
      continue;
    std::istringstream Lines(Reply->m_Body);
    for (std::string Line; std::getline(Lines, Line);)
      if (Line.starts_with(Name + " "))
        Sum += std::stod(Line.substr(Name.size() + 1));
  }
  return Sum;
}

} // namespace auburnhub::bench
