#include "fighold/wire/codec.hpp"

#include "fighold/core/text.hpp"
#include "fighold/plan/sheet.hpp"
#include "messages.pb.h"
#include "text_check.hpp"

#include <catch2/catch.hpp>
#include <google/protobuf/stubs/logging.h>
#include <google/protobuf/wrappers.pb.h>
#include <rapidcheck/catch.h>

#include <fstream>
#include <functional>
#include <iterator>
#include <set>

namespace fighold::wire {
namespace {

using namespace membership;

/// A message of the agreement in its envelope.
Envelope
Agreed(agreement::Body aBody)
{
  return { "c1", 1, agreement::Message{ 3, 4, std::move(aBody) } };
}

/// A route set with a value in every member.
routes::RouteSet
MakeRoutes()
{
  routes::RouteSet set;
  set.mNumber = 12;
  set.mServices[{ "vardia" }] = { "/up", 330, "h1", true, Millis(3000), 3.8 };
  set.mHosts = { "patrol.example", "empty.example" };
  routes::Route route;
  route.mName = "r1";
  route.mHost = "patrol.example";
  route.mPathPrefix = "/shifts/";
  route.mRepeatable = true;
  route.mTimeout = Millis(1500);
  route.mTargetLatency = Millis(600);
  route.mPriority = 2;
  route.mWeighted = true;
  route.mServices = { { { "vardia" }, 90.5 } };
  route.mAttempts = 2;
  route.mAffinity = true;
  route.mAllowedRegions = { { "kriti" } };
  set.mRoutes["r1"] = route;
  set.mLimits = { 1000, 2000, Millis(3000), Millis(4000) };
  return set;
}

routes::RoutePatch
MakePatch()
{
  const routes::RouteSet set = MakeRoutes();
  routes::RoutePatch patch;
  patch.mNumber = 13;
  patch.mServices = set.mServices;
  patch.mHosts = set.mHosts;
  patch.mRoutes = set.mRoutes;
  patch.mLimits = { set.mLimits };
  patch.mRemovedRoutes = { "r2" };
  patch.mRemovedServices = { { "old" } };
  return patch;
}

using google::protobuf::Descriptor;
using google::protobuf::FieldDescriptor;
using google::protobuf::Message;

/// Fields from the outermost message to a text in it.
using TextPath = std::vector<const FieldDescriptor*>;

/// Calls a function for each text of a message and of the messages in it.
void
VisitTexts(const Descriptor* aMessage,
           const TextPath& aPrefix,
           const std::function<void(const TextPath&)>& aFunction)
{
  for (int n = 0; n < aMessage->field_count(); ++n) {
    TextPath path = aPrefix;
    path.push_back(aMessage->field(n));
    if (path.back()->cpp_type() == FieldDescriptor::CPPTYPE_STRING) {
      aFunction(path);
    } else if (path.back()->cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE) {
      VisitTexts(path.back()->message_type(), path, aFunction);
    }
  }
}

/// Replaces everything in a message by one text.
void
SetText(Message& aMessage, const TextPath& aPath, const std::string& aText)
{
  aMessage.Clear();
  Message* message = &aMessage;
  for (const FieldDescriptor* it : aPath) {
    const auto* reflection = message->GetReflection();
    const bool isText = it->cpp_type() == FieldDescriptor::CPPTYPE_STRING;
    if (isText && it->is_repeated()) {
      reflection->AddString(message, it, aText);
    } else if (isText) {
      reflection->SetString(message, it, aText);
    } else {
      message = it->is_repeated() ? reflection->AddMessage(message, it)
                                  : reflection->MutableMessage(message, it);
    }
  }
}

void
CheckNoStrings(const Descriptor& aMessage)
{
  for (int n = 0; n < aMessage.field_count(); ++n) {
    INFO(aMessage.field(n)->full_name());
    CHECK(aMessage.field(n)->type() != FieldDescriptor::TYPE_STRING);
  }
  for (int n = 0; n < aMessage.nested_type_count(); ++n) {
    CheckNoStrings(*aMessage.nested_type(n));
  }
}

/// Checks a condition for identifiers of any two bytes with different ends, and for random ones.
void
CheckIdentifiers(const std::function<bool(const std::string&)>& aAgree)
{
  constexpr int kBytes = 256;
  for (int lead = 0; lead < kBytes; ++lead) {
    for (int second = 0; second < kBytes; ++second) {
      const std::string two{ static_cast<char>(lead), static_cast<char>(second) };
      for (const std::string tail : { "", "\x80", "\x80\x80", "\xBF\xBF", "\x7F\x80" }) {
        REQUIRE(aAgree(two + tail));
      }
    }
  }
  rc::prop("any bytes", [&aAgree](const std::string& aId) { RC_ASSERT(aAgree(aId)); });
}

struct CodecFixture
{
  Configuration mConfiguration;

