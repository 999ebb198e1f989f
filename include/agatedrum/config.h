#pragma once

/// Overridable constants of agatedrum. Define any of them before this header to change it.

/// Largest request body that an entry takes, in bytes.
#ifndef AGATEDRUM_MAX_BODY_BYTES
#define AGATEDRUM_MAX_BODY_BYTES (4UL * 1024 * 1024)
#endif

/// Most tasks in one job.
#ifndef AGATEDRUM_MAX_TASKS_PER_JOB
#define AGATEDRUM_MAX_TASKS_PER_JOB 230
#endif

/// Most tasks that wait in the queue of one cell.
#ifndef AGATEDRUM_MAX_QUEUED_TASKS
#define AGATEDRUM_MAX_QUEUED_TASKS 100000
#endif

/// Most job keys in the ledger of one cell.
#ifndef AGATEDRUM_MAX_LEDGER_KEYS
#define AGATEDRUM_MAX_LEDGER_KEYS 2000000
#endif

/// Bytes of answers that the ledger of one cell keeps.
#ifndef AGATEDRUM_LEDGER_BYTES
#define AGATEDRUM_LEDGER_BYTES (256LL * 1024 * 1024)
#endif

/// Bytes that may wait for one peer before messages to it are dropped.
#ifndef AGATEDRUM_PEER_QUEUE_BYTES
#define AGATEDRUM_PEER_QUEUE_BYTES (64LL * 1024 * 1024)
#endif

/// Age in milliseconds at which a message that still waits for a peer is dropped.
#ifndef AGATEDRUM_PEER_QUEUE_AGE_MS
#define AGATEDRUM_PEER_QUEUE_AGE_MS 2000
#endif

/// Time in milliseconds without an acknowledgement after which a connection to a peer is given up. Above the time in
/// which TCP repeats single lost packets, below the 2 s in which a configuration must be in force.
#ifndef AGATEDRUM_PEER_SILENT_MS
#define AGATEDRUM_PEER_SILENT_MS 1000
#endif

/// Largest frame between processes, in bytes.
#ifndef AGATEDRUM_MAX_FRAME_BYTES
#define AGATEDRUM_MAX_FRAME_BYTES (128UL * 1024 * 1024)
#endif

/// Interval of member heartbeats of owners, in milliseconds.
#ifndef AGATEDRUM_OWNER_HEARTBEAT_MS
#define AGATEDRUM_OWNER_HEARTBEAT_MS 200
#endif

/// Interval of member heartbeats of agents, in milliseconds. Owners watch agents by their hello, so control needs few.
#ifndef AGATEDRUM_AGENT_HEARTBEAT_MS
#define AGATEDRUM_AGENT_HEARTBEAT_MS 2000
#endif

/// Interval of member heartbeats of entries, and the longest between unanswered ones, in milliseconds.
#ifndef AGATEDRUM_MEMBER_HEARTBEAT_MS
#define AGATEDRUM_MEMBER_HEARTBEAT_MS 500
#endif

/// Time after sending an answered heartbeat for which an owner may act, in milliseconds.
#ifndef AGATEDRUM_OWNER_LEASE_MS
#define AGATEDRUM_OWNER_LEASE_MS 1000
#endif

/// Time without a heartbeat after which control moves the cells of an owner, in milliseconds. Above the lease.
#ifndef AGATEDRUM_MEMBER_DEAD_MS
#define AGATEDRUM_MEMBER_DEAD_MS 1500
#endif

/// Time for which control lists a silent agent among those of its cell, in milliseconds. Above AGENT_LOST.
#ifndef AGATEDRUM_AGENT_FORGET_MS
#define AGATEDRUM_AGENT_FORGET_MS 30000
#endif

/// Time for which control lists a silent entry to which agents report, in milliseconds.
#ifndef AGATEDRUM_ENTRY_FORGET_MS
#define AGATEDRUM_ENTRY_FORGET_MS 10000
#endif

/// Interval of an agent's hello to its owner, in milliseconds.
#ifndef AGATEDRUM_AGENT_HELLO_MS
#define AGATEDRUM_AGENT_HELLO_MS 250
#endif

/// Time without a hello after which an owner starts nothing at an agent, in milliseconds.
#ifndef AGATEDRUM_AGENT_SILENT_MS
#define AGATEDRUM_AGENT_SILENT_MS 1000
#endif

/// Time without a hello after which the tasks at an agent count as unknown, in milliseconds.
#ifndef AGATEDRUM_AGENT_LOST_MS
#define AGATEDRUM_AGENT_LOST_MS 5000
#endif

/// Time without an announcement after which a backend server counts as down, in milliseconds.
#ifndef AGATEDRUM_BACKEND_SILENT_MS
#define AGATEDRUM_BACKEND_SILENT_MS 3000
#endif

/// Interval at which an agent repeats a result that is not acknowledged, in milliseconds.
#ifndef AGATEDRUM_RESULT_RESEND_MS
#define AGATEDRUM_RESULT_RESEND_MS 500
#endif

