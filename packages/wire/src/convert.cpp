#include "convert.hpp"
#include "route_convert.hpp"

#include "fighold/plan/sheet.hpp"

namespace fighold::wire::detail {
namespace {

using namespace membership;

pb::Endpoint
EndpointToPb(const Endpoint& aEndpoint)
{
  pb::Endpoint out;
  out.set_host(aEndpoint.mHost);
  out.set_port(aEndpoint.mPort);
  return out;
}

Endpoint
EndpointFromPb(const pb::Endpoint& aEndpoint)
{
  return { aEndpoint.host(), static_cast<std::uint16_t>(aEndpoint.port()) };
}

pb::BackendServer
ServerToPb(const BackendServer& aServer)
{
  pb::BackendServer out;
  out.set_incarnation(aServer.mIncarnation);
  out.set_service(aServer.mService.mValue);
  out.set_region(aServer.mRegion.mValue);
  out.set_data_centre(aServer.mDataCentre.mValue);
  *out.mutable_address() = EndpointToPb(aServer.mAddress);
  out.set_slots(aServer.mSlots);
  out.set_connections(aServer.mConnections);
  out.set_leaving(aServer.mLeaving);
  return out;
}

BackendServer
ServerFromPb(const pb::BackendServer& aServer)
{
  BackendServer out;
  out.mIncarnation = aServer.incarnation();
  out.mService = { aServer.service() };
  out.mRegion = { aServer.region() };
  out.mDataCentre = { aServer.data_centre() };
  out.mAddress = EndpointFromPb(aServer.address());
  out.mSlots = aServer.slots();
  out.mConnections = aServer.connections();
  out.mLeaving = aServer.leaving();
  return out;
}

pb::Shift
ShiftToPb(const Shift& aShift)
{
  pb::Shift out;
  out.set_step(aShift.mStep);
  for (const auto& [origin, row] : aShift.mInUse) {
    for (const auto& [target, part] : row) {
      auto* it = out.add_parts();
      it->set_origin(origin.mValue);
      it->set_target(target.mValue);
      it->set_basis_points(part);
    }
  }
  return out;
}

Shift
ShiftFromPb(const pb::Shift& aShift)
{
  Shift out;
  out.mStep = aShift.step();
  for (const auto& it : aShift.parts()) {
    out.mInUse[{ it.origin() }][{ it.target() }] = it.basis_points();
  }
  return out;
}

/// A plan travels as its sheet, so that there is one format and one set of checks.
std::optional<SharedValue<plan::Plan>>
PlanFromSheet(const std::string& aSheet)
{
  auto checked = plan::ParseSheet(aSheet, "message");
  if (!checked.mValue) {
    return std::nullopt;
  }
  return SharedValue(std::move(*checked.mValue));
}

pb::Incarnated
IncarnatedToPb(const std::string& aId, Incarnation aIncarnation)
{
  pb::Incarnated out;
  out.set_id(aId);
  out.set_incarnation(aIncarnation);
  return out;
}

void
SetBody(const SubmitPlan& aBody, pb::Change& aOut)
{
  aOut.mutable_submit_plan()->set_base_digest(aBody.mBaseDigest);
  aOut.mutable_submit_plan()->set_sheet(plan::FormatSheet(*aBody.mPlan));
}

void
SetBody(const RegisterEntry& aBody, pb::Change& aOut)
{
  aOut.mutable_register_entry()->set_id(aBody.mId.mValue);
  *aOut.mutable_register_entry()->mutable_entry() = ToPb(aBody.mEntry);
}

void
SetBody(const RemoveEntry& aBody, pb::Change& aOut)
{
  *aOut.mutable_remove_entry() = IncarnatedToPb(aBody.mId.mValue, aBody.mIncarnation);
}

void
SetBody(const AnnounceBackendServer& aBody, pb::Change& aOut)
{
  aOut.mutable_announce_backend_server()->set_id(aBody.mId.mValue);
  *aOut.mutable_announce_backend_server()->mutable_server() = ServerToPb(aBody.mServer);
  aOut.mutable_announce_backend_server()->set_replaces(aBody.mReplaces);
}

void
SetBody(const DepartBackendServer& aBody, pb::Change& aOut)
{
  *aOut.mutable_depart_backend_server() = IncarnatedToPb(aBody.mId.mValue, aBody.mIncarnation);
}

void
SetBody(const RemoveBackendServer& aBody, pb::Change& aOut)
{
  *aOut.mutable_remove_backend_server() = IncarnatedToPb(aBody.mId.mValue, aBody.mIncarnation);
}

void
SetBody(const ForgetDeparted& aBody, pb::Change& aOut)
{
  *aOut.mutable_forget_departed() = IncarnatedToPb(aBody.mId.mValue, aBody.mIncarnation);
}

void
SetBody(const WithdrawBackendServer& aBody, pb::Change& aOut)
{
  *aOut.mutable_withdraw_backend_server() = IncarnatedToPb(aBody.mId.mValue, aBody.mLatest);
}

void
SetBody(const SetDrain& aBody, pb::Change& aOut)
{
  aOut.mutable_set_drain()->set_kind(static_cast<std::uint32_t>(aBody.mKind));
  aOut.mutable_set_drain()->set_name(aBody.mName);
  aOut.mutable_set_drain()->set_on(aBody.mDrained);
}

void
SetBody(const TakeShiftStep& aBody, pb::Change& aOut)
{
  aOut.mutable_take_shift_step()->set_service(aBody.mService.mValue);
  *aOut.mutable_take_shift_step()->mutable_shift() = ShiftToPb(aBody.mShift);
}

void
SetBody(const SubmitRoutes& aBody, pb::Change& aOut)
{
  aOut.mutable_submit_routes()->set_base(aBody.mBase);
  *aOut.mutable_submit_routes()->mutable_routes() = RoutesToPb(*aBody.mRoutes);
}

void
SetBody(const PatchRoutes& aBody, pb::Change& aOut)
{
  aOut.mutable_patch_routes()->set_base(aBody.mBase);
  *aOut.mutable_patch_routes()->mutable_patch() = PatchToPb(*aBody.mPatch);
}

std::optional<ChangeBody>
BodyFromPb(const pb::Change& aChange)
{
  switch (aChange.body_case()) {
    case pb::Change::kSubmitPlan: {
      const auto plan = PlanFromSheet(aChange.submit_plan().sheet());
      return plan
               ? std::optional<ChangeBody>(SubmitPlan{ aChange.submit_plan().base_digest(), *plan })
               : std::nullopt;
    }
    case pb::Change::kRegisterEntry:
      return RegisterEntry{ { aChange.register_entry().id() },
                            FromPb(aChange.register_entry().entry()) };
    case pb::Change::kRemoveEntry:
      return RemoveEntry{ { aChange.remove_entry().id() }, aChange.remove_entry().incarnation() };
    case pb::Change::kAnnounceBackendServer:
      return AnnounceBackendServer{ { aChange.announce_backend_server().id() },
                                    ServerFromPb(aChange.announce_backend_server().server()),
                                    aChange.announce_backend_server().replaces() };
    case pb::Change::kDepartBackendServer:
      return DepartBackendServer{ { aChange.depart_backend_server().id() },
                                  aChange.depart_backend_server().incarnation() };
    case pb::Change::kRemoveBackendServer:
      return RemoveBackendServer{ { aChange.remove_backend_server().id() },
                                  aChange.remove_backend_server().incarnation() };
    case pb::Change::kSetDrain:
      if (aChange.set_drain().kind() > static_cast<std::uint32_t>(DrainKind::DataCentre)) {
        return std::nullopt;
      }
      return SetDrain{ static_cast<DrainKind>(aChange.set_drain().kind()),
                       aChange.set_drain().name(),
                       aChange.set_drain().on() };
    case pb::Change::kTakeShiftStep:
      return TakeShiftStep{ { aChange.take_shift_step().service() },
                            ShiftFromPb(aChange.take_shift_step().shift()) };
    case pb::Change::kForgetDeparted:
      return ForgetDeparted{ { aChange.forget_departed().id() },
                             aChange.forget_departed().incarnation() };
    case pb::Change::kWithdrawBackendServer:
      return WithdrawBackendServer{ { aChange.withdraw_backend_server().id() },
                                    aChange.withdraw_backend_server().incarnation() };
    case pb::Change::kSubmitRoutes:
      return SubmitRoutes{ aChange.submit_routes().base(),
                           RoutesFromPb(aChange.submit_routes().routes()) };
    case pb::Change::kPatchRoutes:
      return PatchRoutes{ aChange.patch_routes().base(),
                          PatchFromPb(aChange.patch_routes().patch()) };
    case pb::Change::BODY_NOT_SET:
      break;
  }
  return std::nullopt;
}

} // namespace

pb::Entry
ToPb(const Entry& aEntry)
{
  pb::Entry out;
  out.set_incarnation(aEntry.mIncarnation);
  *out.mutable_address() = EndpointToPb(aEntry.mAddress);
  out.set_region(aEntry.mRegion.mValue);
  out.set_data_centre(aEntry.mDataCentre.mValue);
  out.set_registered_at(aEntry.mRegisteredAt);
  out.set_leaving(aEntry.mLeaving);
  return out;
}

Entry
FromPb(const pb::Entry& aEntry)
{
  Entry out;
  out.mIncarnation = aEntry.incarnation();
  out.mAddress = EndpointFromPb(aEntry.address());
  out.mRegion = { aEntry.region() };
  out.mDataCentre = { aEntry.data_centre() };
  out.mRegisteredAt = aEntry.registered_at();
  out.mLeaving = aEntry.leaving();
  return out;
}

pb::ChangeAnswer
ToPb(const ChangeAnswer& aAnswer)
{
  pb::ChangeAnswer out;
  out.set_verdict(static_cast<std::uint32_t>(aAnswer.mVerdict));
  out.set_version(aAnswer.mVersion);
  out.set_plan_number(aAnswer.mPlanNumber);
  out.set_plan_digest(aAnswer.mPlanDigest);
  out.set_message(aAnswer.mMessage);
  return out;
}

std::optional<ChangeAnswer>
FromPb(const pb::ChangeAnswer& aAnswer)
{
  if (aAnswer.verdict() > static_cast<std::uint32_t>(Verdict::Refused)) {
    return std::nullopt;
  }
  return ChangeAnswer{ static_cast<Verdict>(aAnswer.verdict()),
                       aAnswer.version(),
                       aAnswer.plan_number(),
                       aAnswer.plan_digest(),
                       aAnswer.message() };
}

pb::Configuration
ToPb(const Configuration& aConfiguration, Answers aAnswers, Routes aRoutes)
{
  pb::Configuration out;
  out.set_version(aConfiguration.mVersion);
  if (aConfiguration.mPlan->mNumber != 0) {
    out.set_sheet(plan::FormatSheet(*aConfiguration.mPlan));
  }
  for (const auto& [id, entry] : aConfiguration.mEntries) {
    auto* keyed = out.add_entries();
    keyed->set_key(id.mValue);
    *keyed->mutable_value() = ToPb(entry);
  }
  for (const auto& [id, server] : aConfiguration.mBackendServers) {
    auto* keyed = out.add_backend_servers();
    keyed->set_key(id.mValue);
    *keyed->mutable_value() = ServerToPb(server);
  }
  for (const auto& [id, shift] : aConfiguration.mShifts) {
    auto* keyed = out.add_shifts();
    keyed->set_key(id.mValue);
    *keyed->mutable_value() = ShiftToPb(shift);
  }
  for (const auto& it : aConfiguration.mDrains.mBackendServers) {
    out.add_drained_backend_servers(it.mValue);
  }
  for (const auto& it : aConfiguration.mDrains.mEntries) {
    out.add_drained_entries(it.mValue);
  }
  for (const auto& it : aConfiguration.mDrains.mRegions) {
    out.add_drained_regions(it.mValue);
  }
  for (const auto& it : aConfiguration.mDrains.mDataCentres) {
    out.add_drained_data_centres(it.mValue);
  }
  if (aRoutes == Routes::Include && aConfiguration.mRoutes->mNumber != 0) {
    *out.mutable_routes() = RoutesToPb(*aConfiguration.mRoutes);
  }
  for (const auto& [id, incarnations] : aConfiguration.mDeparted) {
    for (const Incarnation it : incarnations) {
      *out.add_departed() = IncarnatedToPb(id.mValue, it);
    }
  }
  if (aAnswers == Answers::Include) {
    for (const auto& [id, answer] : aConfiguration.mAnswers) {
      auto* keyed = out.add_answers();
      keyed->set_key(id.mValue);
      *keyed->mutable_value() = ToPb(answer);
    }
    for (const auto& [id, latest] : aConfiguration.mWithdrawn) {
      *out.add_withdrawn() = IncarnatedToPb(id.mValue, latest);
    }
    for (const auto& it : aConfiguration.mHistory) {
      auto* record = out.add_history();
      record->set_number(it.mNumber);
      record->set_digest(it.mDigest);
      record->set_version(it.mVersion);
      record->set_change(it.mChange.mValue);
    }
  }
  return out;
}

std::optional<Configuration>
FromPb(const pb::Configuration& aConfiguration)
{
  Configuration out;
  out.mVersion = aConfiguration.version();
  if (!aConfiguration.sheet().empty()) {
    const auto plan = PlanFromSheet(aConfiguration.sheet());
    if (!plan) {
      return std::nullopt;
    }
    out.mPlan = *plan;
    out.mPlanDigest = plan::Digest(**plan);
  }
  for (const auto& it : aConfiguration.entries()) {
    out.mEntries[{ it.key() }] = FromPb(it.value());
  }
  for (const auto& it : aConfiguration.backend_servers()) {
    out.mBackendServers[{ it.key() }] = ServerFromPb(it.value());
  }
  for (const auto& it : aConfiguration.shifts()) {
    out.mShifts[{ it.key() }] = ShiftFromPb(it.value());
  }
  for (const auto& it : aConfiguration.drained_backend_servers()) {
    out.mDrains.mBackendServers.insert({ it });
  }
  for (const auto& it : aConfiguration.drained_entries()) {
    out.mDrains.mEntries.insert({ it });
  }
  for (const auto& it : aConfiguration.drained_regions()) {
    out.mDrains.mRegions.insert({ it });
  }
  for (const auto& it : aConfiguration.drained_data_centres()) {
    out.mDrains.mDataCentres.insert({ it });
  }
  if (aConfiguration.has_routes()) {
    out.mRoutes = RoutesFromPb(aConfiguration.routes());
  }
  for (const auto& it : aConfiguration.answers()) {
    const auto value = FromPb(it.value());
    if (!value) {
      return std::nullopt;
    }
    out.mAnswers[{ it.key() }] = *value;
  }
  for (const auto& it : aConfiguration.departed()) {
    out.mDeparted[{ it.id() }].insert(it.incarnation());
  }
  for (const auto& it : aConfiguration.withdrawn()) {
    out.mWithdrawn[{ it.id() }] = it.incarnation();
  }
  for (const auto& it : aConfiguration.history()) {
    out.mHistory.push_back({ it.number(), it.digest(), it.version(), { it.change() } });
  }
  return out;
}

pb::ConfigurationDelta
ToPb(const ConfigurationDelta& aDelta)
{
  pb::ConfigurationDelta out;
  out.set_from(aDelta.mFrom);
  *out.mutable_changed() = ToPb(aDelta.mChanged, Answers::LeaveOut, Routes::LeaveOut);
  for (const auto& it : aDelta.mRemovedEntries) {
    out.add_removed_entries(it.mValue);
  }
  for (const auto& it : aDelta.mRemovedServers) {
    out.add_removed_servers(it.mValue);
  }
  for (const auto& it : aDelta.mForgotten) {
    out.add_forgotten(it.mValue);
  }
  if (aDelta.mRoutes) {
    *out.mutable_routes() = PatchToPb(*aDelta.mRoutes);
  }
  return out;
}

std::optional<ConfigurationDelta>
FromPb(const pb::ConfigurationDelta& aDelta)
{
  auto changed = FromPb(aDelta.changed());
  if (!changed) {
    return std::nullopt;
  }
  ConfigurationDelta out;
  out.mFrom = aDelta.from();
  out.mChanged = std::move(*changed);
  for (const auto& it : aDelta.removed_entries()) {
    out.mRemovedEntries.insert({ it });
  }
  for (const auto& it : aDelta.removed_servers()) {
    out.mRemovedServers.insert({ it });
  }
  for (const auto& it : aDelta.forgotten()) {
    out.mForgotten.insert({ it });
  }
  if (aDelta.has_routes()) {
    out.mRoutes = *PatchFromPb(aDelta.routes());
  }
  return out;
}

pb::Change
ToPb(const Change& aChange)
{
  pb::Change out;
  out.set_id(aChange.mId.mValue);
  std::visit([&out](const auto& aBody) { SetBody(aBody, out); }, aChange.mBody);
  return out;
}

std::optional<Change>
FromPb(const pb::Change& aChange)
{
  auto body = BodyFromPb(aChange);
  if (!body) {
    return std::nullopt;
  }
  return Change{ { aChange.id() }, std::move(*body) };
}

} // namespace fighold::wire::detail
