#ifndef AUBURNHUB_SOURCE_NET_REQUESTREADER_H
#define AUBURNHUB_SOURCE_NET_REQUESTREADER_H

#include "auburnhub/Base/ClientAccount.h"
#include "auburnhub/Net/LoopHttpServer.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <cstddef>
#include <optional>

namespace auburnhub {

/// Takes one request from the bytes of a connection, within limits on all that
/// a client can send: also on chunk extensions and trailers, which the limits
/// of the library's parser leave out.
class RequestReader {
public:
  enum class Result {
    NeedsMore,
    HasHeader, ///< Ask for memory for the body, then parse() again.
    Complete,
    Refused,
    Ended
  };

  /// Begins a request. Bytes of it may be in the buffer already.
  void begin(const HttpServerLimits &Limits);

  /// Parses what is in the buffer.
  Result parse();

  /// Returns memory for the next bytes, and takes note of how many came.
  boost::asio::mutable_buffer prepare();
  void commit(std::size_t Bytes) { m_Buffer.commit(Bytes); }

  /// Returns the memory in bytes that the request takes once prepare() has been
  /// called; the whole body if its length is known.
  std::size_t bytesToHold() const;

  /// Returns whether a part of a request has been received.
  bool hasBegun() const {
    return m_Buffer.size() > 0 || (m_Parser && m_Parser->got_some());
  }

  /// Returns why the request is refused.
  ClientFault fault() const { return m_Fault; }

  bool keepsAlive() const { return m_Parser->keep_alive(); }
  HttpRequest take();

private:
  Result step();
  Result refuse(ClientFault Fault);
  Result judge(boost::system::error_code Ec);

  HttpServerLimits m_Limits;
  boost::beast::flat_buffer m_Buffer;
  std::optional<
      boost::beast::http::request_parser<boost::beast::http::string_body>>
      m_Parser;
  std::size_t m_MessageBytes = 0; ///< Parsed so far.
  std::size_t m_HeaderBytes = 0;
  ClientFault m_Fault = ClientFault::Malformed;
};

} // namespace auburnhub

#endif
