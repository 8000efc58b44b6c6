#ifndef AUBURNHUB_CONTROL_CLAIMSERVICE_H
#define AUBURNHUB_CONTROL_CLAIMSERVICE_H

#include "MonotonicClock.h"
#include "StreamTailer.h"

#include "auburnhub/Base/Log.h"
#include "auburnhub/Base/Metrics.h"
#include "auburnhub/Control/ControlSettings.h"
#include "auburnhub/Coordination/ClaimBatcher.h"
#include "auburnhub/Coordination/ClaimTable.h"
#include "auburnhub/Messages/Messages.h"
#include "auburnhub/Wire/LinkHub.h"

#include <functional>
#include <string>

namespace auburnhub {

/// Answers the local dispatcher's claims: appends them to the platform's claim
/// stream in batches and follows the stream. All functions but the constructor
/// and stop() are called on the owner's task.
class ClaimService {
public:
  using Replier = std::function<void(PeerId, const ClaimReply &)>;
  using PlatformListener = std::function<void(const absl::Status &)>;

  ClaimService(const ControlSettings &Settings, const std::string &Vm,
               SerialTask &Owner, TimerService &Timers,
               MetricsRegistry &Metrics, Replier Reply,
               PlatformListener NotePlatform);

  void start();
  void requestStop() { m_Tailer.requestStop(); }
  void stop();

  void setLimits(ClaimLimits Limits) { m_Table.setLimits(Limits); }

  /// Replies now, or when the claim is decided, or at the claim timeout.
  void request(PeerId From, const ClaimRequest &Request);

  /// Refuses what waited too long and forgets what is too old.
  void tick();

  /// Says whether nobody waits for a claim.
  bool isIdle() const { return m_Batcher.size() == 0; }

  nlohmann::json status() const;

private:
  struct ClaimCall {
    PeerId m_From;
    CallNumber m_Call;
    Incarnation m_Incarnation;
  };

  void onPage(const StreamPage &Page);
  void onRecord(const StreamRecord &Record);
  void replyDecision(const SubmissionId &Id, const ClaimCall &Call,
                     const ClaimDecision &Decision);
  void replyFailure(const SubmissionId &Id, const ClaimCall &Call,
                    FailureCode Code, std::string_view Detail);
  void appendNext();
  void onAppended(const absl::StatusOr<std::int64_t> &Appended);

  const Milliseconds m_ClaimTimeout;
  SerialTask &m_Owner;
  TimerService &m_Timers;
  Replier m_Reply;
  PlatformListener m_NotePlatform;
  Log m_Log{"claims"};
  ClaimTable m_Table;
  ClaimBatcher<ClaimCall> m_Batcher;
  std::int64_t m_End = 0;   ///< End of the stream as last seen.
  std::int64_t m_LagMs = 0; ///< Age of the newest record when it was read.
  TimerService::Subscription m_Retry = 0;
  bool m_IsRetryWaiting = false;

  Counter &m_Won;
  Counter &m_Lost;
  Counter &m_Refused;
  Counter &m_Batches;
  Counter &m_AppendFailures;
  Counter &m_ClaimsAppended;
  Counter &m_BytesAppended;
  Counter &m_BytesRead;
  Gauge &m_Lag;
  Gauge &m_Remembered;
  Gauge &m_NextOffset;

  PlatformClient m_AppendClient;
  SerialTask m_AppendTask{"claim-append"};
  StreamTailer m_Tailer;
};

} // namespace auburnhub

#endif
