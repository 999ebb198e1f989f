#include <catch2/catch.hpp>

#include "base_latency_p.h"

#include <algorithm>

using namespace agatedrum;

TEST_CASE("A latency histogram counts latencies below and above an objective in different buckets", "[latency]")
{
    // Guards against a metric in the wrong unit and against buckets that are too coarse for tasks of tens of
    // milliseconds.
    LatencyHistogram histogram("job_seconds", "Time of a job.");
    histogram.observe(Millis(90));
    histogram.observe(Millis(140));
    histogram.observe(Millis(1700));
    const auto family = histogram.collect();
    REQUIRE(family.name == "agatedrum_job_seconds");
    REQUIRE(family.type == prometheus::MetricType::Histogram);
    const auto &counts = family.metric.at(0).histogram;
    REQUIRE(counts.sample_count == 3);
    REQUIRE(counts.sample_sum == Approx(1.93));
    const auto countUpTo = [&counts](double bound) {
        const auto found = std::find_if(counts.bucket.begin(), counts.bucket.end(),
                                        [bound](const auto &bucket) { return bucket.upper_bound == bound; });
        REQUIRE(found != counts.bucket.end());
        return found->cumulative_count;
    };
    REQUIRE(countUpTo(0.1) == 1);
    REQUIRE(countUpTo(0.15) == 2);
    REQUIRE(countUpTo(1.5) == 2);
    REQUIRE(countUpTo(2.5) == 3);
}
