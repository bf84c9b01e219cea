#include "dragonflymoor/Gateway/Identity.h"
#include "GatewayFixture.h"
#include "platform/Requests.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <criterion/criterion.h>
#include <criterion/new/assert.h>

namespace {

using namespace dfm;
using dfm::test::GatewayFixture;

constexpr const char* kAuthorization = "Authorization";

struct CredentialRow
{
  std::vector<std::string> headers; ///< Values of the Authorization header.
  CallerCredential expected;
};

/// Guards against a malformed proof of identity that is taken for a key.
Test(Identity, ReadsCredentials)
{
  using Kind = CallerCredential::Kind;
  const CallerCredential key{ .kind = Kind::Key, .key = "abc" };
  const CallerCredential malformed{ .kind = Kind::Malformed };
  const std::vector<CredentialRow> kRows{
    { {}, {} },
    { { "Bearer abc" }, key },
    { { "bearer  abc" }, key },
    { { "Bearer" }, malformed },
    { { "Bearer " }, malformed },
    { { "" }, malformed },
    { { "abc" }, malformed },
    { { "Basic abc" }, malformed },
    { { "Bearer abc def" }, malformed },
    { { "Bearer abc,def" }, malformed },
    { { "Bearer abc", "Bearer abc" }, malformed },
  };
  for (const CredentialRow& row : kRows) {
    http::fields fields;
    for (const std::string& value : row.headers)
      fields.insert(kAuthorization, value);
    cr_assert(platform::MakeProtocol().readCallerHeaders(fields).credential == row.expected);
  }
}

struct IdentityRow
{
  const char* key; ///< Null for a request without one.
  bool isPublic;
  CallerIdentity::Verdict verdict;
  const char* workspace; ///< Null for none.
};

/// Guards against a caller that acts for another workspace, or for none where a key is needed.
Test(Identity, IdentifiesCallers)
{
  using Verdict = CallerIdentity::Verdict;
  Manifest manifest;
  manifest.workspaces = { { .id = WorkspaceId("w1"), .keys = { "k1", "k1", "shared" } },
                          { .id = WorkspaceId("w2"), .keys = { "k2", "shared" } },
                          { .id = WorkspaceId("w3"), .keys = { "k3" }, .invalid = true } };
  const RouteIndex routes(std::make_shared<const Manifest>(manifest));
  const RouteIndex open(std::make_shared<const Manifest>(Manifest{ .needsKeys = false }));
  const RouteIndex closed(std::make_shared<const Manifest>());
  static const IdentityRow kRows[] = {
    { "k1", false, Verdict::Accepted, "w1" },       { "k2", false, Verdict::Accepted, "w2" },
    { "k1", true, Verdict::Accepted, "w1" },        { "k3", false, Verdict::Unavailable, nullptr },
    { "k4", false, Verdict::Unknown, nullptr },     { "k4", true, Verdict::Accepted, nullptr },
    { "shared", false, Verdict::Unknown, nullptr }, { nullptr, false, Verdict::Unknown, nullptr },
    { nullptr, true, Verdict::Accepted, nullptr },
  };
  for (const IdentityRow& row : kRows) {
    const Route route{ .isPublic = row.isPublic };
    CallerCredential credential;
    if (row.key != nullptr)
      credential = { .kind = CallerCredential::Kind::Key, .key = row.key };
    const CallerIdentity identity = IdentifyCaller(routes, route, credential);
    cr_assert(identity.verdict == row.verdict);
    const WorkspaceId found =
      identity.workspace == nullptr ? WorkspaceId() : identity.workspace->id;
    cr_assert(found == (row.workspace == nullptr ? WorkspaceId() : WorkspaceId(row.workspace)));
    cr_assert(IdentifyCaller(open, route, credential) == CallerIdentity{});
    cr_assert(IdentifyCaller(closed, route, credential).verdict ==
              (row.isPublic ? Verdict::Accepted : Verdict::Unknown));
  }
  cr_assert(IdentifyCaller(open, { .invalid = true }, {}).verdict == Verdict::Unavailable);
}

class KeyFixture : public GatewayFixture
{
public:
  test::Request KeyRequest(const std::string& aTarget,
                           const std::string& aKey,
                           const std::string& aId) const
  {
    test::Request request(http::verb::get, aTarget, 11);
    request.set(http::field::host, "shop.example");
    request.set("X-Request-Id", aId);
    request.set("X-Deadline-Ms", "5000");
    request.set(kAuthorization, "Bearer " + aKey);
    request.set("X-Tenant", "other");
    return request;
  }

