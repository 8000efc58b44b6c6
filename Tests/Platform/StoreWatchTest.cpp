#include "StoreWatch.h"
#include "FakeStore.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

using namespace auburnhub;
using namespace auburnhub::platform;

namespace {

constexpr double TestTimeoutMs = 8000;

const std::string Entry =
    R"({"service":"s","address":"10.128.0.9:8080","zone":"z","state":"ready",)"
    R"("capacity":{"cpu":16000,"mem_mb":32768},"labels":[]})";

StoreWatchEvents ignoringEvents() {
  StoreWatchEvents Events;
  Events.m_ConfigurationChanged = [](const Configuration &,
                                     const std::string &) {};
  Events.m_WorkerChanged = [](const WorkerSpec &) {};
  Events.m_WorkerRemoved = [](const std::string &) {};
  Events.m_WorkersRead = [](std::uint64_t) {};
  Events.m_NodeFound = [](const Address &) {};
  Events.m_DirectoryRead = [](TimePoint, std::optional<bool>) {};
  Events.m_WorkersUnreadable = [] {};
  Events.m_WorkersReadEnded = [](TimePoint, bool) {};
  Events.m_EvacuationsRead = [](std::uint64_t, const std::set<std::string> &) {
  };
  Events.m_EvacuationsReadEnded = [](TimePoint) {};
  return Events;
}

WorkerListBounds bounds() {
  constexpr ContractTimes Contract{2000, 3000};
  auto Bounds = deriveWorkerListBounds(Contract);
  BOOST_REQUIRE(Bounds.ok());
  return *Bounds;
}

/// A watch whose store refuses the calls that follow each page of workers.
struct AStoreThatFailsAfterEachPage {
  AStoreThatFailsAfterEachPage() {
    BOOST_REQUIRE(m_Store.listen({"127.0.0.1", 0}).ok());
    m_Store.setPageSize(PageSize);
    for (int I = 0; I < WorkerCount; ++I)
      m_Store.put("keyed.servers", "i-" + std::to_string(I), Entry);
  }

  void onWorker(const std::string &Id) {
    m_Seen.insert(Id);
    m_Store.setResponseMode(FakeStore::ResponseMode::TooMany);
    m_Recovery = m_Loop.once(EventLoop::Duration(100), [this] {
      m_Store.setResponseMode(FakeStore::ResponseMode::Serving);
    });
  }

  bool runUntilRead() {
    TimePoint Begin = EventLoop::now();
    while (!m_IsRead) {
      if (millisecondsBetween(Begin, EventLoop::now()) > TestTimeoutMs)
        return false;
      m_Loop.io().restart();
      m_Loop.io().run_one_for(std::chrono::milliseconds(20));
    }
    return true;
  }

