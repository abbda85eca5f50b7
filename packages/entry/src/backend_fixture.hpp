#pragma once

#include "threads.hpp"

#include <catch2/catch.hpp>

#include <functional>
#include <string>
#include <thread>
#include <utility>

namespace fighold::entry {

constexpr std::chrono::seconds kTimeout{ 30 };

inline void
Sleep(int aMillis)
{
  std::this_thread::sleep_for(Millis(aMillis));
}

/// @param aId identifier that the answer names; empty for none
/// @param aHeaders further header lines
inline std::string
AnswerText(const std::string& aId,
           const std::string& aHeaders = "",
           const std::string& aBody = "",
           const std::string& aStatus = "200 OK")
{
  return "HTTP/1.1 " + aStatus + "\r\n" +
         (aId.empty() ? "" : "Fighold-Request-Id: " + aId + "\r\n") + aHeaders +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

/// The backend thread with its rings; the test stands in for the decide thread.
struct BackendFixture
{
  Channels mChannels;
  Backend mBackend;
  std::thread mThread{ [this] { mBackend.Run(); } };
  std::uint64_t mNext = 1;

  explicit BackendFixture(const net::ClientOptions& aClient = {},
                          BackendCodec aCodec = NativeBackendCodec(),
                          Millis aFollowTime = BackendOptions{}.mFollowTime)
    : mBackend(mChannels,
               LoadConnectionChart(FIGHOLD_CHARTS_DIR),
               { std::move(aCodec), aClient, aFollowTime })
  {
  }

  ~BackendFixture()
  {
    mChannels.mDispatches.Close();
    mThread.join();
  }

  static Instant In(Millis aTime) { return std::chrono::steady_clock::now() + aTime; }

  Dispatch MakeDispatch(const Endpoint& aAddress, Millis aDeadline, Millis aFirstByte)
  {
    Dispatch dispatch;
    dispatch.mId = mNext;
    dispatch.mDispatchId = mNext++;
    dispatch.mServer.mAddress = aAddress;
    dispatch.mExchangeDeadline = In(aDeadline);
    dispatch.mFirstByteDeadline = In(aFirstByte);
    dispatch.mConnectionShare = 8;
    return dispatch;
  }

  void Push(const Dispatch& aDispatch)
  {
    REQUIRE(mChannels.mDispatches.TryPush(BackendCommand(aDispatch)));
  }

  DispatchDone Pop(Duration aLimit = kTimeout)
  {
    auto event = mChannels.mInbox.PopUntil(std::chrono::steady_clock::now() + aLimit);
    REQUIRE(event);
    return std::get<DispatchDone>(*event);
  }

  net::ExchangeResult Run(const Dispatch& aDispatch)
  {
    Push(aDispatch);
    return Pop().mResult;
  }

  static bool Eventually(const std::function<bool()>& aCondition)
  {
    const Instant until = std::chrono::steady_clock::now() + kTimeout;
    while (!aCondition() && std::chrono::steady_clock::now() < until) {
      Sleep(5);
    }
    return aCondition();
  }
};

} // namespace fighold::entry
