#pragma once

#include "fighold/wire/body.hpp"
#include "messages.pb.h"

#include <optional>

/// Messages about shares as protobuf messages.
namespace fighold::wire::detail {

pb::ShareReport
ToPb(const routing::ShareReport& aReport);

/// @return report, or nothing when a limit is of an unknown kind
std::optional<routing::ShareReport>
FromPb(const pb::ShareReport& aReport);

pb::ShareAnswer
ToPb(const routing::ShareAnswer& aAnswer);

/// @return answer, or nothing when a limit is of an unknown kind
std::optional<routing::ShareAnswer>
FromPb(const pb::ShareAnswer& aAnswer);

} // namespace fighold::wire::detail
