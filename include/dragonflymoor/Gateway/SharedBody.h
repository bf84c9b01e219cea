#ifndef DRAGONFLYMOOR_GATEWAY_SHAREDBODY_H
#define DRAGONFLYMOOR_GATEWAY_SHAREDBODY_H

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dfm {

/// Bytes in segments of a fixed size, so that appending never moves what is there: a single string
/// would for a moment hold a long body twice. Not thread-safe; safe to read from any thread while
/// nothing is appended.
class SegmentedBytes
{
public:
  /// Large enough that the allocator returns a freed segment to the system.
  static constexpr size_t kSegmentBytes = 256UL * 1024;

  void Append(std::string_view aBytes)
  {
    size_ += aBytes.size();
    while (!aBytes.empty()) {
      if (segments_.empty() || segments_.back().size() == kSegmentBytes)
        AddSegment();
      std::string& segment = segments_.back();
      const size_t count = std::min(aBytes.size(), kSegmentBytes - segment.size());
      segment.append(aBytes.substr(0, count));
      aBytes.remove_prefix(count);
    }
  }
  size_t Size() const { return size_; }
  bool Empty() const { return size_ == 0; }
  /// All segments but the last have kSegmentBytes.
  const std::vector<std::string>& Segments() const { return segments_; }

  /// Prepares for aSize bytes to be appended. The memory is not touched before they are.
  /// Precondition: nothing has been appended.
  void Reserve(size_t aSize)
  {
    if (aSize > 0)
      segments_.emplace_back().reserve(std::min(aSize, kSegmentBytes));
  }

  /// Upper bound of the memory that aSize bytes occupy, in bytes. aReserved tells whether Reserve
  /// was called.
  static constexpr size_t StorageFor(size_t aSize, bool aReserved)
  {
    if (aSize > kSegmentBytes)
      return (aSize + kSegmentBytes - 1) / kSegmentBytes * kSegmentBytes;
    // A growing segment doubles, and holds the old bytes besides the new ones for a moment.
    return aReserved ? aSize : std::min(aSize * 3, kSegmentBytes);
  }

private:
  void AddSegment()
  {
    const bool first = segments_.empty();
    segments_.emplace_back();
    if (!first)
      segments_.back().reserve(kSegmentBytes);
  }

  std::vector<std::string> segments_;
  size_t size_ = 0;
};

/// Body of a message that is read into SegmentedBytes.
struct SegmentedBody
{
  using value_type = SegmentedBytes;

  class reader
  {
  public:
    template<bool kIsRequest, typename Fields>
    reader(boost::beast::http::header<kIsRequest, Fields>& /*aHeader*/, value_type& aBody)
      : body_(aBody)
    {
    }
    void init(const boost::optional<uint64_t>& aLength, boost::beast::error_code& aError)
    {
      if (aLength)
        body_.Reserve(std::min<uint64_t>(*aLength, SegmentedBytes::kSegmentBytes));
      aError = {};
    }
    template<typename Buffers>
    size_t put(const Buffers& aBuffers, boost::beast::error_code& aError)
    {
      aError = {};
      size_t count = 0;
      for (const boost::asio::const_buffer buffer : boost::beast::buffers_range_ref(aBuffers)) {
        body_.Append({ static_cast<const char*>(buffer.data()), buffer.size() });
        count += buffer.size();
      }
      return count;
    }
    void finish(boost::beast::error_code& aError) { aError = {}; }

  private:
    value_type& body_;
  };
};

/// Body of a message that is sent from bytes that several messages share; null for no body.
struct SharedBody
{
  using value_type = std::shared_ptr<const SegmentedBytes>;

  class writer
  {
  public:
    using const_buffers_type = boost::asio::const_buffer;

    template<bool kIsRequest, typename Fields>
    writer(const boost::beast::http::header<kIsRequest, Fields>& /*aHeader*/,
           const value_type& aBody)
      : body_(aBody)
    {
    }
    void init(boost::beast::error_code& aError) { aError = {}; }
    boost::optional<std::pair<const_buffers_type, bool>> get(boost::beast::error_code& aError)
    {
      aError = {};
      if (body_ == nullptr || next_ == body_->Segments().size())
        return boost::none;
      const std::string& segment = body_->Segments()[next_++];
      return { { boost::asio::buffer(segment), next_ < body_->Segments().size() } };
    }

  private:
    const value_type& body_;
    size_t next_ = 0;
  };
};

} // namespace dfm

#endif
