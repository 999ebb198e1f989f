#pragma once

/// Build-time constants of agatedrum. To override one, define it before including this header.

/// Maximum size of a request body that an entry accepts, in bytes.
#ifndef AGATEDRUM_MAX_BODY_BYTES
#define AGATEDRUM_MAX_BODY_BYTES (4UL * 1024 * 1024)
#endif

/// Maximum number of tasks in one job.
#ifndef AGATEDRUM_MAX_TASKS_PER_JOB
#define AGATEDRUM_MAX_TASKS_PER_JOB 230
#endif

/// Maximum number of queued tasks of one cell.
#ifndef AGATEDRUM_MAX_QUEUED_TASKS
#define AGATEDRUM_MAX_QUEUED_TASKS 100000
#endif

/// Maximum number of job keys in the ledger of one cell.
#ifndef AGATEDRUM_MAX_LEDGER_KEYS
#define AGATEDRUM_MAX_LEDGER_KEYS 2000000
#endif

/// Maximum size of the job answers in the ledger of one cell, in bytes.
#ifndef AGATEDRUM_LEDGER_BYTES
#define AGATEDRUM_LEDGER_BYTES (256LL * 1024 * 1024)
#endif

/// Maximum size of the messages queued for one peer, in bytes. Further messages are dropped.
#ifndef AGATEDRUM_PEER_QUEUE_BYTES
#define AGATEDRUM_PEER_QUEUE_BYTES (64LL * 1024 * 1024)
#endif

/// Time in milliseconds after which a message that is still queued for a peer is dropped.
#ifndef AGATEDRUM_PEER_QUEUE_AGE_MS
#define AGATEDRUM_PEER_QUEUE_AGE_MS 2000
#endif

/// Time in milliseconds without an acknowledgement after which a connection to a peer is closed. Longer than TCP needs
/// to retransmit single lost packets, shorter than the 2 s within which a configuration must be in force.
#ifndef AGATEDRUM_PEER_SILENT_MS
#define AGATEDRUM_PEER_SILENT_MS 1000
#endif

/// Maximum size of a frame between processes, in bytes.
#ifndef AGATEDRUM_MAX_FRAME_BYTES
#define AGATEDRUM_MAX_FRAME_BYTES (128UL * 1024 * 1024)
#endif

/// Interval of member heartbeats of owners, in milliseconds.
#ifndef AGATEDRUM_OWNER_HEARTBEAT_MS
#define AGATEDRUM_OWNER_HEARTBEAT_MS 200
#endif

/// Interval of member heartbeats of agents, in milliseconds. Owners monitor agents by their hello messages, so control
/// needs few heartbeats from them.
#ifndef AGATEDRUM_AGENT_HEARTBEAT_MS
#define AGATEDRUM_AGENT_HEARTBEAT_MS 2000
#endif

/// Interval of member heartbeats of entries, and maximum interval of any member's heartbeats while they are unanswered,
/// in milliseconds.
#ifndef AGATEDRUM_MEMBER_HEARTBEAT_MS
#define AGATEDRUM_MEMBER_HEARTBEAT_MS 500
#endif

/// Lease of an owner: time for which it may act, counted from the sending of its last answered heartbeat, in
/// milliseconds.
#ifndef AGATEDRUM_OWNER_LEASE_MS
#define AGATEDRUM_OWNER_LEASE_MS 1000
#endif

/// Time without a heartbeat after which control reassigns the cells of an owner, in milliseconds. Must be longer than
/// the lease, AGATEDRUM_OWNER_LEASE_MS.
#ifndef AGATEDRUM_MEMBER_DEAD_MS
#define AGATEDRUM_MEMBER_DEAD_MS 1500
#endif

/// Time for which control still lists an unresponsive agent in its cell, in milliseconds. Must be longer than
/// AGATEDRUM_AGENT_LOST_MS.
#ifndef AGATEDRUM_AGENT_FORGET_MS
#define AGATEDRUM_AGENT_FORGET_MS 30000
#endif

