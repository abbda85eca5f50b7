#include "fighold/wire/codec.hpp"

#include "agreement_convert.hpp"
#include "claim_codec.hpp"
#include "convert.hpp"
#include "share_codec.hpp"
#include "text_check.hpp"

namespace fighold::wire {
namespace {

using namespace membership;
using detail::Answers;
using detail::Routes;

template<typename T>
std::uint32_t
ToMillis(T aTime)
{
  return static_cast<std::uint32_t>(std::max<std::int64_t>(0, aTime.count()));
}

void
Put(const BackendReport& aReport, pb::BackendReport& aOut)
{
  aOut.set_id(aReport.mId.mValue);
  aOut.set_incarnation(aReport.mIncarnation);
  aOut.set_age_ms(ToMillis(aReport.mAge));
  aOut.set_in_flight(aReport.mInFlight);
  aOut.set_cold_ms(ToMillis(aReport.mCold));
}

BackendReport
Get(const pb::BackendReport& aReport)
{
  return { { aReport.id() },
           aReport.incarnation(),
           Millis(aReport.age_ms()),
           aReport.in_flight(),
           Millis(aReport.cold_ms()) };
}

void
Put(const BackendLease& aLease, pb::BackendLease& aOut)
{
  aOut.set_id(aLease.mId.mValue);
  aOut.set_incarnation(aLease.mIncarnation);
  aOut.set_left_ms(ToMillis(aLease.mRemaining));
  aOut.set_in_flight(aLease.mInFlight);
  aOut.set_cold_ms(ToMillis(aLease.mCold));
}

BackendLease
Get(const pb::BackendLease& aLease)
{
  return { { aLease.id() },
           aLease.incarnation(),
           Millis(aLease.left_ms()),
           aLease.in_flight(),
           Millis(aLease.cold_ms()) };
}

void
Put(const IndexedLeases& aLeases, pb::IndexedLeases& aOut)
{
  aOut.mutable_skipped()->Add(aLeases.mSkipped.begin(), aLeases.mSkipped.end());
  aOut.mutable_left()->Add(aLeases.mRemaining.begin(), aLeases.mRemaining.end());
  aOut.mutable_in_flight()->Add(aLeases.mInFlight.begin(), aLeases.mInFlight.end());
  aOut.mutable_cold()->Add(aLeases.mCold.begin(), aLeases.mCold.end());
}

IndexedLeases
Get(const pb::IndexedLeases& aLeases)
{
  return { { aLeases.skipped().begin(), aLeases.skipped().end() },
           { aLeases.left().begin(), aLeases.left().end() },
           { aLeases.in_flight().begin(), aLeases.in_flight().end() },
           { aLeases.cold().begin(), aLeases.cold().end() } };
}

void
Put(const EchoedTimestamp& aTimestamp, pb::Stamp& aOut)
{
  aOut.set_given(aTimestamp.mClockReading);
  aOut.set_since_ms(ToMillis(aTimestamp.mElapsed));
}

EchoedTimestamp
Get(const pb::Stamp& aTimestamp)
{
  return { aTimestamp.given(), Millis(aTimestamp.since_ms()) };
}

void
PutBody(const LeaseRenewal& aRenew, pb::Envelope& aOut)
{
  auto* out = aOut.mutable_renew();
  out->set_ask(aRenew.mRequestNumber);
  out->set_id(aRenew.mId.mValue);
  *out->mutable_entry() = detail::ToPb(aRenew.mEntry);
  out->set_held(aRenew.mHeld);
  out->set_leaving(aRenew.mLeaving);
  for (const auto& it : aRenew.mReports) {
    Put(it, *out->add_reports());
  }
  Put(aRenew.mTimestamp, *out->mutable_stamp());
  out->set_in_flight(aRenew.mInFlight);
  out->set_routes_held(aRenew.mRoutesHeld);
  out->set_omit_whole(aRenew.mOmitWhole);
}

Body
GetBody(const pb::Renew& aRenew)
{
  LeaseRenewal renew{ aRenew.ask(),        { aRenew.id() },    detail::FromPb(aRenew.entry()),
                      aRenew.held(),       aRenew.leaving(),   {},
                      Get(aRenew.stamp()), aRenew.in_flight(), aRenew.routes_held() };
  for (const auto& it : aRenew.reports()) {
    renew.mReports.push_back(Get(it));
  }
  renew.mOmitWhole = aRenew.omit_whole();
  return renew;
}

void
PutBody(const LeaseGrant& aGrant, pb::Envelope& aOut)
{
  auto* out = aOut.mutable_grant();
  out->set_ask(aGrant.mRequestNumber);
  out->set_length_ms(ToMillis(aGrant.mLength));
  out->set_version(aGrant.mVersion);
  if (aGrant.mConfiguration) {
    *out->mutable_configuration() =
      detail::ToPb(**aGrant.mConfiguration,
                   Answers::LeaveOut,
                   aGrant.mSameRoutes ? Routes::LeaveOut : Routes::Include);
  }
  if (aGrant.mDelta) {
    *out->mutable_delta() = detail::ToPb(**aGrant.mDelta);
  }
  out->set_stamp(aGrant.mTimestamp);
  out->set_same_routes(aGrant.mSameRoutes);
  for (const auto& it : aGrant.mControls) {
    out->add_controls(it.mValue);
  }
  for (const auto& it : aGrant.mBackendLeases) {
    Put(it, *out->add_backend_leases());
  }
  if (!aGrant.mIndexedLeases.mSkipped.empty()) {
    Put(aGrant.mIndexedLeases, *out->mutable_indexed_leases());
  }
}

std::optional<Body>
GetBody(const pb::Grant& aGrant)
{
  LeaseGrant grant{ aGrant.ask(),   Millis(aGrant.length_ms()), aGrant.version(), std::nullopt, {},
                    aGrant.stamp(), aGrant.same_routes() };
  for (const auto& it : aGrant.controls()) {
    grant.mControls.push_back({ it });
  }
  if (aGrant.has_configuration()) {
    auto configuration = detail::FromPb(aGrant.configuration());
    if (!configuration) {
      return std::nullopt;
    }
    grant.mConfiguration = SharedValue(std::move(*configuration));
  }
  if (aGrant.has_delta()) {
    auto delta = detail::FromPb(aGrant.delta());
    if (!delta) {
      return std::nullopt;
    }
    grant.mDelta = SharedValue(std::move(*delta));
  }
  for (const auto& it : aGrant.backend_leases()) {
    grant.mBackendLeases.push_back(Get(it));
  }
  grant.mIndexedLeases = Get(aGrant.indexed_leases());
  return grant;
}

void
PutBody(const ChangeRequest& aRequest, pb::Envelope& aOut)
{
  aOut.mutable_change_ask()->set_ask(aRequest.mRequestNumber);
  *aOut.mutable_change_ask()->mutable_change() = detail::ToPb(aRequest.mChange);
}

std::optional<Body>
GetBody(const pb::ChangeAsk& aRequest)
{
  auto change = detail::FromPb(aRequest.change());
  if (!change) {
    return std::nullopt;
  }
  return ChangeRequest{ aRequest.ask(), std::move(*change) };
}

void
PutBody(const ChangeReply& aDone, pb::Envelope& aOut)
{
  aOut.mutable_change_done()->set_ask(aDone.mRequestNumber);
  *aOut.mutable_change_done()->mutable_answer() = detail::ToPb(aDone.mAnswer);
}

std::optional<Body>
GetBody(const pb::ChangeDone& aDone)
{
  const auto answer = detail::FromPb(aDone.answer());
  if (!answer) {
    return std::nullopt;
  }
  return ChangeReply{ aDone.ask(), *answer };
}

void
PutBody(const ControlLeaseRenewal& aRenew, pb::Envelope& aOut)
{
  auto* out = aOut.mutable_control_renew();
  out->set_ask(aRenew.mRequestNumber);
  out->set_held(aRenew.mHeld);
  Put(aRenew.mTimestamp, *out->mutable_stamp());
  for (const auto& [id, status] : aRenew.mEntries) {
    auto* keyed = out->add_entries();
    keyed->set_key(id.mValue);
    keyed->mutable_value()->set_incarnation(status.mIncarnation);
    keyed->mutable_value()->set_held(status.mHeld);
    keyed->mutable_value()->set_age_ms(ToMillis(status.mAge));
    keyed->mutable_value()->set_in_flight(status.mInFlight);
  }
  for (const auto& it : aRenew.mReports) {
    Put(it, *out->add_reports());
  }
}

Body
GetBody(const pb::ControlRenew& aRenew)
{
  ControlLeaseRenewal renew;
  renew.mRequestNumber = aRenew.ask();
  renew.mHeld = aRenew.held();
  renew.mTimestamp = Get(aRenew.stamp());
  for (const auto& it : aRenew.entries()) {
    renew.mEntries[{ it.key() }] = { it.value().incarnation(),
                                     it.value().held(),
                                     Millis(it.value().age_ms()),
                                     it.value().in_flight() };
  }
  for (const auto& it : aRenew.reports()) {
    renew.mReports.push_back(Get(it));
  }
  return renew;
}

void
PutBody(const ControlLeaseGrant& aGrant, pb::Envelope& aOut)
{
  auto* out = aOut.mutable_control_grant();
  out->set_ask(aGrant.mRequestNumber);
  out->set_length_ms(ToMillis(aGrant.mLength));
  out->set_version(aGrant.mVersion);
  out->set_in_force(aGrant.mInForce);
  out->set_stamp(aGrant.mTimestamp);
  for (const auto& it : aGrant.mBackendLeases) {
    Put(it, *out->add_backend_leases());
  }
}

Body
GetBody(const pb::ControlGrant& aGrant)
{
  ControlLeaseGrant grant{
    aGrant.ask(),  Millis(aGrant.length_ms()), aGrant.version(), aGrant.in_force(), {},
    aGrant.stamp()
  };
  for (const auto& it : aGrant.backend_leases()) {
    grant.mBackendLeases.push_back(Get(it));
  }
  return grant;
}

void
PutBody(const routing::ShareReport& aReport, pb::Envelope& aOut)
{
  *aOut.mutable_share_report() = detail::ToPb(aReport);
}

void
PutBody(const routing::ShareAnswer& aAnswer, pb::Envelope& aOut)
{
  *aOut.mutable_share_answer() = detail::ToPb(aAnswer);
}

template<typename T>
std::optional<Body>
AsBody(std::optional<T> aValue)
{
  return aValue ? std::optional<Body>(std::move(*aValue)) : std::nullopt;
}

template<typename ClaimBody>
void
PutBody(const ClaimBody& aBody, pb::Envelope& aOut)
{
  detail::PutClaim(aBody, aOut);
}

void
PutBody(const agreement::Message& aMessage, pb::Envelope& aOut)
{
  *aOut.mutable_agreement() = detail::ToPb(aMessage);
}

std::optional<Body>
GetBody(const pb::Agreement& aMessage)
{
  auto message = detail::FromPb(aMessage);
  return message ? std::optional<Body>(std::move(*message)) : std::nullopt;
}

std::optional<Body>
GetBody(const pb::Envelope& aEnvelope)
{
  switch (aEnvelope.body_case()) {
    case pb::Envelope::kRenew:
      return GetBody(aEnvelope.renew());
    case pb::Envelope::kGrant:
      return GetBody(aEnvelope.grant());
    case pb::Envelope::kChangeAsk:
      return GetBody(aEnvelope.change_ask());
    case pb::Envelope::kChangeDone:
      return GetBody(aEnvelope.change_done());
    case pb::Envelope::kControlRenew:
      return GetBody(aEnvelope.control_renew());
    case pb::Envelope::kControlGrant:
      return GetBody(aEnvelope.control_grant());
    case pb::Envelope::kAgreement:
      return GetBody(aEnvelope.agreement());
    case pb::Envelope::kClaimAsk:
    case pb::Envelope::kClaimReply:
    case pb::Envelope::kClaimResult:
    case pb::Envelope::kClaimCopyAsk:
    case pb::Envelope::kClaimCopyPage:
      return detail::GetClaim(aEnvelope);
    case pb::Envelope::kShareReport:
      return AsBody(detail::FromPb(aEnvelope.share_report()));
    case pb::Envelope::kShareAnswer:
      return AsBody(detail::FromPb(aEnvelope.share_answer()));
    case pb::Envelope::BODY_NOT_SET:
      break;
  }
  return std::nullopt;
}

template<typename T>
bool
Parse(T& aMessage, std::string_view aBytes)
{
  return aMessage.ParseFromArray(aBytes.data(), static_cast<int>(aBytes.size()));
}

/// Parses a change all of whose texts are UTF-8.
bool
ParseChange(pb::Change& aChange, std::string_view aBytes)
{
  return Parse(aChange, aBytes) && detail::HoldsOnlyUtf8(aChange);
}

} // namespace

std::string
EncodeEnvelope(const Envelope& aEnvelope)
{
  pb::Envelope out;
  out.set_from(aEnvelope.mFrom);
  out.set_incarnation(aEnvelope.mIncarnation);
  std::visit([&out](const auto& aBody) { PutBody(aBody, out); }, aEnvelope.mBody);
  return out.SerializeAsString();
}

std::optional<Envelope>
DecodeEnvelope(std::string_view aBytes)
{
  pb::Envelope message;
  if (!Parse(message, aBytes)) {
    return std::nullopt;
  }
  auto body = GetBody(message);
  if (!body) {
    return std::nullopt;
  }
  return Envelope{ message.from(), message.incarnation(), std::move(*body) };
}

std::string
EncodeChange(const Change& aChange)
{
  return detail::ToPb(aChange).SerializeAsString();
}

std::optional<Change>
DecodeChange(std::string_view aBytes)
{
  pb::Change message;
  return ParseChange(message, aBytes) ? detail::FromPb(message) : std::nullopt;
}

bool
IsWellFormedChange(std::string_view aBytes)
{
  pb::Change message;
  return ParseChange(message, aBytes);
}

std::string
EncodeConfiguration(const Configuration& aConfiguration)
{
  return detail::ToPb(aConfiguration, Answers::Include, Routes::Include).SerializeAsString();
}

std::optional<Configuration>
DecodeConfiguration(std::string_view aBytes)
{
  pb::Configuration message;
  return Parse(message, aBytes) ? detail::FromPb(message) : std::nullopt;
}

} // namespace fighold::wire
