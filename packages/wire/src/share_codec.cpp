#include "share_codec.hpp"

namespace fighold::wire::detail {
namespace {

void
Put(const routing::LimitKey& aKey, pb::LimitKey& aOut)
{
  aOut.set_kind(static_cast<std::uint32_t>(aKey.mKind));
  aOut.set_region(aKey.mRegion.mValue);
  aOut.set_from(aKey.mFrom.mValue);
  aOut.set_service(aKey.mService.mValue);
}

std::optional<routing::LimitKey>
Get(const pb::LimitKey& aKey)
{
  if (aKey.kind() > static_cast<std::uint32_t>(routing::LimitKind::Link)) {
    return std::nullopt;
  }
  return routing::LimitKey{ static_cast<routing::LimitKind>(aKey.kind()),
                            { aKey.region() },
                            { aKey.from() },
                            { aKey.service() } };
}

} // namespace

pb::ShareReport
ToPb(const routing::ShareReport& aReport)
{
  pb::ShareReport out;
  out.set_ask(aReport.mRequestNumber);
  out.set_id(aReport.mHolder.mId.mValue);
  out.set_incarnation(aReport.mHolder.mIncarnation);
  out.set_report(aReport.mDemand.mReportNumber);
  out.set_grant_term(aReport.mDemand.mGrant.mTerm);
  out.set_grant_count(aReport.mDemand.mGrant.mCount);
  out.set_holds_base(aReport.mDemand.mHoldsBase);
  for (const auto& [key, want] : aReport.mDemand.mDemandByLimit) {
    auto* row = out.add_wants();
    Put(key, *row->mutable_key());
    row->set_wanted(want.mWanted);
    row->set_in_use(want.mInUse);
  }
  return out;
}

std::optional<routing::ShareReport>
FromPb(const pb::ShareReport& aReport)
{
  routing::ShareReport report{ aReport.ask(), { { aReport.id() }, aReport.incarnation() }, {} };
  report.mDemand.mReportNumber = aReport.report();
  report.mDemand.mGrant = { aReport.grant_term(), aReport.grant_count() };
  report.mDemand.mHoldsBase = aReport.holds_base();
  for (const auto& it : aReport.wants()) {
    const auto key = Get(it.key());
    if (!key) {
      return std::nullopt;
    }
    report.mDemand.mDemandByLimit[*key] = { it.wanted(), it.in_use() };
  }
  return report;
}

pb::ShareAnswer
ToPb(const routing::ShareAnswer& aAnswer)
{
  pb::ShareAnswer out;
  out.set_ask(aAnswer.mRequestNumber);
  out.set_grant_term(aAnswer.mGrant.mNumber.mTerm);
  out.set_grant_count(aAnswer.mGrant.mNumber.mCount);
  out.set_base(aAnswer.mGrant.mGrantsBase);
  for (const auto& [key, share] : aAnswer.mGrant.mDemand) {
    auto* row = out.add_shares();
    Put(key, *row->mutable_key());
    row->set_units(share.mUnits);
    row->set_of(share.mDemandTotal);
  }
  return out;
}

std::optional<routing::ShareAnswer>
FromPb(const pb::ShareAnswer& aAnswer)
{
  routing::ShareAnswer answer{ aAnswer.ask(), {} };
  answer.mGrant.mNumber = { aAnswer.grant_term(), aAnswer.grant_count() };
  answer.mGrant.mGrantsBase = aAnswer.base();
  for (const auto& it : aAnswer.shares()) {
    const auto key = Get(it.key());
    if (!key) {
      return std::nullopt;
    }
    answer.mGrant.mDemand[*key] = { it.units(), it.of() };
  }
  return answer;
}

} // namespace fighold::wire::detail