/// Time for which control still lists an unresponsive entry as one to which agents report, in milliseconds.
#ifndef AGATEDRUM_ENTRY_FORGET_MS
#define AGATEDRUM_ENTRY_FORGET_MS 10000
#endif

/// Interval of an agent's hello messages to its owner, in milliseconds.
#ifndef AGATEDRUM_AGENT_HELLO_MS
#define AGATEDRUM_AGENT_HELLO_MS 250
#endif

/// Time without a hello message after which an owner starts no tasks at an agent, in milliseconds.
#ifndef AGATEDRUM_AGENT_SILENT_MS
#define AGATEDRUM_AGENT_SILENT_MS 1000
#endif

/// Time without a hello message after which the outcome of the tasks at an agent counts as unknown, in milliseconds.
#ifndef AGATEDRUM_AGENT_LOST_MS
#define AGATEDRUM_AGENT_LOST_MS 5000
#endif

/// Time without an announcement after which a backend server counts as down, in milliseconds.
#ifndef AGATEDRUM_BACKEND_SILENT_MS
#define AGATEDRUM_BACKEND_SILENT_MS 3000
#endif

/// Interval at which an agent resends an unacknowledged result, in milliseconds.
#ifndef AGATEDRUM_RESULT_RESEND_MS
#define AGATEDRUM_RESULT_RESEND_MS 500
#endif

/// Maximum number of unacknowledged results per slot. At this number an agent refuses to start tasks.
#ifndef AGATEDRUM_RESULTS_PER_SLOT
#define AGATEDRUM_RESULTS_PER_SLOT 64
#endif

/// Maximum size of unacknowledged results, in bytes. At this size an agent refuses to start tasks.
#ifndef AGATEDRUM_AGENT_RESULT_BYTES
#define AGATEDRUM_AGENT_RESULT_BYTES (64UL * 1024 * 1024)
#endif

/// Default time limit of a task at an agent, used if the start message has none, in milliseconds.
#ifndef AGATEDRUM_TASK_TIME_MS
#define AGATEDRUM_TASK_TIME_MS 30000
#endif

/// Time for which a job waits until its record has enough replicas, in milliseconds.
#ifndef AGATEDRUM_RECORD_TIMEOUT_MS
#define AGATEDRUM_RECORD_TIMEOUT_MS 5000
#endif

/// Time for which a new owner waits for the agents' states, in milliseconds.
#ifndef AGATEDRUM_FENCE_TIMEOUT_MS
#define AGATEDRUM_FENCE_TIMEOUT_MS 5000
#endif

/// Age up to which a submission can be recognized as a repetition of an earlier one, in milliseconds.
#ifndef AGATEDRUM_SUBMISSION_WINDOW_MS
#define AGATEDRUM_SUBMISSION_WINDOW_MS 600000
#endif

/// Time for which the answer of a finished job is kept, in milliseconds.
#ifndef AGATEDRUM_ANSWER_RETENTION_MS
#define AGATEDRUM_ANSWER_RETENTION_MS 60000
#endif

/// Maximum time by which a submission's timestamp may be ahead of the owner's clock, in milliseconds.
#ifndef AGATEDRUM_MAX_CLOCK_SKEW_MS
#define AGATEDRUM_MAX_CLOCK_SKEW_MS 5000
#endif

/// Number of entries in the control group's log after which a snapshot replaces them.
#ifndef AGATEDRUM_CONTROL_SNAPSHOT_ENTRIES
#define AGATEDRUM_CONTROL_SNAPSHOT_ENTRIES 4096
#endif

/// Size of the entries in the control group's log after which a snapshot replaces them, in bytes. A larger snapshot is
/// replaced once the entries have its size.
#ifndef AGATEDRUM_CONTROL_SNAPSHOT_BYTES
#define AGATEDRUM_CONTROL_SNAPSHOT_BYTES (8LL * 1024 * 1024)
#endif

