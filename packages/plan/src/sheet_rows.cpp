#include "sheet_rows.hpp"

#include "sheet_values.hpp"

#include <algorithm>
#include <map>

namespace fighold::plan::detail {
namespace {

constexpr std::uint32_t kMaxEntries = 4096;
constexpr std::uint32_t kMaxCapacity = 10'000'000;
constexpr std::uint32_t kMaxMegabits = 1'000'000;
constexpr std::uint32_t kMaxDeadlineMs = 600'000;
constexpr std::uint32_t kMaxResponseKibibytes = 1U << 20U;
constexpr std::uint32_t kMaxIntervalSeconds = 86'400;

/// One row being read, with the builder that takes its findings.
struct RowReader
{
  const CsvRow& mRow;
  Builder& mBuilder;

  const std::string& Get(Column aColumn) const { return Cell(mRow, aColumn); }

  void Fail(Column aColumn, const std::string& aMessage) const
  {
    Report(mBuilder, mRow, aColumn, aMessage);
  }

  /// Checks the unit and reads a whole number within limits; 0 when there is a finding.
  std::uint32_t Number(std::uint32_t aMin, std::uint32_t aMax, const std::string& aUnit) const
  {
    Unit(aUnit);
    const auto number = ParseNumber(Get(Column::Value));
    if (!number || *number < aMin || *number > aMax) {
      Fail(Column::Value,
           "expected a whole number from " + std::to_string(aMin) + " to " + std::to_string(aMax) +
             ", found \"" + Get(Column::Value) + "\"");
      return 0;
    }
    return static_cast<std::uint32_t>(*number);
  }

  /// Checks the unit and reads a percentage from 0.01 (or 0) to 100.
  BasisPoints Percent(BasisPoints aMin) const
  {
    Unit("percent");
    const auto part = ParsePercent(Get(Column::Value));
    if (!part || *part < aMin || *part > kWhole) {
      Fail(Column::Value,
           "expected a percentage from " + FormatPercent(aMin) +
             " to 100 with at most two decimals, found \"" + Get(Column::Value) + "\"");
      return 0;
    }
    return *part;
  }

  void Unit(const std::string& aUnit) const
  {
    if (Get(Column::Unit) != aUnit) {
      Fail(Column::Unit,
           "expected the unit \"" + aUnit + "\", found \"" + Get(Column::Unit) + "\"");
    }
  }

  RegionId Region(Column aColumn) const
  {
    mBuilder.mMentions.push_back({ mRow, aColumn, Get(aColumn) });
    return RegionId{ Get(aColumn) };
  }

