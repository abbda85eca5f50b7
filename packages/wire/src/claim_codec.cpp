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
Put(const claims::KeptAnswer& aAnswer, pb::KeptAnswer& aOut)
{
  aOut.set_status(aAnswer.mStatus);
  aOut.set_body(aAnswer.mBody);
  for (const auto& [name, value] : aAnswer.mHeaders) {
    auto* header = aOut.add_headers();
    header->set_name(name);
    header->set_value(value);
  }
}

claims::KeptAnswer
Get(const pb::KeptAnswer& aAnswer)
{
  claims::KeptAnswer answer{ aAnswer.status(), {}, aAnswer.body() };
  for (const auto& it : aAnswer.headers()) {
    answer.mHeaders.emplace_back(it.name(), it.value());
  }
  return answer;
}

std::optional<Body>
GetReply(const pb::ClaimReply& aReply)
{
  if (aReply.verdict() > static_cast<std::uint32_t>(claims::Verdict::Withdrawn)) {
    return std::nullopt;
  }
  claims::Reply reply{ Get(aReply.attempt()),
                       static_cast<claims::Verdict>(aReply.verdict()),
                       Get(aReply.owner()),
                       std::nullopt };
  if (aReply.has_answer()) {
    reply.mAnswer = Get(aReply.answer());
  }
  // An answered key without its answer could not be passed on.
  if (reply.mVerdict == claims::Verdict::Answered && !reply.mAnswer) {
    return std::nullopt;
  }
  return reply;
}

Body
GetResult(const pb::ClaimResult& aResult)
{
  claims::Result result{ aResult.key(), Get(aResult.attempt()), aResult.released(), std::nullopt };
  if (aResult.has_answer()) {
    result.mAnswer = Get(aResult.answer());
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
PutClaim(const claims::Ask& aAsk, pb::Envelope& aOut)
{
  auto* out = aOut.mutable_claim_ask();
  out->set_key(aAsk.mKey);
  out->set_digest(aAsk.mDigest);
  Put(aAsk.mAttempt, *out->mutable_attempt());
}

void
PutClaim(const claims::Reply& aReply, pb::Envelope& aOut)
{
  auto* out = aOut.mutable_claim_reply();
  Put(aReply.mAttempt, *out->mutable_attempt());
  out->set_verdict(static_cast<std::uint32_t>(aReply.mVerdict));
  Put(aReply.mOwner, *out->mutable_owner());
  if (aReply.mAnswer) {
    Put(*aReply.mAnswer, *out->mutable_answer());
  }
}

void
PutClaim(const claims::Result& aResult, pb::Envelope& aOut)
{
  auto* out = aOut.mutable_claim_result();
  out->set_key(aResult.mKey);
  Put(aResult.mAttempt, *out->mutable_attempt());
  out->set_released(aResult.mReleased);
  if (aResult.mAnswer) {
    Put(*aResult.mAnswer, *out->mutable_answer());
  }
}

void
PutClaim(const claims::CopyAsk& aAsk, pb::Envelope& aOut)
{
  aOut.mutable_claim_copy_ask()->set_start(aAsk.mStart);
  aOut.mutable_claim_copy_ask()->set_after(aAsk.mAfter);
}

void
PutClaim(const claims::CopyPage& aPage, pb::Envelope& aOut)
{
  auto* out = aOut.mutable_claim_copy_page();
  out->set_start(aPage.mStart);
  out->set_after(aPage.mAfter);
  out->set_last(aPage.mLast);
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
    const auto& ask = aEnvelope.claim_ask();
    return claims::Ask{ ask.key(), ask.digest(), Get(ask.attempt()) };
  }
  if (aEnvelope.has_claim_reply()) {
    return GetReply(aEnvelope.claim_reply());
  }
  if (aEnvelope.has_claim_result()) {
    return GetResult(aEnvelope.claim_result());
  }
  if (aEnvelope.has_claim_copy_ask()) {
    return claims::CopyAsk{ aEnvelope.claim_copy_ask().start(),
                            aEnvelope.claim_copy_ask().after() };
  }
  return GetPage(aEnvelope.claim_copy_page());
}

} // namespace fighold::wire::detail
