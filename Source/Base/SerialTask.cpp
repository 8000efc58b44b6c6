#include "auburnhub/Base/SerialTask.h"

#include <pthread.h>
#include <utility>

namespace auburnhub {

SerialTask::SerialTask(std::string Name) : m_Name(std::move(Name)) {
  m_Thread = std::thread([this] { run(); });
}

SerialTask::~SerialTask() { stop(); }

bool SerialTask::post(Message Msg) {
  {
    std::lock_guard Lock(m_Mutex);
    if (m_Stopping)
      return false;
    m_Queue.push_back(std::move(Msg));
  }
  m_Ready.notify_one();
  return true;
}

void SerialTask::stop() {
  {
    std::lock_guard Lock(m_Mutex);
    m_Stopping = true;
  }
  m_Ready.notify_one();
  if (m_Thread.joinable())
    m_Thread.join();
}

std::size_t SerialTask::backlog() const {
  std::lock_guard Lock(m_Mutex);
  return m_Queue.size();
}

void SerialTask::run() {
  pthread_setname_np(pthread_self(), m_Name.substr(0, 15).c_str());
  std::deque<Message> Batch;
  while (true) {
    {
      std::unique_lock Lock(m_Mutex);
      m_Ready.wait(Lock, [this] { return m_Stopping || !m_Queue.empty(); });
      if (m_Queue.empty())
        return;
      Batch.swap(m_Queue);
    }
    for (Message &Msg : Batch)
      Msg();
    Batch.clear();
  }
}

} // namespace auburnhub
