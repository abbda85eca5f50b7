#pragma once

#include <compare>
#include <cstdint>
#include <string>

/// Identifiers. Each kind has a type of its own, so that one cannot be passed for another.
namespace fighold {

/// An identifier that is text, distinguished by its tag.
template<typename Tag>
struct Id
{
  std::string mValue;

  friend auto operator<=>(const Id&, const Id&) = default;
};

using RegionId = Id<struct RegionTag>;
using DataCentreId = Id<struct DataCentreTag>;
using ServiceId = Id<struct ServiceTag>;
using EntryId = Id<struct EntryTag>;
using ControlId = Id<struct ControlTag>;
using BackendServerId = Id<struct BackendServerTag>;

/// Identifier of an operator's change; a resend carries the same one.
using ChangeId = Id<struct ChangeTag>;

/// Identifier of one caller's request within one entry process.
using RequestId = std::uint64_t;

/// Position in the replicated log; a configuration carries the position of the change that made it.
using Version = std::uint64_t;

/// Drawn when a process (entry, backend server) or a data folder (control) is created.
using Incarnation = std::uint64_t;

} // namespace fighold
