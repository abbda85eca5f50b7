#include "fighold/control/front_codec.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <fstream>
#include <iterator>

namespace fighold::control {
namespace {

struct ControlFrontCodecFixture
{
  std::string mSheet;
  std::vector<net::HttpRequest> mRequests;

  ControlFrontCodecFixture()
  {
    std::ifstream file(FIGHOLD_EXAMPLES_DIR "/lykavittos/sheet.csv");
    mSheet = { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
    mRequests = {
      { "POST", "/v1/plan?change=c1&base=", {}, mSheet, {} },
      { "POST", "/v1/plan/check", {}, mSheet, {} },
      { "POST", "/v1/drains?change=c2&kind=region&name=kriti&state=on", {}, "", {} },
      { "GET", "/v1/status", {}, "", {} },
    };
  }

  static unsigned StatusOf(const ParsedRequest& aParsed)
  {
    const auto* response = std::get_if<net::HttpResponse>(&aParsed);
    return response == nullptr ? 0 : response->mStatus;
  }
};

std::string
Mutated(std::string aText)
{
  const auto position = *rc::gen::inRange<std::size_t>(0, aText.size() + 1);
  switch (*rc::gen::inRange(0, 4)) {
    case 0:
      aText.resize(position);
      break;
    case 1:
      aText.insert(position, *rc::gen::arbitrary<std::string>());
      break;
    case 2:
      if (position < aText.size()) {
        aText[position] = *rc::gen::arbitrary<char>();
      }
      break;
    default:
      break;
  }
  return aText;
}

// Guards against a malformed call or sheet that crashes the control process.
TEST_CASE_METHOD(ControlFrontCodecFixture,
                 "ParseRequest, truncated or mutated call, returns an event or a response",
                 "[control]")
{
  rc::prop("never throws", [this]() {
    net::HttpRequest request = mRequests[*rc::gen::inRange<std::size_t>(0, mRequests.size())];
    request.mTarget = Mutated(request.mTarget);
    request.mBody = Mutated(request.mBody.Text());
    const ParsedRequest parsed = ParseRequest(1, request, "");
    if (const auto* response = std::get_if<net::HttpResponse>(&parsed)) {
      const bool checked = response->mStatus == 200;
      RC_ASSERT(checked || (response->mStatus >= 400U && response->mStatus < 500U));
    }
  });
}

// Guards against a change that is accepted with a similar token, such as a prefix.
TEST_CASE_METHOD(ControlFrontCodecFixture,
                 "ParseRequest, change with a missing or wrong token, is rejected",
                 "[control]")
{
  for (const std::string token : { "", "Bearer ", "Bearer secre", "Bearer secrets", "secret" }) {
    for (net::HttpRequest it : { mRequests[0], mRequests[2] }) {
      it.mHeaders = { { "Authorization", token } };
      CHECK(StatusOf(ParseRequest(1, it, "secret")) == 401);
      it.mHeaders = { { "Authorization", "Bearer secret" } };
      CHECK(std::holds_alternative<Event>(ParseRequest(1, it, "secret")));
    }
  }
}

TEST_CASE_METHOD(ControlFrontCodecFixture,
                 "ParseRequest, change without a valid identifier, is rejected",
                 "[control]")
{
  const std::string longId(129, 'x');
  for (const std::string& id :
       { std::string(), longId, std::string("%FF%FE"), std::string("a%0Ab") }) {
    const net::HttpRequest submit{ "POST", "/v1/plan?change=" + id, {}, mSheet, {} };
    const net::HttpRequest drain{
      "POST", "/v1/drains?kind=region&name=kriti&change=" + id, {}, "", {}
    };
    CHECK(StatusOf(ParseRequest(1, submit, "")) == 400);
    CHECK(StatusOf(ParseRequest(1, drain, "")) == 400);
  }
}

// Guards against a change that the group commits and no process can read.
TEST_CASE_METHOD(ControlFrontCodecFixture,
                 "ParseRequest, change with a parameter that is not printable, is rejected",
                 "[control]")
{
  const std::string bad = "%FF%FE";
  const std::string drain = "/v1/drains?change=c2&kind=backend-server&name=";
  CHECK(StatusOf(ParseRequest(1, { "POST", drain + bad, {}, "", {} }, "")) == 400);
  CHECK(StatusOf(ParseRequest(
          1, { "POST", "/v1/plan?change=c1&base=" + bad, {}, mSheet, {} }, "")) == 400);
  std::string sheet = mSheet;
  sheet.insert(sheet.find("vardia") + 1, "\xFF\xFE");
  CHECK(StatusOf(ParseRequest(1, { "POST", "/v1/plan?change=c1", {}, sheet, {} }, "")) == 422);
}

} // namespace
} // namespace fighold::control
