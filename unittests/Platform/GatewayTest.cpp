#include "GatewayFixture.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

namespace {

using namespace dfm;
using namespace dfm::test;

/// A request of each kind reaches an instance with what the platform prescribes, and its answer
/// comes back unchanged.
Test(Gateway, ServesRequestsThroughInstances)
{
  StandInInstance reader("i-reader");
  StandInInstance writer("i-writer");
  GatewayFixture fixture;
  fixture.Store().Put(
    "config",
    "main",
    ManifestSpec(
      7,
      { {}, { .name = "order", .prefix = "/order/", .service = "writer", .idempotent = false } }));
  fixture.Store().Put("servers", "i-reader", InstanceSpec(reader, "reader"));
  fixture.Store().Put("servers", "i-writer", InstanceSpec(writer, "writer"));
  fixture.Start();
  const bool served = GatewayFixture::Eventually([&] {
    const auto answer = fixture.Send(http::verb::get, "/read/1?x=2", "id-1");
    return answer && answer->result() == http::status::ok &&
           answer->body() == "/read/1?x=2 from i-reader" &&
           (*answer)["X-Server-Stamp"] == "stamp-i-reader";
  });
  cr_assert(served);
  const Request seen = reader.Seen().back();
  cr_assert(seen["X-Request-Id"] == "id-1");
  cr_assert(seen["X-Expect-Instance"] == "i-reader");
  const int left = std::stoi(std::string(seen["X-Deadline-Ms"]));
  cr_assert(left > 0 && left <= 2000);

  const auto order = fixture.Send(http::verb::post, "/order/9", "id-2", "two crates");
  cr_assert(order && order->result() == http::status::ok);
  cr_assert(writer.Seen().size() == 1 && writer.Seen()[0].body() == "two crates");
  const auto unknown = fixture.Send(http::verb::get, "/nowhere/", "id-3");
  cr_assert(unknown && unknown->result() == http::status::not_found);
}

/// A stop that came while a call for the registered VMs waited for its answer used the same
/// connection a second time, and the process ended with requests in flight.
Test(Gateway, StopsWhileTheStoreIsSilent)
{
  GatewayFixture fixture;
  fixture.Store().SetMode(StandInStore::Mode::Silent);
  fixture.Start(false);
  const bool called = GatewayFixture::Eventually([&] { return fixture.Store().Calls() >= 4; });
  cr_assert(called);
  fixture.Stop();
}

} // namespace
