#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

/// HTTP messages in all forms of length, and a seeded generator that breaks them and cuts them into
/// pieces.
namespace fighold::testing {

/// State of the generator. The engine's sequence is fixed by the standard, so a seed gives the same
/// messages everywhere.
struct MessagePieces
{
  std::mt19937_64 mRandom;
};

/// @return ends of messages behind their start line: the rest of the header and the body
inline std::vector<std::string>
MessageEnds()
{
  const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
  return { "Content-Length: 5\r\n\r\nhello",
           "Content-Length: 0\r\n\r\n",
           "X-Folded: a\r\n  b\r\n\tc\r\nContent-Length: 2\r\n\r\nhi",
           chunked + "0\r\n\r\n",
           chunked + "000\r\n\r\n",
           chunked + "0;a=b\r\n\r\n",
           chunked + "0\r\nX-Trailer: 1\r\n\r\n",
           chunked + "0\r\nX-Folded: a\r\n b\r\nY: z\r\n\r\n",
           chunked + "1\r\nx\r\n0\r\n\r\n",
           chunked + "5;a=b\r\nhello\r\n00;c=\"d\"\r\n\r\n",
           chunked + "a\r\n0123456789\r\n2\r\n\r\n\r\n0\r\nX: y\r\n\r\n" };
}

/// @return whole requests of every form
inline std::vector<std::string>
WholeRequests()
{
  std::vector<std::string> out{ "GET /a?b=c HTTP/1.1\r\nHost: h\r\n\r\n" };
  for (const std::string& it : MessageEnds()) {
    out.push_back("POST /a HTTP/1.1\r\nHost: h\r\n" + it);
  }
  return out;
}

/// @return whole answers of every form whose end is in the message itself
inline std::vector<std::string>
WholeAnswers()
{
  std::vector<std::string> out{ "HTTP/1.1 204 No Content\r\nX: y\r\n\r\n" };
  for (const std::string& it : MessageEnds()) {
    out.push_back("HTTP/1.1 200 OK\r\n" + it);
  }
  return out;
}

/// @return number from 0 to aBelow - 1
inline std::size_t
Draw(MessagePieces& aState, std::size_t aBelow)
{
  return static_cast<std::size_t>(aState.mRandom() % aBelow);
}

/// Changes a message in one to three places: bytes replaced, removed, doubled or inserted, or the
/// end cut off. One message in four stays as it is.
inline std::string
Break(MessagePieces& aState, std::string aMessage)
{
  static const std::array<std::string, 16> kInserts{ "\r",
                                                     "\n",
                                                     "\r\n",
                                                     "0",
                                                     ";",
                                                     ":",
                                                     " ",
                                                     "\t",
                                                     "\"",
                                                     "0\r\n",
                                                     "ffffffffffffffff",
                                                     std::string(1, '\0'),
                                                     "\xff",
                                                     "Transfer-Encoding: chunked\r\n",
                                                     "Content-Length: 3\r\n",
                                                     "\r\n\r\n" };
  if (Draw(aState, 4) == 0) {
    return aMessage;
  }
  for (std::size_t n = 1 + Draw(aState, 3); n > 0 && !aMessage.empty(); --n) {
    const std::size_t at = Draw(aState, aMessage.size());
    switch (Draw(aState, 5)) {
      case 0:
        aMessage[at] = static_cast<char>(Draw(aState, 256));
        break;
      case 1:
        aMessage.erase(at, 1 + Draw(aState, 4));
        break;
      case 2:
        aMessage.insert(at, aMessage.substr(at, 1 + Draw(aState, 8)));
        break;
      case 3:
        aMessage.insert(at, kInserts[Draw(aState, kInserts.size())]);
        break;
      default:
        aMessage.resize(at);
        break;
    }
  }
  return aMessage;
}

/// Cuts a message at up to four places, of which half lie within its last 16 bytes.
/// @return its pieces, none of them empty
inline std::vector<std::string>
Cut(MessagePieces& aState, const std::string& aMessage)
{
  constexpr std::size_t kEnd = 16;
  std::vector<std::size_t> cuts{ 0, aMessage.size() };
  for (std::size_t n = Draw(aState, 5); n > 0; --n) {
    const std::size_t span =
      Draw(aState, 2) == 0 ? aMessage.size() : std::min(kEnd, aMessage.size());
    cuts.push_back(aMessage.size() - Draw(aState, span + 1));
  }
  std::sort(cuts.begin(), cuts.end());
  std::vector<std::string> pieces;
  for (std::size_t n = 1; n < cuts.size(); ++n) {
    if (cuts[n] > cuts[n - 1]) {
      pieces.push_back(aMessage.substr(cuts[n - 1], cuts[n] - cuts[n - 1]));
    }
  }
  return pieces;
}

} // namespace fighold::testing
