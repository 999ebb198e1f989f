// Messages between agatedrum processes. Every message is one-way and is sent in an Envelope by Peer.deliver.
// The suffix of a field's name is the unit of its duration or time. Unset numbers are zero.
// An arrow names the sender and the receiver of the messages below it.

namespace cpp agatedrum.wire

enum Role { ENTRY = 1, OWNER = 2, AGENT = 3, CONTROL = 4, TOOL = 5 }

// Known outcome of one task.
enum Outcome {
  PENDING = 0,   // not known yet
  FINISHED = 1,  // ran; the backend server answered with success
  FAILED = 2,    // ran; the backend server answered with an error
  NOT_RUN = 3,   // certainly did not run and never will
  STOPPED = 4,   // cancelled while it was running
  UNKNOWN = 5    // may have run
}

enum RefusalCode {
  NONE = 0, INVALID = 1, UNKNOWN_SERVICE = 2, UNKNOWN_TEAM = 3, CONFLICT = 4, QUEUE_FULL = 5, QUOTA = 6, DEADLINE = 7,
  NEVER_RUNNABLE = 8, NO_OWNER = 9, RECORD_UNAVAILABLE = 10, TOO_OLD = 11, ANSWER_DROPPED = 12, LEASE_LOST = 13,
  STOPPING = 14, NOT_FOUND = 15, LEDGER_FULL = 16, CANCELLED = 17
}

struct ProcessId { 1: string name; 2: i64 incarnation; }
struct Endpoint { 1: string host; 2: i32 port; }

struct JobKey { 1: string caller; 2: string submission; }

struct TaskSpec { 1: string id; 2: binary body; 3: i64 declaredMicros; }

struct JobSpec {
  1: JobKey key;
  2: string team;
  3: string serviceName;
  4: list<TaskSpec> tasks;
  5: i64 submittedAtMs;   // caller's wall clock; a resubmission has the same value
  6: i64 deadlineMs;      // time until the deadline when sent; 0 for no deadline
  7: bool idempotent;
  8: i64 digest;          // digest of all values that a resubmission must have unchanged
}

struct TaskResult {
  1: i32 index;
  2: Outcome outcome;
  3: i32 status;          // HTTP status of the backend server's answer; 0 if there was none
  4: binary body;
  5: i64 runMicros;       // time from the start to the answer, measured by the agent
  6: string server;       // backend server that ran the task
  7: string taskId;       // set by the owner
}

struct Refusal {
  1: RefusalCode code;
  2: string message;
  3: bool notRun;         // true: no task of the job ran and none will
  4: i64 retryAfterMs;
}

// One of three states: refused (refusal is set), done (with results) or not done (status only).
struct JobAnswer {
  1: JobKey key;
  2: optional Refusal refusal;
  3: bool done;
  4: bool complete;       // every task has the outcome FINISHED
  5: list<TaskResult> results;
}

struct TaskRef { 1: JobKey key; 2: i32 index; }

// entry -> owner
struct SubmitJob { 1: i64 requestId; 2: i32 cell; 3: i64 epoch; 4: JobSpec spec; }
struct CancelJob { 1: i64 requestId; 2: i32 cell; 3: JobKey key; }
struct QueryJob { 1: i64 requestId; 2: i32 cell; 3: JobKey key; }
// owner -> entry
struct JobReply { 1: i64 requestId; 2: JobAnswer answer; }
struct NotOwner { 1: i64 requestId; 2: i32 cell; 3: i64 epoch; }

