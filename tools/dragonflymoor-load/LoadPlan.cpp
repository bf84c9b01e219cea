#include "LoadPlan.h"

#include "dragonflymoor/Fakes/HttpServer.h"
#include "dragonflymoor/Fakes/Json.h"

namespace dfm::load {

namespace {

namespace json = boost::json;
using fakes::ParseEndpoint;
using fakes::ReadField;
using fakes::ReadJsonFile;
using fakes::TextOf;

RequestClass
ReadClass(const json::object& aObject)
{
  RequestClass result;
  result.name = TextOf(aObject, "name");
  result.service = TextOf(aObject, "service");
  result.workspace = TextOf(aObject, "workspace");
  result.plan = TextOf(aObject, "plan");
  result.rank = TextOf(aObject, "rank");
  result.perSecond = aObject.at("perSecond").to_number<double>();
  ReadField(aObject, "sendRank", result.sendRank);
  ReadField(aObject, "path", result.path);
  ReadField(aObject, "bodyBytes", result.bodyBytes);
  ReadField(aObject, "order", result.order);
  result.deadline = std::chrono::milliseconds(aObject.at("deadlineMs").to_number<int64_t>());
  return result;
}

Phase
ReadPhase(const json::object& aObject)
{
  Phase phase;
  phase.name = TextOf(aObject, "name");
  phase.duration = FromSeconds(aObject.at("seconds").to_number<double>());
  ReadField(aObject, "factor", phase.factor);
  ReadField(aObject, "factors", phase.factors);
  return phase;
}

} // namespace

LoadPlan
ReadLoadPlan(const std::string& aFile, const std::string& aBackendsFile)
{
  LoadPlan plan;
  const json::value parsed = ReadJsonFile(aFile);
  const json::object& root = parsed.as_object();
  for (const json::value& site : root.at("sites").as_array()) {
    const json::object& object = site.as_object();
    plan.sites.push_back({ ParseEndpoint(TextOf(object, "entry")), TextOf(object, "region") });
  }
  for (const json::value& value : root.at("classes").as_array())
    plan.classes.push_back(ReadClass(value.as_object()));
  for (const json::value& value : root.at("phases").as_array())
    plan.phases.push_back(ReadPhase(value.as_object()));
  ReadField(root, "seed", plan.seed);
  ReadField(root, "boundKeys", plan.boundKeys);
  ReadField(root, "resend", plan.resend);
  ReadField(root, "retries", plan.retries);
  double regionDelayMs = 0;
  ReadField(root, "regionDelayMs", regionDelayMs);
  plan.regionDelay = FromSeconds(regionDelayMs / 1000);
  if (plan.sites.empty() || plan.classes.empty())
    throw std::runtime_error(aFile + ": needs at least one site and one class");
  if (aBackendsFile.empty())
    return plan;
  const json::value backends = ReadJsonFile(aBackendsFile);
  for (const json::value& backend : backends.as_object().at("backends").as_array()) {
    const json::object& object = backend.as_object();
    plan.serversByService[TextOf(object, "service")].push_back(
      { ParseEndpoint(TextOf(object, "endpoint")), TextOf(object, "region") });
  }
  return plan;
}

} // namespace dfm::load
