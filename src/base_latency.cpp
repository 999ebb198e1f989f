#include "base_latency_p.h"

#include <utility>

namespace agatedrum {

namespace {

/// Returns the upper bounds of the buckets in seconds. They are dense around the latency objectives of short tasks and
/// extend to the timeouts of routes.
prometheus::Histogram::BucketBoundaries bucketUpperBounds()
{
    return {0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.4, 0.6, 1.0, 1.5, 2.5, 5.0};
}

double toSeconds(Micros latency)
{
    return std::chrono::duration<double>(latency).count();
}

} // namespace

LatencyHistogram::LatencyHistogram(std::string name, std::string help)
    : name(std::move(name))
    , help(std::move(help))
    , histogram(bucketUpperBounds())
{
}

void LatencyHistogram::observe(Micros latency)
{
    this->histogram.Observe(toSeconds(latency));
}

prometheus::MetricFamily LatencyHistogram::collect() const
{
    prometheus::MetricFamily family;
    family.name = "agatedrum_" + this->name;
    family.help = this->help;
    family.type = prometheus::MetricType::Histogram;
    family.metric.push_back(this->histogram.Collect());
    return family;
}

} // namespace agatedrum
