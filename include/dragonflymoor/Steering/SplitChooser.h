#ifndef DRAGONFLYMOOR_STEERING_SPLITCHOOSER_H
#define DRAGONFLYMOOR_STEERING_SPLITCHOOSER_H

#include "dragonflymoor/Steering/Manifest.h"
#include <unordered_map>

namespace dfm {

/// Distributes the requests of each route over its parts according to their weights by smooth
/// weighted round robin: at any time no part deviates from its share by more than one request. Not
/// thread-safe.
class SplitChooser
{
public:
  /// Returns the service for the next request of aRoute. Precondition: aRoute has parts.
  const ServiceId& Choose(const Route& aRoute);

private:
  struct Credits
  {
    std::vector<SplitPart> parts;     ///< The credits are reset when the parts change.
    std::vector<double> creditByPart; ///< In the order of parts.
  };
  std::unordered_map<std::string, Credits> creditsByRoute_;
};

} // namespace dfm

#endif
