#include "fighold/control/route_json.hpp"

#include "fighold/core/text.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace fighold::control {
namespace {

namespace json = boost::json;

constexpr double kMillisPerSecond = 1000;

/// Maximum time in ms; a day.
constexpr double kMaxMs = 86'400'000;

/// Smallest limit on the size of a header; a smaller one refuses ordinary requests.
constexpr std::uint64_t kMinHeaderBytes = 256;

/// Largest difference to a whole number that counts as a rounding error of the sender, for example
/// in a time that was multiplied by a factor.
constexpr double kRoundingError = 1e-6;

/// Longest path in bytes.
constexpr std::size_t kMaxPathBytes = 1024;

/// @return true if a text can be part of the path of a request as it stands
bool
IsPath(const std::string& aText)
{
  return !aText.empty() && aText.size() <= kMaxPathBytes && aText.front() == '/' &&
         std::all_of(aText.begin(), aText.end(), [](char aChar) {
           return aChar > ' ' && aChar <= '~' && aChar != '#';
         });
}

/// Reads JSON members and collects findings.
struct Reader
{
  const RouteNames& mNames;
  Findings mFindings{};

  void AddFinding(const std::string& aPath, const std::string& aMessage)
  {
    mFindings.push_back({ Place{ aPath, 0, 0 }, aMessage });
  }

  const json::value* Find(const json::object& aObject, const std::string& aName) const
  {
    return aObject.if_contains(aName);
  }

  std::string Text(const json::object& aObject,
                   const std::string& aPath,
                   const std::string& aName,
                   const std::string& aDefault)
  {
    const auto* it = Find(aObject, aName);
    if (it == nullptr) {
      return aDefault;
    }
    if (!it->is_string()) {
      AddFinding(aPath + "." + aName, "must be text");
      return aDefault;
    }
    return std::string(it->as_string().data(), it->as_string().size());
  }

  /// @return identifier; with a finding if it is missing or no identifier
  std::string Identifier(const json::object& aObject,
                         const std::string& aPath,
                         const std::string& aName)
  {
    std::string text = Text(aObject, aPath, aName, "");
    if (!IsIdentifier(text)) {
      AddFinding(aPath + "." + aName,
                 "must be printable text without spaces, of 1 to " +
                   std::to_string(kMaxIdentifierBytes) + " bytes");
    }
    return text;
  }

  std::string Path(const json::object& aObject,
                   const std::string& aPath,
                   const std::string& aName,
                   const std::string& aDefault)
  {
    std::string text = Text(aObject, aPath, aName, aDefault);
    if (!IsPath(text)) {
      AddFinding(aPath + "." + aName, "must be a path that begins with a slash");
    }
    return text;
  }

  bool Flag(const json::object& aObject,
            const std::string& aPath,
            const std::string& aName,
            bool aDefault)
  {
    const auto* it = Find(aObject, aName);
    if (it != nullptr && !it->is_bool()) {
      AddFinding(aPath + "." + aName, "must be true or false");
    }
    return it != nullptr && it->is_bool() ? it->as_bool() : aDefault;
  }

  double Number(const json::object& aObject,
                const std::string& aPath,
                const std::string& aName,
                double aDefault,
                double aLargest)
  {
    const auto* it = Find(aObject, aName);
    if (it == nullptr) {
      return aDefault;
    }
    const double value = it->is_number() ? it->to_number<double>() : std::nan("");
    if (!std::isfinite(value) || value < 0 || value > aLargest) {
      AddFinding(aPath + "." + aName, "must be a number from 0 to " + std::to_string(aLargest));
      return aDefault;
    }
    return value;
  }

  /// @return whole number; a fraction would be read back as another number than was sent
  std::uint64_t Whole(const json::object& aObject,
                      const std::string& aPath,
                      const std::string& aName,
                      std::uint64_t aDefault,
                      double aLargest)
  {
    const double value = Number(aObject, aPath, aName, static_cast<double>(aDefault), aLargest);
    const double whole = std::round(value);
    if (std::abs(value - whole) > kRoundingError) {
      AddFinding(aPath + "." + aName, "must be a whole number");
    }
    return static_cast<std::uint64_t>(whole);
  }

