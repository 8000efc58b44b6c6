#ifndef AUBURNHUB_BASE_CONNECTIONBUDGET_H
#define AUBURNHUB_BASE_CONNECTIONBUDGET_H

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace auburnhub {

/// What the clients of a process may hold in all.
struct ClientLimits {
  std::size_t m_MaxConnections = 2000;
  /// Memory for what clients send and do not read, in bytes.
  std::size_t m_MaxBytes = std::size_t{128} << 20U;
};

/// What a connection does. One that is served is never closed for others.
enum class ClientPhase { Silent, Reading, Serving, Writing };

/// Accounts for the connections and the memory that clients make a process
/// hold, and names the connections to close when a limit is reached.
///
/// It answers crowds of clients that hold much and finish nothing: many silent
/// connections, many unfinished requests, many unread responses. The client
/// that has been at it longest is closed first, so an ordinary request, which
/// is over soon, is kept. If one address holds more than half, its connections
/// go first; no address is refused for what it holds, as many callers may share
/// one behind a load balancer.
///
/// Uses no socket and no clock. An ordinary request costs a few additions.
class ConnectionBudget {
public:
  using Id = std::uint64_t; ///< Never 0.
  using Time = std::chrono::steady_clock::time_point;

  /// Memory of a connection apart from what it has sent, in bytes.
  static constexpr std::size_t ConnectionBytes = 4096;

  /// Time that each connection has before it may be closed for a new one, also
  /// in a burst of more connections than the limit.
  static constexpr std::chrono::milliseconds MinLife{200};

  struct Answer {
    bool m_IsGranted = false;
    Id m_Connection = 0; ///< Set by open() if granted.
    /// To be closed by the owner; they are not accounted for any more.
    std::vector<Id> m_ToClose;
  };

  explicit ConnectionBudget(const ClientLimits &Limits) : m_Limits(Limits) {}

  /// Returns whether a new connection can be taken now: there is room, or one
  /// that has had MinLife can be closed for it. If none can be closed at all,
  /// it is also to be taken, as open() refuses it.
  bool canOpen(Time Now) const;

  /// Accounts for a new connection, which is silent.
  Answer open(std::string_view Address, Time Now);

  /// Ends the account of a connection. Has no effect on one that is unknown.
  void close(Id Connection);

  /// A connection does something else from now on.
  void enter(Id Connection, ClientPhase Phase, Time Now);

  /// Asks for a connection to hold this many bytes in all, besides
  /// ConnectionBytes. If that is not granted, it holds what it held before and
  /// is to be refused. A connection that is unknown is granted nothing.
  Answer hold(Id Connection, std::size_t Bytes);

  /// Returns the address of a connection; empty if it is unknown.
  std::string_view address(Id Connection) const;

  std::size_t connections() const { return m_Clients.size(); }
  std::size_t bytes() const { return m_Held.m_Bytes; }

private:
  struct Holding {
    std::size_t m_Connections = 0;
    std::size_t m_Bytes = 0;
  };
  using Holdings = std::map<std::string, Holding, std::less<>>;
  struct Client {
    Holdings::iterator m_Address;
    std::size_t m_Bytes = 0;
    ClientPhase m_Phase = ClientPhase::Silent;
    Time m_Since;
  };
  using Amount = std::size_t Holding::*;

  /// Closes connections until this much is free, longest first, but none that
  /// is younger than the one that asks. Returns those; they may not suffice.
  std::vector<Id> makeRoom(Amount What, std::size_t Needed, Id For);
  std::vector<Id> closable(Amount What, Id For) const;
  bool isDominant(const Holding &Held, Amount What) const;

  ClientLimits m_Limits;
  Holding m_Held;
  Holdings m_Addresses;
  std::unordered_map<Id, Client> m_Clients;
  Id m_LastId = 0;
};

} // namespace auburnhub

#endif
