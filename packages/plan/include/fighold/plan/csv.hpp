#pragma once

#include "fighold/core/finding.hpp"

#include <string>
#include <string_view>
#include <vector>

/// CSV rows, read by libcsv.
namespace fighold::plan {

/// A row with its number in the file, from 1; empty rows are left out but counted.
struct CsvRow
{
  int mNumber = 0;
  std::vector<std::string> mCells;

  friend auto operator<=>(const CsvRow&, const CsvRow&) = default;
};

/// @param aText CSV text, RFC 4180
/// @param aSource name used as the place of findings
/// @return the rows, or a finding for malformed quoting
Checked<std::vector<CsvRow>>
ReadCsv(std::string_view aText, const std::string& aSource);

/// @param aCells cells of one row
/// @return the row with quotes where needed, without a line end
std::string
FormatCsvRow(const std::vector<std::string>& aCells);

} // namespace fighold::plan
