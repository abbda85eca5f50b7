#pragma once

#include "fighold/plan/plan.hpp"

#include <optional>
#include <string>
#include <string_view>

/// Values in the cells of a sheet.
namespace fighold::plan::detail {

/// @return whole number without sign, or nothing
std::optional<std::uint64_t>
ParseNumber(std::string_view aText);

/// @return percentage with at most two decimals, or nothing
std::optional<BasisPoints>
ParsePercent(std::string_view aText);

/// @return class of a service, or nothing
std::optional<RequestClass>
ParseClass(std::string_view aText);

/// @return minutes since midnight from "HH:MM", or nothing
std::optional<std::chrono::minutes>
ParseTimeOfDay(std::string_view aText);

/// @return block without its region from "a.b.c.d/n", or nothing when malformed or with host bits
std::optional<ClientBlock>
ParseClientBlock(std::string_view aText);

/// @return true for 1 to 64 letters, digits, "-", "_" or "."
bool
IsName(std::string_view aText);

/// @return message that states the rule of IsName
std::string
NameRule(std::string_view aKind, std::string_view aText);

} // namespace fighold::plan::detail
