#include "fighold/plan/sheet.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <fstream>
#include <iterator>

namespace fighold::plan {
namespace {

struct SheetFixture
{
  std::string mText = "item,service,region,target,value,unit\n"
                      "plan,,,,12,number\n"
                      "shift_cap,,,,10,percent\n"
                      "shift_interval,,,,30,s\n"
                      "max_entries,,,,11,entries\n"
                      "region_capacity,,attiki,,144,requests\n"
                      "region_capacity,,kriti,,144,requests\n"
                      "link_capacity,,attiki,kriti,280,Mbit/s\n"
                      "service_class,vardia,,,urgent,class\n"
                      "service_deadline,vardia,,,800,ms\n"
                      "split,vardia,attiki,attiki,87.5,percent\n"
                      "split,vardia,attiki,kriti,12.5,percent\n"
                      "client_block,,kriti,,10.3.0.0/16,block\n"
                      "client_block,,attiki,,10.0.0.0/8,block\n"
                      "leaving,,,,kriti-vardia-2,backend_server\n";

  Checked<Plan> Parse() const { return ParseSheet(mText, "sheet"); }

  void Replace(const std::string& aFrom, const std::string& aTo)
  {
    const auto n = mText.find(aFrom);
    REQUIRE(n != std::string::npos);
    mText.replace(n, aFrom.size(), aTo);
  }
};

std::string
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  return { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
}

TEST_CASE_METHOD(SheetFixture, "ParseSheet, whole sheet, reads every row", "[plan]")
{
  const auto checked = Parse();
  REQUIRE(FormatFindings(checked.mFindings).empty());
  const Plan& plan = *checked.mValue;
  CHECK(plan.mNumber == 12);
  CHECK(plan.mShiftCap == 1000);
  CHECK(plan.mLinks.at(Link{ { "attiki" }, { "kriti" } }) == 280);
  const Service& service = plan.mServices.at(ServiceId{ "vardia" });
  CHECK(service.mClass == RequestClass::Urgent);
  CHECK(service.mDeadline == Millis(800));
  const SplitMatrix& matrix = plan.mSplits.at(ServiceId{ "vardia" });
  CHECK(matrix.at(RegionId{ "attiki" }).at(RegionId{ "kriti" }) == 1250);
  CHECK(matrix.at(RegionId{ "kriti" }).at(RegionId{ "kriti" }) == kWhole);
}

TEST_CASE_METHOD(SheetFixture, "ParseSheet, cap above 100, reports row and column", "[plan]")
{
  Replace("shift_cap,,,,10,", "shift_cap,,,,101,");
  CHECK(Parse().mFindings.front().mPlace == Place{ "sheet", 3, 5 });
}

// Guards against a sheet that is sent back once for each of its errors.
TEST_CASE_METHOD(SheetFixture, "ParseSheet, errors in several rows, reports all of them", "[plan]")
{
  Replace("800,ms", "0,ms");
  Replace("87.5", "80");
  Replace("client_block,,kriti,,10.3.0.0/16", "client_block,,creta,,10.3.0.1/16");
  Replace("leaving,,,,kriti-vardia-2,backend_server", "leaving,,,,kriti-vardia-2,backend_server,x");
  Replace("plan,,,,12,number\n", "plan,,,,12,number\nplan,,,,13,number\n");
  const auto findings = Parse().mFindings;
  const std::string text = FormatFindings(findings);
  CHECK(text.find("sheet:3:1: a row of the item \"plan\"") != std::string::npos);
  CHECK(text.find("sheet:11:5: expected a whole number from 1") != std::string::npos);
  CHECK(text.find("sheet:14:5: expected an IPv4 block") != std::string::npos);
  CHECK(text.find("sheet:16:1: expected 6 cells, found 7") != std::string::npos);
  CHECK(text.find("sums to 92.5 percent instead of 100") != std::string::npos);
}

TEST_CASE_METHOD(SheetFixture, "ParseSheet, name that no row defines, reports it", "[plan]")
{
  Replace("split,vardia,attiki,kriti", "split,vardia,attiki,creta");
  const auto findings = Parse().mFindings;
  REQUIRE(findings.size() == 1);
  CHECK(findings[0].mPlace == Place{ "sheet", 12, 4 });
}

TEST_CASE_METHOD(SheetFixture, "ParseSheet, empty or headless text, is refused", "[plan]")
{
  CHECK_FALSE(ParseSheet("", "sheet").mValue);
  CHECK_FALSE(ParseSheet("plan,,,,12,number\n", "sheet").mValue);
  CHECK_FALSE(ParseSheet("item,service\n\"unclosed", "sheet").mValue);
}

TEST_CASE_METHOD(SheetFixture,
                 "ParseSheet, row ends with carriage returns, reads the same plan",
                 "[plan]")
{
  const auto plain = Parse();
  std::string text;
  for (const char c : mText) {
    text += c == '\n' ? "\r\n" : std::string(1, c);
  }
  CHECK(ParseSheet(text, "sheet").mValue == plain.mValue);
}

TEST_CASE_METHOD(SheetFixture,
                 "FormatSheet, parsed again, gives the same plan and digest",
                 "[plan]")
{
  const Plan plan = *Parse().mValue;
  const auto again = ParseSheet(FormatSheet(plan), "again");
  REQUIRE(FormatFindings(again.mFindings).empty());
  CHECK(*again.mValue == plan);
  CHECK(Digest(*again.mValue) == Digest(plan));
}

TEST_CASE_METHOD(SheetFixture, "Digest, one value changed, differs", "[plan]")
{
  const std::string before = Digest(*Parse().mValue);
  Replace("280,Mbit/s", "281,Mbit/s");
  CHECK(Digest(*Parse().mValue) != before);
}

TEST_CASE_METHOD(SheetFixture, "RegionOfClient, nested blocks, takes the longest match", "[plan]")
{
  const Plan plan = *Parse().mValue;
  CHECK(RegionOfClient(plan, 0x0a030001) == RegionId{ "kriti" });
  CHECK(RegionOfClient(plan, 0x0a040001) == RegionId{ "attiki" });
  CHECK_FALSE(RegionOfClient(plan, 0x0b000001).has_value());
}

TEST_CASE_METHOD(SheetFixture,
                 "ParseSheet, example sheets of both deployments, have no findings",
                 "[plan]")
{
  for (const std::string it : { "lykavittos", "strathcairn" }) {
    const auto checked = ParseSheet(ReadFile(FIGHOLD_EXAMPLES_DIR "/" + it + "/sheet.csv"), it);
    CHECK(FormatFindings(checked.mFindings).empty());
  }
}

// Guards against crashes and half-read plans on damaged sheets.
TEST_CASE_METHOD(SheetFixture, "ParseSheet, cut or random text, gives a plan or findings", "[plan]")
{
  rc::prop("cut and with one byte changed", [this]() {
    std::string text = mText.substr(0, *rc::gen::inRange<std::size_t>(0, mText.size()));
    if (!text.empty()) {
      text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
    }
    const auto checked = ParseSheet(text, "cut");
    RC_ASSERT(checked.mValue.has_value() == checked.mFindings.empty());
  });
}

} // namespace
} // namespace fighold::plan
