#include "fighold/core/log_fields.hpp"

#include <algorithm>

namespace fighold {
namespace {

/// Takes a quoted value from the front of a text; without a closing quote, all of it.
std::string
TakeQuoted(std::string_view& aText)
{
  std::string value;
  std::size_t n = 1;
  for (; n < aText.size() && aText[n] != '"'; ++n) {
    if (aText[n] == '\\' && n + 1 < aText.size()) {
      ++n;
    }
    value += aText[n];
  }
  aText.remove_prefix(std::min(aText.size(), n + 1));
  return value;
}

/// Takes everything up to the next space from the front of a text.
std::string
TakeWord(std::string_view& aText)
{
  const std::size_t n = std::min(aText.find(' '), aText.size());
  std::string word(aText.substr(0, n));
  aText.remove_prefix(n);
  return word;
}

} // namespace

LogFields
ParseLogFields(std::string_view aLine)
{
  LogFields fields;
  while (!aLine.empty()) {
    if (aLine.front() == ' ') {
      aLine.remove_prefix(1);
      continue;
    }
    const std::size_t n = aLine.find_first_of("= ");
    if (n == std::string_view::npos || aLine[n] == ' ') {
      TakeWord(aLine);
      continue;
    }
    const std::string key(aLine.substr(0, n));
    aLine.remove_prefix(n + 1);
    const bool quoted = !aLine.empty() && aLine.front() == '"';
    std::string value = quoted ? TakeQuoted(aLine) : TakeWord(aLine);
    fields.try_emplace(key, std::move(value));
  }
  return fields;
}

std::string
FieldOf(const LogFields& aFields, const std::string& aKey)
{
  const auto it = aFields.find(aKey);
  return it == aFields.end() ? std::string() : it->second;
}

} // namespace fighold
