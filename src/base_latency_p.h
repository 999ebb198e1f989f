#pragma once

#include "base_clock_p.h"

#include <prometheus/histogram.h>
#include <prometheus/metric_family.h>

#include <string>

namespace agatedrum {

/// Latency histogram for the metrics page. Thread-safe.
class LatencyHistogram
{
public:
    /// @param name metric name without the prefix "agatedrum_", ending in "_seconds".
    LatencyHistogram(std::string name, std::string help);

    void observe(Micros latency);
    /// Returns the current counts, with the prefix "agatedrum_" in the name and without labels.
    prometheus::MetricFamily collect() const;

private:
    std::string name;
    std::string help;
    prometheus::Histogram histogram;
};

} // namespace agatedrum