// owner -> holder
struct RecordOp {
  1: JobKey key;
  2: optional JobSpec accepted;
  3: list<TaskResult> results;
  4: bool cancelled;
  5: bool forgotten;
  6: i64 acceptedAtMs;    // owner's wall clock
  7: i64 ageMicros;       // time since the owner accepted the job
}
struct RecordBatch { 1: i32 cell; 2: i64 epoch; 3: i64 sequence; 4: list<RecordOp> ops; }
struct RecordSnapshot {
  1: i32 cell; 2: i64 epoch; 3: i64 sequence; 4: i32 part; 5: i32 parts; 6: list<RecordOp> ops; 7: i64 floorMs;
}
// holder -> owner. sequence: all batches up to this number have been applied. whole: the holder's replica is in sync.
struct RecordAck { 1: i32 cell; 2: i64 epoch; 3: i64 sequence; 4: bool whole; }

// owner -> agent
struct StartTask { 1: TaskRef ref; 2: string taskId; 3: binary body; 4: i64 timeLimitMs; 5: i64 sequence; }
struct StartBatch { 1: i32 cell; 2: i64 epoch; 3: i64 agentIncarnation; 4: list<StartTask> starts; }
struct CancelBatch { 1: i32 cell; 2: i64 epoch; 3: list<TaskRef> refs; }
struct ResultAck { 1: i32 cell; 2: i64 epoch; 3: list<TaskRef> refs; }
// Raises the agent's epoch to epoch and its last start sequence to barrier, and requests an AgentState.
struct Fence { 1: i32 cell; 2: i64 epoch; 3: i64 barrier; }

struct ServerInfo {
  1: string serviceName; 2: i32 slots; 3: i32 connections; 4: bool leaving; 5: bool backendUp;
  6: double usage;        // last usage reported by the worker, 0 to 1; negative if none
}
// agent -> owner
struct AgentHello {
  1: i32 cell; 2: i64 epoch; 3: ServerInfo server; 4: i64 lastSequence; 5: i32 running; 6: i32 unacknowledged;
}
// sequence: sequence number of the start that had this result. It distinguishes a late report from the report of a
// later start.
struct AgentResult { 1: JobKey key; 2: TaskResult result; 3: i64 sequence; }
struct ResultBatch { 1: i32 cell; 2: list<AgentResult> results; }
// sequences: for each of refs, the sequence number of the refused start. It distinguishes a late or repeated refusal of
// an earlier start from a refusal of the latest one. A start of this epoch with one of these numbers is never run.
struct StartRefused {
  1: i32 cell; 2: i64 epoch; 3: list<TaskRef> refs; 4: string reason; 5: list<i64> sequences;
}
struct AgentTask { 1: TaskRef ref; 2: bool running; 3: TaskResult result; }
struct AgentState { 1: i32 cell; 2: i64 epoch; 3: i64 barrier; 4: list<AgentTask> tasks; 5: ServerInfo server;
  6: i64 uptimeMicros;     // time since this incarnation of the agent started
}

