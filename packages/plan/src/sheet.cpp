#include "fighold/plan/sheet.hpp"

#include "fighold/plan/client_table.hpp"
#include "fighold/plan/csv.hpp"
#include "sheet_rows.hpp"

#include <algorithm>
#include <array>
#include <functional>

namespace fighold::plan {
namespace {

using detail::Builder;
using detail::Column;

const std::vector<std::string> kHeader{ "item", "service", "region", "target", "value", "unit" };

void
CheckHeader(const CsvRow& aRow, Builder& aBuilder)
{
  if (aRow.mCells != kHeader) {
    detail::Report(aBuilder, aRow, Column::Item, "the header must be " + FormatCsvRow(kHeader));
  }
}

/// Regions and services may be named before the row that defines them, so names are checked after
/// the last row.
void
CheckNames(Builder& aBuilder)
{
  for (const detail::Mention& it : aBuilder.mMentions) {
    const bool region = it.mColumn != Column::Service;
    const bool known = region ? aBuilder.mPlan.mRegions.count(RegionId{ it.mName }) > 0
                              : aBuilder.mPlan.mServices.count(ServiceId{ it.mName }) > 0;
    if (!known) {
      const std::string kind = region ? "region" : "service";
      detail::Report(
        aBuilder, it.mRow, it.mColumn, kind + " \"" + it.mName + "\" is not defined in this sheet");
    }
  }
}

void
CheckSplits(Builder& aBuilder)
{
  for (auto& [service, rule] : aBuilder.mPlan.mServices) {
    SplitMatrix& matrix = aBuilder.mPlan.mSplits[service];
    for (const auto& [origin, capacity] : aBuilder.mPlan.mRegions) {
      SplitRow& row = matrix[origin];
      if (row.empty()) {
        row[origin] = kWhole;
      }
      BasisPoints sum = 0;
      for (const auto& [target, part] : row) {
        sum += part;
      }
      if (sum != kWhole) {
        aBuilder.mFindings.push_back({ Place{ aBuilder.mSource, 0, 0 },
                                       "split of service \"" + service.mValue +
                                         "\" from region \"" + origin.mValue + "\" sums to " +
                                         detail::FormatPercent(sum) + " percent instead of 100" });
      }
    }
  }
}

void
CheckWhole(Builder& aBuilder)
{
  const auto missing = [&aBuilder](bool aMissing, const std::string& aItem) {
    if (aMissing) {
      aBuilder.mFindings.push_back(
        { Place{ aBuilder.mSource, 0, 0 }, "row \"" + aItem + "\" is missing" });
    }
  };
  missing(aBuilder.mPlan.mNumber == 0, "plan");
  missing(aBuilder.mPlan.mShiftCap == 0, "shift_cap");
  missing(aBuilder.mPlan.mShiftInterval.count() == 0, "shift_interval");
  missing(aBuilder.mPlan.mMaxEntries == 0, "max_entries");
  missing(aBuilder.mPlan.mRegions.empty(), "region_capacity");
  missing(aBuilder.mPlan.mServices.empty(), "service_class");
  if (aBuilder.mPlan.mRegions.size() > kMaxClientRegions) {
    aBuilder.mFindings.push_back(
      { Place{ aBuilder.mSource, 0, 0 },
        "names more than " + std::to_string(kMaxClientRegions) + " regions" });
  }
}

void
SortLists(Plan& aPlan)
{
  std::sort(aPlan.mClientBlocks.begin(), aPlan.mClientBlocks.end());
  std::sort(aPlan.mLeaving.begin(), aPlan.mLeaving.end());
  std::sort(aPlan.mDrainedRegions.begin(), aPlan.mDrainedRegions.end());
}

} // namespace

Checked<Plan>
ParseSheet(std::string_view aText, const std::string& aSource)
{
  if (aText.size() > kMaxSheetBytes) {
    return { std::nullopt,
             { { Place{ aSource, 0, 0 },
                 "larger than " + std::to_string(kMaxSheetBytes) + " bytes" } } };
  }
  const auto rows = ReadCsv(aText, aSource);
  if (!rows.mValue) {
    return { std::nullopt, rows.mFindings };
  }
  if (rows.mValue->empty()) {
    return { std::nullopt, { { Place{ aSource, 1, 0 }, "the sheet is empty" } } };
  }
  Builder builder;
  builder.mSource = aSource;
  CheckHeader(rows.mValue->front(), builder);
  for (auto it = std::next(rows.mValue->begin()); it != rows.mValue->end(); ++it) {
    detail::ReadRow(*it, builder);
  }
  CheckNames(builder);
  CheckSplits(builder);
  CheckWhole(builder);
  if (!builder.mFindings.empty()) {
    return { std::nullopt, builder.mFindings };
  }
  SortLists(builder.mPlan);
  return { std::move(builder.mPlan), {} };
}

} // namespace fighold::plan
