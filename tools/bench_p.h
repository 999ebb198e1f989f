#pragma once

namespace agatedrum::bench {

/// Compares all policies with the first-come ideal on seeded arrivals. Prints tables; returns the exit code.
int runPolicyBench();

/// Measures the cost of one scheduling decision against the number of backend servers and of queued tasks.
int runDecisionBench();

/// Measures starts a second, CPU time a task, and messages and bytes a job of one OwnerCore with 1, 2 and 3 copies.
int runOwnerBench();

} // namespace agatedrum::bench
