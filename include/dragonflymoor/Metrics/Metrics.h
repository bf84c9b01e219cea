#ifndef DRAGONFLYMOOR_METRICS_METRICS_H
#define DRAGONFLYMOOR_METRICS_METRICS_H

#include "dragonflymoor/Model/Outcome.h"
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace dfm {

/// Counters and gauges of the daemon. Safe to use from any thread.
class Metrics
{
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// Adds aAmount, which must not be negative, to the counter dragonflymoor_<name>_total with the
  /// reason as label. Characters that a metric name can't have become underscores.
  void Count(std::string_view aName, Reason aReason = Reason::None, double aAmount = 1);

  /// As Count, with a kind of the caller's own as the value of the label reason. aKind must be one
  /// of a small fixed set.
  void CountKind(std::string_view aName, std::string_view aKind);

  /// Sets the gauge dragonflymoor_<name>.
  void SetGauge(std::string_view aName,
                double aValue,
                const std::map<std::string, std::string>& aLabels = {});

  /// Adds aSeconds to the histogram dragonflymoor_<name>_seconds of one value of the label.
  void Observe(std::string_view aName,
               std::string_view aLabel,
               std::string_view aLabelValue,
               double aSeconds);

  /// All metrics in the text format of Prometheus.
  std::string Text() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace dfm

#endif
