#ifndef DRAGONFLYMOOR_OPERATOR_LISTEDITOR_H
#define DRAGONFLYMOOR_OPERATOR_LISTEDITOR_H

#include "dragonflymoor/Engine/Engine.h"
#include "dragonflymoor/Model/Fleet.h"
#include "dragonflymoor/Support/Finding.h"
#include "dragonflymoor/Support/Time.h"
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace dfm {

/// A list as the store holds it; version 0 and no text when it does not exist.
struct ListText
{
  ListVersion version = 0;
  std::string text;

  auto operator<=>(const ListText&) const = default;
};

/// Message of the finding of a list that could not be read.
constexpr std::string_view kStoreSilent = "the store does not answer";

enum class WriteStatus
{
  Written,     ///< The store holds the proposed text.
  Unchanged,   ///< It held it before.
  Checked,     ///< Dry run: it would have been written.
  Refused,     ///< The findings tell what is wrong with the proposed text.
  Conflict,    ///< Another operator has changed the list since it was read.
  Unavailable, ///< The store does not answer; nothing was written.
  Unconfirmed, ///< The answer to the write was lost and the store cannot be read: it may be
               ///< written.
};

struct WriteResult
{
  WriteStatus status = WriteStatus::Unavailable;
  ListText current; ///< With Written the new version, with Conflict the other operator's.
  Findings findings;

  auto operator<=>(const WriteResult&) const = default;
};

struct ListEditorHooks
{
  /// Carries out a get or put.
  std::function<StoreResult(const StoreCall&)> callStore;
  std::function<void(Duration)> wait;
  /// Tells the operator about what takes long.
  std::function<void(const std::string&)> progress;
};

/// Reads the lists of the store and changes them by conditional update. Not thread-safe.
class ListEditor
{
public:
  /// Precondition: every hook is set.
  explicit ListEditor(ListEditorHooks aHooks);

  /// Reads one list; empty when the store does not answer.
  std::optional<ListText> Load(ListName aList);
  /// Reads and parses all lists. A list that cannot be parsed gives its findings.
  Checked<FleetLists> LoadAll();

  /// Replaces a list that was read as aBase. References to other lists that the change breaks are
  /// refused; those that were broken before are not. A lost answer is confirmed by reading back.
  WriteResult Write(ListName aList, const ListText& aBase, const std::string& aText, bool aDryRun);

private:
  WriteResult Put(ListName aList, const ListText& aBase, const std::string& aText);
  std::optional<Findings> Check(ListName aList, const std::string& aText);

  ListEditorHooks hooks_;
};

/// First line that states the version of a text, "// config/plans version 7". A text that an
/// operator edits keeps it, so that a change by somebody else in between is noticed.
std::string
VersionLine(ListName aList, ListVersion aVersion);

/// Takes the version line off a text. Empty when it has none, or one of another list.
std::optional<ListVersion>
TakeVersionLine(ListName aList, std::string& aText);

} // namespace dfm

#endif
