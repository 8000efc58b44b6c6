#ifndef AUBURNHUB_CTL_JOBEXPLANATION_H
#define AUBURNHUB_CTL_JOBEXPLANATION_H

#include "auburnhub/Ctl/DecisionLine.h"

#include <span>
#include <string>

namespace auburnhub {

/// Says in plain English what became of a job that nodes ran or stored, task by
/// task, and why, from its lines in the order of their times. Claims no more
/// than the lines show.
std::string explainJob(const std::string &Job,
                       std::span<const DecisionLine> Lines);

} // namespace auburnhub

#endif