  static constexpr int WorkerCount = 6;
  static constexpr std::size_t PageSize = 2;
  EventLoop m_Loop;
  FakeStore m_Store{m_Loop};
  std::set<std::string> m_Seen;
  bool m_IsRead = false;
  EventLoop::Timer m_Recovery;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AListOfWorkersInPages, AStoreThatFailsAfterEachPage)

BOOST_AUTO_TEST_CASE(IsReadFromThePageThatFailed) {
  StoreClient Client(m_Loop, m_Store.address());
  StoreWatchEvents Events = ignoringEvents();
  Events.m_WorkerChanged = [this](const WorkerSpec &Spec) {
    onWorker(Spec.m_Id);
  };
  Events.m_WorkersRead = [this](std::uint64_t) { m_IsRead = true; };
  StoreWatch Watch(m_Loop, Client, "n", "127.0.0.1:9", Events, bounds());
  Watch.start();
  BOOST_TEST(runUntilRead());
  BOOST_TEST(m_Seen.size() == static_cast<std::size_t>(WorkerCount));
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

/// One watch reads the log, the other one asks it for the changes.
struct TwoWatches {
  TwoWatches() {
    BOOST_REQUIRE(m_Store.listen({"127.0.0.1", 0}).ok());
    m_ReaderClient.emplace(m_Loop, m_Store.address());
    m_FollowerClient.emplace(m_Loop, m_Store.address());
    m_Store.put("keyed.servers", "i-1", Entry);
    StoreWatchEvents Events = ignoringEvents();
    Events.m_WorkersRead = [this](std::uint64_t Offset) { m_Read = Offset; };
    m_Reader.emplace(m_Loop, *m_ReaderClient, "a", "127.0.0.1:9", Events,
                     bounds());
    Events.m_WorkersRead = [this](std::uint64_t Offset) { m_Got = Offset; };
    Events.m_WorkerChanged = [this](const WorkerSpec &Spec) {
      m_Changed.push_back(Spec.m_Id + (Spec.m_Leaving ? " leaves" : ""));
    };
    Events.m_RequestWorkerChanges = [this](std::uint64_t From) {
      ++m_Requests;
      if (m_IsAnswered)
        m_Loop.post([this, From] {
          if (auto Changes = m_Reader->workerChangesSince(From))
            m_Follower->applyWorkerChanges(*Changes);
        });
      return true;
    };
    m_Follower.emplace(m_Loop, *m_FollowerClient, "b", "127.0.0.1:9", Events,
                       bounds());
    m_Reader->start();
    m_Follower->start();
  }

  bool runUntil(const std::function<bool()> &Condition) {
    TimePoint Begin = EventLoop::now();
    while (!Condition()) {
      if (millisecondsBetween(Begin, EventLoop::now()) > TestTimeoutMs)
        return false;
      m_Loop.io().restart();
      m_Loop.io().run_one_for(std::chrono::milliseconds(20));
    }
    return true;
  }

  std::string leaving() const {
    std::string Result = Entry;
    return Result.replace(Result.find("ready"), 5, "draining");
  }

  EventLoop m_Loop;
  FakeStore m_Store{m_Loop};
  std::optional<StoreClient> m_ReaderClient;
  std::optional<StoreClient> m_FollowerClient;
  std::optional<StoreWatch> m_Reader;
  std::optional<StoreWatch> m_Follower;
  std::uint64_t m_Read = 0;
  std::uint64_t m_Got = 0;
  std::vector<std::string> m_Changed;
  int m_Requests = 0;
  bool m_IsAnswered = true;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AWatchThatAsksAPeerForChanges, TwoWatches)

BOOST_AUTO_TEST_CASE(GetsThemWithoutRepeatedRegistrations) {
  BOOST_REQUIRE(runUntil([&] { return m_Read == 1 && m_Got == 1; }));
  for (int I = 0; I < 5; ++I)
    m_Store.put("keyed.servers", "i-1", Entry);
  m_Store.put("keyed.servers", "i-1", leaving());
  BOOST_REQUIRE(runUntil([&] { return m_Got == 7; }));
  BOOST_TEST(m_Requests > 0);
  BOOST_TEST((m_Changed == std::vector<std::string>{"i-1", "i-1 leaves"}));
}

BOOST_AUTO_TEST_CASE(ReadsTheLogIfThePeerDoesNotAnswer) {
  m_IsAnswered = false;
  BOOST_REQUIRE(runUntil([&] { return m_Got == 1; }));
  m_Store.put("keyed.servers", "i-1", leaving());
  BOOST_TEST(runUntil([&] { return m_Got == 2; }));
  BOOST_TEST(m_Requests > 0);
  BOOST_TEST(m_Changed.back() == "i-1 leaves");
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

constexpr const char *Directory = "keyed.auburnhub-nodes";

/// A watch that has read the directory once, without finding stored jobs.
struct AWatchOfTheDirectory {
  AWatchOfTheDirectory() {
    BOOST_REQUIRE(m_Store.listen({"127.0.0.1", 0}).ok());
    m_Client.emplace(m_Loop, m_Store.address());
    StoreWatchEvents Events = ignoringEvents();
    Events.m_DirectoryRead = [this](TimePoint SentAt,
                                    std::optional<bool> StoresJobs) {
      m_Reads.push_back({SentAt, StoresJobs});
    };
    m_Watch.emplace(m_Loop, *m_Client, "a", "127.0.0.1:9", Events, bounds());
  }

  bool runUntilReads(std::size_t Count) {
    TimePoint Begin = EventLoop::now();
    while (m_Reads.size() < Count) {
      if (millisecondsBetween(Begin, EventLoop::now()) > TestTimeoutMs)
        return false;
      runFor(20);
    }
    return true;
  }

  void runFor(int Ms) {
    m_Loop.io().restart();
    m_Loop.io().run_for(std::chrono::milliseconds(Ms));
  }

  void start() {
    m_Watch->start();
    BOOST_REQUIRE(runUntilReads(1));
    BOOST_TEST((m_Reads[0].m_StoresJobs == std::optional(false)));
  }

  struct Read {
    TimePoint m_SentAt;
    std::optional<bool> m_StoresJobs;
  };
  EventLoop m_Loop;
  FakeStore m_Store{m_Loop};
  std::optional<StoreClient> m_Client;
  std::optional<StoreWatch> m_Watch;
  std::vector<Read> m_Reads;
};

} // namespace

// Guards against conclusions from a read that was sent before the question.
BOOST_FIXTURE_TEST_SUITE(ADirectory, AWatchOfTheDirectory)

BOOST_AUTO_TEST_CASE(IsReadAgainOnRequest) {
  start();
  m_Store.put(Directory, StoredJobsKey, "1");
  TimePoint RequestedAt = EventLoop::now();
  m_Watch->requestDirectoryRead();
  BOOST_REQUIRE(runUntilReads(2));
  BOOST_TEST((m_Reads[1].m_SentAt >= RequestedAt));
  BOOST_TEST(millisecondsBetween(RequestedAt, EventLoop::now()) < 1000);
  BOOST_TEST((m_Reads[1].m_StoresJobs == std::optional(true)));
}

BOOST_AUTO_TEST_CASE(IsReadOnceForRequestsThatComeTogether) {
  start();
  for (int Request = 0; Request < 5; ++Request)
    m_Watch->requestDirectoryRead();
  runFor(600);
  BOOST_TEST(m_Reads.size() == 2U);
}

BOOST_AUTO_TEST_CASE(IsReadAgainForARequestDuringARead) {
  start();
  m_Store.delayReads(Directory, EventLoop::Duration(200));
  m_Watch->requestDirectoryRead();
  while (m_Store.delayedReads() == 0)
    runFor(5);
  TimePoint RequestedAt = EventLoop::now();
  m_Watch->requestDirectoryRead();
  BOOST_REQUIRE(runUntilReads(3));
  BOOST_TEST((m_Reads[1].m_SentAt < RequestedAt));
  BOOST_TEST((m_Reads[2].m_SentAt >= RequestedAt));
}

BOOST_AUTO_TEST_CASE(WhoseEndCannotBeReadDoesNotSayThatNoJobsAreStored) {
  m_Store.setNewestPage(Directory, R"({"items":[],"has_more":true,"end":3})");
  m_Watch->start();
  BOOST_REQUIRE(runUntilReads(1));
  BOOST_TEST(!m_Reads[0].m_StoresJobs.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
