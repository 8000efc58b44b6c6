#ifndef AUBURNHUB_FAKES_PLATFORMSTREAM_H
#define AUBURNHUB_FAKES_PLATFORMSTREAM_H

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace auburnhub::test {

/// An append-only stream of records that keeps only the newest ones.
class PlatformStream {
public:
  explicit PlatformStream(std::size_t Keep) : m_Keep(Keep) {}

  /// Appends all records and returns the offset of the first.
  std::int64_t append(std::int64_t TimeMs,
                      const std::vector<nlohmann::json> &Records);

  /// Returns the reply to a read of at most Limit records from an offset; a
  /// read before the oldest kept record begins there.
  nlohmann::json read(std::int64_t From, std::size_t Limit) const;

  /// Drops the records before an offset.
  void trim(std::int64_t First);

  std::int64_t first() const { return m_First; }
  std::int64_t end() const;

private:
  struct Record {
    std::int64_t m_TimeMs;
    nlohmann::json m_Data;
  };

  std::size_t m_Keep;
  std::int64_t m_First = 0;
  std::deque<Record> m_Records;
};

} // namespace auburnhub::test

#endif