  /// Status of the answer; 0 without one.
  unsigned StatusFor(const std::string& aTarget, const std::string& aKey, const std::string& aId)
  {
    const auto answer =
      test::SendAndReceive(Settings().self.callers, KeyRequest(aTarget, aKey, aId));
    return answer ? answer->result_int() : 0;
  }

  /// Puts a manifest with a route that needs a key, "/read/", and a public one, "/open/".
  /// aWorkspaces is the list of workspaces in JSON; empty for none.
  void PutManifest(unsigned aVersion, const std::string& aWorkspaces)
  {
    test::json::value spec = test::ManifestSpec(
      aVersion, { {}, { .name = "open", .prefix = "/open/", .service = "reader" } });
    spec.at_pointer("/routes/1").as_object()["public"] = true;
    if (!aWorkspaces.empty())
      spec.as_object()["tenants"] = test::json::parse(aWorkspaces);
    Store().Put("config", "main", spec);
  }
};

constexpr const char* kOneWorkspace = R"([{"name": "w1", "api_keys": ["held"]}])";

/// Guards against a list of workspaces that an edit leaves empty and that opens all routes, for
/// VMs that run and for VMs that start with it.
Test(Identity, EmptyListsOfWorkspacesOpenNoRoute)
{
  for (const std::string empty : { "[]", "null" }) {
    for (const bool startsWithIt : { false, true }) {
      KeyFixture fixture;
      test::StandInInstance instance("i-1");
      fixture.Store().Put("servers", "i-1", test::InstanceSpec(instance, "reader"));
      fixture.PutManifest(1, startsWithIt ? empty : kOneWorkspace);
      fixture.Start();
      if (!startsWithIt) {
        cr_assert(fixture.StatusFor("/read/x", "held", "before-1") == 200);
        cr_assert(fixture.StatusFor("/read/x", "never", "before-2") == 401);
        fixture.PutManifest(2, empty);
        cr_assert(GatewayFixture::WaitUntil(
          [&fixture] { return fixture.StatusFor("/read/x", "held", "switch") == 401; }));
      }
      cr_assert(fixture.StatusFor("/read/x", "held", "after-1") == 401);
      cr_assert(fixture.StatusFor("/read/x", "never", "after-2") == 401);
      cr_assert(fixture.StatusFor("/open/x", "held", "after-3") == 200);
      for (const test::Request& request : instance.ReceivedRequests()) {
        cr_assert(request.count(http::field::authorization) == 0);
        cr_assert(request["X-Tenant"] != "other");
      }
    }
  }
}

/// Guards against a connection from before an edit on which the withdrawn key still counts.
Test(Identity, WithdrawnKeysEndOnOpenConnections)
{
  KeyFixture fixture;
  test::StandInInstance instance("i-1");
  fixture.Store().Put("servers", "i-1", test::InstanceSpec(instance, "reader"));
  fixture.PutManifest(1, kOneWorkspace);
  fixture.Start();
  asio::io_context context;
  tcp::socket socket(context);
  socket.connect(ToTcp(fixture.Settings().self.callers));
  beast::flat_buffer buffer;
  const auto statusOnConnection = [&](const std::string& aId) {
    http::write(socket, fixture.KeyRequest("/read/x", "held", aId));
    test::Response response;
    http::read(socket, buffer, response);
    return response.result_int();
  };
  cr_assert(statusOnConnection("before") == 200);
  fixture.PutManifest(2, "[]");
  cr_assert(GatewayFixture::WaitUntil(
    [&fixture] { return fixture.StatusFor("/read/x", "held", "switch") == 401; }));
  cr_assert(statusOnConnection("after") == 401);
}

/// Guards against an edit of the limits that cannot be read and lets larger bodies in.
Test(Identity, UnreadableLimitsAdmitNoLargerBody)
{
  KeyFixture fixture;
  test::StandInInstance instance("i-1");
  fixture.Store().Put("servers", "i-1", test::InstanceSpec(instance, "reader"));
  const auto putManifest = [&fixture](unsigned aVersion, const test::json::value& aBodyBytes) {
    test::json::value spec = test::ManifestSpec(aVersion, { {}, { .prefix = "/new/" } });
    if (aVersion == 1)
      spec.at_pointer("/routes").as_array().pop_back();
    spec.at_pointer("/limits").as_object()["max_body_bytes"] = aBodyBytes;
    fixture.Store().Put("config", "main", spec);
  };
  const std::string body(2'000, 'x');
  putManifest(1, 1'000);
  fixture.Start();
  const auto before = fixture.Send(http::verb::post, "/read/x", "before", body);
  cr_assert(before && before->result() == http::status::payload_too_large);
  putManifest(2, nullptr);
  cr_assert(GatewayFixture::WaitUntil(
    [&fixture] { return fixture.StatusFor("/new/x", "", "switch") == 200; }));
  const auto after = fixture.Send(http::verb::post, "/read/x", "after", body);
  cr_assert(after && after->result() == http::status::payload_too_large);
}

/// Guards against a workspace's name that a caller chose and that reaches an instance where callers
/// need no key, and against other credentials that are lost there.
Test(Identity, CallersNameNoWorkspaceWhereNoKeyIsNeeded)
{
  KeyFixture fixture;
  test::StandInInstance instance("i-1");
  fixture.Store().Put("servers", "i-1", test::InstanceSpec(instance, "reader"));
  fixture.PutManifest(1, "");
  fixture.Start();
  cr_assert(fixture.StatusFor("/read/x", "of-the-instance", "q-1") == 200);
  bool received = false;
  for (const test::Request& request : instance.ReceivedRequests()) {
    cr_assert(request.count("X-Tenant") == 0);
    if (request["X-Request-Id"] != "q-1")
      continue;
    received = true;
    cr_assert(request[http::field::authorization] == "Bearer of-the-instance");
  }
  cr_assert(received);
}

/// Guards against a key that reaches an instance, against a workspace's name that the caller chose,
/// and against a withdrawn key that is accepted.
Test(Identity, InstancesGetTheWorkspaceInPlaceOfTheKey)
{
  using dfm::test::ManifestSpec;
  class Fixture : public KeyFixture
  {
  public:
    std::optional<test::Response> SendWithKey(const std::string& aKey, const std::string& aId)
    {
      return test::SendAndReceive(Settings().self.callers, KeyRequest("/read/x", aKey, aId));
    }
  } fixture;
  test::StandInInstance instance("i-1");
  const auto putManifest = [&fixture](unsigned aVersion, const std::string& aKey) {
    test::json::value spec = ManifestSpec(aVersion, { {} });
    spec.as_object()["tenants"] = test::json::array{ test::json::object{
      { "name", "w1" }, { "api_keys", test::json::array{ aKey } } } };
    fixture.Store().Put("config", "main", spec);
  };
  putManifest(1, "first-key");
  fixture.Store().Put("servers", "i-1", test::InstanceSpec(instance, "reader"));
  fixture.Start();
  const auto served = fixture.SendWithKey("first-key", "q-1");
  cr_assert(served && served->result() == http::status::ok);
  const auto unknown = fixture.SendWithKey("second-key", "q-2");
  cr_assert(unknown && unknown->result() == http::status::unauthorized);
  putManifest(2, "second-key");
  cr_assert(GatewayFixture::WaitUntil([&fixture] {
    const auto answer = fixture.SendWithKey("first-key", "q-3");
    return answer && answer->result() == http::status::unauthorized;
  }));
  const auto added = fixture.SendWithKey("second-key", "q-4");
  cr_assert(added && added->result() == http::status::ok);
  for (const test::Request& request : instance.ReceivedRequests()) {
    cr_assert(request.count("X-Tenant") == 1 && request["X-Tenant"] == "w1");
    cr_assert(request.count(http::field::authorization) == 0);
  }
}

} // namespace
