#include "fighold/plan/csv.hpp"
#include "fighold/plan/sheet.hpp"
#include "sheet_rows.hpp"

namespace fighold::plan {
namespace {

using detail::FormatPercent;

/// Collects rows of a sheet as text.
struct Writer
{
  std::string mText;

  void Row(const std::vector<std::string>& aCells) { mText += FormatCsvRow(aCells) + "\n"; }
};

void
WriteRegions(const Plan& aPlan, Writer& aWriter)
{
  for (const auto& [region, capacity] : aPlan.mRegions) {
    aWriter.Row({ "region_capacity", "", region.mValue, "", std::to_string(capacity), "requests" });
  }
  for (const auto& [link, limit] : aPlan.mLinks) {
    aWriter.Row(
      { "link_capacity", "", link.mFrom.mValue, link.mTo.mValue, std::to_string(limit), "Mbit/s" });
  }
}

void
WriteService(const ServiceId& aId, const Service& aService, Writer& aWriter)
{
  const std::string& name = aId.mValue;
  aWriter.Row({ "service_class", name, "", "", std::string(ToText(aService.mClass)), "class" });
  aWriter.Row(
    { "service_deadline", name, "", "", std::to_string(aService.mDeadline.count()), "ms" });
  aWriter.Row(
    { "service_repeat", name, "", "", aService.mRepeatable ? "always" : "safe-only", "rule" });
  aWriter.Row(
    { "service_response", name, "", "", std::to_string(aService.mResponseKibibytes), "KiB" });
  if (aService.mFinishBy) {
    aWriter.Row(
      { "service_finish", name, "", "", detail::FormatTimeOfDay(*aService.mFinishBy), "time" });
  }
  for (const auto& [region, part] : aService.mRegionShares) {
    aWriter.Row({ "service_share", name, region.mValue, "", FormatPercent(part), "percent" });
  }
}

void
WriteSplits(const Plan& aPlan, Writer& aWriter)
{
  for (const auto& [service, matrix] : aPlan.mSplits) {
    for (const auto& [origin, row] : matrix) {
      for (const auto& [target, part] : row) {
        aWriter.Row({ "split",
                      service.mValue,
                      origin.mValue,
                      target.mValue,
                      FormatPercent(part),
                      "percent" });
      }
    }
  }
}

} // namespace

std::string
FormatSheet(const Plan& aPlan)
{
  Writer writer;
  writer.Row({ "item", "service", "region", "target", "value", "unit" });
  writer.Row({ "plan", "", "", "", std::to_string(aPlan.mNumber), "number" });
  writer.Row({ "shift_cap", "", "", "", FormatPercent(aPlan.mShiftCap), "percent" });
  writer.Row({ "shift_interval", "", "", "", std::to_string(aPlan.mShiftInterval.count()), "s" });
  writer.Row({ "max_entries", "", "", "", std::to_string(aPlan.mMaxEntries), "entries" });
  WriteRegions(aPlan, writer);
  for (const auto& [id, service] : aPlan.mServices) {
    WriteService(id, service, writer);
  }
  WriteSplits(aPlan, writer);
  for (const ClientBlock& it : aPlan.mClientBlocks) {
    writer.Row(
      { "client_block", "", it.mRegion.mValue, "", detail::FormatClientBlock(it), "block" });
  }
  for (const BackendServerId& it : aPlan.mLeaving) {
    writer.Row({ "leaving", "", "", "", it.mValue, "backend_server" });
  }
  for (const RegionId& it : aPlan.mDrainedRegions) {
    writer.Row({ "drain_region", "", it.mValue, "", "", "" });
  }
  return writer.mText;
}

} // namespace fighold::plan
