#ifndef DRAGONFLYMOOR_SETTINGS_STEERINGSETTINGS_H
#define DRAGONFLYMOOR_SETTINGS_STEERINGSETTINGS_H

#include "dragonflymoor/Model/Fleet.h"
#include "dragonflymoor/Support/Finding.h"
#include "dragonflymoor/Support/Log.h"
#include "dragonflymoor/Support/Time.h"
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace dfm {

/// Settings of the daemon on an entry VM of the users' platform. deploy/settings.json is the
/// template that the platform fills in.
struct SteeringSettings
{
  Vm self;              ///< Its peers' port is the first of the ports between VMs.
  Endpoint loadReports; ///< UDP, between VMs.
  Endpoint readiness;
  Endpoint directory;
  Endpoint operators; ///< Metrics.
  Endpoint store;
  std::vector<Endpoint> seeds; ///< Peers' ports of some VMs; may be out of date.
  std::map<FailureDomainId, RegionId> failureDomains;
  Duration stopTime{};     ///< Between the request to stop and the kill.
  Duration directoryTtl{}; ///< How long callers may use an answer of the directory.
  double retryRatio = 0;   ///< Repeats of all VMs together for each request of a service.
  double retrySlack = 0;   ///< Repeats of all VMs together in each window besides.
  double maxShift = 0.15;  ///< Part of a region's requests that may change region within 2 s.
  double quotaSlack = 0;   ///< Requests by which a workspace may exceed its quota in a window.
  uint32_t memoryMegabytes = 112; ///< Of the machine. The default is that of the smallest one.
  uint32_t maxDescriptors = 0;    ///< Of the process; 0 for the limit that the system states.
  Duration instanceReportPeriod = 1500ms; ///< At which instances renew their entries in the store.
  bool adaptiveLimits = false; ///< Slow instances get fewer requests than they have slots.
  LogLevel logLevel = LogLevel::Info;

  bool operator==(const SteeringSettings&) const = default;
};

/// Reads settings from JSON with comments. Every finding names aFile and the field, or the line and
/// column of a syntax error. Safe to call from any thread.
Checked<SteeringSettings>
ParseSteeringSettings(std::string_view aText, std::string_view aFile);

/// Reads settings from a file. Safe to call from any thread.
Checked<SteeringSettings>
ReadSteeringSettings(const std::string& aFile);

} // namespace dfm

#endif
