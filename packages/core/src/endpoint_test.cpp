#include "fighold/core/endpoint.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace fighold {
namespace {

struct EndpointFixture
{};

// Guards against an address that the front takes and that cannot be connected to, or that two
// readers take for different hosts.
TEST_CASE_METHOD(EndpointFixture,
                 "ParseIpv4, text other than four plain octets, is nothing",
                 "[core]")
{
  for (const char* it : { "10.1.0.034",
                          "010.1.0.34",
                          "10.00.0.34",
                          "10.1.0.0x22",
                          "10.1.34",
                          "10.1.0.256",
                          "10.1.0.34.",
                          ".10.1.0.34",
                          "10.1.0.34 ",
                          " 10.1.0.34",
                          "+10.1.0.34",
                          "10.1.0.-1",
                          "",
                          "167837730",
                          "::1" }) {
    INFO(it);
    CHECK_FALSE(ParseIpv4(it));
    CHECK_FALSE(ParseEndpoint(std::string(it) + ":8080"));
  }
  CHECK(ParseIpv4("10.1.0.34") == 0x0A010022U);
  CHECK(ParseIpv4("0.0.0.0") == 0U);
  CHECK(ParseIpv4("255.255.255.255") == 0xFFFFFFFFU);
}

// Guards against an endpoint whose text is another one than was read.
TEST_CASE_METHOD(EndpointFixture, "ParseEndpoint, its own text, gives the same endpoint", "[core]")
{
  rc::prop("any endpoint", [](std::uint32_t aAddress, std::uint16_t aPort) {
    std::string text;
    for (const unsigned shift : { 24U, 16U, 8U, 0U }) {
      text += (text.empty() ? "" : ".") + std::to_string((aAddress >> shift) & 0xFFU);
    }
    const auto endpoint = ParseEndpoint(text + ":" + std::to_string(aPort));
    RC_ASSERT(endpoint.has_value());
    RC_ASSERT(ParseIpv4(endpoint->mHost) == aAddress);
    RC_ASSERT(ParseEndpoint(ToText(*endpoint)) == endpoint);
  });
}

// Guards against a server that is registered at an address where an entry reaches itself, many
// hosts or none.
TEST_CASE_METHOD(EndpointFixture,
                 "IsUnicast, addresses of each range, is true for one host",
                 "[core]")
{
  for (const char* it : { "0.0.0.0:80",
                          "0.1.2.3:80",
                          "224.0.0.1:80",
                          "240.0.0.1:80",
                          "255.255.255.255:80",
                          "10.0.0.1:0" }) {
    INFO(it);
    CHECK_FALSE(IsUnicast(ParseEndpoint(it).value()));
  }
  for (const char* it : { "1.0.0.1:80", "10.0.0.1:65535", "127.0.0.1:1", "223.255.255.255:80" }) {
    INFO(it);
    CHECK(IsUnicast(ParseEndpoint(it).value()));
  }
  CHECK_FALSE(IsUnicast({ "somewhere", 80 }));
}

} // namespace
} // namespace fighold
