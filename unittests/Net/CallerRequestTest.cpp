#include "dragonflymoor/Net/CallerRequest.h"
#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace dfm;

namespace {

constexpr TimePoint kNow(10s);

/// Headers of a good order; one of them is replaced or removed (null value), or given a second
/// time.
struct FaultCase
{
  char name[32];
  char value[160];
  bool twice;
  char text[96];
};

http::request_header<>
OrderHeader()
{
  http::request_header<> header;
  header.method(http::verb::post);
  header.target("/v1/s/orders/place?x=1");
  header.set("Dfm-Workspace", "karoo");
  header.set("Dfm-Plan", "gold");
  header.set("Dfm-Rank", "bulk");
  header.set("Dfm-Deadline-Ms", "1500");
  header.set("Dfm-Attempt", "1");
  header.set("Idempotency-Key", "k-1");
  header.set("Dfm-Created", "1000000500");
  return header;
}

} // namespace

// Guards against a header that is read into the wrong field.
Test(CallerRequest, ReadsTargetAndHeaders)
{
  const auto request = ParseCallerRequest(OrderHeader(), kNow);
  cr_assert(request.has_value());
  RequestHead head;
  head.workspace = WorkspaceId("karoo");
  head.plan = PlanId("gold");
  head.service = ServiceId("orders");
  head.rank = Rank::Bulk;
  head.deadline = TimePoint(11500ms);
  head.order = OrderKey{ .key = "k-1", .created = WallTime(1'000'000'500ms) };
  head.firstCopy = true;
  cr_assert(request->head == head);
  cr_assert(request->target == "/place?x=1");
}

// Guards against defaults that raise a rank, cut a deadline or claim a first copy.
Test(CallerRequest, OptionalHeadersHaveNeutralDefaults)
{
  http::request_header<> header;
  header.target("/v1/s/lookup");
  header.set("Dfm-Workspace", "karoo");
  header.set("Dfm-Plan", "gold");
  const auto request = ParseCallerRequest(header, kNow);
  cr_assert(request.has_value());
  cr_assert(request->target == "/");
  cr_assert(request->head.rank == Rank::Urgent);
  cr_assert(request->head.deadline == TimePoint());
  cr_assert(!request->head.firstCopy);
  cr_assert(!request->head.order);
}

ParameterizedTestParameters(CallerRequest, ErrorTextNamesTheHeader)
{
  static FaultCase cases[] = {
    { "Dfm-Workspace", "", false, "header Dfm-Workspace is missing" },
    { "Dfm-Plan", "", false, "header Dfm-Plan is missing" },
    { "Dfm-Plan", "two words", false, "header Dfm-Plan must be 1 to 128 visible characters" },
    { "Dfm-Plan", "silver", true, "header Dfm-Plan appears more than once" },
    { "Dfm-Rank", "top", false, "header Dfm-Rank must be urgent, normal or bulk" },
    { "Dfm-Deadline-Ms",
      "0",
      false,
      "header Dfm-Deadline-Ms must be a whole number from 1 to 3600000" },
    { "Dfm-Deadline-Ms",
      "15s",
      false,
      "header Dfm-Deadline-Ms must be a whole number from 1 to 3600000" },
    { "Dfm-Attempt", "-1", false, "header Dfm-Attempt must be a whole number from 1 to 1000000" },
    { "Idempotency-Key", "", false, "header Idempotency-Key is missing" },
    { "Idempotency-Key",
      "0123456789012345678901234567890123456789012345678901234567890123"
      "01234567890123456789012345678901234567890123456789012345678901234",
      false,
      "header Idempotency-Key must be 1 to 128 visible characters" },
    { "Dfm-Created", "", false, "header Dfm-Created is missing" },
    { "Dfm-Created",
      "yesterday",
      false,
      "header Dfm-Created must be a whole number from 1 to 4102444800000" },
  };
  return cr_make_param_array(FaultCase, cases, sizeof(cases) / sizeof(FaultCase));
}

// Guards against callers that can't tell which header to correct.
ParameterizedTest(FaultCase* aCase, CallerRequest, ErrorTextNamesTheHeader)
{
  http::request_header<> header = OrderHeader();
  if (!aCase->twice)
    header.erase(aCase->name);
  if (aCase->value[0] != '\0')
    header.insert(aCase->name, aCase->value);
  const auto request = ParseCallerRequest(header, kNow);
  cr_assert(!request);
  cr_assert(request.error() == aCase->text, "%s", request.error().c_str());
}

// Guards against "not run" for a copy of an order of which another copy may have run.
Test(CallerRequest, RefusedCopiesOfAnOrderAreUnknownUnlessFirst)
{
  http::request_header<> header = OrderHeader();
  cr_assert(RefusalOutcome(header) == Outcome::NotRun);
  header.set("Dfm-Attempt", "2");
  cr_assert(RefusalOutcome(header) == Outcome::Unknown);
  header.erase("Dfm-Attempt");
  cr_assert(RefusalOutcome(header) == Outcome::Unknown);
  header.erase("Idempotency-Key");
  cr_assert(RefusalOutcome(header) == Outcome::NotRun);
}

// Guards against headers of one connection that leak to the next, or content that changes on it.
Test(Content, EncodingKeepsEndToEndPartsOnly)
{
  HttpRequest request(http::verb::post, "/place?x=1", 11);
  request.set("X-Custom", "7");
  request.set("X-Hop", "1");
  request.set(http::field::connection, "keep-alive, x-hop");
  request.set(http::field::transfer_encoding, "chunked");
  request.set(http::field::te, "trailers");
  request.body() = "body\r\n\r\nwith breaks";
  RemoveHopByHop(request);
  const auto decoded = DecodeRequestContent(EncodeContent(request));
  cr_assert(decoded.has_value());
  cr_assert(decoded->method() == http::verb::post);
  cr_assert(decoded->target() == "/place?x=1");
  cr_assert(decoded->body() == request.body());
  cr_assert((*decoded)["X-Custom"] == "7");
  cr_assert(std::distance(decoded->begin(), decoded->end()) == 1);
}

// Guards against content of a faulty peer that is taken for complete.
Test(Content, CutContentIsAnError)
{
  HttpAnswer answer(http::status::ok, 11);
  answer.set("X-Shelf", "12");
  answer.body() = "0123456789";
  const std::string bytes = EncodeContent(answer);
  cr_assert(DecodeAnswerContent(bytes).has_value());
  for (size_t length = 0; length < bytes.size(); ++length)
    cr_assert(!DecodeAnswerContent(std::string_view(bytes).substr(0, length)));
  cr_assert(!DecodeAnswerContent(bytes + "x"));
}
