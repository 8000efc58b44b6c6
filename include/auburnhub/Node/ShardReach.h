#ifndef AUBURNHUB_NODE_SHARDREACH_H
#define AUBURNHUB_NODE_SHARDREACH_H

#include "auburnhub/Base/Log.h"
#include "auburnhub/Jobs/WorkerTransport.h"
#include "auburnhub/Node/NodeMessages.h"
#include "auburnhub/Policy/Types.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <utility>

namespace auburnhub {

/// Finds out whether workers of another data centre can be reached before their
/// shard is claimed.
///
/// A claim that reaches no worker does harm: once the way is back, its higher
/// token takes the workers from the owner that has served them all the while.
/// So does a claim that is made as soon as the way is back: the links to that
/// owner may take a little longer.
template <WorkerTransport Transport> class ShardReach {
public:
  /// Found is called when a worker has answered.
  ShardReach(Transport &Orders, std::function<void()> Found)
      : m_Orders(Orders), m_Found(std::move(Found)),
        m_Self(std::make_shared<ShardReach *>(this)) {}

  /// Tells whether a worker of the shard has answered lately, and for a while
  /// if none had answered before. If not, asks some of them.
  bool reaches(TimePoint Now, const ShardId &Shard,
               std::span<const WorkerSpec> Workers);

private:
  /// An answer counts for this time, in milliseconds: some times the pause
  /// between two looks at who owns what.
  static constexpr double AnswerCountsMs = 1000;
  /// Pause between two questions, in milliseconds.
  static constexpr double PauseMs = 400;
  /// A worker of another region answers well within this time.
  static constexpr std::chrono::milliseconds AnswerTime{200};
  /// From the first answer after a silence until links are made again, in
  /// milliseconds: the longest pause between two tries, and the greeting.
  static constexpr double LinksBackMs = 1500;
  /// Workers asked at once, as single ones may be down.
  static constexpr std::size_t WorkersAsked = 3;

  struct Contact {
    std::optional<TimePoint> m_AskedAt;
    std::optional<TimePoint> m_AnsweredAt;
    /// None of those asked had answered when others were asked next.
    bool m_WasSilent = false;
    std::optional<TimePoint> m_BackSince; ///< First answer after that.
  };

  void ask(TimePoint Now, const ShardId &Shard, const WorkerSpec &Worker);

  Transport &m_Orders;
  std::function<void()> m_Found;
  Log m_Log{"ownership"};
  std::map<std::string, Contact> m_Contacts; ///< By name of the shard.
  /// Callbacks of orders hold this weakly.
  std::shared_ptr<ShardReach *> m_Self;
};

template <WorkerTransport Transport>
bool ShardReach<Transport>::reaches(TimePoint Now, const ShardId &Shard,
                                    std::span<const WorkerSpec> Workers) {
  Contact &Last = m_Contacts[Shard.str()];
  if (Last.m_AnsweredAt &&
      millisecondsBetween(*Last.m_AnsweredAt, Now) < AnswerCountsMs)
    return !Last.m_WasSilent ||
           millisecondsBetween(*Last.m_BackSince, Now) >= LinksBackMs;
  if (Last.m_AskedAt && millisecondsBetween(*Last.m_AskedAt, Now) < PauseMs)
    return false;
  bool HadAnswer = Last.m_AnsweredAt && Last.m_AskedAt &&
                   *Last.m_AnsweredAt >= *Last.m_AskedAt;
  if (Last.m_AskedAt && !HadAnswer) {
    Last.m_WasSilent = true;
    Last.m_BackSince.reset();
  }
  Last.m_AskedAt = Now;
  std::size_t Asked = std::min(WorkersAsked, Workers.size());
  m_Log.info("shard_probed", {{"shard", Shard.str()}, {"workers", Asked}});
  for (const WorkerSpec &Worker : Workers.first(Asked))
    ask(Now, Shard, Worker);
  return false;
}

template <WorkerTransport Transport>
void ShardReach<Transport>::ask(TimePoint Now, const ShardId &Shard,
                                const WorkerSpec &Worker) {
  // With the lowest token the call changes nothing at a worker, and fences
  // nobody.
  std::weak_ptr<ShardReach *> Weak = m_Self;
  m_Orders.renew(Worker, RenewOrder(), AnswerTime,
                 [Weak, Now, Shard](const RenewReply &Reply) {
                   auto Self = Weak.lock();
                   bool Answered = Reply.m_Answer != OrderAnswer::NotSent &&
                                   Reply.m_Answer != OrderAnswer::NoAnswer;
                   if (!Self || !Answered)
                     return;
                   Contact &Last = (*Self)->m_Contacts[Shard.str()];
                   Last.m_AnsweredAt = Now;
                   if (!Last.m_BackSince)
                     Last.m_BackSince = Now;
                   (*Self)->m_Found();
                 });
}

} // namespace auburnhub

#endif
