#pragma once

namespace agatedrum::bench {

/// Compares scheduling policies with an ideal first-come queue on arrivals generated from a seed. Like all benchmarks,
/// prints tables and returns the exit code.
int runPolicyBench();

/// Measures the time of one scheduling decision for different numbers of backend servers and queued tasks.
int runDecisionBench();

/// Measures task starts per second, CPU time per task, and messages and bytes per job of one OwnerCore with 1, 2 and 3
/// replicas of each record.
int runOwnerBench();

/// Measures the cost of a heartbeat and of a configuration change at the control leader with 50 to 2000 simulated
/// members.
int runControlBench();

} // namespace agatedrum::bench
