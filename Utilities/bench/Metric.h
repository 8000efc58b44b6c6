#ifndef AUBURNHUB_BENCH_METRIC_H
#define AUBURNHUB_BENCH_METRIC_H

#include "System/Support/Cluster.h"

#include <string>

namespace auburnhub::bench {

/// Returns the sum of a metric without labels over all processes of a role; a
/// process that does not answer counts as 0.
double sumMetric(const test::Cluster &Of, test::Role Which,
                 const std::string &Name);

} // namespace auburnhub::bench

#endif
