#pragma once

#include <google/protobuf/message.h>

namespace fighold::wire::detail {

/// Checks the texts of a record. The decision whether a committed record is skipped must be the
/// same in every process, so it does not depend on the message library.
/// @param aMessage message whose fields of type bytes are all texts
/// @return true if each text of the message and of the messages in it is well-formed UTF-8
bool
HoldsOnlyUtf8(const google::protobuf::Message& aMessage);

} // namespace fighold::wire::detail
