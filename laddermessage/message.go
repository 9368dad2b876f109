package laddermessage

import (
	"net/netip"
	"time"

	"lacewingladder/ladderclaim"
	"lacewingladder/ladderconfig"
	"lacewingladder/ladderflow"
	"lacewingladder/ladderholder"
	"lacewingladder/ladderkey"
	"lacewingladder/laddermodel"
	"lacewingladder/ladderplacement"
	"lacewingladder/platform"
)

// Message is any request or reply type of this package.
type Message any

// Heartbeat reports the sender's state to a peer. The reply is the heartbeat of the receiver.
type Heartbeat struct {
	From laddermodel.EntryVM
	// Incarnation identifies the sender's process. It changes whenever the process restarts.
	Incarnation string
	// Version is the number of the sender's configuration.
	Version uint64
	// Draining is true once the sender accepts no new work.
	Draining bool
	// Joining is true while the sender, shortly after its start, only listens to its peers and
	// does not claim racks yet.
	Joining bool
	// Digests summarizes the free capacity of each rack that the sender holds.
	Digests []ladderplacement.Digest
	// Leaving names the workers that recently reported to the sender that they are leaving.
	Leaving []string
}

// Reserve asks the holder of workers to reserve capacity for a task. The reply is [Reserved]
// or [NoCapacity].
type Reserve struct {
	Request ladderholder.CapacityRequest
}

// Reserved grants a reservation.
type Reserved struct {
	Reservation laddermodel.Reservation
}

// NoCapacity reports that there is no free capacity for a reservation.
type NoCapacity struct {
	Reason     string
	RetryAfter time.Duration
}

// Release reports to the holder of workers the tasks that no longer need their
// reservations. The reply is [Ack].
type Release struct {
	Ends []ladderholder.TaskEnd
}

// Forward passes a request with an idempotency key to the key's home, the VM that owns the
// key's record. The reply is [ForwardReply].
type Forward struct {
	Request laddermodel.Request
}

// ForwardReply is the final answer to a forwarded request.
type ForwardReply struct {
	Answer laddermodel.Answer
}

// FetchConfig asks for the receiver's configuration and list of VMs, so that the sender can
// start while the platform is unavailable. The reply is [ConfigUpdate].
type FetchConfig struct{}

// ConfigUpdate is a configuration. As a request it distributes a new version, and the reply is
// [Ack]. As the reply to [FetchConfig] it also contains the list of VMs.
type ConfigUpdate struct {
	Version ladderconfig.Version
	// Listing is only set in a reply to [FetchConfig].
	Listing laddermodel.Listing
}

// HandoverHome hands over a rack to the rack's next home, together with the rack's key
// records. The home of a rack is the VM that owns those records. The reply is [Ack].
type HandoverHome struct {
	Handover ladderclaim.Handover
	Records  []ladderkey.Record
}

// EndedTasksQuery asks which tasks of jobs have ended on the receiver's workers. The reply is
// [EndedTasks].
type EndedTasksQuery struct {
	// Incarnation is the incarnation of the receiver that the sender last knew, and After
	// the number of the last task end that it received from that incarnation.
	Incarnation string
	After       uint64
}

// EndedTasks lists the tasks of jobs that have ended on the sender's workers.
type EndedTasks struct {
	// Incarnation is the incarnation of the sender.
	Incarnation string
	Ends        []ladderholder.FinishedTask
	// HeldWorkers names the workers on which the sender holds claims.
	HeldWorkers []string
}

// RunningTasksQuery asks which tasks of jobs run on the receiver's workers. The reply is
// [RunningTasks].
type RunningTasksQuery struct{}

// RunningTasks lists the tasks of jobs that run on the sender's workers.
type RunningTasks struct {
	// Incarnation is the incarnation of the sender.
	Incarnation string
	// Workers maps the ID of each running task to the name of its worker.
	Workers map[string]string
	// HeldWorkers names the workers on which the sender holds claims.
	HeldWorkers []string
}

// JobsChanged informs the queue's leader that there are new or canceled jobs. The reply is
// [Ack].
type JobsChanged struct {
	Jobs []string
}

// JobStatusQuery asks the queue's leader for the status of a job. The reply is [JobStatus].
type JobStatusQuery struct {
	Job string
}

// JobStatus is the status of a job.
type JobStatus struct {
	// Found is false if the leader does not know the job.
	Found  bool
	State  string
	Reason string
	// Running and Ended are the numbers of running and ended tasks.
	Running int
	Ended   int
}

