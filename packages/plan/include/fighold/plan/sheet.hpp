#pragma once

#include "fighold/core/finding.hpp"
#include "fighold/plan/plan.hpp"

#include <string>
#include <string_view>

/// The planners' sheet: CSV with the columns item, service, region, target, value, unit.
namespace fighold::plan {

/// Greatest size of a sheet in bytes; 3.4 million client blocks of 40 bytes fit.
constexpr std::size_t kMaxSheetBytes = 160u << 20U;

/// Parses and checks a sheet.
/// @param aText CSV text
/// @param aSource name used as the place of findings
/// @return the plan, or every finding with row and column (both from 1)
Checked<Plan>
ParseSheet(std::string_view aText, const std::string& aSource);

/// @param aPlan plan to print
/// @return a sheet that parses to the same plan
std::string
FormatSheet(const Plan& aPlan);

} // namespace fighold::plan
