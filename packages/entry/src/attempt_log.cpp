#include "attempt_log.hpp"

namespace fighold::entry {

bool
IsNotable(const DispatchDone& aDone)
{
  return aDone.mResult.mStage != net::ExchangeStage::Answered ||
         aDone.mMeaning != AnswerMeaning::Result || aDone.mResult.mPassedOver > 0;
}

std::vector<Field>
AttemptFields(const DispatchDone& aDone)
{
  const net::ExchangeResult& result = aDone.mResult;
  std::vector<Field> fields{ { "attempt_server", aDone.mServer.mId.mValue },
                             { "connection", std::to_string(aDone.mExchange.mConnection) },
                             { "exchange", std::to_string(aDone.mExchange.mOrdinal) } };
  if (result.mStage == net::ExchangeStage::Answered) {
    fields.push_back({ "server_status", std::to_string(result.mResponse.mStatus) });
  }
  if (!result.mError.empty()) {
    fields.push_back({ "error", result.mError });
  }
  if (result.mPassedOver > 0) {
    fields.push_back({ "passed_over", std::to_string(result.mPassedOver) });
  }
  return fields;
}

} // namespace fighold::entry
