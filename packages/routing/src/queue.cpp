#include "fighold/routing/queue.hpp"

#include <algorithm>

namespace fighold::routing {
namespace {

bool
CanMeetDeadline(const WaitingRequest& aRequest, Instant aNow)
{
  return aNow + aRequest.mExpectedLatency <= aRequest.mDeadline;
}

} // namespace

std::size_t
CountWaiting(const Queue& aQueue, RequestClass aClass)
{
  const auto groups = aQueue.mWaiting.find(aClass);
  if (groups == aQueue.mWaiting.end()) {
    return 0;
  }
  std::size_t waiting = 0;
  for (const auto& [group, requests] : groups->second) {
    waiting += requests.size();
  }
  return waiting;
}

bool
IsEmpty(const Queue& aQueue)
{
  return std::all_of(aQueue.mWaiting.begin(), aQueue.mWaiting.end(), [&](const auto& aItem) {
    return CountWaiting(aQueue, aItem.first) == 0;
  });
}

RequestClass
EffectiveClass(RequestClass aClass,
               std::optional<std::chrono::minutes> aFinishBy,
               std::chrono::minutes aTimeOfDay)
{
  constexpr std::chrono::minutes kDay{ 24 * 60 };
  if (aClass != RequestClass::Deferred || !aFinishBy) {
    return aClass;
  }
  const auto left = (*aFinishBy - aTimeOfDay + kDay) % kDay;
  return left <= kPromotionLeadTime ? RequestClass::Standard : aClass;
}

bool
Enqueue(Queue& aQueue, const WaitingRequest& aRequest, Instant aNow)
{
  const bool full = CountWaiting(aQueue, aRequest.mClass) >= kMaxWaitingPerClass;
  if (full || !CanMeetDeadline(aRequest, aNow)) {
    return false;
  }
  aQueue.mWaiting[aRequest.mClass][aRequest.mGroup].push_back(aRequest);
  return true;
}

std::optional<WaitingRequest>
Dequeue(Queue& aQueue,
        const std::function<bool(const GroupKey&, RequestClass)>& aMayDispatch,
        Instant aNow)
{
  for (auto& [requestClass, groups] : aQueue.mWaiting) {
    std::deque<WaitingRequest>* oldest = nullptr;
    for (auto& [group, requests] : groups) {
      const bool waits = !requests.empty() && CanMeetDeadline(requests.front(), aNow);
      const bool older = oldest == nullptr || (waits && requests.front().mId < oldest->front().mId);
      if (waits && older && aMayDispatch(group, requestClass)) {
        oldest = &requests;
      }
    }
    if (oldest != nullptr) {
      const WaitingRequest next = oldest->front();
      oldest->pop_front();
      return next;
    }
  }
  return std::nullopt;
}

std::vector<WaitingRequest>
RemoveExpired(Queue& aQueue, Instant aNow)
{
  std::vector<WaitingRequest> expired;
  for (auto& [requestClass, groups] : aQueue.mWaiting) {
    for (auto& [group, requests] : groups) {
      for (const WaitingRequest& it : requests) {
        if (!CanMeetDeadline(it, aNow)) {
          expired.push_back(it);
        }
      }
      std::erase_if(requests,
                    [aNow](const WaitingRequest& aItem) { return !CanMeetDeadline(aItem, aNow); });
    }
  }
  return expired;
}

} // namespace fighold::routing