// Best-effort tasks: an entry assigns them to backend servers, and the host of a backend server guards its capacity. A
// host is an agent whose backend server accepts tasks by their resource demands instead of by slots.
struct Resources { 1: i64 cpuMillis; 2: i64 memoryMb; 3: i64 accelerators; }
enum TaskPhase {
  QUEUED = 1,     // accepted; waits at the host for capacity, or its start order has no answer yet
  RUNNING = 2,    // the backend server has started the run
  SUCCEEDED = 3,
  FAILED = 4,     // ended by an error of the task or of the backend server
  ENDED = 5,      // was stopped or lost; it is certainly no longer running
  REFUSED = 6     // did not run at this host and never will by this order
}
// hostIncarnation: the process of the host that received the order to run the tasks.
struct TaskPlace { 1: string host; 2: i64 hostIncarnation; 3: list<i32> indexes; }
// Tasks of a job whose start orders may have had no answer and may still be carried out at these places.
// leftMicros: time after which they cannot.
struct JobInDoubt { 1: string job; 2: list<TaskPlace> places; 3: i64 leftMicros; }
// entry -> host -> all entries, or host -> all entries: the places cannot be asked, because the host is lost, or the
// entry that ordered the tasks.
struct StartsInDoubt { 1: list<JobInDoubt> jobs; }
struct CrashedTask { 1: string job; 2: i32 index; }
// The runs that were active when a backend server crashed. server: identifies the crashed instance. No tasks: the
// instance runs after all.
struct ServerCrash { 1: string server; 2: list<CrashedTask> tasks; }
// host -> entry. sentAtMicros: host's clock; an entry echoes the newest value as heardAtMicros.
struct HostReport {
  1: string serviceName; 2: string server; 3: bool accepting; 4: Resources capacity; 5: Resources reserved;
  6: i64 startDelayMicros;  // expected wait of an additional task of typical size
  7: double slowness;       // run time of recent tasks relative to their estimates
  8: double failureShare;   // share of recent tasks that failed
  9: list<string> labels; 10: i64 sentAtMicros; 11: string failureDomain; 12: i64 sequence;
  13: list<JobInDoubt> unanswered;  // start orders that were found to have no answer since the last reports
  20: list<ServerCrash> crashes;  // recent crashes; only in reports that are sent to all entries
  21: bool summary;  // the receiver does not listen to the host: it gets few reports, and may place no task by this one
  22: i32 entryCount;  // number of entries that the host knows; 0 if unknown
  23: i64 acceptingMicros;  // if accepting is true: time for which the host has accepted tasks without a break
  24: bool evacuated;  // the backend server's failure domain is evacuated: it starts no tasks until it is returned
  25: list<i64> urgentDelayMicros;  // as startDelayMicros, for a task of priority 0, 1 and so on; empty if equal
  26: list<i64> keptCpuMillis;  // processors that stay free when a task of priority 0, 1 and so on starts
}
// entry -> host. Extends the time for which the host runs the entry's tasks and sends it all reports. reportsSeen: all
// reports up to this number have been received.
struct HostContact { 1: i64 hostIncarnation; 2: i64 heardAtMicros; 3: i64 reportsSeen; }
// order: number of the order, unique within one entry process.
// mayWait: the entry knows that the task has to wait at the host; otherwise a host without free capacity refuses it at
// once.
// suspected: a backend server has crashed under the task, so that it must not run beside another such task.
// requiredLabel: label that the backend server must have; empty for none, and in orders of versions that do not tell it.
// maxPerHost: maximum number of tasks of the job with the same group at the backend server; 0 for no limit.
struct TaskOrder {
  1: i32 index; 2: i64 order; 3: Resources demand; 4: i64 estimateMicros; 5: bool mayWait; 20: bool suspected;
  21: string requiredLabel; 22: i32 group; 23: i32 maxPerHost;
}
// startWithinMicros: time until the latest useful start of the tasks; the host's queue is ordered by it.
// elsewhere: places of other tasks of the job, which the host reports to all entries if it loses this one.
struct RunTasks {
  1: i64 hostIncarnation; 2: i64 heardAtMicros; 3: string job; 4: string spec; 5: i64 startWithinMicros;
  6: i64 timeLeftMicros; 7: i32 priority; 8: list<TaskOrder> orders; 9: string serviceName; 10: i64 reportsSeen;
  11: list<TaskPlace> elsewhere;
}
// entry -> host. The same to a host without a task of the job, if all tasks were ordered at one host.
struct OrdersElsewhere { 1: string job; 2: list<TaskPlace> places; 3: i64 timeLeftMicros; }
struct StopTasks { 1: i64 hostIncarnation; 2: string job; 3: list<i32> indexes; }
// number: increases with each report of one host to an entry. A message contains all reports that the entry has not yet
// confirmed by reportsSeen.
struct TaskReport {
  1: string job; 2: i32 index; 3: i64 order; 4: TaskPhase phase; 5: i64 runMicros; 6: string reason; 7: i64 number;
  8: i64 remainingMicros;  // with RUNNING, for a task expected to end too late: time until its end; 0 if not set
  9: i64 workMicros;       // with remainingMicros: run time at the speed that the estimates assume
  10: i64 leastRemainingMicros;  // with remainingMicros: minimum time until the end that the run's progress allows
  20: bool serverLost;           // with ENDED: the backend server crashed or was replaced during the run
}
struct TaskReports { 1: list<TaskReport> reports; 2: HostReport host; }

