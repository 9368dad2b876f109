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

// Beat is a heartbeat. The reply is the heartbeat of the receiver.
type Beat struct {
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

// Reserve asks the holder of workers to reserve capacity for a task. The reply is [Room] or
// [Full].
type Reserve struct {
	Ask ladderholder.Ask
}

// Room grants a reservation.
type Room struct {
	Reservation laddermodel.Reservation
}

// Full reports that there is no free capacity for a reservation.
type Full struct {
	Reason     string
	RetryAfter time.Duration
}

// Release reports to the holder of workers the tasks that no longer need their
// reservations. The reply is [Done].
type Release struct {
	Ends []ladderholder.End
}

// Forward passes a request with an idempotency key to the key's home, the VM that owns the
// key's record. The reply is [Answered].
type Forward struct {
	Request laddermodel.Request
}

// Answered is the final answer to a forwarded request.
type Answered struct {
	Answer laddermodel.Answer
}

// Fetch asks for the receiver's configuration and list of VMs, so that the sender can start
// while the platform is unavailable. The reply is [Push].
type Fetch struct{}

// Push is a configuration. As a request it distributes a new version, and the reply is
// [Done]. As the reply to [Fetch] it also contains the list of VMs.
type Push struct {
	Version ladderconfig.Version
	// Listing is only set in a reply to [Fetch].
	Listing laddermodel.Listing
}

// Move hands over a rack to the next home, together with the rack's key records. The home of
// a rack is the VM that owns those records. The reply is [Done].
type Move struct {
	Handover ladderclaim.Handover
	Records  []ladderkey.Record
}

// Ends asks which tasks of jobs have ended on the receiver's workers. The reply is [Ended].
type Ends struct {
	// Incarnation is the incarnation of the receiver that the sender last knew, and After
	// the number of the last task end that it received from that incarnation.
	Incarnation string
	After       uint64
}

// Ended lists the tasks of jobs that have ended on the sender's workers.
type Ended struct {
	// Incarnation is the incarnation of the sender.
	Incarnation string
	Ends        []ladderholder.Finished
	// Held names the workers on which the sender holds claims.
	Held []string
}

// Running asks which tasks of jobs run on the receiver's workers. The reply is [Runs].
type Running struct{}

// Runs lists the tasks of jobs that run on the sender's workers.
type Runs struct {
	// Incarnation is the incarnation of the sender.
	Incarnation string
	// Workers maps the ID of each running task to the name of its worker.
	Workers map[string]string
	// Held names the workers on which the sender holds claims.
	Held []string
}

// Notice informs the queue's leader that there are new or canceled jobs. The reply is
// [Done].
type Notice struct {
	Jobs []string
}

// Look asks the queue's leader for the status of a job. The reply is [Seen].
type Look struct {
	Job string
}

// Seen is the status of a job.
type Seen struct {
	// Known is false if the leader does not know the job.
	Known  bool
	State  string
	Reason string
	// Running and Ended are the numbers of running and ended tasks.
	Running int
	Ended   int
}

// Done acknowledges a request that has no other reply.
type Done struct{}

// Fault is the reply to a request that failed.
type Fault struct {
	Reason string
}

// Accepted informs the leader of a job that was written to the store. The reply is [Done]
// or [NotLeading].
type Accepted struct {
	Job string
	// Body is the job as encoded in the store.
	Body []byte
}

// Cancelled informs the leader of a cancellation that was written to the store. The reply
// is [StateIs] or [NotLeading].
type Cancelled struct {
	Job string
}

// StateOf asks the leader for the state of a job. The reply is [StateIs] or [NotLeading].
type StateOf struct {
	Job string
}

// StateIs is the state of a job.
type StateIs struct {
	// Known is false if the leader does not know the job.
	Known bool
	State string
}

// Count asks the leader for the length of a queue. The reply is [Counted] or [NotLeading].
type Count struct {
	Queue string
}

// Counted is the length of a queue.
type Counted struct {
	// Pending is the number of jobs that have not started.
	Pending int
}

// NotLeading reports that the receiver of a request is not the leader, or that a delegate
// serves a newer leader.
type NotLeading struct{}

// Consult asks a VM to query the advice service about workers for a step. The reply is
// [Consulted].
type Consult struct {
	Step    ladderflow.StepRef
	Workers []string
}

// Consulted is the result of a query of the advice service.
type Consulted struct {
	// Tickets holds one ticket for each worker that may run the step.
	Tickets []ladderflow.Ticket
	// Valid is how long the tickets are valid.
	Valid time.Duration
	// Refused means that the service refused the query, because too many queries of the VM
	// are waiting.
	Refused bool
}

// Carry asks a VM to relay a call to the platform or a worker that the sender cannot make
// itself. The reply is [Carried].
type Carry struct {
	// To is the receiver of the call.
	To   netip.AddrPort
	Call platform.Call
	// Within is the time limit of the call.
	Within time.Duration
}

// Carried is the result of a relayed call.
type Carried struct {
	Reply platform.Reply
	// Unsent means that the call did not reach its receiver.
	Unsent bool
	// Failed means that there is no response. Unless Unsent is set as well, the outcome of
	// the call is unknown.
	Failed bool
}

// Tell is an operator's query to the leader, for the explanation of a job's state or for an
// overview of queues and workers. The reply is [Told] or [NotLeading].
type Tell struct {
	// Job is the job to explain. If it is empty, the query is for the overview.
	Job string
	// JSON requests JSON in place of text.
	JSON bool
}

// Told is the reply to an operator's query.
type Told struct {
	// Known is false if the leader does not know the job.
	Known bool
	Text  string
}
