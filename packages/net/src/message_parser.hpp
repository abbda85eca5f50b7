#pragma once

#include "fighold/net/http.hpp"

#include <boost/beast/http/basic_parser.hpp>

#include <cstddef>
#include <cstdint>
#include <string>

/// Parsing of HTTP messages into the values of this package.
namespace fighold::net::detail {

/// What the lines of a message say.
struct MessageHead
{
  std::string mMethod;  ///< of a request
  std::string mTarget;  ///< of a request
  unsigned mStatus = 0; ///< of a response
  std::string mHost;
  std::string mKeepAlive; ///< value of the Keep-Alive field
  Headers mHeaders; ///< end-to-end fields in their order; those of one connection are left out
  std::size_t mLengths = 0;   ///< number of Content-Length fields
  std::size_t mEncodings = 0; ///< number of Transfer-Encoding fields

  friend auto operator<=>(const MessageHead&, const MessageHead&) = default;
};

/// Adds a field to a head.
void
AddField(MessageHead& aHead,
         boost::beast::http::field aField,
         boost::beast::string_view aName,
         boost::beast::string_view aValue);

/// @return true for fields whose doubling makes two readers disagree about where a message ends
bool
HasAmbiguousLength(const MessageHead& aHead);

/// @param aLengthRequired true: an answer with a body needs a length or chunks
/// @return why an answer with this head can't be used; empty if it can
std::string
RefusalOf(const MessageHead& aHead, bool aLengthRequired);

/// @param aBytes longest head that is accepted
/// @return the limit as Beast takes it, in 32 bits
std::uint32_t
HeaderLimit(std::size_t aBytes);

/// Parser of Beast that stores what it finds in values of any length. The fields of Beast hold
/// names and values of at most 65,533 bytes and throw beyond.
template<bool isRequest>
class MessageParser : public boost::beast::http::basic_parser<isRequest>
{
public:
  MessageHead& Head() { return mHead; }
  const MessageHead& Head() const { return mHead; }
  std::string& Body() { return mBody; }
  const std::string& Body() const { return mBody; }

  /// @param aRequired true: an answer with a body needs a length or chunks
  void RequireLength(bool aRequired) { mLengthRequired = aRequired; }

  /// @return why the answer ended with its head; empty if it did not
  const std::string& Refusal() const { return mRefusal; }

private:
  using ErrorCode = boost::beast::error_code;
  using View = boost::beast::string_view;

  void on_request_impl(boost::beast::http::verb /*aVerb*/,
                       View aMethod,
                       View aTarget,
                       int /*aVersion*/,
                       ErrorCode& aError) override
  {
    mHead.mMethod.assign(aMethod.data(), aMethod.size());
    mHead.mTarget.assign(aTarget.data(), aTarget.size());
    aError = {};
  }

  void on_response_impl(int aStatus, View /*aReason*/, int /*aVersion*/, ErrorCode& aError) override
  {
    mHead.mStatus = static_cast<unsigned>(aStatus);
    aError = {};
  }

  void on_field_impl(boost::beast::http::field aField,
                     View aName,
                     View aValue,
                     ErrorCode& aError) override
  {
    AddField(mHead, aField, aName, aValue);
    aError = {};
  }

  /// The rest of an answer that can't be used is not waited for: it may go on until the connection
  /// ends.
  void on_header_impl(ErrorCode& aError) override
  {
    mRefusal = isRequest ? "" : RefusalOf(mHead, mLengthRequired);
    aError = mRefusal.empty() ? ErrorCode() : ErrorCode(boost::beast::http::error::bad_value);
  }

  void on_body_init_impl(const boost::optional<std::uint64_t>& aLength, ErrorCode& aError) override
  {
    aError = {};
    if (aLength) {
      mBody.reserve(static_cast<std::size_t>(*aLength));
    }
  }

  std::size_t on_body_impl(View aBytes, ErrorCode& aError) override
  {
    mBody.append(aBytes.data(), aBytes.size());
    aError = {};
    return aBytes.size();
  }

  void on_chunk_header_impl(std::uint64_t /*aSize*/,
                            View /*aExtensions*/,
                            ErrorCode& aError) override
  {
    aError = {};
  }

  std::size_t on_chunk_body_impl(std::uint64_t /*aLeft*/, View aBytes, ErrorCode& aError) override
  {
    return on_body_impl(aBytes, aError);
  }

  void on_finish_impl(ErrorCode& aError) override { aError = {}; }

  MessageHead mHead;
  std::string mBody;
  std::string mRefusal;
  bool mLengthRequired = false;
};

} // namespace fighold::net::detail
