#pragma once

#include "base_clock_p.h"

#include <prometheus/histogram.h>
#include <prometheus/metric_family.h>

#include <string>

namespace agatedrum {

/// Histogram of a latency, for the metrics page. Thread-safe.
class LatencyHistogram
{
public:
    /// @param name without the program's prefix, ending in _seconds
    LatencyHistogram(std::string name, std::string help);

    void observe(Micros latency);
    /// The present counts, with the program's prefix and without labels.
    prometheus::MetricFamily collect() const;

private:
    std::string name;
    std::string help;
    prometheus::Histogram histogram;
};

} // namespace agatedrum