  Millis Time(const json::object& aObject,
              const std::string& aPath,
              const std::string& aName,
              Millis aDefault)
  {
    const auto number =
      Whole(aObject, aPath, aName, static_cast<std::uint64_t>(aDefault.count()), kMaxMs);
    return Millis(static_cast<std::int64_t>(number));
  }

  /// @return number of a route set, written as 12 or with the dialect's prefix, such as "r12"
  std::uint64_t SetNumber(const json::object& aObject, const std::string& aName)
  {
    const auto* it = Find(aObject, aName);
    if (it == nullptr) {
      AddFinding(aName, "is missing");
      return 0;
    }
    if (it->is_number()) {
      json::error_code ec;
      const auto whole = it->to_number<std::uint64_t>(ec);
      if (ec) {
        AddFinding(aName, "must be a whole number");
      }
      return ec ? 0 : whole;
    }
    std::string text = Text(aObject, "", aName, "");
    if (text.rfind(mNames.mNumberPrefix, 0) == 0) {
      text.erase(0, mNames.mNumberPrefix.size());
    }
    std::uint64_t number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
      AddFinding(aName, "is no number of a route set");
    }
    return number;
  }

  /// Calls a function for each item of a list.
  template<typename Function>
  void Each(const json::object& aObject,
            const std::string& aPath,
            const std::string& aName,
            const Function& aFunction)
  {
    const auto* list = Find(aObject, aName);
    if (list == nullptr) {
      return;
    }
    const std::string path = aPath + "." + aName;
    if (!list->is_array()) {
      AddFinding(path, "must be a list");
      return;
    }
    std::size_t n = 0;
    for (const auto& it : list->as_array()) {
      aFunction(it, path + "[" + std::to_string(n++) + "]");
    }
  }

  template<typename Function>
  void EachObject(const json::object& aObject,
                  const std::string& aPath,
                  const std::string& aName,
                  const Function& aFunction)
  {
    Each(aObject, aPath, aName, [&](const json::value& aValue, const std::string& aItemPath) {
      if (aValue.is_object()) {
        aFunction(aValue.as_object(), aItemPath);
      } else {
        AddFinding(aItemPath, "must be an object");
      }
    });
  }

  template<typename Function>
  void EachText(const json::object& aObject,
                const std::string& aPath,
                const std::string& aName,
                const Function& aFunction)
  {
    Each(aObject, aPath, aName, [&](const json::value& aValue, const std::string& aItemPath) {
      if (aValue.is_string()) {
        aFunction(std::string(aValue.as_string().data(), aValue.as_string().size()));
      } else {
        AddFinding(aItemPath, "must be text");
      }
    });
  }

  routes::ServiceSettings Service(const json::object& aObject, const std::string& aPath)
  {
    routes::ServiceSettings out;
    out.mHealthPath = Path(aObject, aPath, mNames.mHealthPath, out.mHealthPath);
    constexpr double kLargestCount = 1e9;
    out.mMaxConnections =
      static_cast<std::uint32_t>(Whole(aObject, aPath, mNames.mMaxConnections, 0, kLargestCount));
    out.mProtocol = Text(aObject, aPath, mNames.mProtocol, out.mProtocol);
    out.mTls = Flag(aObject, aPath, mNames.mTls, false);
    const double warmUp =
      Number(aObject, aPath, mNames.mWarmUpSeconds, 0, kMaxMs / kMillisPerSecond);
    out.mWarmUp = Millis(std::llround(warmUp * kMillisPerSecond));
    out.mWarmUpPerSecond = Number(aObject, aPath, mNames.mWarmUpPerSecond, 0, kLargestCount);
    return out;
  }