// any process -> control. sentAtMicros is echoed, so that the sender can count its lease from the time of sending.
struct CellReport { 1: i32 cell; 2: i64 epoch; 3: bool owned; 4: bool whole; 5: list<string> wholeHolders; }
struct MemberHeartbeat {
  1: Role role; 2: string failureDomain; 3: Endpoint address; 4: i64 sentAtMicros; 5: i64 configNumber;
  6: i64 viewVersion; 7: list<CellReport> cells; 8: bool leaving; 9: optional ServerInfo server;
}
struct ControlEndpoint { 1: string name; 2: Endpoint address; }
// group: the current control processes; set if accepted is true.
struct HeartbeatReply {
  1: i64 sentAtMicros; 2: bool accepted; 3: string leader; 4: i64 viewVersion; 5: i64 term;
  6: list<ControlEndpoint> group;
}

// evacuated: no tasks are sent to the member, an agent, since its failure domain is evacuated.
struct MemberRef { 1: ProcessId id; 2: Endpoint address; 3: string failureDomain; 4: bool evacuated; }
struct CellView {
  1: i32 cell; 2: string serviceName; 3: i64 epoch; 4: optional MemberRef owner; 5: list<MemberRef> holders;
  6: list<MemberRef> agents;  // only in the view of the cell's owner and holders
  7: i64 floorMs;             // minimum submission time; older submissions are refused as unknown
}
// ignoreIfNotHigher: a file whose number is not higher than that of the configuration in force is accepted and has no
// effect.
struct ConfigFile {
  1: i64 number; 2: string digest; 3: string text; 4: string author; 5: i64 acceptedAtMs; 6: bool ignoreIfNotHigher;
}
// entries: set only in the view of an agent. evacuatedDomains: failure domains whose backend servers get no tasks.
struct ClusterView {
  1: i64 version; 2: ConfigFile config; 3: list<CellView> cells; 4: i64 term; 5: list<MemberRef> entries;
  6: list<string> evacuatedDomains;
}

// entry or tool -> control
struct ApplyConfig {
  1: i64 requestId; 2: string text; 3: string author; 4: bool dryRun; 5: bool ignoreIfNotHigher;
}
// Operator's order to evacuate a failure domain, or to return it to service. expectedIndex: the order takes effect only
// if this is still the log index of the newest order for the domain, 0 if there was none; without it, the leader answers
// with that index. An order that was held up on its way therefore cannot override a newer one.
struct OrderEvacuation {
  1: i64 requestId; 2: string failureDomain; 3: bool active; 4: string author; 5: optional i64 expectedIndex;
}
// Answer to ApplyConfig and OrderEvacuation. inForce: only to ApplyConfig. orderIndex: only to OrderEvacuation, the log
// index of the newest order for the failure domain.
struct ApplyReply {
  1: i64 requestId; 2: bool accepted; 3: string code; 4: string message; 5: ConfigFile inForce; 6: list<string> lagging;
  7: i64 orderIndex;
}
// Queries the state of the control group. kind: "overview", "members", "cells", "history", "acknowledged",
// "evacuations" or "config".
struct ControlQuery { 1: i64 requestId; 2: string kind; 3: string argument; }
struct ControlAnswer { 1: i64 requestId; 2: bool ok; 3: string json; }

