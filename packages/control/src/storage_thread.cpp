#include "threads.hpp"

namespace fighold::control {

void
StorageThread(Channels& aChannels,
              agreement::Storage aStorage,
              const std::function<void(const std::string&)>& aOnFatal)
{
  while (!aChannels.mWrites.Finished()) {
    const auto write =
      aChannels.mWrites.PopUntil(std::chrono::steady_clock::now() + std::chrono::hours(1));
    if (!write) {
      continue;
    }
    try {
      agreement::PerformWrite(aStorage, *write);
    } catch (const agreement::StorageError& error) {
      aOnFatal(error.what());
      break;
    }
    aChannels.mInbox.TryPush(Stored{ write->mWrite });
  }
  agreement::CloseStorage(aStorage);
}

} // namespace fighold::control
