#include "dragonflymoor/Operator/ListEditor.h"

#include "dragonflymoor/Model/Lists.h"
#include <algorithm>
#include <cassert>
#include <charconv>
#include <fmt/format.h>

namespace dfm {

namespace {

constexpr int kMaxTries = 5; ///< Reads and writes after a lost answer.
constexpr Duration kRetryPause = 500ms;

std::string
VersionPrefix(ListName aList)
{
  return fmt::format("// {} version ", ObjectName(aList));
}

StoreCall
MakeCall(StoreCall::Kind aKind, ListName aList)
{
  StoreCall call;
  call.kind = aKind;
  call.object = ObjectName(aList);
  return call;
}

Findings
StoreFinding(ListName aList)
{
  return { { .place = std::string(ObjectName(aList)), .message = std::string(kStoreSilent) } };
}

} // namespace

ListEditor::ListEditor(ListEditorHooks aHooks)
  : hooks_(std::move(aHooks))
{
  assert(hooks_.callStore && hooks_.wait && hooks_.progress && "hook missing");
}

std::optional<ListText>
ListEditor::Load(ListName aList)
{
  for (int i = 1; i <= kMaxTries; ++i) {
    const StoreResult result = hooks_.callStore(MakeCall(StoreCall::Kind::Get, aList));
    if (result.status == StoreStatus::Ok)
      return ListText{ .version = result.version, .text = result.content };
    if (result.status == StoreStatus::NotFound)
      return ListText{};
    hooks_.progress(fmt::format("the store does not answer, try {} of {}", i, kMaxTries));
    if (i < kMaxTries)
      hooks_.wait(kRetryPause);
  }
  return std::nullopt;
}

Checked<FleetLists>
ListEditor::LoadAll()
{
  FleetLists lists;
  Findings findings;
  for (size_t i = 0; i < kListCount; ++i) {
    const auto name = static_cast<ListName>(i);
    const auto loaded = Load(name);
    if (!loaded)
      return tl::unexpected(StoreFinding(name));
    if (loaded->version == 0)
      continue;
    auto replaced = ReplaceList(lists, name, loaded->version, loaded->text);
    if (replaced)
      lists = std::move(*replaced);
    else
      findings.insert(findings.end(), replaced.error().begin(), replaced.error().end());
  }
  if (!findings.empty())
    return tl::unexpected(findings);
  return lists;
}

/// Empty when the store does not answer.
std::optional<Findings>
ListEditor::Check(ListName aList, const std::string& aText)
{
  const auto alone = ReplaceList(FleetLists{}, aList, 1, aText);
  if (!alone)
    return alone.error();
  FleetLists others;
  for (size_t i = 0; i < kListCount; ++i) {
    const auto name = static_cast<ListName>(i);
    const auto loaded = Load(name);
    if (!loaded)
      return std::nullopt;
    // A broken list is refused by the VMs, too; it must not keep others from being repaired.
    if (auto parsed = ReplaceList(others, name, loaded->version, loaded->text))
      others = std::move(*parsed);
  }
  const Findings before = CheckReferences(others);
  Findings after = CheckReferences(*ReplaceList(others, aList, 1, aText));
  std::erase_if(after, [&](const Finding& aFinding) {
    return std::find(before.begin(), before.end(), aFinding) != before.end();
  });
  return after;
}

WriteResult
ListEditor::Write(ListName aList, const ListText& aBase, const std::string& aText, bool aDryRun)
{
  WriteResult result;
  result.current = aBase;
  const auto findings = Check(aList, aText);
  if (!findings)
    return result;
  if (!findings->empty()) {
    result.status = WriteStatus::Refused;
    result.findings = *findings;
    return result;
  }
  const auto current = Load(aList);
  if (!current)
    return result;
  result.current = *current;
  result.status = WriteStatus::Unchanged;
  if (current->text == aText && current->version != 0)
    return result;
  result.status = WriteStatus::Conflict;
  if (current->version != aBase.version)
    return result;
  result.status = WriteStatus::Checked;
  if (aDryRun)
    return result;
  return Put(aList, *current, aText);
}

WriteResult
ListEditor::Put(ListName aList, const ListText& aBase, const std::string& aText)
{
  StoreCall put = MakeCall(StoreCall::Kind::Put, aList);
  put.expectedVersion = aBase.version;
  put.content = aText;
  WriteResult result;
  result.current = aBase;
  result.status = WriteStatus::Unconfirmed;
  for (int i = 1; i <= kMaxTries; ++i) {
    const StoreResult answer = hooks_.callStore(put);
    if (answer.status == StoreStatus::Ok) {
      result.status = WriteStatus::Written;
      result.current = ListText{ .version = answer.version, .text = aText };
      return result;
    }
    hooks_.progress("the write is not confirmed, reading back");
    const auto current = Load(aList);
    if (!current)
      return result;
    result.current = *current;
    if (current->text == aText && current->version != aBase.version) {
      result.status = WriteStatus::Written;
      return result;
    }
    if (current->version != aBase.version) {
      result.status = WriteStatus::Conflict;
      return result;
    }
    // The write may still be on its way. A second one with the same condition cannot take effect
    // twice.
    hooks_.wait(kRetryPause);
  }
  return result;
}

std::string
VersionLine(ListName aList, ListVersion aVersion)
{
  return fmt::format("{}{}\n", VersionPrefix(aList), aVersion);
}

std::optional<ListVersion>
TakeVersionLine(ListName aList, std::string& aText)
{
  const std::string prefix = VersionPrefix(aList);
  if (!aText.starts_with(prefix))
    return std::nullopt;
  const size_t end = std::min(aText.find('\n'), aText.size());
  ListVersion version = 0;
  const char* last = aText.data() + end;
  const auto [stop, error] = std::from_chars(aText.data() + prefix.size(), last, version);
  if (error != std::errc() || stop != last)
    return std::nullopt;
  aText.erase(0, end + 1);
  return version;
}

} // namespace dfm
