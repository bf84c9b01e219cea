#include "GatewayFixture.h"
#include "dragonflymoor/Steering/PeerMessages.h"
#include "dragonflymoor/Wire/Framing.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <fmt/format.h>

namespace {

using namespace dfm;
using namespace dfm::test;

/// Routes of a large manifest.
constexpr size_t kRoutes = 1700;

/// Rate at which the narrowest links carry bytes.
constexpr size_t kLinkBytesPerSecond = 10'000'000 / 8;

/// VMs to which one VM sends the state: 24 of its own failure domain and 2 of each of 5 others.
constexpr size_t kServedVms = 34;

json::value
LargeManifest(unsigned aVersion)
{
  std::vector<RouteSpec> routes{ { .service = "any" } };
  for (size_t i = 0; i < kRoutes; ++i)
    routes.push_back({ .name = fmt::format("route-{}", i),
                       .prefix = fmt::format("/prefix-{}/", i),
                       .service = "any" });
  json::value spec = ManifestSpec(aVersion, routes);
  spec.as_object()["services"].as_array().resize(1);
  return spec;
}

/// A VM that answers state requests with a large manifest, at the rate of its link.
class NarrowPeer
{
public:
  explicit NarrowPeer(size_t aBytesPerSecond)
    : bytesPerSecond_(aBytesPerSecond)
    , acceptor_(context_, { asio::ip::make_address("127.0.0.1"), 0 })
  {
    StateReply reply{ .storeSteady = true, .storeReachable = true };
    StateReply::Kind manifest{ .kind = ObjectKind::Manifest,
                               .set = { .revision = { .number = 105 } } };
    manifest.set.objects["main"] = json::serialize(json::object{ { "spec", LargeManifest(7) } });
    reply.kinds.push_back(std::move(manifest));
    for (const ObjectKind kind : { ObjectKind::Instances, ObjectKind::Evacuations })
      reply.kinds.push_back({ .kind = kind, .set = { .revision = { .number = 105 } } });
    reply_ = EncodePeer(VmId("vm-peer"), reply);
    asio::co_spawn(context_, Accept(), asio::detached);
    thread_ = std::thread([this] { context_.run(); });
  }

  ~NarrowPeer()
  {
    context_.stop();
    thread_.join();
  }

  Endpoint Address() const { return FromTcp(acceptor_.local_endpoint()); }
  size_t ReplyBytes() const { return reply_.size(); }

private:
  asio::awaitable<void> Accept()
  {
    for (;;) {
      auto [error, socket] = co_await acceptor_.async_accept(kAwaitTuple);
      if (!error)
        asio::co_spawn(context_, Serve(std::move(socket)), asio::detached);
    }
  }

  asio::awaitable<void> Serve(tcp::socket aSocket)
  {
    constexpr Duration kPeriod = 10ms;
    const size_t pieceBytes = std::max<size_t>(1, bytesPerSecond_ / (1s / kPeriod));
    // What the kernel buffers has not passed the link.
    aSocket.set_option(asio::socket_base::send_buffer_size(static_cast<int>(pieceBytes)));
    FrameReader reader;
    std::array<char, 4096> bytes{};
    for (;;) {
      auto [readError, count] = co_await aSocket.async_read_some(asio::buffer(bytes), kAwaitTuple);
      if (readError)
        co_return;
      reader.Append({ bytes.data(), count });
      auto frame = reader.Next();
      if (!frame)
        co_return;
      if (!*frame)
        continue;
      const auto header = FrameHeader(reply_.size());
      const std::string answer = std::string(header.begin(), header.end()) + reply_;
      for (size_t at = 0; at < answer.size(); at += pieceBytes) {
        const size_t piece = std::min(pieceBytes, answer.size() - at);
        auto [error, written] =
          co_await asio::async_write(aSocket, asio::buffer(answer.data() + at, piece), kAwaitTuple);
        if (error)
          co_return;
        asio::steady_timer timer(context_, kPeriod);
        co_await timer.async_wait(kAwaitTuple);
      }
    }
  }

