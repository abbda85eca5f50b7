#pragma once

#include "fighold/ctl/command.hpp"

#include <boost/json/value.hpp>

/// What the commands share: calls to a control process and access to its answers.
namespace fighold::ctl {

namespace json = boost::json;

/// Everything that a command works with.
struct Session
{
  const Options& mOptions;
  const Environment& mEnvironment;
};

/// @return answer of the first control process that answers; nothing, with a message, when none
/// does
std::optional<net::HttpResponse>
Call(const Session& aSession,
     const std::string& aMethod,
     const std::string& aTarget,
     const std::string& aBody);

/// @return body as an object; empty when it is none
json::object
ToObject(const net::HttpResponse& aResponse);

/// Members of an object, with an empty value when they are missing or of another type.
std::string
Text(const json::object& aObject, std::string_view aName);

std::uint64_t
Number(const json::object& aObject, std::string_view aName);

bool
Flag(const json::object& aObject, std::string_view aName);

const json::array&
List(const json::object& aObject, std::string_view aName);

/// @return text filled up with spaces, and one more space
std::string
Padded(std::string aText, std::size_t aWidth);

} // namespace fighold::ctl
