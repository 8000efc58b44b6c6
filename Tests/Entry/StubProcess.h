#ifndef AUBURNHUB_TESTS_ENTRY_STUBPROCESS_H
#define AUBURNHUB_TESTS_ENTRY_STUBPROCESS_H

#include "auburnhub/Wire/LinkHub.h"

#include <boost/test/unit_test.hpp>

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>

namespace auburnhub {

inline constexpr std::chrono::seconds GenerousLimit{30};

/// Hands things from a stub's task to the test.
template <typename Item> class Inbox {
public:
  void put(Item Value) {
    std::lock_guard Lock(m_Mutex);
    m_Items.push_back(std::move(Value));
    m_Changed.notify_all();
  }
  Item take() {
    std::unique_lock Lock(m_Mutex);
    BOOST_REQUIRE(m_Changed.wait_for(Lock, GenerousLimit,
                                     [this] { return !m_Items.empty(); }));
    Item Value = std::move(m_Items.front());
    m_Items.pop_front();
    return Value;
  }

private:
  std::mutex m_Mutex;
  std::condition_variable m_Changed;
  std::deque<Item> m_Items;
};

/// A message with the peer that sent it.
struct FromPeer {
  PeerId m_Peer;
  Envelope m_Envelope;
  template <WireMessage Type> Type as() const {
    absl::StatusOr<Type> Decoded = decode<Type>(m_Envelope);
    BOOST_REQUIRE(Decoded.ok());
    return *Decoded;
  }
};

/// A process that the entry links to, in the test's hands.
class StubProcess {
public:
  StubProcess(TimerService &Timers, const std::string &Role,
              const std::string &Vm, const std::string &DataCentre)
      : m_Task(Vm), m_Hub(m_Task, Timers, greeting(Role, Vm, DataCentre),
                          LinkEvents{[this](PeerId Peer, const Hello &) {
                                       if (m_OnUp)
                                         m_OnUp(Peer);
                                     },
                                     [](PeerId, const Hello &) {},
                                     [this](PeerId Peer, const Envelope &In) {
                                       m_Received.put({Peer, In});
                                     }}) {
    m_Self = greeting(Role, Vm, DataCentre);
    absl::StatusOr<std::uint16_t> Port = m_Hub.listen({"127.0.0.1", 0});
    BOOST_REQUIRE(Port.ok());
    m_Address = {"127.0.0.1", *Port};
  }
  ~StubProcess() { stop(); }

  void stop() {
    m_Hub.stop();
    m_Task.stop();
  }

  /// Waits for the next message of a type; drops others.
  template <WireMessage Type> FromPeer take() {
    while (true) {
      FromPeer Next = m_Received.take();
      if (Next.m_Envelope.m_Type == Type::TypeName)
        return Next;
    }
  }

  template <WireMessage Type> void send(PeerId To, Type Msg) {
    m_Task.post([this, To, Msg = std::move(Msg)] { m_Hub.send(To, Msg); });
  }

  Member member(bool IsReady = true) const {
    Member Result;
    Result.m_Vm = m_Self.m_Vm;
    Result.m_DataCentre = m_Self.m_DataCentre;
    Result.m_DispatchAddress = m_Address.str();
    Result.m_DispatchIncarnation = m_Self.m_Incarnation;
    Result.m_DispatchReady = IsReady;
    return Result;
  }

  Hello m_Self;
  Address m_Address;
  /// Set before a peer connects.
  std::function<void(PeerId)> m_OnUp;
  Inbox<FromPeer> m_Received;
  SerialTask m_Task;
  LinkHub m_Hub;

private:
  static Hello greeting(const std::string &Role, const std::string &Vm,
                        const std::string &DataCentre) {
    Hello Self;
    Self.m_Role = Role;
    Self.m_Vm = Vm;
    Self.m_DataCentre = DataCentre;
    Self.m_Incarnation = std::hash<std::string>()(Vm) & 0xFFFFFFFF;
    return Self;
  }
};

} // namespace auburnhub

#endif
