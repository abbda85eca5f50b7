#include "parse_bytes.hpp"

#include "environment.hpp"
#include "message_parser.hpp"
#include "message_pieces.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>

namespace fighold::net {
namespace {

namespace http = boost::beast::http;
using testing::MessagePieces;

/// What became of a message.
struct Parsed
{
  bool mDone = false;
  bool mFailed = false;
  std::string mBody;
  std::size_t mUnused = 0; ///< bytes behind the message

  friend auto operator<=>(const Parsed&, const Parsed&) = default;
};

/// Parses messages that arrive in pieces. The parser sees the bytes in a block of exactly their
/// size, so that the address sanitizer finds each read behind them.
struct PiecesFixture
{
  template<bool isRequest>
  static Parsed Parse(const std::vector<std::string>& aPieces, bool aEnd = false)
  {
    detail::MessageParser<isRequest> parser;
    parser.header_limit(4096);
    parser.body_limit(4096);
    Parsed parsed;
    std::string pending;
    for (const std::string& it : aPieces) {
      pending += it;
      boost::beast::error_code ec;
      while (!ec && !parser.is_done() && !pending.empty()) {
        const auto block = std::make_unique<char[]>(pending.size());
        std::copy(pending.begin(), pending.end(), block.get());
        pending.erase(0, detail::ParseBytes(parser, { block.get(), pending.size() }, ec));
      }
      if (ec && ec != http::error::need_more) {
        parsed.mFailed = true;
        return parsed;
      }
    }
    if (aEnd && !parser.is_done() && parser.got_some()) {
      boost::beast::error_code ec;
      parser.put_eof(ec);
      parsed.mFailed = ec.failed();
    }
    parsed.mDone = parser.is_done();
    if (parsed.mDone) {
      parsed.mBody = parser.Body();
      parsed.mUnused = pending.size();
    }
    return parsed;
  }

  template<bool isRequest>
  static void CheckEveryCut(const std::string& aMessage)
  {
    const Parsed whole = Parse<isRequest>({ aMessage });
    CHECK(whole.mDone);
    for (std::size_t first = 1; first < aMessage.size(); ++first) {
      for (std::size_t second = first + 1; second <= aMessage.size(); ++second) {
        INFO("cut at " << first << " and " << second << ": " << aMessage);
        const std::vector<std::string> pieces{ aMessage.substr(0, first),
                                               aMessage.substr(first, second - first),
                                               aMessage.substr(second) };
        REQUIRE(Parse<isRequest>(pieces) == whole);
      }
    }
  }

  template<bool isRequest>
  static void CheckEveryPrefix(const std::string& aMessage)
  {
    for (std::size_t size = 1; size < aMessage.size(); ++size) {
      for (std::size_t cut = 1; cut <= size; ++cut) {
        INFO("cut at " << cut << ", ended at " << size << ": " << aMessage);
        const Parsed parsed =
          Parse<isRequest>({ aMessage.substr(0, cut), aMessage.substr(cut, size - cut) }, true);
        REQUIRE_FALSE(parsed.mDone);
      }
    }
  }

  /// A broken header that comes in pieces is judged once it is complete, so that it may fail later.
  /// The message is whole in both cases or in none.
  template<bool isRequest>
  static void CheckBroken(MessagePieces& aState, const std::vector<std::string>& aWhole)
  {
    const std::string message = Break(aState, aWhole[Draw(aState, aWhole.size())]);
    const auto pieces = Cut(aState, message);
    INFO(message);
    const Parsed whole = Parse<isRequest>({ message });
    const Parsed parsed = Parse<isRequest>(pieces);
    REQUIRE(parsed.mDone == whole.mDone);
    REQUIRE(parsed.mBody == whole.mBody);
    REQUIRE(parsed.mUnused == whole.mUnused);
  }
};

// Guards against a parser that asserts, or reads behind the bytes that have arrived, when the end
// of a chunked message comes in two segments.
TEST_CASE_METHOD(PiecesFixture,
                 "ParseBytes, message cut at every two places, is the same as whole",
                 "[net]")
{
  for (const std::string& it : testing::WholeRequests()) {
    CheckEveryCut<true>(it);
  }
  for (const std::string& it : testing::WholeAnswers()) {
    CheckEveryCut<false>(it);
  }
}

// Guards against an answer or a request that is taken for whole although its connection ended
// first.
TEST_CASE_METHOD(PiecesFixture,
                 "ParseBytes, message broken off at every place, is not whole",
                 "[net]")
{
  for (const std::string& it : testing::WholeRequests()) {
    CheckEveryPrefix<true>(it);
  }
  for (const std::string& it : testing::WholeAnswers()) {
    CheckEveryPrefix<false>(it);
  }
}

// Guards against a slightly wrong message that ends the process, is read beyond its bytes, or has
// another end in pieces than at once. FIGHOLD_SEED and FIGHOLD_MESSAGES set a longer run.
TEST_CASE_METHOD(PiecesFixture,
                 "ParseBytes, seeded broken messages in pieces, are read as when whole",
                 "[net]")
{
  const std::uint64_t seed = testing::FromEnvironment("FIGHOLD_SEED", 39);
  const std::uint64_t count = testing::FromEnvironment("FIGHOLD_MESSAGES", 20'000);
  INFO("FIGHOLD_SEED=" << seed);
  MessagePieces state{ std::mt19937_64(seed) };
  const auto requests = testing::WholeRequests();
  const auto answers = testing::WholeAnswers();
  for (std::uint64_t n = 0; n < count; ++n) {
    CheckBroken<true>(state, requests);
    CheckBroken<false>(state, answers);
  }
}

} // namespace
} // namespace fighold::net
