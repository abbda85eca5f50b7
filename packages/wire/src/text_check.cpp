#include "text_check.hpp"

#include "fighold/core/text.hpp"

#include <google/protobuf/descriptor.h>

#include <algorithm>
#include <vector>

namespace fighold::wire::detail {
namespace {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;

/// @return true if every value of a field that is set is well-formed
bool
HoldsOnlyUtf8(const Message& aMessage, const FieldDescriptor& aField)
{
  const auto* reflection = aMessage.GetReflection();
  const int count = aField.is_repeated() ? reflection->FieldSize(aMessage, &aField) : 1;
  std::string scratch;
  for (int n = 0; n < count; ++n) {
    if (aField.cpp_type() == FieldDescriptor::CPPTYPE_STRING) {
      const std::string& text =
        aField.is_repeated()
          ? reflection->GetRepeatedStringReference(aMessage, &aField, n, &scratch)
          : reflection->GetStringReference(aMessage, &aField, &scratch);
      if (!IsUtf8(text)) {
        return false;
      }
    } else if (aField.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE) {
      const Message& inner = aField.is_repeated()
                               ? reflection->GetRepeatedMessage(aMessage, &aField, n)
                               : reflection->GetMessage(aMessage, &aField);
      if (!detail::HoldsOnlyUtf8(inner)) {
        return false;
      }
    }
  }
  return true;
}

} // namespace

bool
HoldsOnlyUtf8(const Message& aMessage)
{
  std::vector<const FieldDescriptor*> fields;
  aMessage.GetReflection()->ListFields(aMessage, &fields);
  return std::all_of(fields.begin(), fields.end(), [&](const FieldDescriptor* aField) {
    return HoldsOnlyUtf8(aMessage, *aField);
  });
}

} // namespace fighold::wire::detail
