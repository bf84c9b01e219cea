#include "dragonflymoor/Metrics/Metrics.h"

#include <mutex>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <sstream>
#include <utility>

namespace dfm {

namespace {

std::string
MetricName(std::string_view aName, std::string_view aSuffix)
{
  std::string name = "dragonflymoor_";
  for (const char c : aName) {
    const bool valid = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
    name += valid ? c : '_';
  }
  name += aSuffix;
  return name;
}

} // namespace

namespace {

/// Upper bounds of the latency histograms in seconds: dense where the goals of requests lie.
const prometheus::Histogram::BucketBoundaries kLatencyBounds{ 0.01, 0.025, 0.05, 0.1, 0.15, 0.2,
                                                              0.3,  0.4,   0.6,  0.8, 1,    1.5,
                                                              2,    3,     5,    10 };

} // namespace

struct Metrics::Impl
{
  prometheus::Registry registry;
  std::mutex mutex;
  /// Looked up by every count; the registry's own look-up hashes all labels each time.
  std::map<std::pair<std::string, Reason>, prometheus::Counter*, std::less<>> counters;

  /// By name and value of the label.
  std::map<std::pair<std::string, std::string>, prometheus::Histogram*, std::less<>> histograms;

  prometheus::Counter& CounterFor(std::string_view aName, Reason aReason)
  {
    const std::scoped_lock lock(mutex);
    prometheus::Counter*& counter = counters[{ std::string(aName), aReason }];
    if (counter == nullptr) {
      counter = &prometheus::BuildCounter()
                   .Name(MetricName(aName, "_total"))
                   .Register(registry)
                   .Add({ { "reason", std::string(ToString(aReason)) } });
    }
    return *counter;
  }
};

Metrics::Metrics()
  : impl_(std::make_unique<Impl>())
{
}

Metrics::~Metrics() = default;

void
Metrics::Count(std::string_view aName, Reason aReason, double aAmount)
{
  impl_->CounterFor(aName, aReason).Increment(aAmount);
}

void
Metrics::CountKind(std::string_view aName, std::string_view aKind)
{
  prometheus::BuildCounter()
    .Name(MetricName(aName, "_total"))
    .Register(impl_->registry)
    .Add({ { "reason", std::string(aKind) } })
    .Increment();
}

void
Metrics::SetGauge(std::string_view aName,
                  double aValue,
                  const std::map<std::string, std::string>& aLabels)
{
  prometheus::BuildGauge()
    .Name(MetricName(aName, ""))
    .Register(impl_->registry)
    .Add(aLabels)
    .Set(aValue);
}

void
Metrics::Observe(std::string_view aName,
                 std::string_view aLabel,
                 std::string_view aLabelValue,
                 double aSeconds)
{
  const std::scoped_lock lock(impl_->mutex);
  prometheus::Histogram*& histogram =
    impl_->histograms[{ std::string(aName), std::string(aLabelValue) }];
  if (histogram == nullptr) {
    histogram = &prometheus::BuildHistogram()
                   .Name(MetricName(aName, "_seconds"))
                   .Register(impl_->registry)
                   .Add({ { std::string(aLabel), std::string(aLabelValue) } }, kLatencyBounds);
  }
  histogram->Observe(aSeconds);
}

std::string
Metrics::Text() const
{
  std::ostringstream text;
  prometheus::TextSerializer().Serialize(text, impl_->registry.Collect());
  return text.str();
}

} // namespace dfm