// Ack acknowledges a request that has no other reply.
type Ack struct{}

// ErrorReply is the reply to a request that failed.
type ErrorReply struct {
	Reason string
}

// JobAccepted informs the leader of a job that was written to the store. The reply is [Ack]
// or [NotLeader].
type JobAccepted struct {
	Job string
	// Body is the job as encoded in the store.
	Body []byte
	// Revision is the store's revision in which the job was stored, or zero if it is not known.
	Revision int64
}

// JobCancelled informs the leader of a cancellation that was written to the store. The reply
// is [JobState] or [NotLeader].
type JobCancelled struct {
	Job string
}

// JobStateQuery asks the leader for the state of a job. The reply is [JobState] or [NotLeader].
type JobStateQuery struct {
	Job string
}

// JobState is the state of a job.
type JobState struct {
	// Found is false if the leader does not know the job.
	Found bool
	State string
	// Team and Queue are those of the job. Both are empty if the job has no team. Builds from before teams do
	// not decode a state with a team, and read the store.
	Team  string
	Queue string
}

// QueueLengthQuery asks the leader for the length of a queue. The reply is [QueueLength] or
// [NotLeader].
type QueueLengthQuery struct {
	Queue string
}

// QueueLength is the length of a queue.
type QueueLength struct {
	// Pending is the number of jobs that have not started.
	Pending int
}

// NotLeader reports that the receiver of a request is not the leader, or that a delegate
// serves a newer leader.
type NotLeader struct{}

// AdviceQuery asks a VM to query the advice service about workers for a step. The reply is
// [AdviceReply].
type AdviceQuery struct {
	Step    ladderflow.StepRef
	Workers []string
}

// AdviceReply is the result of a query of the advice service.
type AdviceReply struct {
	// Tickets holds one ticket for each worker that may run the step.
	Tickets []ladderflow.Ticket
	// TicketLifetime is how long the tickets are valid.
	TicketLifetime time.Duration
	// Refused means that the service refused the query, because too many queries of the VM
	// are waiting.
	Refused bool
}

// RelayCall asks a VM to relay a call to the platform or a worker that the sender cannot make
// itself. The reply is [RelayReply].
type RelayCall struct {
	// To is the receiver of the call.
	To   netip.AddrPort
	Call platform.Call
	// Timeout is the time limit of the call.
	Timeout time.Duration
}

// RelayReply is the result of a relayed call.
type RelayReply struct {
	Reply platform.Reply
	// Unsent means that the call did not reach its receiver.
	Unsent bool
	// Failed means that there is no response. Unless Unsent is set as well, the outcome of
	// the call is unknown.
	Failed bool
}

// StoreStatusQuery asks a VM whether the platform's store serves it. The reply is [StoreStatus].
type StoreStatusQuery struct{}

// StoreStatus is what a VM sees of the platform's store.
type StoreStatus struct {
	// Unavailable is true if the store serves no calls of the sender.
	Unavailable bool
	// Leader is the fencing token of the newest leader that the sender knows, or zero.
	Leader int64
}

// FleetOffer informs a VM of the same region that the sender knows all changes of the operators'
// keys up to a revision of the store. The reply is [Ack].
type FleetOffer struct {
	// From is the name of the sender.
	From     string
	Revision int64
}

// FleetFetch asks for the state of the operators' keys. The reply is [FleetState].
type FleetFetch struct {
	// Have is the revision of the configuration that the sender has, or zero.
	Have int64
}

// FleetState is the state of the operators' keys.
type FleetState struct {
	// Revision is the store's revision up to which the state is complete, or zero if the sender
	// has no state.
	Revision int64
	// FleetRevision is the revision of the configuration, and Base that of the version from
	// which Delta leads to it. If Base is zero, Delta is the whole configuration. If both are
	// equal, there is no Delta.
	FleetRevision int64
	Base          int64
	// Delta is the difference, as encoded by package laddercodec.
	Delta []byte
	// Items holds the other items.
	Items []platform.Item
}

// OperatorQuery is an operator's query to the leader, for the explanation of a job's state or
// for an overview of queues and workers. The reply is [OperatorReply] or [NotLeader].
type OperatorQuery struct {
	// Job is the job to explain. If it is empty, the query is for the overview.
	Job string
	// JSON requests JSON in place of text.
	JSON bool
}

// OperatorReply is the reply to an operator's query.
type OperatorReply struct {
	// Found is false if the leader does not know the job.
	Found bool
	Text  string
}
