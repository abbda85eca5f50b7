#pragma once

#include "fighold/agreement/message.hpp"
#include "messages.pb.h"

#include <optional>

/// Conversion of the messages of the agreement between values and protobuf messages.
namespace fighold::wire::detail {

pb::Agreement
ToPb(const agreement::Message& aMessage);

/// @return message, or nothing when a part is malformed
std::optional<agreement::Message>
FromPb(const pb::Agreement& aMessage);

} // namespace fighold::wire::detail
