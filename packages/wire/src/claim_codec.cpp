#include "claim_codec.hpp"

namespace fighold::wire::detail {
namespace {

void
Put(const claims::Attempt& aAttempt, pb::ClaimAttempt& aOut)
{
  aOut.set_entry(aAttempt.mEntry.mValue);
  aOut.set_incarnation(aAttempt.mIncarnation);
  aOut.set_number(aAttempt.mNumber);
}

claims::Attempt
Get(const pb::ClaimAttempt& aAttempt)
{
  return { { aAttempt.entry() }, aAttempt.incarnation(), aAttempt.number() };
}

void
Put(const claims::StoredResponse& aAnswer, pb::KeptAnswer& aOut)
{
  aOut.set_status(aAnswer.mStatus);
  aOut.set_body(aAnswer.mBody);
  for (const auto& [name, value] : aAnswer.mHeaders) {
    auto* header = aOut.add_headers();
    header->set_name(name);
    header->set_value(value);
  }
}

claims::StoredResponse
Get(const pb::KeptAnswer& aAnswer)
{
  claims::StoredResponse answer{ aAnswer.status(), {}, aAnswer.body() };
  for (const auto& it : aAnswer.headers()) {
    answer.mHeaders.emplace_back(it.name(), it.value());
  }
  return answer;
}

std::optional<Body>
GetReply(const pb::ClaimReply& aReply)
{
  if (aReply.verdict() > static_cast<std::uint32_t>(claims::ReplyCode::Released)) {
    return std::nullopt;
  }
  claims::ClaimReply reply{ Get(aReply.attempt()),
                            static_cast<claims::ReplyCode>(aReply.verdict()),
                            Get(aReply.owner()),
                            std::nullopt };
  if (aReply.has_answer()) {
    reply.mResponse = Get(aReply.answer());
  }
  // An answered key without its answer could not be passed on.
  if (reply.mCode == claims::ReplyCode::Answered && !reply.mResponse) {
    return std::nullopt;
  }
  return reply;
}

Body
GetResult(const pb::ClaimResult& aResult)
{
  claims::AttemptResult result{
    aResult.key(), Get(aResult.attempt()), aResult.released(), std::nullopt
  };
  if (aResult.has_answer()) {
    result.mResponse = Get(aResult.answer());
  }
  return result;
}

Body
GetPage(const pb::ClaimCopyPage& aPage)
{
  claims::CopyPage page{ aPage.start(), aPage.after(), aPage.last(), {} };
  for (const auto& it : aPage.records()) {
    const auto owner = it.has_owner() ? std::optional(Get(it.owner())) : std::nullopt;
    page.mRecords.push_back({ it.key(), it.digest(), owner, Millis(it.age_ms()) });
  }
  return page;
}

} // namespace

void
PutClaim(const claims::ClaimRequest& aRequest, pb::Envelope& aOut)
{
  auto* out = aOut.mutable_claim_ask();
  out->set_key(aRequest.mKey);
  out->set_digest(aRequest.mDigest);
  Put(aRequest.mAttempt, *out->mutable_attempt());
}

void
PutClaim(const claims::ClaimReply& aReply, pb::Envelope& aOut)
{
  auto* out = aOut.mutable_claim_reply();
  Put(aReply.mAttempt, *out->mutable_attempt());
  out->set_verdict(static_cast<std::uint32_t>(aReply.mCode));
  Put(aReply.mOwner, *out->mutable_owner());
  if (aReply.mResponse) {
    Put(*aReply.mResponse, *out->mutable_answer());
  }
}

void
PutClaim(const claims::AttemptResult& aResult, pb::Envelope& aOut)
{
  auto* out = aOut.mutable_claim_result();
  out->set_key(aResult.mKey);
  Put(aResult.mAttempt, *out->mutable_attempt());
  out->set_released(aResult.mReleased);
  if (aResult.mResponse) {
    Put(*aResult.mResponse, *out->mutable_answer());
  }
}

void
PutClaim(const claims::CopyRequest& aRequest, pb::Envelope& aOut)
{
  aOut.mutable_claim_copy_ask()->set_start(aRequest.mStartId);
  aOut.mutable_claim_copy_ask()->set_after(aRequest.mAfterKey);
}

void
PutClaim(const claims::CopyPage& aPage, pb::Envelope& aOut)
{
  auto* out = aOut.mutable_claim_copy_page();
  out->set_start(aPage.mStartId);
  out->set_after(aPage.mAfterKey);
  out->set_last(aPage.mIsLast);
  for (const auto& it : aPage.mRecords) {
    auto* record = out->add_records();
    record->set_key(it.mKey);
    record->set_digest(it.mDigest);
    record->set_age_ms(static_cast<std::uint32_t>(it.mAge.count()));
    if (it.mOwner) {
      Put(*it.mOwner, *record->mutable_owner());
    }
  }
}

std::optional<Body>
GetClaim(const pb::Envelope& aEnvelope)
{
  if (aEnvelope.has_claim_ask()) {
    const auto& request = aEnvelope.claim_ask();
    return claims::ClaimRequest{ request.key(), request.digest(), Get(request.attempt()) };
  }
  if (aEnvelope.has_claim_reply()) {
    return GetReply(aEnvelope.claim_reply());
  }
  if (aEnvelope.has_claim_result()) {
    return GetResult(aEnvelope.claim_result());
  }
  if (aEnvelope.has_claim_copy_ask()) {
    return claims::CopyRequest{ aEnvelope.claim_copy_ask().start(),
                                aEnvelope.claim_copy_ask().after() };
  }
  return GetPage(aEnvelope.claim_copy_page());
}

} // namespace fighold::wire::detail
