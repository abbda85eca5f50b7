#pragma once

#include <cstddef>
#include <string_view>

/// Checks of text that comes from outside the system. Every front codec applies the same ones,
/// because messages between daemons and records of the replicated log hold only well-formed UTF-8.
namespace fighold {

/// Longest identifier in bytes.
constexpr std::size_t kMaxIdentifierBytes = 256;

/// @param aText bytes
/// @return true if the bytes are well-formed UTF-8 by RFC 3629: no overlong form, no surrogate, no
/// code point above U+10FFFF
bool
IsUtf8(std::string_view aText);

/// @param aText bytes
/// @return true if the bytes are well-formed UTF-8 without ASCII control characters
bool
IsPrintable(std::string_view aText);

/// Identifiers become part of log lines and header fields, where a space or a line break would end
/// them early.
/// @param aText bytes
/// @return true for printable text of 1 to kMaxIdentifierBytes bytes without a space
bool
IsIdentifier(std::string_view aText);

} // namespace fighold
