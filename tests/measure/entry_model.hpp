#pragma once

#include "fighold/entry/decide.hpp"
#include "report.hpp"

/// The decisions of an entry, without threads or sockets.
namespace fighold::measure {

/// An entry's decisions with a lease and the configuration, without threads or sockets.
struct EntryModel
{
  entry::State mState;
  Instant mNow{ std::chrono::hours(1) };
  RequestId mNext = 1;

  explicit EntryModel(const membership::Configuration& aConfiguration)
  {
    entry::Options options;
    options.mId = { "e0" };
    options.mEntry = aConfiguration.mEntries.at(options.mId);
    options.mControls = { { "c1" } };
    mState = entry::MakeState(options, entry::LoadCharts(FIGHOLD_CHARTS_DIR));
  }

  /// @return seconds that the entry took to apply the configuration of the grant
  double Grant(const membership::Configuration& aConfiguration)
  {
    std::uint64_t ask = 0;
    for (const auto& it : entry::Step(mState, entry::Tick{}, mNow)) {
      if (const auto* send = std::get_if<entry::SendControl>(&it)) {
        ask = std::get<membership::LeaseRenewal>(send->mBody).mRequestNumber;
      }
    }
    membership::LeaseGrant grant;
    grant.mRequestNumber = ask;
    grant.mLength = membership::kConfigurationLease;
    grant.mVersion = aConfiguration.mVersion;
    grant.mConfiguration = SharedValue(aConfiguration);
    for (const auto& [id, server] : aConfiguration.mBackendServers) {
      grant.mBackendLeases.push_back({ id, server.mIncarnation, Millis(1900), 0 });
    }
    const Instant start = std::chrono::steady_clock::now();
    entry::Step(mState, entry::GrantReceived{ { "c1" }, std::move(grant) }, mNow);
    return SecondsSince(start);
  }

  bool LookUp(std::uint32_t aClient)
  {
    const auto effects =
      entry::Step(mState, entry::Lookup{ mNext++, { "vardia" }, {}, aClient }, mNow);
    const auto& reply = std::get<entry::Reply>(effects.back());
    return !std::get<entry::LookupAnswer>(reply.mAnswer).mEntries.empty();
  }

  /// Routes a request and takes its answer.
  bool Request(std::uint32_t aClient)
  {
    entry::CallerRequest request;
    request.mId = mNext++;
    request.mService = { "vardia" };
    request.mClient = aClient;
    const RequestId id = request.mId;
    for (auto& it : entry::Step(mState, std::move(request), mNow)) {
      if (const auto* dispatch = std::get_if<entry::Dispatch>(&it)) {
        entry::Step(mState,
                    entry::DispatchDone{
                      id, dispatch->mDispatchId, { net::ExchangeStage::Answered, {}, "" } },
                    mNow);
        return true;
      }
    }
    return false;
  }
};

} // namespace fighold::measure
