#include "dragonflymoor/Steering/Manifest.h"
#include "dragonflymoor/Steering/Directory.h"
#include "dragonflymoor/Steering/PeerMessages.h"
#include "dragonflymoor/Steering/SplitChooser.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <map>
#include <rapidcheck.h>

namespace {

using namespace dfm;

std::shared_ptr<const RouteIndex>
Index(std::vector<Route> aRoutes)
{
  auto manifest = std::make_shared<Manifest>();
  manifest->routes = std::move(aRoutes);
  return std::make_shared<const RouteIndex>(manifest);
}

/// Guards against matching a shorter prefix or a route of another host.
Test(RouteIndex, FindsTheLongestPrefixOfTheHost)
{
  const auto index = Index({ { .name = "all", .host = "a.example", .pathPrefix = "/" },
                             { .name = "one", .host = "a.example", .pathPrefix = "/one/" },
                             { .name = "two", .host = "A.example", .pathPrefix = "/one/two/" },
                             { .name = "other", .host = "b.example", .pathPrefix = "/one/" } });
  struct Case
  {
    const char* host;
    const char* path;
    const char* route; ///< Empty: none.
  };
  static const Case kCases[] = {
    { "a.example", "/x", "all" },
    { "a.example", "/one/x", "one" },
    { "a.example", "/one/two/x", "two" },
    { "a.example", "/one", "all" },
    { "a.example:8080", "/one/x", "one" },
    { "A.EXAMPLE", "/one/two/", "two" },
    { "b.example", "/x", "" },
    { "c.example", "/one/x", "" },
  };
  for (const Case& routeCase : kCases) {
    const Route* route = index->Find(routeCase.host, routeCase.path);
    const std::string found = route == nullptr ? "" : route->name;
    cr_assert(found == routeCase.route);
  }
}

/// Guards against a part of a split that gets more or fewer requests than its weight.
Test(SplitChooser, GivesEachPartItsWeight)
{
  const bool holds = rc::check("random weights", [] {
    const auto weights =
      *rc::gen::nonEmpty(rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 100)));
    Route route{ .name = "r" };
    double total = 0;
    for (size_t i = 0; i < weights.size(); ++i) {
      route.parts.push_back({ .service = ServiceId("s" + std::to_string(i)),
                              .weight = static_cast<double>(weights[i]) });
      total += weights[i];
    }
    SplitChooser chooser;
    std::map<ServiceId, int> counts;
    constexpr int kRequests = 500;
    for (int i = 0; i < kRequests; ++i)
      ++counts[chooser.Choose(route)];
    for (const SplitPart& part : route.parts)
      RC_ASSERT(std::abs(counts[part.service] - kRequests * part.weight / total) <=
                static_cast<double>(weights.size()));
  });
  cr_assert(holds);
}

/// Guards against sending callers to a VM of another region although their own has one, or to a VM
/// outside the route's home regions.
Test(Directory, NamesVmsOfTheRegionOrOfTheHomes)
{
  FleetView view;
  view.routes = Index({ { .name = "r",
                          .host = "home.example",
                          .pathPrefix = "/",
                          .homeRegions = { RegionId("east") } } });
  const auto add = [&view](const char* aRegion, uint16_t aPort) {
    view.usableVms.push_back({ .region = RegionId(aRegion), .callers = { "10.0.0.1", aPort } });
  };
  add("north", 1);
  add("north", 2);
  add("east", 3);
  add("west", 4);
  Random random(1);
  const auto ports = [&](const char* aHost, const char* aRegion, size_t aMaxVms) {
    std::set<uint16_t> result;
    for (const Endpoint& vm :
         ResolveVms(view, { .host = aHost, .region = RegionId(aRegion) }, aMaxVms, random))
      result.insert(vm.port);
    return result;
  };
  const std::set<uint16_t> ownRegion{ 1, 2 };
  const std::set<uint16_t> homeRegion{ 3 };
  cr_assert(ports("any.example", "north", 64) == ownRegion);
  cr_assert(ports("home.example", "south", 64) == homeRegion);
  cr_assert(ports("any.example", "south", 64).size() == 4);
  cr_assert(ports("any.example", "south", 2).size() == 2);
}

