#pragma once

#include <map>
#include <string>
#include <string_view>

/// Reads back the key=value pairs of log lines.
namespace fighold {

using LogFields = std::map<std::string, std::string>;

/// Reads a line as FormatDecision writes it. What is no pair is left out; of a key that comes twice
/// the first value counts.
/// @param aLine line of any content
/// @return values by key, without quotes
LogFields
ParseLogFields(std::string_view aLine);

/// @return value of a key, or an empty text
std::string
FieldOf(const LogFields& aFields, const std::string& aKey);

} // namespace fighold
