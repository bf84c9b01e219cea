#include "dragonflymoor/Routing/ClientBlockTable.h"

#include <algorithm>
#include <bit>
#include <cassert>
#include <cstring>
#include <fmt/format.h>
#include <limits>

namespace dfm {

namespace {

constexpr size_t kMaxFindings = 10;
// Interpolation ends here; the rest is a scan of one or two cache lines.
constexpr size_t kScanBlocks = 8;
// Uneven data makes interpolation slow; after this many steps bisection takes over.
constexpr int kInterpolationSteps = 4;

/// What is wrong with a block; empty when nothing.
std::string
Check(const ClientBlock& aBlock, const ClientBlock* aPrevious)
{
  if (aBlock.prefixLength < 1 || aBlock.prefixLength > 32)
    return fmt::format("prefix length {} is not from 1 to 32", aBlock.prefixLength);
  if (aBlock.reserved != 0)
    return "reserved byte is not zero";
  if ((aBlock.first & (0xffffffffU >> 1U >> (aBlock.prefixLength - 1U))) != 0)
    return "address is not aligned to the prefix length";
  if (aPrevious != nullptr && aPrevious->Last() >= aBlock.first)
    return "overlaps the block before it or is out of order";
  return {};
}

/// Index of the last block whose first address is at most aAddress. Precondition: such a block
/// exists.
size_t
LastAtMost(std::span<const ClientBlock> aBlocks, uint32_t aAddress)
{
  size_t low = 0;
  size_t high = aBlocks.size();
  for (int step = 0; high - low > kScanBlocks; ++step) {
    size_t middle = low + (high - low) / 2;
    if (step < kInterpolationSteps) {
      const uint64_t range = uint64_t{ aBlocks[high - 1].first } - aBlocks[low].first;
      const uint64_t offset = uint64_t{ aAddress } - aBlocks[low].first;
      if (offset >= range)
        middle = high - 1;
      else
        middle = low + 1 + static_cast<size_t>(offset * (high - low - 2) / range);
    }
    if (aBlocks[middle].first <= aAddress)
      low = middle;
    else
      high = middle;
    // Interpolation lands next to the address; a bracket of a few blocks there ends the search.
    if (step < kInterpolationSteps && high - low > kScanBlocks) {
      if (low == middle && aBlocks[std::min(low + kScanBlocks, high - 1)].first > aAddress)
        high = std::min(low + kScanBlocks, high);
      else if (high == middle && aBlocks[std::max(high - kScanBlocks, low)].first <= aAddress)
        low = std::max(high - kScanBlocks, low);
    }
  }
  while (low + 1 < high && aBlocks[low + 1].first <= aAddress)
    ++low;
  return low;
}

} // namespace

ClientBlockChunk::ClientBlockChunk(std::vector<ClientBlock> aBlocks, ListVersion aVersion)
  : blocks_(std::move(aBlocks))
  , version_(aVersion)
{
  blocks_.shrink_to_fit();
}

Checked<std::shared_ptr<const ClientBlockChunk>>
ClientBlockChunk::Build(std::vector<ClientBlock> aBlocks,
                        ListVersion aVersion,
                        std::string_view aPlace)
{
  Findings findings;
  if (aBlocks.size() > kMaxBlocks)
    findings.push_back({ .place = std::string(aPlace),
                         .message = fmt::format(
                           "has {} blocks, at most {} are allowed", aBlocks.size(), kMaxBlocks) });
  const ClientBlock* previous = nullptr;
  for (size_t i = 0; i < aBlocks.size() && findings.size() < kMaxFindings; ++i) {
    std::string message = Check(aBlocks[i], previous);
    if (message.empty())
      previous = &aBlocks[i];
    else
      findings.push_back(
        { .place = fmt::format("{}: blocks[{}]", aPlace, i), .message = std::move(message) });
  }
  if (!findings.empty())
    return tl::make_unexpected(std::move(findings));
  return std::shared_ptr<const ClientBlockChunk>(
    new ClientBlockChunk(std::move(aBlocks), aVersion));
}

Checked<std::shared_ptr<const ClientBlockChunk>>
ClientBlockChunk::Parse(std::string_view aBytes, ListVersion aVersion, std::string_view aPlace)
{
  static_assert(std::endian::native == std::endian::little, "the binary form is little-endian");
  if (aBytes.size() % sizeof(ClientBlock) != 0 || aBytes.size() / sizeof(ClientBlock) > kMaxBlocks)
    return tl::make_unexpected(
      Findings{ { .place = std::string(aPlace),
                  .message = fmt::format("has {} bytes, expected up to {} blocks of {} bytes",
                                         aBytes.size(),
                                         kMaxBlocks,
                                         sizeof(ClientBlock)) } });
  std::vector<ClientBlock> blocks(aBytes.size() / sizeof(ClientBlock));
  if (!blocks.empty())
    std::memcpy(blocks.data(), aBytes.data(), aBytes.size());
  return Build(std::move(blocks), aVersion, aPlace);
}

std::string
ClientBlockChunk::Serialise() const
{
  std::string bytes(blocks_.size() * sizeof(ClientBlock), '\0');
  if (!blocks_.empty())
    std::memcpy(bytes.data(), blocks_.data(), bytes.size());
  return bytes;
}

std::optional<SiteIndex>
ClientBlockChunk::Find(uint32_t aAddress) const
{
  if (blocks_.empty() || aAddress < blocks_.front().first)
    return std::nullopt;
  const ClientBlock& block = blocks_[LastAtMost(blocks_, aAddress)];
  return aAddress <= block.Last() ? std::optional(block.site) : std::nullopt;
}

ClientBlockTable::ClientBlockTable(std::vector<uint32_t> aChunkStarts, SiteIndex aOwnSite)
  : starts_(std::move(aChunkStarts))
  , chunks_(starts_.size())
  , ownSite_(aOwnSite)
{
  assert(!starts_.empty() && starts_.front() == 0 && "the first chunk must start at address 0");
  assert(std::is_sorted(starts_.begin(), starts_.end()) && "chunks are not in order");
}

Checked<ClientBlockTable>
ClientBlockTable::FromBlocks(std::span<const ClientBlock> aBlocks,
                             ListVersion aVersion,
                             SiteIndex aOwnSite,
                             size_t aBlocksPerChunk)
{
  assert(aBlocksPerChunk > 0 && "empty chunks");
  std::vector<uint32_t> starts{ 0 };
  for (size_t i = aBlocksPerChunk; i < aBlocks.size(); i += aBlocksPerChunk)
    starts.push_back(aBlocks[i].first);
  if (!std::is_sorted(starts.begin(), starts.end()))
    return tl::make_unexpected(
      Findings{ { .place = "blocks", .message = "blocks are out of order" } });
  ClientBlockTable table(std::move(starts), aOwnSite);
  for (size_t i = 0; i < table.ChunkCount(); ++i) {
    const auto part = aBlocks.subspan(
      i * aBlocksPerChunk, std::min(aBlocksPerChunk, aBlocks.size() - i * aBlocksPerChunk));
    auto chunk =
      ClientBlockChunk::Build({ part.begin(), part.end() }, aVersion, fmt::format("chunks[{}]", i));
    if (!chunk)
      return tl::make_unexpected(std::move(chunk.error()));
    Checked<ClientBlockTable> next = table.WithChunk(i, std::move(*chunk));
    if (!next)
      return next;
    table = std::move(*next);
  }
  return table;
}

Checked<ClientBlockTable>
ClientBlockTable::WithChunk(size_t aIndex, std::shared_ptr<const ClientBlockChunk> aChunk) const
{
  assert(aIndex < chunks_.size() && aChunk && "no such chunk");
  if (aChunk->Version() < VersionOf(aIndex))
    return *this;
  const auto blocks = aChunk->Blocks();
  const uint32_t last =
    aIndex + 1 < starts_.size() ? starts_[aIndex + 1] - 1 : std::numeric_limits<uint32_t>::max();
  if (!blocks.empty() && (blocks.front().first < starts_[aIndex] || blocks.back().Last() > last))
    return tl::make_unexpected(
      Findings{ { .place = fmt::format("chunks[{}]", aIndex),
                  .message = "holds a block outside its address range" } });
  ClientBlockTable table = *this;
  table.chunks_[aIndex] = std::move(aChunk);
  return table;
}

SiteIndex
ClientBlockTable::Find(uint32_t aAddress) const
{
  const auto after = std::upper_bound(starts_.begin(), starts_.end(), aAddress);
  const auto& chunk = chunks_[static_cast<size_t>(after - starts_.begin()) - 1];
  return chunk ? chunk->Find(aAddress).value_or(ownSite_) : ownSite_;
}

bool
ClientBlockTable::Complete() const
{
  return std::all_of(
    chunks_.begin(), chunks_.end(), [](const auto& aChunk) { return aChunk != nullptr; });
}

ListVersion
ClientBlockTable::VersionOf(size_t aIndex) const
{
  const auto& chunk = chunks_.at(aIndex);
  return chunk ? chunk->Version() : 0;
}

size_t
ClientBlockTable::BlockCount() const
{
  size_t count = 0;
  for (const auto& chunk : chunks_)
    count += chunk ? chunk->Blocks().size() : 0;
  return count;
}

size_t
ClientBlockTable::Bytes() const
{
  return BlockCount() * sizeof(ClientBlock) +
         chunks_.size() * (sizeof(ClientBlockChunk) + sizeof(chunks_[0]) + sizeof(starts_[0]));
}

} // namespace dfm