// control <-> control
struct LogEntry { 1: i64 index; 2: i64 term; 3: binary command; }
// member: identity of the sender's disk. group: identity with which the group was bootstrapped; empty on an empty disk.
struct RequestVote {
  1: i64 term; 2: i64 lastIndex; 3: i64 lastTerm; 4: bool preVote; 5: string member; 6: string group;
  7: bool transfer;           // the leader requested this election
  8: string failureDomain;    // of an announcing process
  9: bool observer;           // an announcing process without a disk: it only asks who leads
}
struct VoteReply {
  1: i64 term; 2: bool granted; 3: bool preVote; 4: string member; 5: string group;
  6: bool fresh;              // the disk contains no term, vote or entry
  7: string leader;           // name of the leader that the sender knows; empty if there is none
  8: string failureDomain; 9: bool observer;
  10: list<string> processes; // names of the group's voters, to an observer
  11: string founder;         // name of the process that shall bootstrap the group, if no listed one has a disk
  12: map<string, i64> silentMs; // to a candidate: time since the last contact with each member that the sender knows of
}
struct AppendEntries {
  1: i64 term; 2: i64 prevIndex; 3: i64 prevTerm; 4: list<LogEntry> entries; 5: i64 commitIndex; 6: i64 round;
  7: string member; 8: string group;
  // Time since the last contact with each member that has been silent for a while, by identity; the others were heard
  // just now. Not set by versions that do not tell it.
  9: optional map<string, i64> silentMs;
}
struct AppendReply {
  1: i64 term; 2: bool ok; 3: i64 matchIndex; 4: i64 round; 5: string member; 6: string group;
  7: string failureDomain;
}
struct InstallSnapshot {
  1: i64 term; 2: i64 lastIndex; 3: i64 lastTerm; 4: binary data; 5: list<string> voters; 6: list<string> learners;
  7: string member; 8: string group; 9: i64 round;
  10: map<string, string> domains; // as in SetVoters
}
// A part of a snapshot that is too large for one message. A version that does not know this message ignores it.
struct SnapshotChunk {
  1: i64 term; 2: i64 lastIndex; 3: i64 lastTerm; 4: binary data; 5: list<string> voters; 6: list<string> learners;
  7: string member; 8: string group; 9: i64 round;
  10: i64 offset;             // of the part in the snapshot's data
  11: i64 totalBytes;         // size of the snapshot's data
  12: map<string, string> domains; // as in SetVoters
}
// nextOffset: the receiver has the data of the snapshot up to here.
struct SnapshotChunkReply {
  1: i64 term; 2: i64 lastIndex; 3: i64 nextOffset; 4: string member; 5: string group; 6: i64 round;
}
struct InstallReply { 1: i64 term; 2: i64 lastIndex; 3: string member; 4: string group; 5: i64 round; }
struct TimeoutNow { 1: i64 term; }
// A voter is about to stop: a learner shall replace it at once.
struct VoterLeaving { 1: string member; 2: string group; }

// Commands in the log of the control group.
struct SetConfig { 1: ConfigFile file; }
struct MemberJoin {
  1: ProcessId id; 2: Role role; 3: Endpoint address; 4: string failureDomain; 5: optional ServerInfo server;
  6: i64 atMs;                // leader's wall clock, as in the messages below
  7: i64 replaces;            // unresponsive incarnation that this one replaces although its number is not higher
}
struct MemberGone { 1: ProcessId id; 2: bool planned; 3: i64 atMs; }
struct MemberLeaving { 1: ProcessId id; }
struct HolderWhole {
  1: i32 cell; 2: i64 epoch; 3: string holder;
  4: i64 viewVersion;         // the owner's view version when it reported
}
struct HandOver { 1: i32 cell; 2: i64 epoch; 3: string previousOwner; 4: i64 atMs; }
struct SetVoters {
  1: list<string> voters; 2: list<string> learners;
  3: map<string, string> domains; // failure domains of the members, where they are known
}
// The newest order for a failure domain. Kept when the domain has been returned, for the check of expectedIndex.
// orderIndex: log index of the order.
struct Evacuation { 1: string failureDomain; 2: bool active; 3: i64 orderIndex; 4: string author; 5: i64 atMs; }
// Has no effect if expectedIndex is no longer the index of the newest order for the domain.
struct SetEvacuation { 1: Evacuation evacuation; 2: i64 expectedIndex; }
union Command {
  1: SetConfig setConfig; 2: MemberJoin memberJoin; 3: MemberGone memberGone; 4: MemberLeaving memberLeaving;
  5: HolderWhole holderWhole; 6: HandOver handOver; 7: SetVoters setVoters; 8: bool noop;
  9: SetEvacuation setEvacuation;
}