  void ReadServices(routes::Route& aRoute, const json::object& aObject, const std::string& aPath)
  {
    aRoute.mWeighted = Find(aObject, mNames.mParts) != nullptr;
    if (!aRoute.mWeighted) {
      const std::string service = Text(aObject, aPath, mNames.mService, "");
      aRoute.mServices.push_back({ { service }, 1 });
      return;
    }
    if (Find(aObject, mNames.mService) != nullptr) {
      AddFinding(aPath + "." + mNames.mService, "must not stand beside " + mNames.mParts);
    }
    EachObject(
      aObject, aPath, mNames.mParts, [&](const json::object& aPart, const std::string& aPartPath) {
        constexpr double kLargestWeight = 1e9;
        aRoute.mServices.push_back({ { Text(aPart, aPartPath, mNames.mService, "") },
                                     Number(aPart, aPartPath, mNames.mWeight, 1, kLargestWeight) });
      });
  }

  routes::Route ReadRoute(const json::object& aObject,
                          const std::string& aPath,
                          const std::string& aHost)
  {
    routes::Route out;
    out.mName = Identifier(aObject, aPath, mNames.mName);
    out.mHost = aHost;
    out.mPathPrefix = Path(aObject, aPath, mNames.mPathPrefix, "");
    if (out.mPathPrefix.find('?') != std::string::npos) {
      AddFinding(aPath + "." + mNames.mPathPrefix, "must not contain a query");
    }
    const std::string kind = Text(aObject, aPath, mNames.mKind, "");
    out.mRepeatable = kind == mNames.mRepeatable;
    if (!out.mRepeatable && kind != mNames.mOnce) {
      AddFinding(aPath + "." + mNames.mKind, "\"" + kind + "\" is no kind of route");
    }
    out.mTimeout = Time(aObject, aPath, mNames.mTimeoutMs, out.mTimeout);
    out.mTargetLatency = Time(aObject, aPath, mNames.mTargetLatencyMs, out.mTargetLatency);
    constexpr double kLargestRank = 1e6;
    out.mPriority =
      static_cast<std::uint32_t>(Whole(aObject, aPath, mNames.mPriority, 0, kLargestRank));
    ReadServices(out, aObject, aPath);
    out.mAttempts =
      static_cast<std::uint32_t>(Whole(aObject, aPath, mNames.mAttempts, 1, kLargestRank));
    out.mAffinity = Flag(aObject, aPath, mNames.mAffinity, false);
    EachText(aObject, aPath, mNames.mAllowedRegions, [&](const std::string& aRegion) {
      out.mAllowedRegions.insert({ aRegion });
    });
    return out;
  }

  routes::CallerLimits Limits(const json::object& aObject, const std::string& aPath)
  {
    routes::CallerLimits out;
    constexpr double kLargestBytes = 1e12;
    const auto bytes = [&](const std::string& aName, std::uint64_t aDefault) {
      return Whole(aObject, aPath, aName, aDefault, kLargestBytes);
    };
    out.mMaxHeaderBytes = bytes(mNames.mMaxHeaderBytes, out.mMaxHeaderBytes);
    out.mMaxBodyBytes = bytes(mNames.mMaxBodyBytes, out.mMaxBodyBytes);
    out.mHeaderTimeout = Time(aObject, aPath, mNames.mHeaderTimeoutMs, out.mHeaderTimeout);
    out.mIdleTimeout = Time(aObject, aPath, mNames.mIdleTimeoutMs, out.mIdleTimeout);
    if (out.mMaxHeaderBytes < kMinHeaderBytes) {
      AddFinding(aPath + "." + mNames.mMaxHeaderBytes,
                 "must be at least " + std::to_string(kMinHeaderBytes));
    }
    if (out.mHeaderTimeout == Millis(0) || out.mIdleTimeout == Millis(0)) {
      AddFinding(aPath, "a time limit must be above 0");
    }
    return out;
  }

  /// Reads the services and hosts of a route set or of a patch.
  template<typename Value>
  void ReadItems(const json::object& aObject, const std::string& aPath, Value& aOut)
  {
    EachObject(aObject,
               aPath,
               mNames.mServices,
               [&](const json::object& aItem, const std::string& aItemPath) {
                 const ServiceId id{ Identifier(aItem, aItemPath, mNames.mName) };
                 if (!aOut.mServices.emplace(id, Service(aItem, aItemPath)).second) {
                   AddFinding(aItemPath, "\"" + id.mValue + "\" stands twice");
                 }
               });
    EachObject(
      aObject, aPath, mNames.mHosts, [&](const json::object& aItem, const std::string& aItemPath) {
        const std::string host = Identifier(aItem, aItemPath, mNames.mHost);
        aOut.mHosts.insert(host);
        EachObject(aItem,
                   aItemPath,
                   mNames.mRoutes,
                   [&](const json::object& aRoute, const std::string& aRoutePath) {
                     routes::Route route = ReadRoute(aRoute, aRoutePath, host);
                     const std::string name = route.mName;
                     if (!aOut.mRoutes.emplace(name, std::move(route)).second) {
                       AddFinding(aRoutePath, "\"" + name + "\" stands twice");
                     }
                   });
      });
  }
};