/// Size of log entries or snapshot data in one message between control processes, in bytes. A message contains at least
/// one entry, however large it is.
#ifndef AGATEDRUM_CONTROL_MESSAGE_BYTES
#define AGATEDRUM_CONTROL_MESSAGE_BYTES (1LL * 1024 * 1024)
#endif

/// Size of log entries that a control process has not acknowledged, in bytes, above which it is sent no further ones.
#ifndef AGATEDRUM_CONTROL_WINDOW_BYTES
#define AGATEDRUM_CONTROL_WINDOW_BYTES (4LL * 1024 * 1024)
#endif

/// Maximum size of the texts of earlier configuration files that are kept, in bytes.
#ifndef AGATEDRUM_CONFIG_HISTORY_BYTES
#define AGATEDRUM_CONFIG_HISTORY_BYTES (4UL * 1024 * 1024)
#endif

/// Time without a heartbeat after which a member that has reported that it is leaving is removed, in milliseconds.
#ifndef AGATEDRUM_LEAVING_SILENT_MS
#define AGATEDRUM_LEAVING_SILENT_MS 3000
#endif

/// Time for which an entry keeps a request for a cell that has no owner, in milliseconds. Longer than the 5 s within
/// which every cell has an owner again after the loss of two hosts.
#ifndef AGATEDRUM_ENTRY_OWNER_WAIT_MS
#define AGATEDRUM_ENTRY_OWNER_WAIT_MS 6000
#endif

/// Maximum size of the bodies of unanswered tasks at one entry, in bytes. Above it jobs are refused.
#ifndef AGATEDRUM_ENTRY_BODY_BYTES
#define AGATEDRUM_ENTRY_BODY_BYTES (512LL * 1024 * 1024)
#endif

/// Time in milliseconds without a tick after which an entry counts as stalled. Requests that it reads after a stall may
/// be older than their callers' time-outs. A shorter stall must end before a caller resubmits an unanswered job, so
/// this must be shorter than the time for which callers wait plus the time after which they resubmit.
#ifndef AGATEDRUM_ENTRY_STALL_MS
#define AGATEDRUM_ENTRY_STALL_MS 1000
#endif

/// Interval at which a host reports its capacity to each entry, in milliseconds.
#ifndef AGATEDRUM_HOST_REPORT_MS
#define AGATEDRUM_HOST_REPORT_MS 200
#endif

/// Interval at which a host reports to an entry that does not listen to it, in milliseconds. Such an entry knows of the
/// host and may begin to listen.
#ifndef AGATEDRUM_HOST_SUMMARY_MS
#define AGATEDRUM_HOST_SUMMARY_MS 5000
#endif

/// Time for which a host sends all reports to an entry after its last message, in milliseconds. Longer than the lease
/// of an entry, so that a listening entry never loses a lease for want of reports.
#ifndef AGATEDRUM_HOST_LISTENER_MS
#define AGATEDRUM_HOST_LISTENER_MS 2000
#endif

/// Time in milliseconds for which an entry repeats the order to stop a run. Longer than a run can continue at a host
/// that is unreachable.
#ifndef AGATEDRUM_ENTRY_STOP_RETENTION_MS
#define AGATEDRUM_ENTRY_STOP_RETENTION_MS 3000
#endif

/// Number of hosts of one service that an entry listens to, unless more are needed for
/// AGATEDRUM_ENTRIES_PER_HOST.
#ifndef AGATEDRUM_ENTRY_HOSTS
#define AGATEDRUM_ENTRY_HOSTS 32
#endif

/// Average number of entries that listen to a host. With few entries, each listens to more hosts, so that all capacity
/// is in use.
#ifndef AGATEDRUM_ENTRIES_PER_HOST
#define AGATEDRUM_ENTRIES_PER_HOST 6
#endif