/// Guards against fields lost in encoding, and against malformed bytes that decode as a message or
/// crash the decoder.
Test(PeerMessages, RoundTripAndRejectMalformedBytes)
{
  StateReply reply;
  reply.storeSteady = true;
  reply.storeReachable = true;
  reply.answerAge = 250ms;
  reply.delegates = { { .address = "10.0.0.7", .port = 7540 } };
  StateReply::Kind& kind = reply.kinds.emplace_back();
  kind.kind = ObjectKind::Instances;
  kind.set.revision = { .epoch = 3, .number = 9 };
  kind.set.objects["i-1"] = "{}";
  kind.complete = false;
  kind.removed.emplace_back("i-2");
  kind.names = { "i-1", "i-4" };
  reply.kinds.push_back({ .kind = ObjectKind::Evacuations,
                          .set = { .revision = { .epoch = 3, .number = 9 } },
                          .complete = false,
                          .names = std::set<std::string>() });
  reply.epoch = 4;
  reply.earlier = {
    .manifest = "{}",
    .departures = { { .instance = BackendId("i-3"), .startTimeMs = 5, .report = 6, .epoch = 2 } },
    .evacuations = { { FailureDomainId("north-a"), 700ms } }
  };
  const PeerMessage messages[] = {
    PeerLoad{
      .loads = { { .instance = 7, .inFlight = 3 }, { .instance = 9, .inFlight = 1, .claim = 4 } },
      .life = 1500ms },
    PeerLoad{ .domain = FailureDomainId("north-a"),
              .loads = { { .instance = 7, .inFlight = 3 } },
              .life = 2s },
    PeerCrashReport{ .reportId = 5, .fingerprint = 6 },
    StateRequest{ .domain = FailureDomainId("north-a"),
                  .peers = { .address = "10.0.0.7", .port = 7540 },
                  .revisions = { StoreRevision{ 1, 2 }, { 0, 3 }, { 7, 4 } },
                  .manifestVersion = 8,
                  .wantsEarlierState = true },
    reply,
    PeerMemberSync{
      { .wantsReply = true,
        .members = { { .vm = { .id = VmId("vm-2"),
                               .region = RegionId("north"),
                               .failureDomain = FailureDomainId("north-a"),
                               .callers = { .address = "10.0.0.8", .port = 80 },
                               .peers = { .address = "10.0.0.8", .port = 7540 } } } } } },
  };
  for (const PeerMessage& message : messages) {
    const std::string bytes = EncodePeer(VmId("vm-1"), message);
    const auto decoded = DecodePeer(bytes);
    cr_assert(decoded.has_value());
    cr_assert(decoded->sender == VmId("vm-1") && decoded->message == message);
    for (size_t size = 0; size < bytes.size(); ++size)
      static_cast<void>(DecodePeer(std::string_view(bytes).substr(0, size)));
  }
  // Packed objects arrive like others.
  StateReply packed = reply;
  packed.kinds[0].packed = PackObjects(packed.kinds[0].set.objects);
  packed.kinds[0].set.objects.clear();
  packed.kinds[0].packedNames = PackNames(*packed.kinds[0].names);
  const std::string packedBytes = EncodePeer(VmId("vm-1"), packed);
  const auto unpacked = DecodePeer(packedBytes);
  cr_assert(unpacked.has_value() && unpacked->message == PeerMessage(reply));
  for (size_t i = 0; i < packedBytes.size(); ++i) {
    std::string damaged = packedBytes;
    damaged[i] = static_cast<char>(damaged[i] ^ 0x55);
    static_cast<void>(DecodePeer(damaged));
  }
  const bool holds =
    rc::check("random bytes are an error or a message",
              [](const std::string& aBytes) { static_cast<void>(DecodePeer(aBytes)); });
  cr_assert(holds);
  cr_assert(not DecodePeer("nonsense").has_value());
}

/// Guards against a message that names VMs by texts that are no addresses: opening a connection to
/// one of them ended the process.
Test(PeerMessages, RejectsAddressesThatAreNotIpAddresses)
{
  for (const char* address : { "", "999.1", "north-a" }) {
    const Endpoint bad{ .address = address, .port = 1 };
    const PeerMessage messages[] = {
      StateReply{ .delegates = { bad } },
      StateRequest{ .domain = FailureDomainId("north-a"), .peers = bad },
      PeerMemberSync{ { .members = { { .vm = { .id = VmId("vm-2"), .peers = bad } } } } },
    };
    for (const PeerMessage& message : messages)
      cr_assert(not DecodePeer(EncodePeer(VmId("vm-1"), message)).has_value());
  }
}

} // namespace
