#include "records.hpp"

#include "bytes.hpp"
#include "fighold/agreement/storage.hpp"

#include <xxhash.h>

namespace fighold::agreement::detail {
namespace {

constexpr std::size_t kHeaderSize = 12;

/// Types of log records.
enum class RecordKind : std::uint8_t
{
  Entry = 1,
  TermVote = 2,
};

std::uint64_t
Checksum(std::string_view aBody, std::size_t aOffset)
{
  // The seed includes the length, because the checksum must cover it as well: with the offset
  // alone, a length of zero would pass.
  return XXH3_64bits_withSeed(
    aBody.data(), aBody.size(), (static_cast<std::uint64_t>(aOffset) << 32U) + aBody.size());
}

/// @return body of the complete, valid record at an offset, or nothing
std::optional<std::string_view>
RecordBodyAt(std::string_view aBytes, std::size_t aOffset)
{
  Reader in{ aBytes.substr(aOffset) };
  const auto size = in.Number<std::uint32_t>();
  const auto checksum = in.Number<std::uint64_t>();
  const std::string_view body = in.Bytes(size);
  const bool isValid = in.mOk && size > 0 && Checksum(body, aOffset) == checksum;
  return isValid ? std::optional(body) : std::nullopt;
}

void
PutString(std::string& aOut, std::string_view aText)
{
  PutNumber(aOut, static_cast<std::uint32_t>(aText.size()));
  aOut += aText;
}

} // namespace

void
AppendRecord(std::string& aOut, std::size_t aOffset, std::string_view aBody)
{
  const std::uint64_t checksum = Checksum(aBody, aOffset + aOut.size());
  PutNumber(aOut, static_cast<std::uint32_t>(aBody.size()));
  PutNumber(aOut, checksum);
  aOut += aBody;
}

ParsedRecords
ParseRecords(std::string_view aBytes, const std::string& aName)
{
  ParsedRecords records;
  while (const auto body = RecordBodyAt(aBytes, records.mValidSize)) {
    records.mBodies.push_back(*body);
    records.mValidSize += kHeaderSize + body->size();
  }
  for (std::size_t at = records.mValidSize + 1; at + kHeaderSize < aBytes.size(); ++at) {
    if (RecordBodyAt(aBytes, at)) {
      throw StorageError(aName + ": damaged record at byte " + std::to_string(records.mValidSize));
    }
  }
  return records;
}

std::string
EncodeEntry(const LogEntry& aEntry)
{
  std::string out;
  PutNumber(out, static_cast<std::uint8_t>(RecordKind::Entry));
  PutNumber(out, aEntry.mIndex);
  PutNumber(out, aEntry.mTerm);
  PutNumber(out, static_cast<std::uint8_t>(aEntry.mKind));
  return out + aEntry.mPayload;
}

std::string
EncodeTermVote(const TermVote& aTermVote)
{
  std::string out;
  PutNumber(out, static_cast<std::uint8_t>(RecordKind::TermVote));
  PutNumber(out, aTermVote.mTerm);
  if (aTermVote.mVotedFor) {
    PutNumber(out, aTermVote.mVotedFor->mIncarnation);
    PutString(out, aTermVote.mVotedFor->mId.mValue);
  }
  return out;
}

std::string
EncodeSnapshot(const Snapshot& aSnapshot)
{
  std::string out;
  PutNumber(out, aSnapshot.mIndex);
  PutNumber(out, aSnapshot.mTerm);
  PutString(out, EncodeMembership(aSnapshot.mMembership));
  return out + aSnapshot.mState;
}

bool
ReplayLogRecord(std::string_view aBody, RecoveredState& aRecovered)
{
  Reader in{ aBody };
  const auto kind = in.Number<std::uint8_t>();
  if (kind == static_cast<std::uint8_t>(RecordKind::TermVote)) {
    TermVote read{ in.Number<std::uint64_t>(), std::nullopt };
    if (!in.mRemaining.empty()) {
      const auto incarnation = in.Number<std::uint64_t>();
      const auto size = in.Number<std::uint32_t>();
      read.mVotedFor = Member{ { std::string(in.Bytes(size)) }, incarnation };
    }
    const bool ordered = read.mTerm >= aRecovered.mTermVote.mTerm;
    aRecovered.mTermVote = std::move(read);
    return in.mOk && ordered;
  }
  LogEntry entry;
  entry.mIndex = in.Number<std::uint64_t>();
  entry.mTerm = in.Number<std::uint64_t>();
  const auto entryKind = in.Number<std::uint8_t>();
  entry.mKind = static_cast<EntryKind>(entryKind);
  entry.mPayload = in.mRemaining;
  auto& log = aRecovered.mLog;
  // An earlier version appended behind a log that ends before the snapshot.
  if (!log.empty() && entry.mIndex == aRecovered.mSnapshot->mIndex + 1 &&
      entry.mIndex > log.back().mIndex + 1) {
    log.clear();
  }
  const Index first = log.empty() ? entry.mIndex : log.front().mIndex;
  if (!in.mOk || kind != static_cast<std::uint8_t>(RecordKind::Entry) ||
      entryKind > static_cast<std::uint8_t>(EntryKind::Membership) || entry.mIndex == 0 ||
      entry.mIndex < first || entry.mIndex > first + log.size()) {
    return false;
  }
  log.resize(entry.mIndex - first);
  log.push_back(std::move(entry));
  return true;
}

std::optional<Snapshot>
DecodeSnapshot(std::string_view aBody)
{
  Reader in{ aBody };
  Snapshot snapshot;
  snapshot.mIndex = in.Number<std::uint64_t>();
  snapshot.mTerm = in.Number<std::uint64_t>();
  const auto size = in.Number<std::uint32_t>();
  const auto membership = DecodeMembership(in.Bytes(size));
  if (!in.mOk || !membership) {
    return std::nullopt;
  }
  snapshot.mMembership = *membership;
  snapshot.mState = in.mRemaining;
  return snapshot;
}

} // namespace fighold::agreement::detail
