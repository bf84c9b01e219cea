#ifndef DRAGONFLYMOOR_TOOLS_SLOPES_FIT_H
#define DRAGONFLYMOOR_TOOLS_SLOPES_FIT_H

#include <string_view>
#include <utility>
#include <vector>

namespace dfm::slopes {

/// A measured quantity at several sizes.
using Series = std::vector<std::pair<double, double>>;

/// Prints the points and the least-squares line through them, with its value at aDesignSize.
void
PrintFit(std::string_view aWhat,
         std::string_view aSizeUnit,
         std::string_view aUnit,
         const Series& aSeries,
         double aDesignSize);

/// CPU time of the calling thread in seconds.
double
ThreadCpuSeconds();

/// The measurements; each prints its series. aQuick takes smaller sizes, for a check that the
/// program runs.
void
MeasureBlockLookup(bool aQuick);
void
MeasureMembership(bool aQuick);
void
MeasureListChange(bool aQuick);
void
MeasureListParse(bool aQuick);
void
MeasureRouteTable(bool aQuick);
void
MeasureShares(bool aQuick);
void
MeasureClaims(bool aQuick);
void
MeasureDispatch(bool aQuick);

} // namespace dfm::slopes

#endif
