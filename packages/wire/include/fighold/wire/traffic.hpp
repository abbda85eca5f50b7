#pragma once

#include "fighold/core/decision_record.hpp"
#include "fighold/core/time.hpp"
#include "fighold/wire/body.hpp"

#include <array>
#include <atomic>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

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
  std::uint64_t mUnreadable = 0; ///< messages that arrived and could not be decoded
  std::uint64_t mUnsent = 0;     ///< messages dropped because no connection could be opened

  friend auto operator<=>(const Traffic&, const Traffic&) = default;
};

/// Counts the messages of a process. May be used from several threads.
class TrafficCounter
{
public:
  void CountSent(MessageKind aKind, std::size_t aBytes);
  void CountReceived(MessageKind aKind, std::size_t aBytes);
  void CountUnreadable();
  void CountUnsent();
  Traffic Read() const;

private:
  struct Count
  {
    std::atomic<std::uint64_t> mMessages{ 0 };
    std::atomic<std::uint64_t> mBytes{ 0 };
  };
  std::array<Count, kMessageKinds> mSent{};
  std::array<Count, kMessageKinds> mReceived{};
  std::atomic<std::uint64_t> mUnreadable{ 0 };
  std::atomic<std::uint64_t> mUnsent{ 0 };
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

/// Value of a metric about the traffic.
struct TrafficGauge
{
  std::string mName;
  std::map<std::string, std::string> mLabels;
  double mValue = 0;

  friend auto operator<=>(const TrafficGauge&, const TrafficGauge&) = default;
};

/// @return messages and bytes of each kind and direction
std::vector<TrafficGauge>
GaugesOf(const Traffic& aTraffic);

/// @param aReport updated when a report is due
/// @return log record of the time since the last report; nothing when none is due
std::optional<DecisionRecord>
ReportTraffic(const std::string& aId,
              const Traffic& aTraffic,
              TrafficReport& aReport,
              Instant aNow);

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

} // namespace fighold::wire
