#include "fighold/core/log_fields.hpp"

#include "fighold/core/decision_record.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace fighold {
namespace {

/// Lines as processes write them.
struct LogFieldsFixture
{
  std::string mLine =
    "time=17.2 level=INFO decision=answer subject=9c41 reason=\"no \\\"room\\\"\" "
    "rejected=\"\" note sends=1 sends=2";
};

TEST_CASE_METHOD(LogFieldsFixture, "ParseLogFields, line of an entry, gives each value", "[core]")
{
  const LogFields fields = ParseLogFields(mLine);
  CHECK(FieldOf(fields, "subject") == "9c41");
  CHECK(FieldOf(fields, "reason") == "no \"room\"");
  CHECK(fields.count("rejected") == 1);
  CHECK(FieldOf(fields, "sends") == "1");
  CHECK(fields.count("note") == 0);
  CHECK(FieldOf(fields, "missing").empty());
}

// Guards against a value that ends too early or runs into the next one.
TEST_CASE_METHOD(LogFieldsFixture,
                 "ParseLogFields, any decision that was written, gives its values",
                 "[core]")
{
  rc::prop("values survive",
           [](const std::string& aReason, const std::string& aValue) {
             const DecisionRecord record{ "answer", "9c41", "offers",           "s1",
                                          aReason,  {},     { { "x", aValue } } };
             const auto printable = [](std::string aText) {
               for (char& it : aText) {
                 it = static_cast<unsigned char>(it) < 0x20 ? ' ' : it;
               }
               return aText;
             };
             const LogFields fields = ParseLogFields(FormatDecision(record));
             RC_ASSERT(FieldOf(fields, "reason") == printable(aReason));
             RC_ASSERT(FieldOf(fields, "x") == printable(aValue));
           });
}

// Guards against a parser that never ends, or reads past the end, on a line that was cut.
TEST_CASE_METHOD(LogFieldsFixture, "ParseLogFields, any text, ends", "[core]")
{
  rc::prop("no fault", [](const std::string& aText) { ParseLogFields(aText); });
  for (std::size_t n = 0; n <= mLine.size(); ++n) {
    ParseLogFields(std::string_view(mLine).substr(0, n));
  }
}

} // namespace
} // namespace fighold
