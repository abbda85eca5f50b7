#pragma once

#include "fighold/wire/body.hpp"
#include "messages.pb.h"

#include <optional>

/// Messages about claims as protobuf messages.
namespace fighold::wire::detail {

void
PutClaim(const claims::ClaimRequest& aRequest, pb::Envelope& aOut);

void
PutClaim(const claims::ClaimReply& aReply, pb::Envelope& aOut);

void
PutClaim(const claims::AttemptResult& aResult, pb::Envelope& aOut);

void
PutClaim(const claims::CopyRequest& aRequest, pb::Envelope& aOut);

void
PutClaim(const claims::CopyPage& aPage, pb::Envelope& aOut);

/// @return the message about claims that the envelope holds, or nothing when it is malformed
std::optional<Body>
GetClaim(const pb::Envelope& aEnvelope);

} // namespace fighold::wire::detail
