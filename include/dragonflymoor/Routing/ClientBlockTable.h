#ifndef DRAGONFLYMOOR_ROUTING_CLIENTBLOCKTABLE_H
#define DRAGONFLYMOOR_ROUTING_CLIENTBLOCKTABLE_H

#include "dragonflymoor/Model/Fleet.h"
#include "dragonflymoor/Support/Finding.h"
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dfm {

/// Number of a site, an index into the list of sites.
using SiteIndex = uint16_t;

/// A block of client addresses and the site that serves it.
struct ClientBlock
{
  uint32_t first = 0; ///< Lowest IPv4 address of the block in host byte order.
  SiteIndex site = 0;
  uint8_t prefixLength = 24;
  uint8_t reserved = 0; ///< Zero.

  auto operator<=>(const ClientBlock&) const = default;

  /// Highest address of the block. Precondition: prefixLength is 1 to 32.
  uint32_t Last() const { return first | (0xffffffffU >> 1U >> (prefixLength - 1U)); }
};

// 4 million blocks must fit in 32 MB.
static_assert(sizeof(ClientBlock) == 8);

/// A part of the table that fits one store object, immutable. Blocks are sorted and disjoint.
class ClientBlockChunk
{
public:
  /// Blocks in one chunk: 8 bytes each within the store's 1 MB.
  static constexpr size_t kMaxBlocks = 128 * 1024;

  /// Checks that the blocks are sorted, disjoint, aligned to their length and at most kMaxBlocks.
  /// Findings name the first ten bad blocks, as "<place>: blocks[7]".
  static Checked<std::shared_ptr<const ClientBlockChunk>> Build(std::vector<ClientBlock> aBlocks,
                                                                ListVersion aVersion,
                                                                std::string_view aPlace);
  /// Reads the binary form: 8 bytes a block, little-endian (first, site, prefix length, 0).
  static Checked<std::shared_ptr<const ClientBlockChunk>> Parse(std::string_view aBytes,
                                                                ListVersion aVersion,
                                                                std::string_view aPlace);
  std::string Serialise() const;

  /// Site of the block that contains the address. Takes O(log log n) steps on evenly spread blocks,
  /// O(log n) at worst. Safe to call from any thread.
  std::optional<SiteIndex> Find(uint32_t aAddress) const;

  ListVersion Version() const { return version_; }
  std::span<const ClientBlock> Blocks() const { return blocks_; }

private:
  ClientBlockChunk(std::vector<ClientBlock> aBlocks, ListVersion aVersion);

  std::vector<ClientBlock> blocks_;
  ListVersion version_ = 0;
};

/// Table from client addresses to sites, in chunks by address range, so that a VM loads and updates
/// it in parts. Immutable; traffic threads read a shared copy. An address of a chunk that is not
/// loaded yet, or of no block, is answered with the VM's own site.
class ClientBlockTable
{
public:
  /// aChunkStarts: lowest address of each chunk, ascending, the first one 0.
  ClientBlockTable(std::vector<uint32_t> aChunkStarts, SiteIndex aOwnSite);

  /// Cuts sorted blocks into chunks of at most aBlocksPerChunk.
  static Checked<ClientBlockTable> FromBlocks(
    std::span<const ClientBlock> aBlocks,
    ListVersion aVersion,
    SiteIndex aOwnSite,
    size_t aBlocksPerChunk = ClientBlockChunk::kMaxBlocks);

  /// This table with one chunk replaced; all other chunks are shared with it. A chunk with a lower
  /// version than the one held changes nothing. A finding when a block lies outside the chunk's
  /// range.
  Checked<ClientBlockTable> WithChunk(size_t aIndex,
                                      std::shared_ptr<const ClientBlockChunk> aChunk) const;

  /// Never fails; see the class comment. Safe to call from any thread.
  SiteIndex Find(uint32_t aAddress) const;

  /// Whether all chunks are loaded.
  bool Complete() const;
  size_t ChunkCount() const { return starts_.size(); }
  /// Version of a chunk, 0 when it is not loaded.
  ListVersion VersionOf(size_t aIndex) const;
  size_t BlockCount() const;
  /// Memory held by the chunks.
  size_t Bytes() const;

private:
  std::vector<uint32_t> starts_;
  std::vector<std::shared_ptr<const ClientBlockChunk>> chunks_;
  SiteIndex ownSite_ = 0;
};

} // namespace dfm

#endif
