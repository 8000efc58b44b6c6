#include "StreamTailer.h"

#include <algorithm>

namespace auburnhub {
namespace {

constexpr Milliseconds FirstBackoff{100};
constexpr Milliseconds LongestBackoff{1000};
constexpr Milliseconds NoWait{0};

} // namespace

StreamTailer::StreamTailer(Address Platform, std::string Vm,
                           TailOptions Options, SerialTask &Owner,
                           TimerService &Timers, TailEvents Events)
    : m_Options(std::move(Options)), m_Owner(Owner), m_Timers(Timers),
      m_Events(std::move(Events)), m_Client(std::move(Platform), std::move(Vm)),
      m_Task("tail-" + m_Options.m_Stream.substr(0, 8)) {}

StreamTailer::~StreamTailer() { stop(); }

void StreamTailer::start() {
  m_Task.post([this] { step(); });
}

void StreamTailer::stop() {
  requestStop();
  m_Task.stop();
  m_Timers.cancel(m_Retry);
}

void StreamTailer::step() {
  if (m_IsStopping)
    return;
  absl::Status Done = m_Next < 0 ? findBegin() : readPage();
  if (Done.ok()) {
    m_Backoff = Milliseconds::zero();
    m_Task.post([this] { step(); });
    return;
  }
  m_Owner.post([this, Done] { m_Events.m_Failed(Done); });
  m_Backoff = std::clamp(m_Backoff * 2, FirstBackoff, LongestBackoff);
  m_Retry = m_Timers.once(m_Backoff, m_Task, [this] { step(); });
}

absl::Status StreamTailer::findBegin() {
  auto Probe = m_Client.read(m_Options.m_Stream, 0, 1, NoWait);
  if (!Probe.ok())
    return Probe.status();
  if (m_Options.m_GoBack == NoWait) {
    begin(Probe->m_First, 0);
    return absl::OkStatus();
  }
  std::int64_t NewestMs = TimerService::wallMilliseconds();
  std::int64_t From = Probe->m_End;
  // A stream that was trimmed to nothing does not tell how young its last
  // records were; they cannot be younger than this.
  std::int64_t FirstTimeMs = NewestMs + m_Options.m_ClockBound.count();
  std::int64_t Step = m_Options.m_PageRecords;
  while (From > Probe->m_First) {
    From = std::max(Probe->m_First, From - Step);
    Step *= 2;
    auto Page = m_Client.read(m_Options.m_Stream, From, 1, NoWait);
    if (!Page.ok())
      return Page.status();
    if (Page->m_Records.empty())
      break;
    From = Page->m_Records.front().m_Offset;
    FirstTimeMs = Page->m_Records.front().m_TimeMs;
    bool IsFarEnough = FirstTimeMs < NewestMs - m_Options.m_GoBack.count();
    if (IsFarEnough || From <= Page->m_First)
      break;
  }
  begin(From, From == 0 ? 0 : FirstTimeMs + 1);
  return absl::OkStatus();
}

void StreamTailer::begin(std::int64_t Offset, std::int64_t ReadFromMs) {
  m_Next = Offset;
  m_Owner.post(
      [this, Offset, ReadFromMs] { m_Events.m_Begun(Offset, ReadFromMs); });
}

absl::Status StreamTailer::readPage() {
  auto Page = m_Client.read(m_Options.m_Stream, m_Next, m_Options.m_PageRecords,
                            m_Options.m_PollWait);
  if (!Page.ok())
    return Page.status();
  m_Next = std::max(m_Next, Page->m_First);
  if (!Page->m_Records.empty())
    m_Next = Page->m_Records.back().m_Offset + 1;
  m_Owner.post([this, Page = std::move(*Page)] { m_Events.m_Page(Page); });
  return absl::OkStatus();
}

} // namespace auburnhub
