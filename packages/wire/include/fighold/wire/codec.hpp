#pragma once

#include "fighold/wire/body.hpp"

#include <optional>
#include <string>
#include <string_view>

/// Encoding of messages and log records. Decoders accept any bytes and return nothing for malformed
/// ones.
namespace fighold::wire {

std::string
EncodeEnvelope(const Envelope& aEnvelope);

/// @return message, or nothing when the bytes are malformed
std::optional<Envelope>
DecodeEnvelope(std::string_view aBytes);

/// Encodes a change as the payload of a log entry.
std::string
EncodeChange(const membership::Change& aChange);

/// @return change, or nothing when the bytes are malformed
std::optional<membership::Change>
DecodeChange(std::string_view aBytes);

/// @return true if the bytes are a record of this format, possibly of a kind that this version does
/// not know; false for bytes that no version can read
bool
IsWellFormedChange(std::string_view aBytes);

/// Encodes a configuration for a snapshot, with the answers kept for resends.
std::string
EncodeConfiguration(const membership::Configuration& aConfiguration);

/// @return configuration, or nothing when the bytes are malformed
std::optional<membership::Configuration>
DecodeConfiguration(std::string_view aBytes);

} // namespace fighold::wire
