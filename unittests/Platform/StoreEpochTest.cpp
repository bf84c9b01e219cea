#include "GatewayFixture.h"
#include "platform/Adapter.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <fmt/format.h>

namespace {

using namespace dfm;
using namespace dfm::test;

template<typename T>
using StoreCallFunction = std::function<StoreAnswer<T>(StoreApi&)>;

template<typename T>
asio::awaitable<void>
AwaitCall(const StoreCallFunction<T>& aCall,
          StoreApi& aStore,
          std::optional<tl::expected<T, StoreError>>& aResult)
{
  aResult = co_await aCall(aStore);
}

/// Runs one call to the store at aServer.
template<typename T>
tl::expected<T, StoreError>
RunCall(const StandInServer& aServer, const StoreCallFunction<T>& aCall)
{
  asio::io_context context;
  SteeringSettings settings;
  settings.store = aServer.Address();
  StoreApi store = platform::MakeAdapter(settings).makeStore(context);
  std::optional<tl::expected<T, StoreError>> result;
  asio::co_spawn(context, AwaitCall<T>(aCall, store, result), asio::detached);
  context.run();
  return std::move(*result);
}

/// Runs one call to a store that answers with aStatus, aBody and these headers "Store-Era".
template<typename T>
tl::expected<T, StoreError>
CallStore(unsigned aStatus,
          const std::string& aBody,
          const std::vector<std::string>& aEpochs,
          const StoreCallFunction<T>& aCall)
{
  StandInServer server([&](const Request&) {
    Response answer(static_cast<http::status>(aStatus), 11);
    for (const std::string& epoch : aEpochs)
      answer.insert("Store-Era", epoch);
    answer.body() = aBody;
    return Reaction{ .answer = std::move(answer) };
  });
  return RunCall<T>(server, aCall);
}

const char* const kList = R"({"items":[],"has_more":false,"as_of":7})";

struct HeaderCase
{
  const char* name;
  std::vector<std::string> headers;
  std::optional<uint64_t> epoch; ///< Empty when the answer must not be used.
};

/// Guards against an answer of unknown epoch that is taken for one of the present epoch.
Test(StoreEpoch, IsReadFromTheHeader)
{
  const HeaderCase cases[] = {
    { "none", {}, 0 },
    { "a number", { "12" }, 12 },
    { "the largest", { "18446744073709551615" }, 18446744073709551615U },
    { "too large", { "18446744073709551616" }, std::nullopt },
    { "negative", { "-1" }, std::nullopt },
    { "empty", { "" }, std::nullopt },
    { "text", { "two" }, std::nullopt },
    { "a fraction", { "1.5" }, std::nullopt },
    { "a list", { "1, 2" }, std::nullopt },
    { "repeated", { "1", "1" }, std::nullopt },
    { "contradictory", { "1", "2" }, std::nullopt },
  };
  for (const HeaderCase& testCase : cases) {
    const auto set = CallStore<ObjectSet>(200, kList, testCase.headers, [](StoreApi& aStore) {
      return aStore.list(ObjectKind::Manifest);
    });
    cr_assert(set.has_value() == testCase.epoch.has_value(), "%s", testCase.name);
    if (!set)
      cr_assert(set.error().kind == StoreError::Kind::Unavailable, "%s", testCase.name);
    else
      cr_assert(set->revision == (StoreRevision{ *testCase.epoch, 7 }), "%s", testCase.name);
  }
}

/// Guards against a return that only answers of some kind or status tell of.
Test(StoreEpoch, IsReadFromEachAnswer)
{
  const std::vector<std::string> headers{ "5" };
  for (const unsigned status : { 400U, 404U, 409U, 410U, 429U, 500U, 503U }) {
    const auto set = CallStore<ObjectSet>(
      status, "{}", headers, [](StoreApi& aStore) { return aStore.list(ObjectKind::Instances); });
    cr_assert(not set.has_value() && set.error().epoch == 5U, "list, status %u", status);
  }
  const auto changes =
    CallStore<ObjectChanges>(200, R"({"events":[],"as_of":9})", headers, [](StoreApi& aStore) {
      return aStore.watch(ObjectKind::Instances, { 4, 8 }, 10ms);
    });
  cr_assert(changes && changes->since == (StoreRevision{ 4, 8 }) &&
            changes->revision == (StoreRevision{ 5, 9 }));
  const auto vms = CallStore<RegisteredVms>(
    200, kList, headers, [](StoreApi& aStore) { return aStore.listVms(); });
  cr_assert(vms && vms->epoch == 5);
  for (const unsigned status : { 201U, 503U }) {
    const auto registered = CallStore<uint64_t>(
      status, "{}", headers, [](StoreApi& aStore) { return aStore.registerVm({}); });
    cr_assert(registered.has_value() == (status == 201), "%u", status);
    cr_assert(registered ? *registered == 5 : registered.error().epoch == 5U, "%u", status);
    const auto removed = CallStore<uint64_t>(
      status, "{}", headers, [](StoreApi& aStore) { return aStore.removeVm(VmId("vm-1")); });
    cr_assert(removed.has_value() == (status == 201), "%u", status);
    cr_assert(removed ? *removed == 5 : removed.error().epoch == 5U, "%u", status);
  }
}

/// Guards against an error that something in front of the store gives, which states no epoch.
Test(StoreEpoch, ErrorWithoutTheHeaderStatesNone)
{
  const auto set = CallStore<ObjectSet>(
    502, "{}", {}, [](StoreApi& aStore) { return aStore.list(ObjectKind::Manifest); });
  cr_assert(not set.has_value() && !set.error().epoch);
}

/// Guards against a list of which some pages are of an earlier epoch than the others.
Test(StoreEpoch, ListOfTwoEpochsIsNotUsed)
{
  int calls = 0;
  StandInServer server([&calls](const Request&) {
    Response answer(http::status::ok, 11);
    answer.set("Store-Era", std::to_string(++calls));
    answer.body() = R"({"items":[{"metadata":{"name":"i-1"}}],"has_more":true,"as_of":7})";
    return Reaction{ .answer = std::move(answer) };
  });
  const auto set =
    RunCall<ObjectSet>(server, [](StoreApi& aStore) { return aStore.list(ObjectKind::Instances); });
  cr_assert(not set.has_value() && set.error().epoch == 2U);
}

/// Guards against a list that ends early and so seems to show that the other objects are gone.
Test(StoreList, ListThatCannotBeContinuedIsNotUsed)
{
  for (const char* const items : { "", R"({"spec":{}})", R"({"metadata":{"name":"i-1"}})" }) {
    int calls = 0;
    StandInServer server([&calls, items](const Request&) {
      // Ends a client that asks for the same page without end.
      const bool hasMore = ++calls < 10;
      Response answer(http::status::ok, 11);
      answer.body() = fmt::format(
        R"({{"items":[{}],"has_more":{},"as_of":7}})", items, hasMore ? "true" : "false");
      return Reaction{ .answer = std::move(answer) };
    });
    const auto set = RunCall<ObjectSet>(
      server, [](StoreApi& aStore) { return aStore.list(ObjectKind::Instances); });
    cr_assert(not set.has_value(), "%s", items);
  }
}

} // namespace
