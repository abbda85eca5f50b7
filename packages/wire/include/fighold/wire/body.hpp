#pragma once

#include "fighold/agreement/message.hpp"
#include "fighold/claims/message.hpp"
#include "fighold/membership/protocol.hpp"
#include "fighold/routing/share_message.hpp"

#include <string>
#include <variant>

/// Messages between daemons, as values.
namespace fighold::wire {

using Body = std::variant<membership::LeaseRenewal,
                          membership::LeaseGrant,
                          membership::ChangeRequest,
                          membership::ChangeReply,
                          membership::ControlLeaseRenewal,
                          membership::ControlLeaseGrant,
                          agreement::Message,
                          claims::ClaimRequest,
                          claims::ClaimReply,
                          claims::AttemptResult,
                          claims::CopyRequest,
                          claims::CopyPage,
                          routing::ShareReport,
                          routing::ShareAnswer>;

/// A message with its sender.
struct Envelope
{
  std::string mFrom;
  Incarnation mIncarnation = 0;
  Body mBody;

  friend bool operator==(const Envelope&, const Envelope&) = default;
};

} // namespace fighold::wire
