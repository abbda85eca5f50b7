#include "fighold/entry/front_codec.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace fighold::entry {
namespace {

struct EntryFrontCodecFixture
{
  std::string mRenewal =
    R"({"incarnation":5,"service":"vardia","region":"attiki","data_centre":"attiki-a",)"
    R"("address":"10.0.0.1:8080","slots":6,"connections":330,"in_flight":2})";
  std::vector<net::HttpRequest> mRequests{
    { "GET", "/v1/lookup?service=vardia&client=10.10.0.1", {}, "", { "10.10.0.9", 1 } },
    { "PUT", "/v1/backend-servers/s1", {}, mRenewal, {} },
    { "DELETE", "/v1/backend-servers/s1?incarnation=5", {}, "", {} },
    { "POST",
      "/s/vardia/item/1?x=%20",
      { { "Idempotency-Key", "k" }, { "Fighold-Deadline-Ms", "500" } },
      "body",
      { "10.10.0.9", 1 } },
    { "GET", "/readyz", {}, "", {} },
  };

  static unsigned StatusOf(const ParsedRequest& aParsed)
  {
    const auto* response = std::get_if<net::HttpResponse>(&aParsed);
    return response == nullptr ? 0 : response->mStatus;
  }
};

/// @return the text truncated, with a byte changed, or with bytes inserted
std::string
Damaged(std::string aText)
{
  const auto place = *rc::gen::inRange<std::size_t>(0, aText.size() + 1);
  switch (*rc::gen::inRange(0, 4)) {
    case 0:
      aText.resize(place);
      break;
    case 1:
      aText.insert(place, *rc::gen::arbitrary<std::string>());
      break;
    case 2:
      if (place < aText.size()) {
        aText[place] = *rc::gen::arbitrary<char>();
      }
      break;
    default:
      break;
  }
  return aText;
}

// Guards against an answer that tells its caller two outcomes, the first of which is a server's.
TEST_CASE_METHOD(EntryFrontCodecFixture,
                 "ToResponse, server names an outcome of its own, answers with the entry's alone",
                 "[entry]")
{
  const net::HttpResponse fromServer{ 503,
                                      { { "fighold-outcome", "Not-Run" }, { "X-Kept", "1" } },
                                      "x" };
  CallerAnswer answer;
  answer.mOutcome = Outcome::Run;
  answer.mResponse = fromServer;
  ForwardAnswer forwarded;
  forwarded.mOutcome = Outcome::Run;
  forwarded.mResponse = fromServer;
  for (const Answer& it : { Answer(answer), Answer(forwarded) }) {
    const auto response = ToResponse(1, it);
    const auto outcomes =
      std::count_if(response.mHeaders.begin(), response.mHeaders.end(), [](const auto& aHeader) {
        return net::FindHeader({ aHeader }, "Fighold-Outcome").has_value();
      });
    CHECK(outcomes == 1);
    CHECK(net::FindHeader(response.mHeaders, "Fighold-Outcome") == "run");
    CHECK(net::FindHeader(response.mHeaders, "X-Kept") == "1");
  }
}

TEST_CASE_METHOD(EntryFrontCodecFixture, "ParseRequest, valid requests, returns events", "[entry]")
{
  for (const net::HttpRequest& it : mRequests) {
    CHECK(std::holds_alternative<Event>(ParseRequest(1, it)));
  }
}

// Guards against a malformed request of a caller or a backend server that crashes the process.
TEST_CASE_METHOD(
  EntryFrontCodecFixture,
  "ParseRequest, truncated or altered request, returns an event or a 4xx with outcome not-run",
  "[entry]")
{
  rc::prop("never throws", [this]() {
    net::HttpRequest request = mRequests[*rc::gen::inRange<std::size_t>(0, mRequests.size())];
    request.mTarget = Damaged(request.mTarget);
    request.mBody = Damaged(request.mBody.Text());
    request.mMethod = *rc::gen::element<std::string>("GET", "PUT", "DELETE", "POST", "");
    for (net::Header& it : request.mHeaders) {
      it.mValue = Damaged(it.mValue);
    }
    const ParsedRequest parsed = ParseRequest(1, request);
    if (const auto* response = std::get_if<net::HttpResponse>(&parsed)) {
      RC_ASSERT(response->mStatus >= 400U);
      RC_ASSERT(response->mStatus < 500U);
      RC_ASSERT(net::FindHeader(response->mHeaders, "Fighold-Outcome") == "not-run");
    }
  });
}

// Guards against out-of-range values that are accepted as other values.
TEST_CASE_METHOD(EntryFrontCodecFixture,
                 "ParseRequest, renewal with an invalid member, returns 400",
                 "[entry]")
{
  const std::vector<std::pair<std::string, std::string>> replacements{
    { "\"slots\":6", "\"slots\":0" },
    { "\"slots\":6", "\"slots\":4294967302" },
    { "\"slots\":6", "\"slots\":-1" },
    { "\"slots\":6", "\"slots\":6.5" },
    { "\"incarnation\":5", "\"incarnation\":18446744073709551616" },
    { "\"connections\":330", "\"connections\":\"330\"" },
    { "\"in_flight\":2", "\"in_flight\":4294967296" },
    { "10.0.0.1:8080", "10.0.0.1" },
    { "10.0.0.1:8080", "10.0.0.01:8080" },
    { "10.0.0.1:8080", "10.0.0.1:0" },
    { "10.0.0.1:8080", "0.0.0.0:8080" },
    { "\"vardia\"", "[]" },
  };
  for (const auto& [from, to] : replacements) {
    std::string body = mRenewal;
    body.replace(body.find(from), from.size(), to);
    CHECK(StatusOf(ParseRequest(1, { "PUT", "/v1/backend-servers/s1", {}, body, {} })) == 400);
  }
}

// Guards against an entry whose messages to the control processes cannot be read any more because
// they hold an identifier or a name that is no text.
TEST_CASE_METHOD(EntryFrontCodecFixture,
                 "ParseRequest, renewal or departure with text that is not printable, returns 400",
                 "[entry]")
{
  for (const std::string id : { "s%FF%FE", "s%0D%0AX:y", "s%00", "s%201" }) {
    INFO(id);
    const std::string target = "/v1/backend-servers/" + id;
    CHECK(StatusOf(ParseRequest(1, { "PUT", target, {}, mRenewal, {} })) == 400);
    CHECK(StatusOf(ParseRequest(1, { "DELETE", target + "?incarnation=5", {}, "", {} })) == 400);
  }
  for (const std::string name : { "vardia", "attiki", "attiki-a" }) {
    std::string body = mRenewal;
    body.replace(body.find('"' + name + '"'), name.size() + 2, R"("\u0000x")");
    CHECK(StatusOf(ParseRequest(1, { "PUT", "/v1/backend-servers/s1", {}, body, {} })) == 400);
  }
}

// Guards against a body that exhausts the stack.
TEST_CASE_METHOD(EntryFrontCodecFixture, "ParseRequest, deeply nested body, returns 400", "[entry]")
{
  const std::string body(60'000, '[');
  CHECK(StatusOf(ParseRequest(1, { "PUT", "/v1/backend-servers/s1", {}, body, {} })) == 400);
}

// Guards against a body that takes a multiple of its size while it is read.
TEST_CASE_METHOD(EntryFrontCodecFixture,
                 "ParseRequest, long body of a call, returns 413",
                 "[entry]")
{
  const std::string body = mRenewal + std::string(64U << 10U, ' ');
  CHECK(StatusOf(ParseRequest(1, { "PUT", "/v1/backend-servers/s1", {}, body, {} })) == 413);
}

} // namespace
} // namespace fighold::entry
