#pragma once

namespace agatedrum::bench {

/// Compares all policies with the first-come ideal on seeded arrivals. Prints tables; returns the exit code.
int runPolicyBench();

/// Measures the cost of one scheduling decision against the number of backend servers and of queued tasks.
int runDecisionBench();

} // namespace agatedrum::bench