/// @return root object; nothing, with a finding, if there is none
std::optional<json::object>
ParseRoot(const std::string& aJson, Reader& aReader)
{
  json::error_code ec;
  auto value = json::parse(aJson, ec);
  if (ec || !value.is_object()) {
    aReader.AddFinding("body", ec ? "is not JSON: " + ec.message() : "must be an object");
    return std::nullopt;
  }
  return std::move(value.as_object());
}

} // namespace

Checked<membership::SubmitRoutes>
ReadRouteSet(const std::string& aJson, const RouteNames& aNames)
{
  Reader reader{ aNames };
  routes::RouteSet set;
  std::uint64_t base = 0;
  if (const auto root = ParseRoot(aJson, reader)) {
    set.mNumber = reader.SetNumber(*root, aNames.mNumber);
    base = reader.Find(*root, aNames.mBase) == nullptr ? 0 : reader.SetNumber(*root, aNames.mBase);
    reader.ReadItems(*root, "", set);
    if (const auto* limits = reader.Find(*root, aNames.mLimits)) {
      if (limits->is_object()) {
        set.mLimits = reader.Limits(limits->as_object(), aNames.mLimits);
      } else {
        reader.AddFinding(aNames.mLimits, "must be an object");
      }
    }
  }
  if (!reader.mFindings.empty()) {
    return { std::nullopt, reader.mFindings };
  }
  return { membership::SubmitRoutes{ base, SharedValue(std::move(set)) }, {} };
}

Checked<membership::PatchRoutes>
ReadRoutePatch(const std::string& aJson, const RouteNames& aNames)
{
  Reader reader{ aNames };
  routes::RoutePatch patch;
  std::uint64_t base = 0;
  if (const auto root = ParseRoot(aJson, reader)) {
    patch.mNumber = reader.SetNumber(*root, aNames.mNumber);
    base = reader.SetNumber(*root, aNames.mBase);
    for (const std::string& section : { aNames.mUpsert, aNames.mRemove }) {
      const auto* it = reader.Find(*root, section);
      if (it != nullptr && !it->is_object()) {
        reader.AddFinding(section, "must be an object");
      }
    }
    const auto* upsert = reader.Find(*root, aNames.mUpsert);
    if (upsert != nullptr && upsert->is_object()) {
      reader.ReadItems(upsert->as_object(), aNames.mUpsert, patch);
      const auto* limits = reader.Find(upsert->as_object(), aNames.mLimits);
      if (limits != nullptr && limits->is_object()) {
        patch.mLimits.push_back(reader.Limits(limits->as_object(), aNames.mLimits));
      } else if (limits != nullptr) {
        reader.AddFinding(aNames.mUpsert + "." + aNames.mLimits, "must be an object");
      }
    }
    const auto* remove = reader.Find(*root, aNames.mRemove);
    if (remove != nullptr && remove->is_object()) {
      reader.EachText(remove->as_object(),
                      aNames.mRemove,
                      aNames.mRemovedRoutes,
                      [&](const std::string& aName) { patch.mRemovedRoutes.insert(aName); });
      reader.EachText(remove->as_object(),
                      aNames.mRemove,
                      aNames.mServices,
                      [&](const std::string& aName) { patch.mRemovedServices.insert({ aName }); });
    }
  }
  if (!reader.mFindings.empty()) {
    return { std::nullopt, reader.mFindings };
  }
  return { membership::PatchRoutes{ base, SharedValue(std::move(patch)) }, {} };
}

} // namespace fighold::control
