#ifndef AUBURNHUB_SOURCE_CTL_JOBCALLCOMMAND_H
#define AUBURNHUB_SOURCE_CTL_JOBCALLCOMMAND_H

#include "JobRequester.h"

#include <string>
#include <string_view>
#include <vector>

namespace auburnhub {

/// A call of a node's interface for jobs without a body, which names one thing.
template <typename Type>
concept JobCall = requires {
  { Type::Name } -> std::convertible_to<std::string_view>;
  { Type::Arguments } -> std::convertible_to<std::string_view>;
  { Type::Summary } -> std::convertible_to<std::string_view>;
  { Type::Method } -> std::convertible_to<std::string>;
  /// What comes before the argument.
  { Type::Path } -> std::convertible_to<std::string>;
};

/// The command that makes a call.
template <JobCall Call> class JobCallCommand {
public:
  static constexpr std::string_view Name = Call::Name;
  static constexpr std::string_view Arguments = Call::Arguments;
  static constexpr std::string_view Summary = Call::Summary;

  void addOptions(boost::program_options::options_description &To) {
    m_Requester.addOptions(To);
  }

  CtlExit run(const std::vector<std::string> &Words, const Console &Terminal) {
    if (Words.size() != 1)
      return reportCtlFailure(Terminal, CtlExit::Usage,
                              std::string(Name) + ": expected one " +
                                  std::string(Arguments));
    return m_Requester.request(Call::Method, Call::Path + Words.front(), "",
                               Terminal);
  }

private:
  JobRequester m_Requester;
};

struct JobShowCall {
  static constexpr std::string_view Name = "job show";
  static constexpr std::string_view Arguments = "ID";
  static constexpr std::string_view Summary = "Show the state of a job.";
  static constexpr const char *Method = "GET";
  static constexpr const char *Path = "/v1/jobs/";
};

struct JobCancelCall {
  static constexpr std::string_view Name = "job cancel";
  static constexpr std::string_view Arguments = "ID";
  static constexpr std::string_view Summary = "Cancel a job.";
  static constexpr const char *Method = "DELETE";
  static constexpr const char *Path = "/v1/jobs/";
};

struct JobWaitingCall {
  static constexpr std::string_view Name = "job waiting";
  static constexpr std::string_view Arguments = "QUEUE";
  static constexpr std::string_view Summary =
      "Show how many stored jobs of a queue have not started.";
  static constexpr const char *Method = "GET";
  static constexpr const char *Path = "/v1/queues/";
};

} // namespace auburnhub

#endif
