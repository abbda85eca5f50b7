#pragma once

#include "fighold/plan/csv.hpp"
#include "fighold/plan/plan.hpp"

#include <set>
#include <string>
#include <vector>

/// Rows of the sheet: one free function for each item.
namespace fighold::plan::detail {

/// Column of the sheet, from 0.
enum class Column
{
  Item,
  Service,
  Region,
  Target,
  Value,
  Unit,
};

constexpr std::size_t kColumns = 6;

/// A name whose definition may follow in a later row.
struct Mention
{
  CsvRow mRow;
  Column mColumn;
  std::string mName;
};

/// A plan while its rows are read.
struct Builder
{
  std::string mSource;
  Plan mPlan;
  std::vector<Mention> mMentions;
  std::set<std::vector<std::string>>
    mSeen; ///< item, service, region and target of rows that may stand once
  Findings mFindings;
};

/// @return text of a cell
const std::string&
Cell(const CsvRow& aRow, Column aColumn);

/// Adds a finding at a cell.
void
Report(Builder& aBuilder, const CsvRow& aRow, Column aColumn, const std::string& aMessage);

/// Reads one row into the plan; a row with errors adds findings instead.
void
ReadRow(const CsvRow& aRow, Builder& aBuilder);

/// @return percent with up to two decimals, such as "12.5"
std::string
FormatPercent(BasisPoints aPart);

/// @return "10.1.0.0/16"
std::string
FormatClientBlock(const ClientBlock& aBlock);

/// @return "06:30"
std::string
FormatTimeOfDay(std::chrono::minutes aTime);

} // namespace fighold::plan::detail
