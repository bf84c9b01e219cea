#include "Commands.h"
#include "dragonflymoor/Operator/HttpClient.h"
#include <exception>
#include <fmt/format.h>
#include <gflags/gflags.h>

DEFINE_string(store, "", "object store, as ip:port");
DEFINE_string(operators, "", "operator ports of the daemons, as ip:port,ip:port,...");
DEFINE_string(output, "text", "format of the result: text or json");
DEFINE_string(file, "", "edit: file with the new list; - is standard input");
DEFINE_string(starts_at, "", "drain add: start in ms since the epoch, or +SECONDS from now");
DEFINE_string(conflict_file, "", "where your text is saved on a conflict");
DEFINE_bool(dry_run, false, "show the difference and write nothing");
DEFINE_bool(remove, false, "set: remove the element");
DEFINE_bool(wait, false, "drain add: wait until the remaining servers can carry the load");
DEFINE_uint32(timeout_ms, 2000, "time for each exchange with the store or a daemon, in ms");
DEFINE_uint32(wait_s, 1800, "longest wait of drain add --wait and drain watch, in s");
DEFINE_uint32(poll_ms, 2000, "time between two looks at the daemons, in ms");
DEFINE_string(settings, "", "check: file with the settings of a daemon");
DEFINE_string(against, "", "check: file with the manifest in force, for the difference");
DEFINE_string(need, "", "check: requests/s that services need, as service=rate,...");
DEFINE_double(longest_wait_s, 0, "check: longest time for which callers wait, in s; 0 is unknown");
DEFINE_uint32(memory_mb, 112, "check: memory of the smallest machine, in MiB");
DEFINE_bool(json, false, "check: as --output json");
DEFINE_bool(strict, false, "check: warnings count as well");

namespace {

int
UsageError(const std::string& aMessage)
{
  fmt::print(stderr, "error: {}\n{}", aMessage, dfm::kUsage);
  return dfm::Usage;
}

int
Run(const std::vector<std::string>& aArguments)
{
  dfm::ToolOptions options;
  const auto store = dfm::ParseEndpoint(FLAGS_store);
  if (!FLAGS_store.empty() && !store)
    return UsageError(fmt::format("--store: \"{}\" is not ip:port", FLAGS_store));
  options.store = store.value_or(dfm::Endpoint{});
  std::string rest = FLAGS_operators;
  while (!rest.empty()) {
    const size_t comma = std::min(rest.find(','), rest.size());
    const std::string text = rest.substr(0, comma);
    rest.erase(0, comma + 1);
    const auto endpoint = dfm::ParseEndpoint(text);
    if (!endpoint)
      return UsageError(fmt::format("--operators: \"{}\" is not ip:port", text));
    options.operators.push_back(*endpoint);
  }
  if (FLAGS_output != "text" && FLAGS_output != "json")
    return UsageError(fmt::format("--output: \"{}\" is not text or json", FLAGS_output));
  options.json = FLAGS_output == "json";
  options.timeout = std::chrono::milliseconds(FLAGS_timeout_ms);
  options.waitLimit = std::chrono::seconds(FLAGS_wait_s);
  options.pollInterval = std::chrono::milliseconds(FLAGS_poll_ms);
  options.dryRun = FLAGS_dry_run;
  options.wait = FLAGS_wait;
  options.remove = FLAGS_remove;
  options.file = FLAGS_file;
  options.startsAt = FLAGS_starts_at;
  options.conflictFile = FLAGS_conflict_file;
  options.check = { .settings = FLAGS_settings,
                    .against = FLAGS_against,
                    .neededRates = FLAGS_need,
                    .longestWaitSeconds = FLAGS_longest_wait_s,
                    .memoryMegabytes = FLAGS_memory_mb,
                    .json = FLAGS_json,
                    .strict = FLAGS_strict };
  return dfm::RunCommand(options, aArguments);
}

} // namespace

int
main(int aArgumentCount, char** aArguments)
{
  gflags::SetUsageMessage(dfm::kUsage);
  gflags::SetVersionString("0.1.0");
  gflags::ParseCommandLineFlags(&aArgumentCount, &aArguments, true);
  try {
    return Run(std::vector<std::string>(aArguments + 1, aArguments + aArgumentCount));
  } catch (const std::exception& error) {
    fmt::print(stderr, "error: {}\n", error.what());
    return dfm::Failure;
  }
}