  size_t bytesPerSecond_;
  asio::io_context context_{ 1 };
  tcp::acceptor acceptor_;
  std::string reply_;
  std::thread thread_;
};

/// A VM that knows the state only from another one, as its store is silent.
struct PeerOnlyFixture : GatewayFixture
{
  explicit PeerOnlyFixture(std::vector<Endpoint> aPeers)
  {
    Store().SetMode(StandInStore::Mode::Silent);
    changeOptions_ = [peers = std::move(aPeers)](GatewayOptions& aOptions) {
      aOptions.settings.seeds = peers;
    };
  }
};

/// Guards against VMs that keep serving by the previous manifest: a reply that took longer than the
/// time-out was given up and asked for again from its start.
Test(StateTransfer, ReceivesAManifestThatTakesLongerThanTheTimeout)
{
  NarrowPeer peer(kLinkBytesPerSecond / 8);
  cr_assert(peer.ReplyBytes() > kLinkBytesPerSecond / 8, "the reply takes more than 1 s");
  PeerOnlyFixture fixture({ peer.Address() });
  fixture.Start();
}

/// Guards against a VM that waits for one peer without end.
Test(StateTransfer, GivesUpAPeerThatSendsVerySlowly)
{
  NarrowPeer slow(100);
  NarrowPeer sound(kLinkBytesPerSecond);
  for (const bool slowFirst : { true, false }) {
    const auto& first = slowFirst ? slow : sound;
    const auto& second = slowFirst ? sound : slow;
    PeerOnlyFixture fixture({ first.Address(), second.Address() });
    fixture.Start();
  }
}

/// Guards against VMs that keep serving by the previous manifest: an answer of the store that took
/// longer than the time-out was given up, also by the VM that follows the store for the others.
Test(StateTransfer, ReadsAManifestThatTakesLongerThanTheTimeoutOfACall)
{
  GatewayFixture fixture;
  fixture.Store().LimitRate(kLinkBytesPerSecond / 8);
  fixture.Store().Put("config", "main", LargeManifest(7));
  fixture.Start(); // Reads the list.
  fixture.Store().Put("config", "main", LargeManifest(8));
  const bool inForce = GatewayFixture::WaitUntil([&] { // Reads the watch.
    const auto metrics = fixture.Get(fixture.Settings().operators, "/metrics");
    return metrics && metrics->body().find("manifest_version 8") != std::string::npos;
  });
  cr_assert(inForce);
}

/// Sends aRequest to the VM as another VM does and returns the payload of the reply.
std::string
RequestState(const Endpoint& aVm, const StateRequest& aRequest)
{
  asio::io_context context;
  tcp::socket socket(context);
  socket.connect(ToTcp(aVm));
  const std::string payload = EncodePeer(VmId("vm-asker"), aRequest);
  const auto header = FrameHeader(payload.size());
  asio::write(socket, std::array{ asio::buffer(header), asio::buffer(payload) });
  std::array<char, kFrameHeaderBytes> replyHeader{};
  asio::read(socket, asio::buffer(replyHeader));
  std::string reply(ParseFrameHeader(replyHeader).value(), '\0');
  asio::read(socket, asio::buffer(reply));
  return reply;
}

/// Guards against VMs that keep serving by the previous manifest: the VM that passes a new one on
/// filled its link for seconds with one whole text for each of the others.
Test(StateTransfer, ManifestPassesANarrowLinkInTime)
{
  constexpr size_t kMaxReplyBytes = kLinkBytesPerSecond / kServedVms;
  GatewayFixture fixture;
  fixture.Store().Put("config", "main", ManifestSpec(7, { { .service = "any" } }));
  fixture.Start();
  const Endpoint vm = fixture.Settings().self.peers;
  const auto readState = [&vm](const StateRequest& aRequest) {
    const std::string bytes = RequestState(vm, aRequest);
    return std::pair(bytes.size(), std::get<StateReply>(DecodePeer(bytes).value().message));
  };
  const auto findManifest = [](const StateReply& aReply) -> const StateReply::Kind* {
    for (const StateReply::Kind& kind : aReply.kinds) {
      if (kind.kind == ObjectKind::Manifest && !kind.set.objects.empty())
        return &kind;
    }
    return nullptr;
  };
  const auto [firstBytes, first] = readState({});
  const StateReply::Kind* before = findManifest(first);
  cr_assert(before != nullptr);
  // The changes since the known revision, and the whole state.
  for (const uint64_t knownRevision : { before->set.revision.number, uint64_t{ 0 } }) {
    fixture.Store().Put("config", "main", LargeManifest(knownRevision == 0 ? 9 : 8));
    StateRequest request;
    request.revisions.fill({ .number = knownRevision });
    size_t bytes = 0;
    std::string content;
    const bool known = GatewayFixture::WaitUntil([&] {
      const auto [replyBytes, reply] = readState(request);
      const StateReply::Kind* manifest = findManifest(reply);
      if (manifest == nullptr)
        return false;
      bytes = replyBytes;
      content = manifest->set.objects.at("main");
      return content.find(knownRevision == 0 ? "00000009" : "00000008") != std::string::npos;
    });
    cr_assert(known);
    cr_assert(bytes <= kMaxReplyBytes,
              "%zu bytes, %zu uncompressed, since revision %lu",
              bytes,
              content.size(),
              static_cast<unsigned long>(knownRevision));
  }
}

} // namespace