  ServiceId Service() const
  {
    mBuilder.mMentions.push_back({ mRow, Column::Service, Get(Column::Service) });
    return ServiceId{ Get(Column::Service) };
  }
};

void
ReadPlan(const RowReader& aRow)
{
  aRow.Unit("number");
  const auto number = ParseNumber(aRow.Get(Column::Value));
  if (!number || *number == 0) {
    aRow.Fail(Column::Value,
              "expected a plan number from 1, found \"" + aRow.Get(Column::Value) + "\"");
    return;
  }
  aRow.mBuilder.mPlan.mNumber = *number;
}

void
ReadShiftCap(const RowReader& aRow)
{
  aRow.mBuilder.mPlan.mShiftCap = aRow.Percent(1);
}

void
ReadShiftInterval(const RowReader& aRow)
{
  aRow.mBuilder.mPlan.mShiftInterval =
    std::chrono::seconds(aRow.Number(1, kMaxIntervalSeconds, "s"));
}

void
ReadMaxEntries(const RowReader& aRow)
{
  aRow.mBuilder.mPlan.mMaxEntries = aRow.Number(1, kMaxEntries, "entries");
}

void
ReadRegionCapacity(const RowReader& aRow)
{
  const RegionId region{ aRow.Get(Column::Region) };
  if (!IsName(region.mValue)) {
    aRow.Fail(Column::Region, NameRule("region", region.mValue));
  }
  aRow.mBuilder.mPlan.mRegions[region] = aRow.Number(0, kMaxCapacity, "requests");
}

void
ReadLinkCapacity(const RowReader& aRow)
{
  const Link link{ aRow.Region(Column::Region), aRow.Region(Column::Target) };
  if (link.mFrom == link.mTo) {
    aRow.Fail(Column::Target, "a link joins two different regions");
  }
  aRow.mBuilder.mPlan.mLinks[link] = aRow.Number(1, kMaxMegabits, "Mbit/s");
}

void
ReadServiceClass(const RowReader& aRow)
{
  const ServiceId service{ aRow.Get(Column::Service) };
  if (!IsName(service.mValue)) {
    aRow.Fail(Column::Service, NameRule("service", service.mValue));
  }
  aRow.Unit("class");
  const auto parsed = ParseClass(aRow.Get(Column::Value));
  if (!parsed) {
    aRow.Fail(Column::Value,
              "expected urgent, standard or deferred, found \"" + aRow.Get(Column::Value) + "\"");
    return;
  }
  aRow.mBuilder.mPlan.mServices[service].mClass = *parsed;
}

void
ReadServiceDeadline(const RowReader& aRow)
{
  const Millis deadline(aRow.Number(1, kMaxDeadlineMs, "ms"));
  aRow.mBuilder.mPlan.mServices[aRow.Service()].mDeadline = deadline;
}

void
ReadServiceRepeat(const RowReader& aRow)
{
  aRow.Unit("rule");
  const std::string& rule = aRow.Get(Column::Value);
  if (rule != "safe-only" && rule != "always") {
    aRow.Fail(Column::Value, "expected safe-only or always, found \"" + rule + "\"");
  }
  aRow.mBuilder.mPlan.mServices[aRow.Service()].mRepeatable = rule == "always";
}

void
ReadServiceResponse(const RowReader& aRow)
{
  const std::uint32_t size = aRow.Number(1, kMaxResponseKibibytes, "KiB");
  aRow.mBuilder.mPlan.mServices[aRow.Service()].mResponseKibibytes = size;
}

void
ReadServiceFinish(const RowReader& aRow)
{
  aRow.Unit("time");
  const auto time = ParseTimeOfDay(aRow.Get(Column::Value));
  if (!time) {
    aRow.Fail(Column::Value,
              "expected a time of day such as 06:30, found \"" + aRow.Get(Column::Value) + "\"");
  }
  aRow.mBuilder.mPlan.mServices[aRow.Service()].mFinishBy = time;
}

void
ReadServiceShare(const RowReader& aRow)
{
  const RegionId region = aRow.Region(Column::Region);
  aRow.mBuilder.mPlan.mServices[aRow.Service()].mRegionShares[region] = aRow.Percent(0);
}

void
ReadSplit(const RowReader& aRow)
{
  const RegionId origin = aRow.Region(Column::Region);
  const RegionId target = aRow.Region(Column::Target);
  aRow.mBuilder.mPlan.mSplits[aRow.Service()][origin][target] = aRow.Percent(0);
}

void
ReadClientBlock(const RowReader& aRow)
{
  aRow.Unit("block");
  auto block = ParseClientBlock(aRow.Get(Column::Value));
  if (!block) {
    aRow.Fail(Column::Value,
              "expected an IPv4 block such as 10.1.0.0/16 without host bits, found \"" +
                aRow.Get(Column::Value) + "\"");
    return;
  }
  block->mRegion = aRow.Region(Column::Region);
  aRow.mBuilder.mPlan.mClientBlocks.push_back(*block);
}

void
ReadLeaving(const RowReader& aRow)
{
  aRow.Unit("backend_server");
  if (!IsName(aRow.Get(Column::Value))) {
    aRow.Fail(Column::Value, NameRule("backend server", aRow.Get(Column::Value)));
  }
  aRow.mBuilder.mPlan.mLeaving.push_back(BackendServerId{ aRow.Get(Column::Value) });
}

void
ReadDrainRegion(const RowReader& aRow)
{
  aRow.mBuilder.mPlan.mDrainedRegions.push_back(aRow.Region(Column::Region));
}

/// How a row of one item is read, and which columns it uses.
struct Item
{
  void (*mRead)(const RowReader&);
  std::vector<Column> mUsed;
  std::vector<Column> mKey; ///< columns that tell two rows of the item apart
};

const std::map<std::string, Item>&
Items()
{
  using C = Column;
  static const std::map<std::string, Item> items{
    { "plan", { ReadPlan, { C::Value, C::Unit }, {} } },
    { "shift_cap", { ReadShiftCap, { C::Value, C::Unit }, {} } },
    { "shift_interval", { ReadShiftInterval, { C::Value, C::Unit }, {} } },
    { "max_entries", { ReadMaxEntries, { C::Value, C::Unit }, {} } },
    { "region_capacity", { ReadRegionCapacity, { C::Region, C::Value, C::Unit }, { C::Region } } },
    { "link_capacity",
      { ReadLinkCapacity, { C::Region, C::Target, C::Value, C::Unit }, { C::Region, C::Target } } },
    { "service_class", { ReadServiceClass, { C::Service, C::Value, C::Unit }, { C::Service } } },
    { "service_deadline",
      { ReadServiceDeadline, { C::Service, C::Value, C::Unit }, { C::Service } } },
    { "service_repeat", { ReadServiceRepeat, { C::Service, C::Value, C::Unit }, { C::Service } } },
    { "service_response",
      { ReadServiceResponse, { C::Service, C::Value, C::Unit }, { C::Service } } },
    { "service_finish", { ReadServiceFinish, { C::Service, C::Value, C::Unit }, { C::Service } } },
    { "service_share",
      { ReadServiceShare,
        { C::Service, C::Region, C::Value, C::Unit },
        { C::Service, C::Region } } },
    { "split",
      { ReadSplit,
        { C::Service, C::Region, C::Target, C::Value, C::Unit },
        { C::Service, C::Region, C::Target } } },
    { "client_block", { ReadClientBlock, { C::Region, C::Value, C::Unit }, { C::Value } } },
    { "leaving", { ReadLeaving, { C::Value, C::Unit }, { C::Value } } },
    { "drain_region", { ReadDrainRegion, { C::Region }, { C::Region } } },
  };
  return items;
}

void
CheckUnusedCells(const RowReader& aRow, const Item& aItem)
{
  for (const Column it :
       { Column::Service, Column::Region, Column::Target, Column::Value, Column::Unit }) {
    const bool used = std::find(aItem.mUsed.begin(), aItem.mUsed.end(), it) != aItem.mUsed.end();
    if (!used && !aRow.Get(it).empty()) {
      aRow.Fail(it, "this cell must be empty for the item \"" + aRow.Get(Column::Item) + "\"");
    }
  }
}

void
CheckDoubled(const RowReader& aRow, const Item& aItem)
{
  std::vector<std::string> key{ aRow.Get(Column::Item) };
  for (const Column it : aItem.mKey) {
    key.push_back(aRow.Get(it));
  }
  if (!aRow.mBuilder.mSeen.insert(key).second) {
    aRow.Fail(Column::Item,
              "a row of the item \"" + key.front() +
                "\" for the same names stands earlier in the sheet");
  }
}

} // namespace

const std::string&
Cell(const CsvRow& aRow, Column aColumn)
{
  return aRow.mCells[static_cast<std::size_t>(aColumn)];
}

void
Report(Builder& aBuilder, const CsvRow& aRow, Column aColumn, const std::string& aMessage)
{
  aBuilder.mFindings.push_back(
    { Place{ aBuilder.mSource, aRow.mNumber, 1 + static_cast<int>(aColumn) }, aMessage });
}

void
ReadRow(const CsvRow& aRow, Builder& aBuilder)
{
  if (aRow.mCells.size() != kColumns) {
    Report(aBuilder,
           aRow,
           Column::Item,
           "expected " + std::to_string(kColumns) + " cells, found " +
             std::to_string(aRow.mCells.size()));
    return;
  }
  const RowReader reader{ aRow, aBuilder };
  const auto it = Items().find(Cell(aRow, Column::Item));
  if (it == Items().end()) {
    reader.Fail(Column::Item, "unknown item \"" + Cell(aRow, Column::Item) + "\"");
    return;
  }
  CheckUnusedCells(reader, it->second);
  CheckDoubled(reader, it->second);
  it->second.mRead(reader);
}

} // namespace fighold::plan::detail
