#include "dragonflymoor/Metrics/Metrics.h"
#include <criterion/criterion.h>
#include <thread>
#include <vector>

using namespace dfm;

// Guards against counts that are lost between threads or added to another reason.
Test(Metrics, CountsByNameAndReasonFromManyThreads)
{
  Metrics metrics;
  std::vector<std::thread> threads;
  threads.reserve(4);
  for (int i = 0; i < 4; ++i) {
    threads.emplace_back([&metrics] {
      for (int count = 0; count < 1000; ++count)
        metrics.Count("requests-refused", Reason::QueueFull);
      metrics.Count("requests-refused", Reason::NotReady);
    });
  }
  for (std::thread& thread : threads)
    thread.join();
  const std::string text = metrics.Text();
  cr_assert(text.find("dragonflymoor_requests_refused_total{reason=\"queue-full\"} 4000\n") !=
            std::string::npos);
  cr_assert(text.find("dragonflymoor_requests_refused_total{reason=\"not-ready\"} 4\n") !=
            std::string::npos);
}

// Guards against a gauge that adds up instead of showing the last value.
Test(Metrics, GaugesShowTheLastValue)
{
  Metrics metrics;
  metrics.SetGauge("requests_in_flight", 7);
  metrics.SetGauge("requests_in_flight", 3);
  cr_assert(metrics.Text().find("dragonflymoor_requests_in_flight 3\n") != std::string::npos);
}
