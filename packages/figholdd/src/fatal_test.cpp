#include "fatal.hpp"

#include <catch2/catch.hpp>

#include <stdexcept>

namespace fighold::figholdd {
namespace {

struct FatalFixture
{
  template<typename Error>
  static std::string DescriptionOf(const Error& aError)
  {
    try {
      throw aError;
    } catch (...) {
      return DescribeCurrentException();
    }
  }
};

// Guards against a process that ends without a word on the cause.
TEST_CASE_METHOD(FatalFixture,
                 "DescribeCurrentException, each kind of exception, says what it is",
                 "[figholdd]")
{
  CHECK(DescriptionOf(std::runtime_error("record 7 cannot be read")) == "record 7 cannot be read");
  CHECK(DescriptionOf(7) == "exception of another type");
  CHECK(DescribeCurrentException() == "no exception");
}

} // namespace
} // namespace fighold::figholdd
