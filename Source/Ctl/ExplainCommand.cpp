#include "ExplainCommand.h"

#include "auburnhub/Ctl/DecisionLine.h"
#include "auburnhub/Ctl/Explanation.h"
#include "auburnhub/Ctl/JobExplanation.h"

#include <fstream>

namespace auburnhub {

namespace po = boost::program_options;

void ExplainCommand::addOptions(po::options_description &To) {
  To.add_options()("log", po::value(&m_Logs)->value_name("FILE")->multitoken(),
                   "logs of JSON lines to read, - for standard input; "
                   "default: -");
}

CtlExit ExplainCommand::run(const std::vector<std::string> &Words,
                            const Console &Terminal) {
  if (Words.size() != 1)
    return reportCtlFailure(Terminal, CtlExit::Usage,
                            "explain: expected one ID");
  if (m_Logs.empty())
    m_Logs.emplace_back("-");
  // Whatever is no submission id is the id of a job that nodes run.
  absl::StatusOr<SubmissionId> Id = SubmissionId::parse(Words.front());
  DecisionLog Lines = Id.ok() ? DecisionLog(*Id) : DecisionLog(Words.front());
  for (const std::string &Path : m_Logs) {
    if (Path == "-") {
      Lines.read(Terminal.m_In);
      continue;
    }
    std::ifstream File(Path);
    if (!File)
      return reportCtlFailure(Terminal, CtlExit::Invalid,
                              Path + ": cannot be read");
    Lines.read(File);
  }
  std::vector<DecisionLine> Ordered = Lines.ordered();
  Terminal.m_Out << (Id.ok() ? explainSubmission(*Id, Ordered)
                             : explainJob(Words.front(), Ordered));
  if (Lines.malformedLines() != 0)
    Terminal.m_Error << "auburnhub-ctl: " << Lines.malformedLines()
                     << " lines are no JSON objects and were skipped\n";
  return Ordered.empty() ? CtlExit::NotFound : CtlExit::Success;
}

} // namespace auburnhub
