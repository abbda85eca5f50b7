#include "threads.hpp"

namespace fighold::control {

void
StorageThread(Wiring& aWiring,
              agreement::Storage aStorage,
              const std::function<void(const std::string&)>& aOnFatal)
{
  while (!aWiring.mWrites.Finished()) {
    const auto write =
      aWiring.mWrites.PopUntil(std::chrono::steady_clock::now() + std::chrono::hours(1));
    if (!write) {
      continue;
    }
    try {
      agreement::PerformWrite(aStorage, *write);
    } catch (const agreement::StorageError& error) {
      aOnFatal(error.what());
      break;
    }
    aWiring.mInbox.TryPush(Stored{ write->mWrite });
  }
  agreement::CloseStorage(aStorage);
}

} // namespace fighold::control
