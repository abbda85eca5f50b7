#include "fighold/core/text.hpp"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

namespace fighold {
namespace {

struct TextFixture
{
  const std::vector<std::string> mMalformed{
    "\xFF\xFE",         // no lead bytes
    "a\x80",            // no lead byte before the second one
    "\xC3",             // cut
    "\xE2\x82",         // cut
    "\xF0\x9F\x98",     // cut
    "\xC0\xAF",         // overlong
    "\xE0\x80\xAF",     // overlong
    "\xF0\x8F\xBF\xBF", // overlong
    "\xED\xA0\x80",     // surrogate
    "\xF4\x90\x80\x80", // above U+10FFFF
    "\xF5\x80\x80\x80", // above U+10FFFF
  };
  const std::vector<std::string> mWellFormed{
    "i-7f3a91c2",       "\xCE\xB5\xCE\xBB", "\xED\x9F\xBF",     "\xEE\x80\x80",
    "\xF0\x90\x80\x80", "\xF4\x8F\xBF\xBF", "\xF0\x9F\x98\x80",
  };
};

// Guards against text that one process takes and another one cannot read.
TEST_CASE_METHOD(TextFixture, "IsUtf8, bytes of each form, follows RFC 3629", "[core]")
{
  for (const std::string& it : mMalformed) {
    INFO(it);
    CHECK_FALSE(IsUtf8(it));
    CHECK_FALSE(IsPrintable("i-" + it));
    CHECK_FALSE(IsIdentifier("i-" + it));
  }
  for (const std::string& it : mWellFormed) {
    INFO(it);
    CHECK(IsUtf8(it));
    CHECK(IsIdentifier(it));
  }
  CHECK(IsUtf8(""));
}

// Guards against an identifier that ends a header field or a log line early.
TEST_CASE_METHOD(TextFixture, "IsIdentifier, separators or a wrong length, is false", "[core]")
{
  for (const std::string it : { "", "a b", "a\r\nX: y", "a\tb", "a\x7F" }) {
    CHECK_FALSE(IsIdentifier(it));
  }
  CHECK_FALSE(IsIdentifier(std::string("a\0b", 3)));
  CHECK_FALSE(IsIdentifier(std::string(kMaxIdentifierBytes + 1, 'x')));
  CHECK(IsIdentifier(std::string(kMaxIdentifierBytes, 'x')));
  CHECK(IsPrintable("a b"));
  CHECK_FALSE(IsPrintable("a\nb"));
}

} // namespace
} // namespace fighold
