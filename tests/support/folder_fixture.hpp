#pragma once

#include <catch2/catch.hpp>

#include <cstdlib>
#include <filesystem>
#include <string>

namespace fighold::testing {

/// An empty folder that goes with the test.
struct FolderFixture
{
  std::filesystem::path mFolder;

  FolderFixture()
  {
    std::string name = (std::filesystem::temp_directory_path() / "fighold-test-XXXXXX").string();
    REQUIRE(mkdtemp(name.data()) != nullptr);
    mFolder = name;
  }
  ~FolderFixture() { std::filesystem::remove_all(mFolder); }
  FolderFixture(const FolderFixture&) = delete;
  FolderFixture& operator=(const FolderFixture&) = delete;
};

} // namespace fighold::testing
