#include "fighold/wire/key_file.hpp"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <fstream>
#include <sys/stat.h>

namespace fighold::wire {
namespace {

struct KeyFileFixture
{
  std::filesystem::path mFolder;

  KeyFileFixture()
  {
    std::string name = (std::filesystem::temp_directory_path() / "fighold-keys-XXXXXX").string();
    REQUIRE(::mkdtemp(name.data()) != nullptr);
    mFolder = name;
  }
  ~KeyFileFixture() { std::filesystem::remove_all(mFolder); }
  KeyFileFixture(const KeyFileFixture&) = delete;
  KeyFileFixture& operator=(const KeyFileFixture&) = delete;
};

TEST_CASE_METHOD(KeyFileFixture, "NewKeyFiles, new file, can be read again", "[wire]")
{
  CHECK(NewKeyFiles(mFolder / "c1").empty());
  const auto keys = ReadKeyFile(mFolder / "c1");
  REQUIRE(keys.mValue.has_value());
  CHECK(ReadPeerKeys(mFolder).mValue == PeerKeys{ { "c1", keys.mValue->mPublic } });
}

// Guards against keys of a running daemon that are replaced by mistake.
TEST_CASE_METHOD(KeyFileFixture, "NewKeyFiles, file exists, leaves it as it is", "[wire]")
{
  REQUIRE(NewKeyFiles(mFolder / "c1").empty());
  const auto before = ReadKeyFile(mFolder / "c1");
  CHECK(NewKeyFiles(mFolder / "c1").size() == 1);
  CHECK(ReadKeyFile(mFolder / "c1").mValue == before.mValue);
}

TEST_CASE_METHOD(KeyFileFixture, "ReadKeyFile, others can read the file, is refused", "[wire]")
{
  REQUIRE(NewKeyFiles(mFolder / "c1").empty());
  for (const mode_t it : { 0640U, 0604U, 0620U }) {
    REQUIRE(::chmod((mFolder / "c1").c_str(), it) == 0);
    const auto keys = ReadKeyFile(mFolder / "c1");
    CHECK_FALSE(keys.mValue.has_value());
    CHECK(keys.mFindings[0].mMessage == "may be read by its owner only (chmod 600)");
  }
}

TEST_CASE_METHOD(KeyFileFixture, "ReadKeyFile, malformed or missing keys, is refused", "[wire]")
{
  CHECK(ReadKeyFile(mFolder / "none").mFindings[0].mMessage == "cannot be read");
  for (const std::string text : { "", "public", "public short\nsecret short\n" }) {
    std::ofstream(mFolder / "k") << text;
    REQUIRE(::chmod((mFolder / "k").c_str(), 0600) == 0);
    CHECK_FALSE(ReadKeyFile(mFolder / "k").mValue.has_value());
  }
}

TEST_CASE_METHOD(KeyFileFixture, "ReadPeerKeys, one file holds no key, names it", "[wire]")
{
  REQUIRE(NewKeyFiles(mFolder / "c1").empty());
  std::ofstream(mFolder / "c2.pub") << "public nonsense\n";
  const auto keys = ReadPeerKeys(mFolder);
  CHECK_FALSE(keys.mValue.has_value());
  CHECK(keys.mFindings ==
        Findings{ { { (mFolder / "c2.pub").string(), 0, 0 }, "holds no public key" } });
}

} // namespace
} // namespace fighold::wire
