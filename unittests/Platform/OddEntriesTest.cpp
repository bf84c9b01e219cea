#include "GatewayFixture.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

namespace {

using namespace dfm;
using namespace dfm::test;

struct OddEntry
{
  const char* name;
  std::string spec;
};

std::vector<OddEntry>
MakeOddEntries(const StandInInstance& aInstance)
{
  const std::string instance = json::serialize(InstanceSpec(aInstance, "any"));
  const auto replaceAddress = [&](const std::string& aAddress) {
    std::string spec = instance;
    const std::string address = "127.0.0.1:" + std::to_string(aInstance.Address().port);
    return spec.replace(spec.find(address), address.size(), aAddress);
  };
  constexpr size_t kDepth = 100'000;
  return {
    { "nested arrays", std::string(kDepth, '[') + std::string(kDepth, ']') },
    { "nested objects",
      [] {
        std::string spec;
        for (size_t i = 0; i < kDepth; ++i)
          spec += "{\"a\":";
        return spec + "1" + std::string(kDepth, '}');
      }() },
    { "number too large", R"({"addr":"127.0.0.1:1","born":1e999})" },
    { "integer too large", R"({"addr":"127.0.0.1:1","born":99999999999999999999999999})" },
    { "port out of range", replaceAddress("127.0.0.1:70000") },
    { "no UTF-8", "\"\xff\xfe\"" },
    { "brackets in a text", R"("]}],\"[{")" },
    { "null", "null" },
  };
}

/// Guards against one odd entry of another writer that keeps a VM from learning of all others, at
/// its start, or that ends its process or its following of the store while it runs.
Test(OddEntries, OtherEntriesHold)
{
  StandInInstance first("i-first");
  StandInInstance later("i-later");
  for (const OddEntry& entry : MakeOddEntries(first)) {
    GatewayFixture fixture;
    fixture.Store().Put("config", "main", ManifestSpec(7, { { .service = "any" } }));
    fixture.Store().Put("servers", first.Id(), InstanceSpec(first, "any"));
    fixture.Store().PutBytes("servers", "i-a-odd", entry.spec);
    fixture.Start();
    const auto servedBy = [&](const StandInInstance& aInstance) {
      return GatewayFixture::WaitUntil([&] {
        const auto answer = fixture.Send(http::verb::get, "/read/1", "id");
        return answer && answer->body().ends_with(aInstance.Id());
      });
    };
    cr_assert(servedBy(first), "%s", entry.name);
    fixture.Store().PutBytes("servers", "i-odd", entry.spec);
    fixture.Store().PutBytes("servers", first.Id(), entry.spec);
    fixture.Store().Put("servers", later.Id(), InstanceSpec(later, "any"));
    cr_assert(servedBy(later), "%s", entry.name);
  }
}

} // namespace
