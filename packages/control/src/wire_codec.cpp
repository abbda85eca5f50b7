#include "fighold/control/wire_codec.hpp"

#include "fighold/wire/codec.hpp"

namespace fighold::control {

Codec
WireCodec()
{
  return { wire::EncodeChange,
           [](const std::string& aBytes) { return wire::DecodeChange(aBytes); },
           wire::EncodeConfiguration,
           [](const std::string& aBytes) { return wire::DecodeConfiguration(aBytes); },
           [](const std::string& aBytes) { return wire::IsWellFormedChange(aBytes); } };
}

} // namespace fighold::control
