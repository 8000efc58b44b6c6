#include "RequestReader.h"

#include <algorithm>

namespace auburnhub {

namespace http = boost::beast::http;

namespace {

/// Room in the buffer besides a header of the greatest size, in bytes.
constexpr std::size_t SpareBytes = 4096;

/// Bytes read at a time.
constexpr std::size_t MinReadBytes = 512;
constexpr std::size_t MaxReadBytes = 65536;

/// A chunked body may take this many times its size: the chunks of one byte
/// each take six.
constexpr std::size_t MaxFraming = 8;

/// Memory of a growing text, and of header fields that are also copied, by
/// their size.
constexpr std::size_t CopyFactor = 2;

} // namespace

void RequestReader::begin(const HttpServerLimits &Limits) {
  m_Limits = Limits;
  m_Buffer.max_size(
      std::max(m_Buffer.size(), Limits.m_MaxHeaderBytes + SpareBytes));
  m_Parser.emplace();
  m_Parser->header_limit(static_cast<std::uint32_t>(Limits.m_MaxHeaderBytes));
  m_Parser->body_limit(Limits.m_MaxBodyBytes);
  m_MessageBytes = 0;
  m_HeaderBytes = 0;
}

boost::asio::mutable_buffer RequestReader::prepare() {
  std::size_t Spare = m_Buffer.capacity() - m_Buffer.size();
  std::size_t Left = m_Buffer.max_size() - m_Buffer.size();
  return m_Buffer.prepare(
      std::min({std::max(Spare, MinReadBytes), Left, MaxReadBytes}));
}

std::size_t RequestReader::bytesToHold() const {
  std::size_t Result = m_Buffer.capacity() + MinReadBytes;
  if (!m_Parser)
    return Result;
  Result += CopyFactor * m_HeaderBytes;
  if (!m_Parser->is_header_done())
    return Result;
  if (auto Length = m_Parser->content_length())
    return Result + static_cast<std::size_t>(*Length);
  return Result + CopyFactor * m_Parser->get().body().size();
}

RequestReader::Result RequestReader::refuse(ClientFault Fault) {
  m_Fault = Fault;
  return Result::Refused;
}

RequestReader::Result RequestReader::judge(boost::system::error_code Ec) {
  if (Ec == http::error::body_limit)
    return refuse(ClientFault::BodySize);
  if (Ec == http::error::header_limit)
    return refuse(ClientFault::HeaderSize);
  if (Ec == http::error::end_of_stream || Ec == http::error::partial_message)
    return Result::Ended;
  return refuse(ClientFault::Malformed);
}

RequestReader::Result RequestReader::step() {
  boost::system::error_code Ec;
  std::size_t Used = m_Parser->put(m_Buffer.cdata(), Ec);
  m_Buffer.consume(Used);
  m_MessageBytes += Used;
  if (Ec == http::error::need_more)
    return m_Buffer.size() < m_Buffer.max_size()
               ? Result::NeedsMore
               : refuse(ClientFault::HeaderSize);
  if (Ec)
    return judge(Ec);
  if (m_MessageBytes > CopyFactor * m_Limits.m_MaxHeaderBytes +
                           MaxFraming * m_Limits.m_MaxBodyBytes)
    return refuse(ClientFault::BodySize);
  return m_Parser->is_done() ? Result::Complete : Result::NeedsMore;
}

RequestReader::Result RequestReader::parse() {
  while (m_Buffer.size() > 0) {
    bool HadHeader = m_Parser->is_header_done();
    std::size_t Before = m_MessageBytes;
    Result Step = step();
    if (Step != Result::NeedsMore)
      return Step;
    if (!HadHeader && m_Parser->is_header_done()) {
      m_HeaderBytes = m_MessageBytes;
      m_Parser->eager(true);
      return Result::HasHeader;
    }
    if (m_MessageBytes == Before)
      return Step;
  }
  return Result::NeedsMore;
}

HttpRequest RequestReader::take() {
  http::request<http::string_body> Message = m_Parser->release();
  HttpRequest Result;
  Result.m_Method = std::string(Message.method_string());
  Result.m_Path = std::string(Message.target());
  for (const auto &Field : Message)
    Result.m_Headers.set(std::string(Field.name_string()),
                         std::string(Field.value()));
  Result.m_Body = std::move(Message.body());
  return Result;
}

} // namespace auburnhub
