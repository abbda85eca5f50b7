#pragma once

#include "fighold/membership/change.hpp"
#include "fighold/membership/delta.hpp"
#include "messages.pb.h"

#include <optional>

/// Conversion of the configuration and its parts between values and protobuf messages.
namespace fighold::wire::detail {

/// Whether the answers kept for resends are included.
enum class Answers
{
  Include,
  LeaveOut,
};

/// Whether the route set is included; a receiver that holds it already keeps its own.
enum class Routes
{
  Include,
  LeaveOut,
};

pb::Entry
ToPb(const membership::Entry& aEntry);

membership::Entry
FromPb(const pb::Entry& aEntry);

pb::ChangeAnswer
ToPb(const membership::ChangeAnswer& aAnswer);

/// @return answer, or nothing when the verdict is unknown
std::optional<membership::ChangeAnswer>
FromPb(const pb::ChangeAnswer& aAnswer);

pb::Configuration
ToPb(const membership::Configuration& aConfiguration, Answers aAnswers, Routes aRoutes);

/// @return configuration, or nothing when a part is malformed
std::optional<membership::Configuration>
FromPb(const pb::Configuration& aConfiguration);

pb::ConfigurationDelta
ToPb(const membership::ConfigurationDelta& aDelta);

/// @return delta, or nothing when a part is malformed
std::optional<membership::ConfigurationDelta>
FromPb(const pb::ConfigurationDelta& aDelta);

pb::Change
ToPb(const membership::Change& aChange);

/// @return change, or nothing when a part is malformed
std::optional<membership::Change>
FromPb(const pb::Change& aChange);

} // namespace fighold::wire::detail