// State of the control group on disk.
struct HardState { 1: string member; 2: string group; 3: i64 term; 4: string vote; }
struct LogRecord { 1: optional HardState state; 2: i64 truncateFrom; 3: list<LogEntry> entries; }
struct LogFrame { 1: list<LogRecord> records; }
struct SnapshotFile {
  1: i64 lastIndex; 2: i64 lastTerm; 3: list<string> voters; 4: list<string> learners; 5: binary data;
  6: map<string, string> domains; // as in SetVoters
}
struct HolderRecord { 1: string name; 2: i64 since; 3: bool whole; }
struct CellRecord {
  1: i32 cell; 2: string serviceName; 3: i64 epoch; 4: string owner; 5: list<HolderRecord> holders; 6: i64 floorMs;
  7: i64 routeVersion; 8: i64 agentsVersion;
}
struct MemberRecord {
  1: ProcessId id; 2: Role role; 3: Endpoint address; 4: string failureDomain; 5: string serviceName; 6: i32 cell;
  7: bool leaving; 8: i64 version;
  9: i64 leaseVersion;        // an owner gets no lease until it has received this view version
}
struct ControlImage {
  1: list<ConfigFile> history; 2: list<MemberRecord> members; 3: list<CellRecord> cells; 4: i32 nextCell;
  5: i64 configVersion; 6: i64 routesVersion; 7: i64 entriesVersion;
  8: list<Evacuation> evacuations; 9: i64 evacuationsVersion;
}

union Message {
  1: SubmitJob submitJob; 2: CancelJob cancelJob; 3: QueryJob queryJob; 4: JobReply jobReply; 5: NotOwner notOwner;
  10: RecordBatch recordBatch; 11: RecordSnapshot recordSnapshot; 12: RecordAck recordAck;
  20: StartBatch startBatch; 21: CancelBatch cancelBatch; 22: ResultAck resultAck; 23: Fence fence;
  24: AgentHello agentHello; 25: ResultBatch resultBatch; 26: StartRefused startRefused; 27: AgentState agentState;
  30: MemberHeartbeat memberHeartbeat; 31: HeartbeatReply heartbeatReply; 32: ClusterView clusterView;
  33: ApplyConfig applyConfig; 34: ApplyReply applyReply; 35: ControlQuery controlQuery;
  36: ControlAnswer controlAnswer; 37: OrderEvacuation orderEvacuation;
  50: HostReport hostReport; 51: HostContact hostContact; 52: RunTasks runTasks; 53: StopTasks stopTasks;
  54: TaskReports taskReports; 55: StartsInDoubt startsInDoubt; 56: OrdersElsewhere ordersElsewhere;
  40: RequestVote requestVote; 41: VoteReply voteReply; 42: AppendEntries appendEntries; 43: AppendReply appendReply;
  44: InstallSnapshot installSnapshot; 45: InstallReply installReply; 46: TimeoutNow timeoutNow;
  47: SnapshotChunk snapshotChunk; 48: SnapshotChunkReply snapshotChunkReply; 49: VoterLeaving voterLeaving;
}

struct Envelope {
  1: ProcessId sender; 2: Role role; 3: Endpoint address; 4: i64 configNumber; 5: list<Message> messages;
}

service Peer { oneway void deliver(1: Envelope envelope) }
