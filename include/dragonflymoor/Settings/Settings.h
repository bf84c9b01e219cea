#ifndef DRAGONFLYMOOR_SETTINGS_SETTINGS_H
#define DRAGONFLYMOOR_SETTINGS_SETTINGS_H

#include "dragonflymoor/Model/Fleet.h"
#include "dragonflymoor/Support/Finding.h"
#include "dragonflymoor/Support/Log.h"
#include "dragonflymoor/Support/Time.h"
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace dfm {

/// Where a port listens, and how others reach it. Port 0 lets the system choose the port.
struct ListenSettings
{
  Endpoint listen;
  Endpoint advertised; ///< As listen, unless the settings say otherwise.

  auto operator<=>(const ListenSettings&) const = default;
};

/// Bounds against slow or oversized callers and peers.
struct BoundSettings
{
  uint32_t connections = 4096;      ///< Callers' connections at once.
  uint32_t headerBytes = 16 * 1024; ///< Request line and headers of one request.
  uint32_t bodyBytes = 1024 * 1024; ///< Body of one request.
  /// Bodies of all requests and answers held at once; fits a VM of 256 MB.
  uint64_t bodyMemoryBytes = 64ULL * 1024 * 1024;

  auto operator<=>(const BoundSettings&) const = default;
};

/// Settings of the daemon on one entry VM.
struct Settings
{
  VmId vm;
  RegionId region;
  FailureDomainId failureDomain;
  ListenSettings callers;
  ListenSettings peers; ///< TCP and UDP with the same number.
  Endpoint operators;
  Endpoint store;
  RegionId storeRegion;
  std::vector<Endpoint> seeds;
  BoundSettings bounds;
  uint32_t threads = 2; ///< Traffic threads, besides the control thread.
  LogLevel logLevel = LogLevel::Info;
  Duration probePeriod = 200ms;

  auto operator<=>(const Settings&) const = default;
};

/// Reads settings from JSON with comments. Every finding names aFile and the field, or the line and
/// column of a syntax error. Safe to call from any thread.
Checked<Settings>
ParseSettings(std::string_view aText, std::string_view aFile);

/// Reads settings from a file. Safe to call from any thread.
Checked<Settings>
ReadSettings(const std::string& aFile);

} // namespace dfm

#endif