/// Time for which an entry waits for the report of a host that it begins to listen to before it refuses a job, in
/// milliseconds.
#ifndef AGATEDRUM_ENTRY_ASK_MS
#define AGATEDRUM_ENTRY_ASK_MS 50
#endif

/// Time in milliseconds after the return of an evacuated failure domain within which a host offers its whole capacity
/// again.
#ifndef AGATEDRUM_HOST_RAMP_MS
#define AGATEDRUM_HOST_RAMP_MS 5000
#endif

/// Maximum lease of an entry at a host: time for which the host runs the entry's tasks, counted from the sending of the
/// last report that the entry has echoed, in milliseconds. It is shorter where callers resubmit a lost job so soon that
/// it would not end before, see HostLeaseTerms.
#ifndef AGATEDRUM_HOST_ENTRY_LEASE_MS
#define AGATEDRUM_HOST_ENTRY_LEASE_MS 900
#endif

/// Time in milliseconds after the end of an entry's lease, or after the caller's deadline, at which the entry's runs
/// lose their lease at the backend server if they could not be stopped.
#ifndef AGATEDRUM_HOST_EXPIRY_STOP_MS
#define AGATEDRUM_HOST_EXPIRY_STOP_MS 200
#endif

/// Time in milliseconds after an entry's order to stop a run at which the run loses its lease at the backend server if
/// it could not be stopped. The caller may have been told at the time of the order, so this time is shorter where
/// callers resubmit a lost job sooner. A shorter time ends other runs there while answers are lost.
#ifndef AGATEDRUM_HOST_ORDERED_STOP_MS
#define AGATEDRUM_HOST_ORDERED_STOP_MS 800
#endif

/// Interval at which a report or an order is resent until the receiver has accepted it, in milliseconds.
#ifndef AGATEDRUM_HOST_REPEAT_MS
#define AGATEDRUM_HOST_REPEAT_MS 200
#endif

/// Time in milliseconds that a task takes at a host in addition to its run time: for sending the start order, starting
/// the run and reporting its end in the list of ended runs. It does not depend on the backend server's speed.
#ifndef AGATEDRUM_TASK_OVERHEAD_MS
#define AGATEDRUM_TASK_OVERHEAD_MS 25
#endif

/// Time without a report after which an entry treats a host and its tasks as lost, in milliseconds.
#ifndef AGATEDRUM_HOST_SILENT_MS
#define AGATEDRUM_HOST_SILENT_MS 700
#endif

/// Time for which a backend server keeps running tasks without a message from its host, in milliseconds.
#ifndef AGATEDRUM_SERVER_HOLD_MS
#define AGATEDRUM_SERVER_HOLD_MS 1000
#endif

/// Time in milliseconds after a start order was sent within which it may have an effect, if it got no answer: it may be
/// carried out up to 12 s late, the run then has a lease of up to 1 s on a clock that may be 2% slow, and takes 50 ms
/// to stop.
#ifndef AGATEDRUM_LATE_START_MS
#define AGATEDRUM_LATE_START_MS 13070
#endif

/// Time without an answer from its backend server after which a host accepts no tasks, in milliseconds.
#ifndef AGATEDRUM_SERVER_SILENT_MS
#define AGATEDRUM_SERVER_SILENT_MS 700
#endif

/// Time in milliseconds for which a host relies on the capacity that a registration of its backend server has shown.
/// Must be longer than two intervals of registrations (1500 ms), and shorter than the time for which a larger capacity
/// than the present one may be used (4500 ms) less the time that a registration may be on its way (1000 ms).
#ifndef AGATEDRUM_CAPACITY_VALID_MS
#define AGATEDRUM_CAPACITY_VALID_MS 3400
#endif

/// Time in milliseconds after which a host treats an unanswered start as unconfirmed and queries its state. The backend
/// server is on the same machine and answers within a few milliseconds.
#ifndef AGATEDRUM_START_DOUBT_MS
#define AGATEDRUM_START_DOUBT_MS 25
#endif
