#include "fighold/wire/traffic.hpp"

namespace fighold::wire {
namespace {

struct KindOfBody
{
  MessageKind operator()(const membership::LeaseRenewal& /*aBody*/) const
  {
    return MessageKind::Renewal;
  }
  MessageKind operator()(const membership::LeaseGrant& aBody) const
  {
    if (aBody.mConfiguration) {
      return MessageKind::GrantWhole;
    }
    return aBody.mDelta ? MessageKind::GrantDelta : MessageKind::Grant;
  }
  MessageKind operator()(const membership::ChangeRequest& /*aBody*/) const
  {
    return MessageKind::Change;
  }
  MessageKind operator()(const membership::ChangeReply& /*aBody*/) const
  {
    return MessageKind::Change;
  }
  MessageKind operator()(const membership::ControlLeaseRenewal& /*aBody*/) const
  {
    return MessageKind::ControlLease;
  }
  MessageKind operator()(const membership::ControlLeaseGrant& /*aBody*/) const
  {
    return MessageKind::ControlLease;
  }
  MessageKind operator()(const agreement::Message& /*aBody*/) const
  {
    return MessageKind::Agreement;
  }
  MessageKind operator()(const routing::ShareReport& /*aBody*/) const { return MessageKind::Share; }
  MessageKind operator()(const routing::ShareAnswer& /*aBody*/) const { return MessageKind::Share; }
  template<typename ClaimBody>
  MessageKind operator()(const ClaimBody& /*aBody*/) const
  {
    return MessageKind::Claim;
  }
};

} // namespace

MessageKind
KindOf(const Body& aBody)
{
  return std::visit(KindOfBody{}, aBody);
}

std::string
KindName(MessageKind aKind)
{
  static constexpr std::array<const char*, kMessageKinds> kNames{
    "renewal",       "grant",     "grant_delta", "grant_whole", "change",
    "control_lease", "agreement", "claim",       "share"
  };
  return kNames.at(static_cast<std::size_t>(aKind));
}

void
TrafficCounter::CountSent(MessageKind aKind, std::size_t aBytes)
{
  Count& count = mSent.at(static_cast<std::size_t>(aKind));
  count.mMessages += 1;
  count.mBytes += aBytes;
}

void
TrafficCounter::CountReceived(MessageKind aKind, std::size_t aBytes)
{
  Count& count = mReceived.at(static_cast<std::size_t>(aKind));
  count.mMessages += 1;
  count.mBytes += aBytes;
}

void
TrafficCounter::CountUnreadable()
{
  mUnreadable += 1;
}

void
TrafficCounter::CountUnsent()
{
  mUnsent += 1;
}

Traffic
TrafficCounter::Read() const
{
  Traffic traffic;
  traffic.mUnreadable = mUnreadable;
  traffic.mUnsent = mUnsent;
  for (std::size_t n = 0; n < kMessageKinds; ++n) {
    traffic.mSent.at(n) = { mSent.at(n).mMessages, mSent.at(n).mBytes };
    traffic.mReceived.at(n) = { mReceived.at(n).mMessages, mReceived.at(n).mBytes };
  }
  return traffic;
}

DecisionRecord
DescribeTraffic(const std::string& aId, const Traffic& aBefore, const Traffic& aNow, Duration aSpan)
{
  DecisionRecord record{ "traffic", aId, "", "", "bytes-per-second", {} };
  const double seconds = std::chrono::duration<double>(aSpan).count();
  const auto add = [&](const std::string& aPrefix, const auto& aFrom, const auto& aTo) {
    for (std::size_t n = 0; n < kMessageKinds; ++n) {
      const auto bytes = static_cast<double>(aTo.at(n).mBytes - aFrom.at(n).mBytes) / seconds;
      if (aTo.at(n).mMessages > aFrom.at(n).mMessages) {
        record.mFields.push_back({ aPrefix + KindName(static_cast<MessageKind>(n)),
                                   std::to_string(static_cast<std::uint64_t>(bytes)) });
      }
    }
  };
  add("sent_", aBefore.mSent, aNow.mSent);
  add("received_", aBefore.mReceived, aNow.mReceived);
  if (aNow.mUnsent > aBefore.mUnsent) {
    record.mFields.push_back({ "unsent_messages", std::to_string(aNow.mUnsent - aBefore.mUnsent) });
  }
  if (aNow.mUnreadable > aBefore.mUnreadable) {
    record.mFields.push_back(
      { "unreadable_messages", std::to_string(aNow.mUnreadable - aBefore.mUnreadable) });
  }
  return record;
}

std::vector<TrafficGauge>
GaugesOf(const Traffic& aTraffic)
{
  std::vector<TrafficGauge> gauges;
  const auto add = [&gauges](const std::string& aDirection, const auto& aCounts) {
    for (std::size_t n = 0; n < kMessageKinds; ++n) {
      const std::map<std::string, std::string> labels{
        { "kind", KindName(static_cast<MessageKind>(n)) }, { "direction", aDirection }
      };
      gauges.push_back({ "messages", labels, static_cast<double>(aCounts.at(n).mMessages) });
      gauges.push_back({ "message_bytes", labels, static_cast<double>(aCounts.at(n).mBytes) });
    }
  };
  add("sent", aTraffic.mSent);
  add("received", aTraffic.mReceived);
  gauges.push_back({ "messages_unsent", {}, static_cast<double>(aTraffic.mUnsent) });
  gauges.push_back({ "messages_unreadable", {}, static_cast<double>(aTraffic.mUnreadable) });
  return gauges;
}

std::optional<DecisionRecord>
ReportTraffic(const std::string& aId, const Traffic& aTraffic, TrafficReport& aReport, Instant aNow)
{
  if (aReport.mLastAt == Instant{}) {
    aReport.mLastAt = aNow;
  }
  if (aNow < aReport.mLastAt + kTrafficReportInterval) {
    return std::nullopt;
  }
  auto record = DescribeTraffic(aId, aReport.mLast, aTraffic, aNow - aReport.mLastAt);
  aReport = { aTraffic, aNow };
  return record;
}

} // namespace fighold::wire
