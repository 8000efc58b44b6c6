#ifndef AUBURNHUB_NODE_CALLNUMBERS_H
#define AUBURNHUB_NODE_CALLNUMBERS_H

#include <cstdint>

namespace auburnhub {

/// Numbers of the calls of one process to other nodes, in rising order.
///
/// Nodes answer to the name of the caller's node and the number of the call, so
/// an answer may reach the next process of that name. Each process therefore
/// begins at a random number: the numbers of two processes do not overlap.
class CallNumbers {
public:
  /// Numbers from First on; First must not be 0.
  explicit CallNumbers(std::uint64_t First) : m_Last(First - 1) {}
  /// Returns numbers that no earlier process has used. Uses
  /// std::random_device.
  static CallNumbers ofNewProcess();

  std::uint64_t next() { return ++m_Last; }
  /// Returns the number of the newest call.
  std::uint64_t last() const { return m_Last; }

private:
  std::uint64_t m_Last;
};

} // namespace auburnhub

#endif