  CodecFixture()
  {
    std::ifstream file(FIGHOLD_EXAMPLES_DIR "/lykavittos/sheet.csv");
    const std::string text{ std::istreambuf_iterator<char>(file),
                            std::istreambuf_iterator<char>() };
    const auto plan = SharedValue(*plan::ParseSheet(text, "sheet").mValue);
    const std::vector<ChangeBody> bodies{
      SubmitPlan{ "", plan },
      RegisterEntry{ { "e1" }, Entry{ 3, { "127.0.0.1", 80 }, { "attiki" }, { "attiki-a" }, 0 } },
      AnnounceBackendServer{
        { "s1" },
        BackendServer{
          5, { "vardia" }, { "attiki" }, { "attiki-a" }, { "127.0.0.1", 81 }, 6, 330, false } },
      DepartBackendServer{ { "s1" }, 5 },
      WithdrawBackendServer{ { "s2" }, 7 },
      SetDrain{ DrainKind::Region, "kriti", true },
      SetDrain{ DrainKind::DataCentre, "kriti-a", true },
      SubmitRoutes{ 0, SharedValue(MakeRoutes()) },
    };
    for (const ChangeBody& it : bodies) {
      const Version version = mConfiguration.mVersion + 1;
      mConfiguration =
        *Apply(mConfiguration, Change{ { "c" + std::to_string(version) }, it }, version)
           .mConfiguration;
    }
  }

  std::vector<Envelope> Envelopes() const
  {
    LeaseGrant grant{
      4, Millis(1500), 5, SharedValue(mConfiguration), { { { "s1" }, 5, Millis(900), 2 } }, 20
    };
    Configuration sent = mConfiguration;
    sent.mAnswers.clear();
    sent.mHistory.clear();
    sent.mWithdrawn.clear();
    grant.mConfiguration = SharedValue(sent);
    return {
      { "e1",
        3,
        LeaseRenewal{ 9,
                      { "e1" },
                      mConfiguration.mEntries.at({ "e1" }),
                      5,
                      true,
                      { { { "s1" }, 5, Millis(7), 1 } },
                      { 17, Millis(250) },
                      6 } },
      { "c1", 1, grant },
      { "e1", 3, ChangeRequest{ 2, Change{ { "x" }, RemoveBackendServer{ { "s1" }, 5 } } } },
      { "c1", 1, ChangeReply{ 2, ChangeAnswer{ Verdict::Conflict, 8, 12, "digest", "message" } } },
      { "c2",
        1,
        ControlLeaseRenewal{
          3, 8, { { { "e1" }, { 3, 5, Millis(20), 4 } } }, {}, { 18, Millis(251) } } },
      { "c1",
        1,
        ControlLeaseGrant{ 3, Millis(1800), 5, 4, { { { "s1" }, 5, Millis(900), 2 } }, 19 } },
      Agreed(agreement::VoteRequest{ 3, true, 2, 1, 9 }),
      Agreed(agreement::VoteReply{ 3, true, true }),
      Agreed(agreement::AppendEntries{
        1, 2, 1, 2, 7, { { 3, 1, "payload" }, { 4, 1, "", agreement::EntryKind::Empty } } }),
      Agreed(agreement::AppendEntriesReply{ 1, true, 3, 7 }),
      Agreed(agreement::SnapshotChunk{ 1, 2, 3, 1, "members", 4, 9, "bytes" }),
      Agreed(agreement::SnapshotChunkReply{ 1, 2, 3, 4 }),
      Agreed(agreement::BootstrapProbe{}),
      Agreed(agreement::BootstrapProbeReply{ 5, true }),
      Agreed(agreement::ForwardedProposal{ "payload" }),
      { "e1", 3, claims::ClaimRequest{ "vardia/k", "digest", { { "e1" }, 3, 9 } } },
      { "c1",
        1,
        claims::ClaimReply{
          { { "e1" }, 3, 9 },
          claims::ReplyCode::Answered,
          { { "e2" }, 4, 1 },
          claims::StoredResponse{ 201, { { "X", "y" } }, std::string("a\0\xff", 3) } } },
      { "e1", 3, claims::AttemptResult{ "vardia/k", { { "e1" }, 3, 9 }, true, std::nullopt } },
      { "c1", 1, claims::CopyRequest{ 7, "vardia/k" } },
      { "e1",
        3,
        routing::ShareReport{
          8,
          { { "e1" }, 3 },
          { 4,
            { 2, 5 },
            true,
            { { { routing::LimitKind::Link, { "a" }, { "b" }, {} }, { 9, 1 } } } } } },
      { "c1",
        1,
        routing::ShareAnswer{
          8,
          { { 2, 6 },
            true,
            { { { routing::LimitKind::Service, { "a" }, {}, { "s" } }, { 3, 20 } } } } } },
      { "c2",
        1,
        claims::CopyPage{ 7,
                          "vardia/k",
                          true,
                          { { "l", "digest", claims::Attempt{ { "e1" }, 3, 9 }, Millis(5) },
                            { "m", "digest", std::nullopt, Millis(6) } } } },
    };
  }
};

TEST_CASE_METHOD(CodecFixture,
                 "DecodeEnvelope, every kind of message, gives the encoded value",
                 "[wire]")
{
  for (const Envelope& it : Envelopes()) {
    CHECK(DecodeEnvelope(EncodeEnvelope(it)) == it);
  }
}

TEST_CASE_METHOD(CodecFixture,
                 "DecodeConfiguration, with plan, members and answers, gives the encoded value",
                 "[wire]")
{
  CHECK(DecodeConfiguration(EncodeConfiguration(mConfiguration)) == mConfiguration);
}

// Guards against a process that dies from a damaged or forged message.
TEST_CASE_METHOD(CodecFixture,
                 "DecodeEnvelope, cut or changed bytes, gives a value or nothing",
                 "[wire]")
{
  rc::prop("never throws", [this]() {
    const auto envelopes = Envelopes();
    std::string bytes =
      EncodeEnvelope(envelopes[*rc::gen::inRange<std::size_t>(0, envelopes.size())]);
    bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size()));
    if (!bytes.empty()) {
      bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
    }
    (void)DecodeEnvelope(bytes);
    (void)DecodeChange(bytes);
    (void)DecodeConfiguration(bytes);
  });
}

