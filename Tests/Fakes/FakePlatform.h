#ifndef AUBURNHUB_FAKES_FAKEPLATFORM_H
#define AUBURNHUB_FAKES_FAKEPLATFORM_H

#include "Fakes/Exchange.h"
#include "Fakes/PlatformStream.h"

#include "auburnhub/Base/TimerService.h"

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace auburnhub::test {

/// How a fake platform behaves from its start.
struct FakePlatformOptions {
  Milliseconds m_AppendTime{5}; ///< Duration of a synced append.
  std::size_t m_Keep = 100000;  ///< Records kept of each stream.
  Milliseconds m_VmLag{0};      ///< Age at which a VM list is shown.
  int m_AppendsPerSecond = 500; ///< Most appends begun in a second.
};

/// The platform's log service and VM list, kept in memory.
///
/// handle() may run on many threads at once. Faults are set over HTTP by
/// `POST /test/faults`, the VM list by `POST /test/vms`.
class FakePlatform {
public:
  explicit FakePlatform(const FakePlatformOptions &Options);

  /// Answers one request.
  void handle(Exchange &Call);

private:
  struct Faults {
    bool m_Down = false;
    bool m_VmsDown = false;
    Milliseconds m_Slow{0};
    int m_LoseAppendReplies = 0;
    bool m_HoldAppends = false; ///< Appends wait until it is false again.
    std::set<std::string> m_RefuseFrom;
  };

  void handleService(Exchange &Call);
  void handleTest(Exchange &Call);
  void append(Exchange &Call, const std::string &Stream);
  void read(Exchange &Call, const std::string &Stream);
  void listVms(Exchange &Call);
  void setFaults(Exchange &Call);
  void setVms(Exchange &Call);
  void trim(Exchange &Call);
  void showStats(Exchange &Call);
  bool refuses(const std::string &Vm);
  bool isDown();
  bool takeLostReply();
  MonotonicTime reserveAppend();
  void waitUntil(MonotonicTime Due);
  void waitWhileHeld();
  PlatformStream &stream(const std::string &Name);

  const FakePlatformOptions m_Options;
  std::mutex m_Mutex;
  std::condition_variable m_Changed;
  Faults m_Faults;
  std::map<std::string, PlatformStream> m_Streams;
  std::vector<std::pair<MonotonicTime, nlohmann::json>> m_VmLists;
  MonotonicTime m_NextAppend;
  int m_Held = 0; ///< Appends that wait until they are not held any more.
  std::uint64_t m_Appends = 0;
  std::uint64_t m_Records = 0;
  std::uint64_t m_Reads = 0;
  std::uint64_t m_BytesIn = 0;
  std::uint64_t m_BytesOut = 0;
};

} // namespace auburnhub::test

#endif
