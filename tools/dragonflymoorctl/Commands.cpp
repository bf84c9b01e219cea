#include "Commands.h"

#include "Input.h"
#include "Output.h"
#include "dragonflymoor/Drains/Drains.h"
#include "dragonflymoor/Model/Lists.h"
#include "dragonflymoor/Operator/FleetStatus.h"
#include "dragonflymoor/Operator/HttpClient.h"
#include "dragonflymoor/Operator/ListEditor.h"
#include "dragonflymoor/Operator/ListElement.h"
#include "dragonflymoor/Operator/TextDiff.h"
#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <fstream>
#include <thread>

namespace dfm {

namespace {

using Arguments = std::vector<std::string>;

/// Samples of the pools' use before a drain is judged, one second apart.
constexpr int kUseSamples = 5;

int
UsageError(const std::string& aMessage)
{
  fmt::print(stderr, "error: {}\n{}", aMessage, kUsage);
  return Usage;
}

int
Unreachable()
{
  fmt::print(stderr, "error: the store does not answer\n");
  return Unavailable;
}

std::optional<ListName>
ParseListName(const std::string& aName)
{
  for (size_t i = 0; i < kListCount; ++i) {
    const auto list = static_cast<ListName>(i);
    const std::string_view object = ObjectName(list);
    if (object == aName || object.substr(object.find('/') + 1) == aName)
      return list;
  }
  return std::nullopt;
}

WallTime
WallNow()
{
  return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

void
Progress(const std::string& aLine)
{
  fmt::print(stderr, "{}\n", aLine);
}

ListEditor
MakeEditor(const ToolOptions& aOptions)
{
  return ListEditor(ListEditorHooks{
    .callStore =
      [&aOptions](const StoreCall& aCall) {
        return CallStore(aOptions.store, aCall, aOptions.timeout);
      },
    .wait = [](Duration aTime) { std::this_thread::sleep_for(aTime); },
    .progress = Progress,
  });
}

int
ReportLists(const Findings& aFindings)
{
  fmt::print(stderr, "error: the lists cannot be used\n{}", FormatFindings(aFindings));
  const bool silent = std::any_of(aFindings.begin(), aFindings.end(), [](const Finding& aFinding) {
    return aFinding.message == kStoreSilent;
  });
  return silent ? Unavailable : Invalid;
}

FleetStatus
FetchStatus(const ToolOptions& aOptions)
{
  FleetStatus fleet;
  for (const Endpoint& daemon : aOptions.operators) {
    const std::string place = fmt::format("{}:{}/status", daemon.address, daemon.port);
    const auto page = FetchPage(daemon, "/status", aOptions.timeout);
    if (!page) {
      Progress(fmt::format("{}: no answer", place));
      continue;
    }
    auto status = ParseVmStatus(*page, place);
    if (status)
      fleet.push_back(std::move(*status));
    else
      fmt::print(stderr, "{}", FormatFindings(status.error()));
  }
  return fleet;
}

/// Saves the operator's text, so that it is not lost with a conflict.
std::string
SaveText(const ToolOptions& aOptions, ListName aList, const std::string& aText)
{
  std::string file = aOptions.conflictFile;
  if (file.empty()) {
    file = std::string(ObjectName(aList)) + ".conflict.json";
    std::replace(file.begin(), file.end(), '/', '-');
  }
  std::ofstream out(file, std::ios::binary | std::ios::trunc);
  out << aText;
  out.close();
  return out ? file : std::string();
}

int
ReportConflict(const ToolOptions& aOptions,
               ListName aList,
               const ListText& aBase,
               const ListText& aCurrent,
               const std::string& aText)
{
  // The version line of the old base stays, so that a second try without a merge conflicts again.
  const std::string file = SaveText(aOptions, aList, VersionLine(aList, aBase.version) + aText);
  fmt::print(stderr,
             "error: {} was changed by another operator: you edited version {}, the store holds "
             "version {}\n--- version {} in the store ---\n{}\n--- your version ---\n{}\n"
             "--- from the store's version to yours ---\n{}",
             ObjectName(aList),
             aBase.version,
             aCurrent.version,
             aCurrent.version,
             aCurrent.text,
             aText,
             DiffLines(aCurrent.text, aText));
  if (file.empty())
    fmt::print(stderr, "your text could not be saved to a file; copy it from above\n");
  else
    fmt::print(stderr,
               "your text was saved to {}; merge it, put version {} into its first line and run "
               "edit again\n",
               file,
               aCurrent.version);
  PrintWrite(aOptions.json, "conflict", aList, aCurrent.version, {});
  return Conflict;
}

int
ReportWrite(const ToolOptions& aOptions,
            ListName aList,
            const ListText& aBase,
            const std::string& aText,
            const WriteResult& aResult)
{
  const ListVersion version = aResult.current.version;
  switch (aResult.status) {
    case WriteStatus::Written:
      PrintWrite(aOptions.json, "written", aList, version, {});
      return Success;
    case WriteStatus::Unchanged:
      PrintWrite(aOptions.json, "unchanged", aList, version, {});
      return Success;
    case WriteStatus::Checked:
      PrintWrite(aOptions.json, "dry-run", aList, version, {});
      return Success;
    case WriteStatus::Refused:
      fmt::print(stderr, "error: the list is not valid\n{}", FormatFindings(aResult.findings));
      PrintWrite(aOptions.json, "refused", aList, version, aResult.findings);
      return Invalid;
    case WriteStatus::Conflict:
      return ReportConflict(aOptions, aList, aBase, aResult.current, aText);
    case WriteStatus::Unavailable:
      return Unreachable();
    case WriteStatus::Unconfirmed:
      fmt::print(stderr,
                 "error: the store did not confirm the write; compare with \"show\" later\n");
      PrintWrite(aOptions.json, "unconfirmed", aList, version, {});
      return Unconfirmed;
  }
  return Failure;
}

int
ShowAndWrite(const ToolOptions& aOptions,
             ListName aList,
             const ListText& aBase,
             const std::string& aText)
{
  ListEditor editor = MakeEditor(aOptions);
  // A list in another layout is compared in the layout of the new text, so that only changed
  // elements are shown.
  const auto before = ReplaceList(FleetLists{}, aList, aBase.version, aBase.text);
  const auto after = ReplaceList(FleetLists{}, aList, aBase.version, aText);
  const bool rewritten = before && after && aText == SerialiseList(*after, aList);
  const std::string shown = rewritten ? SerialiseList(*before, aList) : aBase.text;
  if (shown != aBase.text)
    Progress("the list is written in the tool's layout; comments in it are lost");
  // The difference belongs to the operator, not to the result that scripts read.
  fmt::print(aOptions.json ? stderr : stdout, "{}", DiffLines(shown, aText));
  std::fflush(stdout);
  return ReportWrite(
    aOptions, aList, aBase, aText, editor.Write(aList, aBase, aText, aOptions.dryRun));
}

int
ListLists(const ToolOptions& aOptions)
{
  ListEditor editor = MakeEditor(aOptions);
  std::vector<ListSummary> summaries;
  for (size_t i = 0; i < kListCount; ++i) {
    const auto list = static_cast<ListName>(i);
    const auto text = editor.Load(list);
    if (!text)
      return Unreachable();
    ListSummary summary{ .list = list, .version = text->version };
    if (text->version != 0)
      summary.valid = ReplaceList(FleetLists{}, list, text->version, text->text).has_value();
    summary.bytes = text->text.size();
    summaries.push_back(summary);
  }
  PrintSummaries(aOptions.json, summaries);
  return Success;
}

int
Show(const ToolOptions& aOptions, const Arguments& aArguments)
{
  const auto list = aArguments.size() >= 2 ? ParseListName(aArguments[1]) : std::nullopt;
  if (!list || aArguments.size() > 3)
    return UsageError("show needs a list and at most one element");
  const auto text = MakeEditor(aOptions).Load(*list);
  if (!text)
    return Unreachable();
  if (text->version == 0) {
    fmt::print(stderr, "error: {} does not exist\n", ObjectName(*list));
    return NotFound;
  }
  if (aArguments.size() == 2) {
    PrintList(aOptions.json, *list, *text);
    return Success;
  }
  const auto element = FindElement(*list, text->text, aArguments[2]);
  if (!element) {
    fmt::print(stderr, "error: {} has no element {}\n", ObjectName(*list), aArguments[2]);
    return NotFound;
  }
  fmt::print("{}\n", *element);
  return Success;
}

int
Set(const ToolOptions& aOptions, const Arguments& aArguments)
{
  const auto list = aArguments.size() >= 3 ? ParseListName(aArguments[1]) : std::nullopt;
  if (!list || (*list != ListName::Plans && *list != ListName::Limits))
    return UsageError("set needs plans or limits, an element and its fields");
  const auto base = MakeEditor(aOptions).Load(*list);
  if (!base)
    return Unreachable();
  ElementChange change{ .name = aArguments[2], .remove = aOptions.remove };
  change.fields.assign(aArguments.begin() + 3, aArguments.end());
  const auto text = ChangeElement(*list, *base, change);
  if (!text) {
    fmt::print(stderr, "error: the change is not valid\n{}", FormatFindings(text.error()));
    PrintWrite(aOptions.json, "refused", *list, base->version, text.error());
    return Invalid;
  }
  return ShowAndWrite(aOptions, *list, *base, *text);
}

int
Edit(const ToolOptions& aOptions, const Arguments& aArguments)
{
  const auto list = aArguments.size() == 2 ? ParseListName(aArguments[1]) : std::nullopt;
  if (!list || aOptions.file.empty())
    return UsageError("edit needs a list and --file");
  auto text = ReadInput(aOptions.file);
  if (!text) {
    fmt::print(stderr, "error: {} cannot be read\n", aOptions.file);
    return Failure;
  }
  const auto edited = TakeVersionLine(*list, *text);
  const auto current = MakeEditor(aOptions).Load(*list);
  if (!current)
    return Unreachable();
  if (!edited)
    Progress(fmt::format("the text has no version line; it replaces version {}", current->version));
  if (edited && *edited != current->version && current->text != *text)
    return ReportConflict(
      aOptions, *list, ListText{ .version = *edited, .text = "" }, *current, *text);
  return ShowAndWrite(aOptions, *list, *current, *text);
}

std::optional<Drain>
ParseDrain(const Arguments& aArguments)
{
  if (aArguments.size() != 4)
    return std::nullopt;
  const auto target = ParseDrainTarget(aArguments[2]);
  if (!target)
    return std::nullopt;
  return Drain{ .target = *target, .name = aArguments[3], .startsAt = WallNow() };
}

std::optional<WallTime>
ParseStart(const std::string& aText)
{
  if (aText.empty())
    return WallNow();
  const bool relative = aText.front() == '+';
  int64_t number = 0;
  const char* end = aText.data() + aText.size();
  const auto [stop, error] = std::from_chars(aText.data() + (relative ? 1 : 0), end, number);
  if (error != std::errc() || stop != end || number < 0)
    return std::nullopt;
  return relative ? WallNow() + std::chrono::seconds(number)
                  : WallTime(std::chrono::milliseconds(number));
}

/// What speaks against a drain now; empty when nothing does.
Findings
JudgeDrain(const ToolOptions& aOptions, const FleetLists& aLists, const Drain& aDrain)
{
  std::vector<FleetStatus> samples;
  for (int i = 0; i < kUseSamples; ++i) {
    if (i > 0)
      std::this_thread::sleep_for(1s);
    Progress(fmt::format("measuring the use of the pools, {} of {}", i + 1, kUseSamples));
    samples.push_back(FetchStatus(aOptions));
  }
  const auto use = MeanUse(aLists, samples);
  return use ? CheckDrain(aLists, aDrain, *use) : use.error();
}

/// Waits, when asked to, until a drain leaves enough. Returns Success or why not.
int
HoldDrain(const ToolOptions& aOptions, const FleetLists& aLists, const Drain& aDrain)
{
  const auto end = std::chrono::steady_clock::now() + aOptions.waitLimit;
  while (true) {
    const Findings findings = JudgeDrain(aOptions, aLists, aDrain);
    if (findings.empty())
      return Success;
    fmt::print(stderr,
               "{}the drain leaves too little\n{}",
               aOptions.wait ? "" : "error: ",
               FormatFindings(findings));
    if (!aOptions.wait)
      return Overload;
    if (std::chrono::steady_clock::now() + aOptions.pollInterval > end)
      return TimedOut;
    Progress("waiting for lower use");
    std::this_thread::sleep_for(aOptions.pollInterval);
  }
}

int
WriteDrains(const ToolOptions& aOptions, const ListText& aBase, const std::vector<Drain>& aDrains)
{
  return ShowAndWrite(aOptions, ListName::Drains, aBase, SerialiseDrains(aDrains));
}

/// The drains of the store with the version they were read at.
struct LoadedDrains
{
  ListText base;
  std::vector<Drain> drains;
};

/// An exit code when the drains cannot be read.
tl::expected<LoadedDrains, int>
LoadDrains(const ToolOptions& aOptions)
{
  const auto base = MakeEditor(aOptions).Load(ListName::Drains);
  if (!base)
    return tl::unexpected(Unreachable());
  LoadedDrains loaded{ .base = *base, .drains = {} };
  if (base->version == 0)
    return loaded;
  const auto parsed = ParseDrains(base->text, ObjectName(ListName::Drains));
  if (!parsed) {
    fmt::print(
      stderr, "error: the list in the store is broken\n{}", FormatFindings(parsed.error()));
    return tl::unexpected(static_cast<int>(Invalid));
  }
  loaded.drains = *parsed;
  return loaded;
}

bool
SameTarget(const Drain& aLeft, const Drain& aRight)
{
  return aLeft.target == aRight.target && aLeft.name == aRight.name;
}

int
AddDrain(const ToolOptions& aOptions, Drain aDrain)
{
  const auto start = ParseStart(aOptions.startsAt);
  if (!start)
    return UsageError("--starts_at is not ms since the epoch or +SECONDS");
  aDrain.startsAt = *start;
  const auto lists = MakeEditor(aOptions).LoadAll();
  if (!lists)
    return ReportLists(lists.error());
  if (const int held = HoldDrain(aOptions, *lists, aDrain); held != Success)
    return held;
  // Read again: the wait may have been long.
  auto loaded = LoadDrains(aOptions);
  if (!loaded)
    return loaded.error();
  std::erase_if(loaded->drains, [&](const Drain& aEntry) { return SameTarget(aEntry, aDrain); });
  loaded->drains.push_back(aDrain);
  return WriteDrains(aOptions, loaded->base, loaded->drains);
}

int
CancelDrain(const ToolOptions& aOptions, const Drain& aDrain)
{
  auto loaded = LoadDrains(aOptions);
  if (!loaded)
    return loaded.error();
  const auto removed =
    std::erase_if(loaded->drains, [&](const Drain& aEntry) { return SameTarget(aEntry, aDrain); });
  if (removed == 0) {
    fmt::print(stderr, "error: {} {} does not drain\n", ToString(aDrain.target), aDrain.name);
    return NotFound;
  }
  return WriteDrains(aOptions, loaded->base, loaded->drains);
}

int
WatchDrains(const ToolOptions& aOptions, const std::optional<Drain>& aOnly)
{
  const auto end = std::chrono::steady_clock::now() + aOptions.waitLimit;
  while (true) {
    const auto lists = MakeEditor(aOptions).LoadAll();
    if (!lists)
      return ReportLists(lists.error());
    const FleetStatus status = FetchStatus(aOptions);
    std::vector<DrainState> states;
    for (const Drain& drain : lists->drains) {
      if (!aOnly || SameTarget(*aOnly, drain))
        states.push_back({ .drain = drain, .progress = ProgressOf(*lists, drain, status) });
    }
    if (states.empty()) {
      fmt::print(stderr, "error: no such drain\n");
      return NotFound;
    }
    PrintDrains(aOptions.json, states);
    std::fflush(stdout);
    if (std::all_of(states.begin(), states.end(), [](const DrainState& aState) {
          return aState.progress->Done();
        }))
      return Success;
    if (std::chrono::steady_clock::now() + aOptions.pollInterval > end)
      return TimedOut;
    std::this_thread::sleep_for(aOptions.pollInterval);
  }
}

int
ListDrains(const ToolOptions& aOptions)
{
  const auto loaded = LoadDrains(aOptions);
  if (!loaded)
    return loaded.error();
  std::vector<DrainState> states;
  for (const Drain& drain : loaded->drains)
    states.push_back({ .drain = drain, .progress = std::nullopt });
  PrintDrains(aOptions.json, states);
  return Success;
}

int
DrainCommand(const ToolOptions& aOptions, const Arguments& aArguments)
{
  const std::string verb = aArguments.size() >= 2 ? aArguments[1] : "";
  const auto drain = ParseDrain(aArguments);
  const bool needsStatus = verb == "add" || verb == "watch";
  if (needsStatus && aOptions.operators.empty())
    return UsageError(fmt::format("drain {} needs --operators", verb));
  if (verb == "list" && aArguments.size() == 2)
    return ListDrains(aOptions);
  if (verb == "watch" && (drain || aArguments.size() == 2))
    return WatchDrains(aOptions, drain);
  if (verb == "add" && drain)
    return AddDrain(aOptions, *drain);
  if (verb == "cancel" && drain)
    return CancelDrain(aOptions, *drain);
  return UsageError("drain needs list, watch, or add or cancel with a target and a name");
}

int
ShowStatus(const ToolOptions& aOptions)
{
  if (aOptions.operators.empty())
    return UsageError("status needs --operators");
  const FleetStatus status = FetchStatus(aOptions);
  PrintStatus(aOptions.json, status);
  // A part of the fleet is still worth showing, but scripts must notice.
  return status.size() == aOptions.operators.size() ? Success : Unavailable;
}

int
Check(const ToolOptions& aOptions, const Arguments& aArguments)
{
  if (aArguments.size() > 2)
    return UsageError("check needs at most one manifest");
  CheckArguments check = aOptions.check;
  if (aArguments.size() == 2)
    check.manifest = aArguments[1];
  check.json = check.json || aOptions.json;
  return RunCheck(check);
}

} // namespace

int
RunCommand(const ToolOptions& aOptions, const std::vector<std::string>& aArguments)
{
  if (aArguments.empty())
    return UsageError("no command");
  const std::string& command = aArguments[0];
  if (command == "status")
    return ShowStatus(aOptions);
  if (command == "check")
    return Check(aOptions, aArguments);
  if (aOptions.store.port == 0)
    return UsageError("--store is missing");
  if (command == "list")
    return ListLists(aOptions);
  if (command == "show")
    return Show(aOptions, aArguments);
  if (command == "set")
    return Set(aOptions, aArguments);
  if (command == "edit")
    return Edit(aOptions, aArguments);
  if (command == "drain")
    return DrainCommand(aOptions, aArguments);
  return UsageError(fmt::format("unknown command \"{}\"", command));
}

} // namespace dfm
