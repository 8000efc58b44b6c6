#ifndef AUBURNHUB_CTL_EXPLANATION_H
#define AUBURNHUB_CTL_EXPLANATION_H

#include "auburnhub/Ctl/DecisionLine.h"

#include <span>
#include <string>

namespace auburnhub {

/// Says in plain English what one decision line means. Fields that the
/// sentence does not use follow it in brackets.
std::string describeLine(const DecisionLine &Line);

/// Says in plain English what became of a submission and why, from its lines
/// in the order of their times. Claims no more than the lines show.
std::string explainSubmission(SubmissionId Id,
                              std::span<const DecisionLine> Lines);

} // namespace auburnhub

#endif