/// Results for each slot that may wait for acknowledgement before an agent refuses starts.
#ifndef AGATEDRUM_RESULTS_PER_SLOT
#define AGATEDRUM_RESULTS_PER_SLOT 64
#endif

/// Bytes of results that may wait for acknowledgement before an agent refuses starts.
#ifndef AGATEDRUM_AGENT_RESULT_BYTES
#define AGATEDRUM_AGENT_RESULT_BYTES (64UL * 1024 * 1024)
#endif

/// Time limit of a task at an agent when its start names none, in milliseconds.
#ifndef AGATEDRUM_TASK_TIME_MS
#define AGATEDRUM_TASK_TIME_MS 30000
#endif

/// Time for which a job waits for enough copies of its record, in milliseconds.
#ifndef AGATEDRUM_RECORD_TIMEOUT_MS
#define AGATEDRUM_RECORD_TIMEOUT_MS 5000
#endif

/// Time for which a new owner waits for the agents' states, in milliseconds.
#ifndef AGATEDRUM_FENCE_TIMEOUT_MS
#define AGATEDRUM_FENCE_TIMEOUT_MS 5000
#endif

/// Age up to which a submission is told from an earlier one, in milliseconds.
#ifndef AGATEDRUM_SUBMISSION_WINDOW_MS
#define AGATEDRUM_SUBMISSION_WINDOW_MS 600000
#endif

/// Time for which the answer of a finished job is kept, in milliseconds.
#ifndef AGATEDRUM_ANSWER_RETENTION_MS
#define AGATEDRUM_ANSWER_RETENTION_MS 60000
#endif

/// How far a submission's time may lie ahead of the owner's clock, in milliseconds.
#ifndef AGATEDRUM_MAX_CLOCK_SKEW_MS
#define AGATEDRUM_MAX_CLOCK_SKEW_MS 5000
#endif

/// Entries of the control group's log after which a snapshot replaces them.
#ifndef AGATEDRUM_CONTROL_SNAPSHOT_ENTRIES
#define AGATEDRUM_CONTROL_SNAPSHOT_ENTRIES 4096
#endif

/// Silence after which a member that reported leaving is taken off the list, in milliseconds.
#ifndef AGATEDRUM_LEAVING_SILENT_MS
#define AGATEDRUM_LEAVING_SILENT_MS 3000
#endif

/// Time for which an entry holds a request for a cell without an owner, in milliseconds. Above the 5 s in which every
/// cell has an owner again after the loss of two hosts.
#ifndef AGATEDRUM_ENTRY_OWNER_WAIT_MS
#define AGATEDRUM_ENTRY_OWNER_WAIT_MS 6000
#endif

/// Bytes of task bodies that wait for an answer at one entry. Above it jobs are refused.
#ifndef AGATEDRUM_ENTRY_BODY_BYTES
#define AGATEDRUM_ENTRY_BODY_BYTES (512LL * 1024 * 1024)
#endif

/// Interval at which a host reports its room to each entry, in milliseconds.
#ifndef AGATEDRUM_HOST_REPORT_MS
#define AGATEDRUM_HOST_REPORT_MS 200
#endif

/// Time after a host's report for which its echo lets the entry's tasks run there, in milliseconds. With the time that
/// a backend server keeps tasks of a silent host, below the time after which callers send a lost job again.
#ifndef AGATEDRUM_HOST_ENTRY_LEASE_MS
#define AGATEDRUM_HOST_ENTRY_LEASE_MS 900
#endif

/// Interval at which a report or an order is repeated until the other side has taken it, in milliseconds.
#ifndef AGATEDRUM_HOST_REPEAT_MS
#define AGATEDRUM_HOST_REPEAT_MS 200
#endif

/// Time in milliseconds that a task takes at a host beyond its run: the order to start it, its beginning, and the way
/// of its end through the list. It does not depend on the backend server's speed.
#ifndef AGATEDRUM_TASK_OVERHEAD_MS
#define AGATEDRUM_TASK_OVERHEAD_MS 25
#endif

/// Time without a report after which an entry counts a host and the tasks there as lost, in milliseconds.
#ifndef AGATEDRUM_HOST_SILENT_MS
#define AGATEDRUM_HOST_SILENT_MS 700
#endif

/// Time for which a backend server keeps what runs without hearing from its host, in milliseconds.
#ifndef AGATEDRUM_SERVER_HOLD_MS
#define AGATEDRUM_SERVER_HOLD_MS 1000
#endif

/// Time without an answer after which a host takes no tasks for its backend server, in milliseconds.
#ifndef AGATEDRUM_SERVER_SILENT_MS
#define AGATEDRUM_SERVER_SILENT_MS 700
#endif

/// Time in milliseconds after which a host doubts a start without an answer, and looks what became of it. The backend
/// server is on the same host and answers within some ms.
#ifndef AGATEDRUM_START_DOUBT_MS
#define AGATEDRUM_START_DOUBT_MS 25
#endif