// Guards against a route set that reaches other processes changed, and a patch of which a part is
// lost.
TEST_CASE_METHOD(CodecFixture,
                 "DecodeChange, route set and patch, are as they were encoded",
                 "[wire]")
{
  const std::vector<ChangeBody> bodies{ SubmitRoutes{ 7, SharedValue(MakeRoutes()) },
                                        PatchRoutes{ 12, SharedValue(MakePatch()) } };
  for (const ChangeBody& it : bodies) {
    const Change change{ { "c" }, it };
    CHECK(DecodeChange(EncodeChange(change)) == change);
  }
}

// Guards against an entry that loses its route set, or gets it again with each new configuration.
TEST_CASE_METHOD(CodecFixture,
                 "DecodeEnvelope, grant to a holder of the route set, leaves it out",
                 "[wire]")
{
  LeaseGrant grant;
  grant.mConfiguration = SharedValue(mConfiguration);
  grant.mSameRoutes = true;
  grant.mControls = { { "10.0.0.1:7100" } };
  ConfigurationDelta delta;
  delta.mFrom = 3;
  delta.mChanged.mVersion = 4;
  delta.mChanged.mBackendServers = mConfiguration.mBackendServers;
  delta.mRemovedEntries = { { "e9" } };
  delta.mRemovedServers = { { "s9" } };
  delta.mForgotten = { { "s8" } };
  delta.mRoutes = MakePatch();
  grant.mDelta = SharedValue(delta);
  const auto decoded = DecodeEnvelope(EncodeEnvelope({ "c1", 1, grant }));
  REQUIRE(decoded);
  const auto& received = std::get<LeaseGrant>(decoded->mBody);
  CHECK((*received.mConfiguration)->mRoutes->mNumber == 0);
  CHECK(received.mSameRoutes);
  CHECK(received.mDelta == grant.mDelta);
  CHECK(received.mControls == grant.mControls);
}

// Guards against a process that cannot join because its question or the answer is lost on the way.
TEST_CASE_METHOD(CodecFixture,
                 "DecodeEnvelope, messages of joining, are as they were encoded",
                 "[wire]")
{
  for (const Envelope& it : { Agreed(agreement::JoinRequest{}),
                              Agreed(agreement::JoinReply{ { { "10.0.0.1:7100" } } }) }) {
    CHECK(DecodeEnvelope(EncodeEnvelope(it)) == it);
  }
}

