#pragma once

#include <compare>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

/// Seeded generator of values that no well-behaved peer sends, and the values that once failed.
namespace fighold::testing {

/// State of the generator. The engine's sequence is fixed by the standard, so a seed gives the same
/// values everywhere.
struct OddValues
{
  std::mt19937_64 mRandom;
};

/// One HTTP request as bytes.
struct OddRequest
{
  std::string mMethod;
  std::string mTarget;
  std::string mHeaders; ///< further header lines, each ending in a line break
  std::string mBody;
  bool mCut = false; ///< the body ends before its announced length

  friend auto operator<=>(const OddRequest&, const OddRequest&) = default;
};

/// A request that once ended a process or was confirmed with another value than was sent.
struct NamedRequest
{
  std::string mName;
  OddRequest mRequest;

  friend auto operator<=>(const NamedRequest&, const NamedRequest&) = default;
};

/// @return number from 0 to aEnd - 1
inline std::size_t
Below(OddValues& aValues, std::size_t aEnd)
{
  return aValues.mRandom() % aEnd;
}

inline std::string
Pick(OddValues& aValues, const std::vector<std::string>& aTexts)
{
  return aTexts[Below(aValues, aTexts.size())];
}

inline std::string
RandomBytes(OddValues& aValues, std::size_t aSize)
{
  std::string bytes(aSize, '\0');
  for (char& it : bytes) {
    it = static_cast<char>(Below(aValues, 256));
  }
  return bytes;
}

/// @return text that is empty, not UTF-8, long, a control character, a surrogate or random
inline std::string
OddText(OddValues& aValues)
{
  const std::vector<std::string> texts{ "",
                                        "i-\xFF\xFE",
                                        "\xC0\x80",
                                        "\xED\xA0\x80",
                                        "\xF4\x90\x80\x80",
                                        "\x01\x1f\x7f",
                                        std::string(1, '\0'),
                                        std::string(6000, 'x'),
                                        "..",
                                        "../../x",
                                        " ",
                                        "a b",
                                        "%FF%FE",
                                        "%",
                                        "%zz",
                                        "-1",
                                        "18446744073709551616",
                                        "127.0.0.0230:8080",
                                        "\xE2\x80\xAE" };
  const std::size_t n = Below(aValues, texts.size() + 3);
  return n < texts.size() ? texts[n] : RandomBytes(aValues, 1 + Below(aValues, 24));
}

/// @return text with every byte written as a percent escape
inline std::string
PercentEncode(const std::string& aText)
{
  static const char* const digits = "0123456789ABCDEF";
  std::string out;
  for (const char it : aText) {
    const auto byte = static_cast<unsigned char>(it);
    out += { '%', digits[byte / 16], digits[byte % 16] };
  }
  return out;
}

/// @return JSON text of a value, which may be malformed
inline std::string
OddJson(OddValues& aValues)
{
  const std::vector<std::string> texts{ "null",
                                        "true",
                                        "-1",
                                        "0",
                                        "-0",
                                        "1.5",
                                        "1e308",
                                        "1e400",
                                        "1e-400",
                                        "4294967295",
                                        "4294967296",
                                        "9007199254740993",
                                        "9223372036854775808",
                                        "18446744073709551615",
                                        "18446744073709551616",
                                        "-9223372036854775809",
                                        "NaN",
                                        "[]",
                                        "{}",
                                        "[null]",
                                        "\"\\ud800\"",
                                        "\"\\udc00\\ud800\"",
                                        "\"\\u0000\"",
                                        "\"127.0.0.0230:8080\"",
                                        "\"0.0.0.0:0\"",
                                        "\"" + std::string(6000, 'x') + "\"" };
  const std::size_t n = Below(aValues, texts.size() + 3);
  if (n < texts.size()) {
    return texts[n];
  }
  if (n == texts.size()) {
    const std::size_t depth = 1 + Below(aValues, 3000);
    return std::string(depth, '[') + std::string(depth, ']');
  }
  return "\"" + OddText(aValues) + "\"";
}

/// Replaces the value of one member of a JSON text, chosen at random, at any depth.
inline std::string
ReplaceValue(OddValues& aValues, const std::string& aJson, const std::string& aValue)
{
  std::vector<std::size_t> colons;
  bool quoted = false;
  for (std::size_t at = 0; at < aJson.size(); ++at) {
    quoted = quoted != (aJson[at] == '"');
    if (!quoted && aJson[at] == ':') {
      colons.push_back(at);
    }
  }
  const std::size_t begin = colons[Below(aValues, colons.size())] + 1;
  std::size_t end = begin;
  int depth = 0;
  for (quoted = false; end < aJson.size(); ++end) {
    const char c = aJson[end];
    quoted = quoted != (c == '"');
    const bool closes = c == '}' || c == ']';
    if (!quoted && depth == 0 && (closes || c == ',')) {
      break;
    }
    if (!quoted) {
      depth += c == '{' || c == '[' ? 1 : closes ? -1 : 0;
    }
  }
  return aJson.substr(0, begin) + aValue + aJson.substr(end);
}

/// @return JSON text with one odd member; now and then cut off, random or as it was
inline std::string
OddBody(OddValues& aValues, const std::string& aJson)
{
  switch (Below(aValues, 10)) {
    case 0:
      return aJson.substr(0, Below(aValues, aJson.size()));
    case 1:
      return RandomBytes(aValues, Below(aValues, 300));
    case 2:
      return aJson;
    default:
      return ReplaceValue(aValues, aJson, OddJson(aValues));
  }
}

/// @return bytes of a request whose connection ends after its answer
inline std::string
ToBytes(const OddRequest& aRequest)
{
  const std::size_t length = aRequest.mBody.size() + (aRequest.mCut ? 10 : 0);
  return aRequest.mMethod + " " + aRequest.mTarget +
         " HTTP/1.1\r\nHost: desk.example\r\nConnection: close\r\n" + aRequest.mHeaders +
         "Content-Length: " + std::to_string(length) + "\r\n\r\n" + aRequest.mBody;
}

/// @return bytes of an answer of a backend server: odd status, header, length or body
inline std::string
OddAnswer(OddValues& aValues)
{
  const std::string body = RandomBytes(aValues, Below(aValues, 200));
  const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n";
  switch (Below(aValues, 7)) {
    case 0:
      return RandomBytes(aValues, 1 + Below(aValues, 300));
    case 1:
      return "HTTP/1.1 " + Pick(aValues, { "000", "99", "100", "600", "-1", "2e2", "" }) +
             " x\r\n" + length + "\r\n" + body;
    case 2:
      return "HTTP/1.1 200 OK\r\nX-Odd: " + OddText(aValues) + "\r\n" + length + "\r\n" + body;
    case 3:
      return "HTTP/1.1 200 OK\r\nContent-Length: " + OddText(aValues) + "\r\n\r\n" + body;
    case 4:
      return "HTTP/1.1 200 OK\r\nFighold-Max-Requests-Per-Second: " + OddText(aValues) + "\r\n" +
             length + "\r\n" + body;
    case 5:
      return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
             Pick(aValues, { "ffffffffffffffff1", "-1", "5;\x01", "zz", "" }) + "\r\n" + body;
    default:
      return "HTTP/1.1 200 OK\r\nContent-Length: 6000\r\n\r\n" + body;
  }
}

} // namespace fighold::testing
