#include "cluster.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fstream>

namespace fighold::testing {
namespace {

/// Processes started while it exists see a write beyond the limit on file sizes fail, as on a full
/// disk, and get no signal.
struct IgnoredFileSizeSignal
{
  IgnoredFileSizeSignal() { std::signal(SIGXFSZ, SIG_IGN); }
  ~IgnoredFileSizeSignal() { std::signal(SIGXFSZ, SIG_DFL); }
  IgnoredFileSizeSignal(const IgnoredFileSizeSignal&) = delete;
  IgnoredFileSizeSignal& operator=(const IgnoredFileSizeSignal&) = delete;
};

/// Three control processes and an entry.
struct ControlFixture
{
  Cluster mCluster;

  ControlFixture()
  {
    for (int n = 1; n <= 3; ++n) {
      mCluster.StartControl(n);
    }
    mCluster.StartEntry(1, "attiki");
    REQUIRE(Submit(1, { 1, 2, 3 }));
    REQUIRE(Cluster::Eventually([this] { return mCluster.IsReady(1); }));
  }

  /// Submits a plan until it is accepted and in force.
  bool Submit(int aNumber, const std::vector<int>& aControls)
  {
    const std::string sheet = mCluster.WriteSheet("sheet.csv", TestSheet(aNumber));
    return Cluster::Eventually([&] {
      return mCluster.Ctl(aControls, { "plan", "submit", sheet }).mCode == 0;
    });
  }

  /// @return number of the leader as a process sees it, 0 when it sees none
  int Leader(int aControl) const
  {
    const std::string text = mCluster.Ctl({ aControl }, { "status" }).mOutput;
    const std::string mark = "leader c";
    const std::size_t at = text.find(mark);
    return at == std::string::npos ? 0 : std::atoi(text.c_str() + at + mark.size());
  }

  /// @return leader that is one of these processes and that all of them see
  int AgreedLeader(const std::vector<int>& aControls) const
  {
    int leader = 0;
    Cluster::Eventually([&] {
      leader = Leader(aControls.front());
      return std::find(aControls.begin(), aControls.end(), leader) != aControls.end() &&
             std::all_of(aControls.begin(), aControls.end(), [&](int aControl) {
               return Leader(aControl) == leader;
             });
    });
    return leader;
  }

  static std::vector<int> Others(int aControl)
  {
    std::vector<int> others{ 1, 2, 3 };
    others.erase(std::find(others.begin(), others.end(), aControl));
    return others;
  }

  /// @return true when a process shows a plan number
  bool HasPlan(int aControl, int aNumber) const
  {
    const std::string text = mCluster.Ctl({ aControl }, { "status" }).mOutput;
    return text.find("plan " + std::to_string(aNumber) + ",") != std::string::npos;
  }
};

// Guards against a group that ends with its leader, and against an accepted plan that is lost.
TEST_CASE_METHOD(ControlFixture,
                 "Control, leader killed time after time, keeps every plan and accepts the next",
                 "[processes]")
{
  for (int plan = 2; plan <= 4; ++plan) {
    const int leader = AgreedLeader({ 1, 2, 3 });
    REQUIRE(leader != 0);
    const std::string name = "c" + std::to_string(leader);
    mCluster.Kill(name);
    REQUIRE(AgreedLeader(Others(leader)) != 0);
    CHECK(HasPlan(Others(leader).front(), plan - 1));
    CHECK(Submit(plan, Others(leader)));
    CHECK(Cluster::Eventually([this] { return mCluster.IsReady(1); }));
    mCluster.StartControl(leader);
    CHECK(Cluster::Eventually([&] { return HasPlan(leader, plan); }));
  }
}

// Guards against a group that forgets its log when all processes are killed at once.
TEST_CASE_METHOD(ControlFixture,
                 "Control, all processes killed and started again, keep the plan",
                 "[processes]")
{
  for (int n = 1; n <= 3; ++n) {
    mCluster.Kill("c" + std::to_string(n));
  }
  for (int n = 1; n <= 3; ++n) {
    mCluster.StartControl(n);
  }
  REQUIRE(AgreedLeader({ 1, 2, 3 }) != 0);
  CHECK(Cluster::Eventually([this] { return HasPlan(1, 1) && HasPlan(2, 1) && HasPlan(3, 1); }));
  CHECK(Submit(2, { 1, 2, 3 }));
}

// Guards against a second loss just after a repair: the process with the new disk must count.
TEST_CASE_METHOD(ControlFixture,
                 "Control, disk lost and then another process lost, goes on",
                 "[processes]")
{
  const int lost = AgreedLeader({ 1, 2, 3 });
  REQUIRE(lost != 0);
  mCluster.Kill("c" + std::to_string(lost));
  std::filesystem::remove_all(mCluster.Data(lost));
  REQUIRE(AgreedLeader(Others(lost)) != 0);
  const std::string name = "c" + std::to_string(lost);
  const std::size_t before = mCluster.Output(name).size();
  mCluster.StartControl(lost);
  // Its own log says when it has become a voter again.
  REQUIRE(Cluster::Eventually(
    [&] { return mCluster.Output(name).find("choice=follower", before) != std::string::npos; }));
  const int second = Others(lost).front();
  mCluster.Kill("c" + std::to_string(second));
  REQUIRE(AgreedLeader(Others(second)) != 0);
  CHECK(Submit(2, Others(second)));
}

// Guards against a damaged log that is cut off or ignored, which would forget accepted plans.
TEST_CASE_METHOD(ControlFixture,
                 "Control, log damaged before its end, refuses to start and the others go on",
                 "[processes]")
{
  mCluster.Kill("c3");
  const auto log = mCluster.Data(3) / "log";
  {
    std::fstream file(log, std::ios::binary | std::ios::in | std::ios::out);
    file.seekp(20);
    file.put('\x7f');
  }
  mCluster.StartControl(3);
  CHECK(mCluster.WaitForExit("c3") == 1);
  CHECK(mCluster.Output("c3").find("damaged record") != std::string::npos);
  CHECK(Submit(2, { 1, 2 }));
}

/// The group of ControlFixture, whose disks can be made full.
struct FullDiskFixture
  : IgnoredFileSizeSignal
  , ControlFixture
{};

// Guards against a full disk of one process that stops the others, or that the process goes on
// with.
TEST_CASE_METHOD(FullDiskFixture,
                 "Control, disk of one process full, ends that process and the others go on",
                 "[processes]")
{
  mCluster.LimitFileSize("c3", 1);
  CHECK(Submit(2, { 1, 2 }));
  // The limit holds for the process's output too, so only its exit code says why it ended: 1 is an
  // error of the storage, an exception that nothing catches would give 134.
  CHECK(mCluster.WaitForExit("c3") == 1);
  CHECK(Submit(3, { 1, 2 }));
  mCluster.StartControl(3);
  CHECK(Cluster::Eventually([this] { return HasPlan(3, 3); }));
}

} // namespace
} // namespace fighold::testing
