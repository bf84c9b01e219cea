#include "dragonflymoor/Steering/StoreRevision.h"

#include <fmt/format.h>

namespace dfm {

std::string
ToText(const StoreRevision& aRevision)
{
  return fmt::format("{}.{}", aRevision.epoch, aRevision.number);
}

} // namespace dfm
