#pragma once

#include "fighold/core/id.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// Messages between control processes.
namespace fighold::agreement {

using Term = std::uint64_t;
using Index = std::uint64_t;

/// One entry of the replicated log. The payload is opaque to this package.
struct LogEntry
{
  Index mIndex = 0;
  Term mTerm = 0;
  std::string mPayload;

  friend auto operator<=>(const LogEntry&, const LogEntry&) = default;
};

/// Leader to follower: log entries after `mPrevious`, and the commit index. Without entries it is a
/// heartbeat.
struct Append
{
  Term mTerm = 0;
  Index mPrevious = 0;
  Term mPreviousTerm = 0;
  Index mCommit = 0;
  std::uint64_t mRound = 0; ///< heartbeat round, echoed by the reply
  std::vector<LogEntry> mEntries;

  friend auto operator<=>(const Append&, const Append&) = default;
};

/// Follower to leader.
struct AppendReply
{
  Term mTerm = 0;
  bool mAccepted = false;
  Index mSynced = 0; ///< last entry that is synced and known to match; when refused, where to go on
  std::uint64_t mRound = 0;

  friend auto operator<=>(const AppendReply&, const AppendReply&) = default;
};

/// Passes a proposal to the leader.
struct Forward
{
  std::string mPayload;

  friend auto operator<=>(const Forward&, const Forward&) = default;
};

using Message = std::variant<Append, AppendReply, Forward>;

} // namespace fighold::agreement
