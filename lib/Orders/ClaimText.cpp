#include "dragonflymoor/Orders/ClaimText.h"

#include "Escape.h"
#include <array>
#include <fmt/format.h>
#include <optional>

namespace dfm {

namespace {

constexpr std::string_view kHeader = "claims 1";

std::string_view
StateName(ClaimState aState)
{
  return aState == ClaimState::Claimed ? "claimed" : "refused";
}

std::string
FormatClaim(const Claim& aClaim)
{
  return fmt::format("{} {} {} {:016x}\n",
                     ToHex(aClaim.key),
                     StateName(aClaim.state),
                     EscapeName(aClaim.claimer.vm.Value()),
                     aClaim.claimer.incarnation.value);
}

std::optional<ClaimState>
ParseState(std::string_view aText)
{
  for (const ClaimState state : { ClaimState::Claimed, ClaimState::Refused }) {
    if (StateName(state) == aText)
      return state;
  }
  return std::nullopt;
}

std::optional<Hash128>
ParseKey(std::string_view aText)
{
  constexpr size_t kHalf = 16;
  if (aText.size() != 2 * kHalf)
    return std::nullopt;
  const auto high = ParseHex64(aText.substr(0, kHalf));
  const auto low = ParseHex64(aText.substr(kHalf));
  if (!high || !low)
    return std::nullopt;
  return Hash128{ .high = *high, .low = *low };
}

std::optional<Claim>
ParseClaim(std::string_view aLine)
{
  constexpr size_t kFields = 4;
  std::array<std::string_view, kFields> fields;
  for (size_t i = 0; i < kFields; ++i) {
    const size_t end = aLine.find(' ');
    if ((end == std::string_view::npos) != (i + 1 == kFields))
      return std::nullopt;
    fields.at(i) = aLine.substr(0, end);
    aLine = end == std::string_view::npos ? std::string_view() : aLine.substr(end + 1);
  }
  const auto key = ParseKey(fields[0]);
  const auto state = ParseState(fields[1]);
  const auto vm = UnescapeName(fields[2]);
  const auto incarnation = ParseHex64(fields[3]);
  if (!key || !state || !vm || !incarnation)
    return std::nullopt;
  return Claim{ .key = *key,
                .state = *state,
                .claimer = { .vm = VmId(*vm), .incarnation = Incarnation{ *incarnation } } };
}

} // namespace

std::string
FormatClaims(const ClaimMap& aClaims)
{
  std::string text = fmt::format("{}\n", kHeader);
  for (const auto& [key, claim] : aClaims)
    text += FormatClaim(claim);
  return text;
}

Checked<ClaimMap>
ParseClaims(std::string_view aObject, std::string_view aText)
{
  ClaimMap claims;
  Findings findings;
  size_t number = 0;
  const auto report = [&](std::string aMessage) {
    findings.push_back(
      { .place = fmt::format("{}: line {}", aObject, number), .message = std::move(aMessage) });
  };
  while (!aText.empty()) {
    ++number;
    const size_t end = aText.find('\n');
    const std::string_view line = aText.substr(0, end);
    if (end == std::string_view::npos)
      report("the line is not terminated; the object was cut off");
    aText = end == std::string_view::npos ? std::string_view() : aText.substr(end + 1);
    if (number == 1) {
      if (line != kHeader)
        report(fmt::format("the first line is not \"{}\"", kHeader));
      continue;
    }
    const auto claim = ParseClaim(line);
    if (!claim)
      report("not a claim");
    else if (!claims.emplace(claim->key, *claim).second)
      report(fmt::format("second claim for key {}", ToHex(claim->key)));
  }
  if (number == 0)
    report("the object is empty");
  if (!findings.empty())
    return tl::unexpected(findings);
  return claims;
}

size_t
ClaimTextSize(const Claim& aClaim)
{
  return FormatClaim(aClaim).size();
}

} // namespace dfm
