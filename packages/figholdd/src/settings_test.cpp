#include "fighold/figholdd/settings.hpp"

#include <catch2/catch.hpp>

namespace fighold::figholdd {
namespace {

struct SettingsFixture
{
  Settings mSettings;

  SettingsFixture()
  {
    mSettings.mRole = "entry";
    mSettings.mId = "e1";
    mSettings.mRegion = "attiki";
    mSettings.mDataCentre = "attiki-a";
    mSettings.mListen = "127.0.0.1:0";
    mSettings.mControls = "c1=127.0.0.1:7001,c2=127.0.0.1:7002";
    mSettings.mCharts = "charts";
    mSettings.mInsecure = true;
  }

  std::string Text() const { return FormatFindings(CheckSettings(mSettings, 1).mFindings); }
};

TEST_CASE_METHOD(SettingsFixture,
                 "CheckSettings, whole entry settings, has no findings",
                 "[figholdd]")
{
  CHECK(Text().empty());
}

// Guards against an operator who mends one flag at a time.
TEST_CASE_METHOD(SettingsFixture,
                 "CheckSettings, several flags wrong, names every one",
                 "[figholdd]")
{
  mSettings.mListen = "localhost";
  mSettings.mRegion = "";
  mSettings.mControls = "c1=127.0.0.1:7001,c1=127.0.0.1:7002,x";
  mSettings.mLookupTimeToLiveMs = 0;
  mSettings.mHeartbeatMs = 0;
  mSettings.mColdBurstFactor = 0.5;
  mSettings.mColdBurstSlack = -1;
  const std::string text = Text();
  CHECK(text.find("--listen: expected an IPv4 address") != std::string::npos);
  CHECK(text.find("--region: must be set") != std::string::npos);
  CHECK(text.find("--controls: \"c1\" is named twice") != std::string::npos);
  CHECK(text.find("--controls: expected id=address:port, found \"x\"") != std::string::npos);
  CHECK(text.find("--lookup_ttl_ms: must be from 1 to 60000, is 0") != std::string::npos);
  CHECK(text.find("--heartbeat_ms: must be from 1 to 60000, is 0") != std::string::npos);
  CHECK(text.find("--cold_burst_factor: must be from 1") != std::string::npos);
  CHECK(text.find("--cold_burst_slack: must be from 0") != std::string::npos);
}

// Guards against requests and answers that together take more memory than the VM has.
TEST_CASE_METHOD(SettingsFixture,
                 "CheckSettings, memory for messages, is as set or part of the VM's",
                 "[figholdd]")
{
  const auto memory = [this] {
    return std::get<entry::DaemonOptions>(*CheckSettings(mSettings, 1).mValue).mMessageMemory;
  };
  CHECK(memory() > 0);
  CHECK(memory() <= net::kDefaultMessageMemory);
  mSettings.mMessageMemoryMb = 100;
  CHECK(memory() == 100U << 20U);
  mSettings.mMessageMemoryMb = -1;
  CHECK(Text().find("--message_memory_mb: must be from 0") == 0);
}

// Guards against a process whose messages no other process can read.
TEST_CASE_METHOD(SettingsFixture,
                 "CheckSettings, names that are not printable, are refused",
                 "[figholdd]")
{
  mSettings.mId = "e\xFF";
  mSettings.mRegion = "att iki";
  mSettings.mDataCentre = "attiki\n";
  const std::string text = Text();
  for (const std::string it : { "--id", "--region", "--data_centre" }) {
    CHECK(text.find(it + ": must be printable text") != std::string::npos);
  }
}

TEST_CASE_METHOD(SettingsFixture,
                 "CheckSettings, control that its own list does not name, is refused",
                 "[figholdd]")
{
  mSettings.mRole = "control";
  mSettings.mId = "c3";
  mSettings.mMessageListen = "127.0.0.1:7003";
  mSettings.mData = "data";
  CHECK(Text() == "--controls: does not name this process, \"c3\"\n");
}

// Guards against a daemon that runs without keys because a flag was forgotten.
TEST_CASE_METHOD(SettingsFixture,
                 "CheckSettings, neither keys nor insecure, is refused",
                 "[figholdd]")
{
  mSettings.mInsecure = false;
  CHECK(Text().find("--key_file: must be set together with --peer_keys") == 0);
  mSettings.mKeyFile = "/nonexistent/key";
  mSettings.mPeerKeys = "/nonexistent";
  const std::string text = Text();
  CHECK(text.find("--key_file: /nonexistent/key: cannot be read") != std::string::npos);
  CHECK(text.find("--peer_keys: /nonexistent: cannot be read") != std::string::npos);
}

// Guards against a drain that goes on when requests are already refused because of the stop.
TEST_CASE_METHOD(SettingsFixture,
                 "CheckSettings, drain and time of a stop, have to fit each other",
                 "[figholdd]")
{
  mSettings.mStopGraceS = 6;
  mSettings.mLongestDrainMs = 2400;
  CHECK(Text().empty());
  mSettings.mLongestDrainMs = 2401;
  CHECK(Text() == "--longest_drain_ms: must be at most 0.4 of --stop_grace_s, is 2401\n");
  mSettings.mLongestDrainMs = 1;
  mSettings.mStopGraceS = 0.5;
  CHECK(Text().find("--stop_grace_s: must be from 1") == 0);
}

TEST_CASE_METHOD(SettingsFixture, "CheckSettings, insecure with keys, is refused", "[figholdd]")
{
  mSettings.mKeyFile = "key";
  CHECK(Text() == "--insecure: excludes --key_file and --peer_keys\n");
}

} // namespace
} // namespace fighold::figholdd
