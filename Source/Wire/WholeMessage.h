#ifndef AUBURNHUB_SOURCE_WIRE_WHOLEMESSAGE_H
#define AUBURNHUB_SOURCE_WIRE_WHOLEMESSAGE_H

#include <websocketpp/message_buffer/alloc.hpp>
#include <websocketpp/message_buffer/message.hpp>

#include <algorithm>
#include <cstddef>
#include <memory>
#include <string>

namespace auburnhub {

/// A message of the WebSocket library that consists of one frame.
///
/// The library adds the length of a further frame to that of the earlier ones
/// without regard to overflow, so a frame of absurd length passes its limit and
/// is kept without end. Nodes send messages whole: what follows the first frame
/// of a received message is not kept, and the message has no payload then.
class WholeMessage : public websocketpp::message_buffer::message<
                         websocketpp::message_buffer::alloc::con_msg_manager> {
  using Base = websocketpp::message_buffer::message<
      websocketpp::message_buffer::alloc::con_msg_manager>;

public:
  // NOLINTNEXTLINE(readability-identifier-naming): the library's name.
  using ptr = std::shared_ptr<WholeMessage>;
  using Manager =
      websocketpp::message_buffer::alloc::con_msg_manager<WholeMessage>;

  explicit WholeMessage(const std::shared_ptr<Manager> & /*Owner*/)
      : Base(nullptr), m_KeepsAll(true) {}

  /// Size is that of the first frame, or of a message that is to be sent.
  /// Memory for long ones is taken as they arrive.
  WholeMessage(const std::shared_ptr<Manager> & /*Owner*/,
               websocketpp::frame::opcode::value Opcode, std::size_t Size)
      : Base(nullptr, Opcode, std::min(Size, MaxReservedBytes)),
        m_FirstFrameBytes(Size) {}

  // The names are those that the library calls.
  std::string &get_raw_payload() {
    std::string &Kept = Base::get_raw_payload();
    if (m_KeepsAll || Kept.size() < m_FirstFrameBytes)
      return Kept;
    m_HasExcess = m_HasExcess || !m_Excess.empty();
    m_Excess.clear();
    return m_Excess;
  }
  const std::string &get_payload() const {
    static const std::string Nothing;
    return m_HasExcess || !m_Excess.empty() ? Nothing : Base::get_payload();
  }
  void append_payload(const std::string &Payload) {
    m_KeepsAll = true;
    Base::append_payload(Payload);
  }
  void append_payload(const void *Payload, std::size_t Length) {
    m_KeepsAll = true;
    Base::append_payload(Payload, Length);
  }

private:
  static constexpr std::size_t MaxReservedBytes = 65536;

  std::size_t m_FirstFrameBytes = 0;
  bool m_KeepsAll = false; ///< To be sent.
  bool m_HasExcess = false;
  std::string m_Excess; ///< Dropped at the next frame or part.
};

/// A configuration of the library whose messages are whole.
template <typename BaseConfig> struct WholeMessages : BaseConfig {
  // The names are the library's.
  // NOLINTBEGIN(readability-identifier-naming)
  using message_type = WholeMessage;
  using con_msg_manager_type = WholeMessage::Manager;
  using endpoint_msg_manager_type =
      websocketpp::message_buffer::alloc::endpoint_msg_manager<
          con_msg_manager_type>;
  // NOLINTEND(readability-identifier-naming)
};

} // namespace auburnhub

#endif
