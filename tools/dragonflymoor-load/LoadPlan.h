#ifndef DRAGONFLYMOOR_LOAD_LOADPLAN_H
#define DRAGONFLYMOOR_LOAD_LOADPLAN_H

#include "dragonflymoor/Support/Time.h"
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace dfm::load {

using TcpEndpoint = boost::asio::ip::tcp::endpoint;

/// A place that callers are at: the VM that they ask first, and its region.
struct Site
{
  TcpEndpoint entry;
  std::string region;
};

/// Requests of one kind.
struct RequestClass
{
  std::string name;
  std::string service;
  std::string workspace;
  std::string plan;
  std::string rank;     ///< Rank of the service or lower.
  bool sendRank = true; ///< States the rank in a header.
  double perSecond = 0;
  std::string path = "/item"; ///< The request's token is added as last segment.
  uint64_t bodyBytes = 0;
  Duration deadline = 1s;
  bool order = false; ///< Non-idempotent: sent with a key.
};

/// A time with constant rates.
struct Phase
{
  std::string name;
  Duration duration{};
  double factor = 1;                     ///< Multiplies the rate of every class...
  std::map<std::string, double> factors; ///< ...but for the classes that are named here.
};

/// Server that the baseline sends to directly.
struct BaselineServer
{
  TcpEndpoint endpoint;
  std::string region;
};

struct LoadPlan
{
  std::vector<Site> sites;
  std::vector<RequestClass> classes;
  std::vector<Phase> phases;
  uint64_t seed = 1;
  bool boundKeys = false; ///< Orders use the key prefix of the route answer.
  uint32_t resend = 2;    ///< Further copies of an order after an unknown outcome or none.
  Duration regionDelay{}; ///< One-way delay that the baseline waits between two regions.
  uint32_t retries = 5;   ///< Of the baseline.
  std::map<std::string, std::vector<BaselineServer>> serversByService;
};

/// Reads a plan from a JSON file with comments and, for the baseline, the servers from a file in
/// the shape of the list "fleet/backends" (may be empty). Throws std::runtime_error.
LoadPlan
ReadLoadPlan(const std::string& aFile, const std::string& aBackendsFile);

} // namespace dfm::load

#endif
