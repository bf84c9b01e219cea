#ifndef DRAGONFLYMOOR_STEERING_SPLITCHOOSER_H
#define DRAGONFLYMOOR_STEERING_SPLITCHOOSER_H

#include "dragonflymoor/Steering/Manifest.h"
#include <unordered_map>

namespace dfm {

/// Divides the requests of each route between its parts by weight, by smooth weighted round robin:
/// after n requests no part is more than one request off its share. Not thread-safe.
class SplitChooser
{
public:
  /// The service for the next request of aRoute. Precondition: aRoute has parts.
  const ServiceId& Choose(const Route& aRoute);

private:
  struct Credits
  {
    std::vector<SplitPart> parts; ///< Start anew when these change.
    std::vector<double> credit;
  };
  std::unordered_map<std::string, Credits> creditsByRoute_;
};

} // namespace dfm

#endif