// Guards against text that a front codec takes and the decoders of the other processes refuse.
TEST_CASE_METHOD(CodecFixture,
                 "DecodeChange, identifier of any bytes, is readable exactly if it is UTF-8",
                 "[wire]")
{
  const auto agree = [](const std::string& aId) {
    const std::string bytes = EncodeChange({ {}, DepartBackendServer{ { aId }, 1 } });
    const bool readable = IsUtf8(aId);
    return DecodeChange(bytes).has_value() == readable && IsWellFormedChange(bytes) == readable;
  };
  CheckIdentifiers(agree);
}

// Guards against records that this version skips and earlier versions apply, or the other way
// round: they left the check to the library, which makes it for fields of type string.
TEST_CASE_METHOD(
  CodecFixture,
  "DecodeChange, identifier of any bytes, is readable exactly if earlier versions read it",
  "[wire]")
{
  const google::protobuf::LogSilencer silencer; // a line for each identifier that it refuses
  const auto agree = [](const std::string& aId) {
    google::protobuf::StringValue value;
    value.set_value(aId);
    const bool readable =
      google::protobuf::StringValue().ParseFromString(value.SerializeAsString());
    return DecodeChange(EncodeChange({ {}, DepartBackendServer{ { aId }, 1 } })).has_value() ==
           readable;
  };
  CheckIdentifiers(agree);
}

// Guards against a text of a record that is not checked, so that processes of different versions
// disagree on the record.
TEST_CASE_METHOD(CodecFixture,
                 "HoldsOnlyUtf8, one malformed text anywhere in a change, is false",
                 "[wire]")
{
  std::set<std::string> checked;
  VisitTexts(pb::Change::descriptor(), {}, [&checked](const TextPath& aPath) {
    pb::Change change;
    SetText(change, aPath, "text");
    CHECK(detail::HoldsOnlyUtf8(change));
    SetText(change, aPath, "\xFF");
    CHECK_FALSE(detail::HoldsOnlyUtf8(change));
    checked.insert(aPath.back()->full_name());
  });
  CHECK(checked.count("fighold.wire.pb.Change.AnnounceBackendServer.id") == 1);
  CHECK(checked.count("fighold.wire.pb.Route.Part.service") == 1);
  CHECK(checked.count("fighold.wire.pb.Route.allowed_regions") == 1);
}

// Guards against a message or a snapshot that the library refuses because of one text in it.
TEST_CASE_METHOD(CodecFixture,
                 "Messages, all fields, leave no text to the library's check",
                 "[wire]")
{
  const auto* file = pb::Change::descriptor()->file();
  for (int n = 0; n < file->message_type_count(); ++n) {
    CheckNoStrings(*file->message_type(n));
  }
}

// Guards against a process that cannot start from its snapshot, or an entry without any
// configuration, because of one text.
TEST_CASE_METHOD(CodecFixture,
                 "DecodeConfiguration, text that is not UTF-8, gives the encoded value",
                 "[wire]")
{
  mConfiguration.mEntries[{ "e\xFF" }] = mConfiguration.mEntries.at({ "e1" });
  mConfiguration.mBackendServers[{ "s\xFE" }] = mConfiguration.mBackendServers.at({ "s1" });
  CHECK(DecodeConfiguration(EncodeConfiguration(mConfiguration)) == mConfiguration);
}

// Guards against members of a configuration that are lost between this version and earlier ones,
// whose messages have maps.
TEST_CASE_METHOD(CodecFixture,
                 "DecodeConfiguration, entries as maps of earlier versions, gives them",
                 "[wire]")
{
  using namespace std::string_literals;
  const std::string map = "\x08\x05\x1A\x08\x0A\x02"
                          "e1\x12\x02\x08\x03"s;
  const auto decoded = DecodeConfiguration(map);
  REQUIRE(decoded);
  Configuration expected;
  expected.mVersion = 5;
  expected.mEntries[{ "e1" }].mIncarnation = 3;
  CHECK(*decoded == expected);
}

// Guards against a record of a later version that passes for damaged bytes and is skipped.
TEST_CASE_METHOD(CodecFixture, "IsWellFormedChange, record of an unknown kind, is true", "[wire]")
{
  const std::string unknown = "\xA2\x06\x01x"; // field 100
  CHECK_FALSE(DecodeChange(unknown));
  CHECK(IsWellFormedChange(unknown));
  CHECK_FALSE(IsWellFormedChange(unknown.substr(0, 3)));
}

} // namespace
} // namespace fighold::wire
