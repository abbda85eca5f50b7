#pragma once

#include "fighold/core/decision_record.hpp"
#include "fighold/core/time.hpp"
#include "fighold/wire/body.hpp"

#include <array>
#include <atomic>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>

/// Bytes of the messages between daemons, by kind. The link of an entry is little wider than its
/// callers' answers, so that messages of the system can crowd them out.
namespace fighold::wire {

/// What a message is about.
enum class MessageKind : std::uint8_t
{
  Renewal,
  Grant,      ///< a grant without a change of the configuration
  GrantDelta, ///< a grant with changes of the configuration
  GrantWhole, ///< a grant with a whole configuration
  Change,
  ControlLease,
  Agreement,
  Claim,
  Share,
};

constexpr std::size_t kMessageKinds = 9;

/// @return kind of a message
MessageKind
KindOf(const Body& aBody);

/// @return name for metrics and logs
std::string
KindName(MessageKind aKind);

/// Messages and bytes of one kind.
struct TrafficCount
{
  std::uint64_t mMessages = 0;
  std::uint64_t mBytes = 0;

  friend auto operator<=>(const TrafficCount&, const TrafficCount&) = default;
};

/// Messages and bytes since the start, by kind.
struct Traffic
{
  std::array<TrafficCount, kMessageKinds> mSent{};
  std::array<TrafficCount, kMessageKinds> mReceived{};

  friend auto operator<=>(const Traffic&, const Traffic&) = default;
};

/// Counts the messages of a process. May be used from several threads.
class TrafficCounter
{
public:
  void CountSent(MessageKind aKind, std::size_t aBytes);
  void CountReceived(MessageKind aKind, std::size_t aBytes);
  Traffic Read() const;

private:
  struct Count
  {
    std::atomic<std::uint64_t> mMessages{ 0 };
    std::atomic<std::uint64_t> mBytes{ 0 };
  };
  std::array<Count, kMessageKinds> mSent{};
  std::array<Count, kMessageKinds> mReceived{};
};

/// Interval between two log records about the traffic.
constexpr Millis kTrafficReportInterval{ 5000 };

/// What the last log record about the traffic covered.
struct TrafficReport
{
  Traffic mLast;
  Instant mLastAt{};

  friend auto operator<=>(const TrafficReport&, const TrafficReport&) = default;
};

/// Sets the gauges of the traffic, when a report is due.
/// @param aSetGauge called with name, value, kind and direction
/// @return log record of the time since the last report; nothing when none is due
template<typename SetGauge>
std::optional<DecisionRecord>
ReportTraffic(const std::string& aId,
              const TrafficCounter& aCounter,
              TrafficReport& aReport,
              Instant aNow,
              const SetGauge& aSetGauge);

/// @param aId identifier of the process
/// @param aBefore traffic at the beginning of a span of time
/// @param aNow traffic at its end
/// @param aSpan length of the span, above 0
/// @return log record with the bytes per second of each kind that occurred
DecisionRecord
DescribeTraffic(const std::string& aId,
                const Traffic& aBefore,
                const Traffic& aNow,
                Duration aSpan);

template<typename SetGauge>
std::optional<DecisionRecord>
ReportTraffic(const std::string& aId,
              const TrafficCounter& aCounter,
              TrafficReport& aReport,
              Instant aNow,
              const SetGauge& aSetGauge)
{
  if (aReport.mLastAt == Instant{}) {
    aReport.mLastAt = aNow;
  }
  if (aNow < aReport.mLastAt + kTrafficReportInterval) {
    return std::nullopt;
  }
  const Traffic traffic = aCounter.Read();
  for (std::size_t n = 0; n < kMessageKinds; ++n) {
    const std::string kind = KindName(static_cast<MessageKind>(n));
    aSetGauge("message_bytes", traffic.mSent.at(n).mBytes, kind, "sent");
    aSetGauge("messages", traffic.mSent.at(n).mMessages, kind, "sent");
    aSetGauge("message_bytes", traffic.mReceived.at(n).mBytes, kind, "received");
    aSetGauge("messages", traffic.mReceived.at(n).mMessages, kind, "received");
  }
  auto record = DescribeTraffic(aId, aReport.mLast, traffic, aNow - aReport.mLastAt);
  aReport = { traffic, aNow };
  return record;
}

} // namespace fighold::wire
