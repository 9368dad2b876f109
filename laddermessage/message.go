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

// Message is one of the messages of this package.
type Message any

// Beat is a heartbeat. It is answered by the receiver's own beat.
type Beat struct {
	From laddermodel.EntryVM
	// Incarnation tells runs of the sender's process apart.
	Incarnation string
	// Version is the number of the sender's configuration.
	Version uint64
	// Draining is true once the sender takes no new work.
	Draining bool
	// Joining is true while the sender has not listened long enough to hold racks.
	Joining bool
	Digests []ladderplacement.Digest
	// Leaving names workers that were found to be leaving.
	Leaving []string
}

// Reserve asks a holder for room. It is answered by [Room] or [Full].
type Reserve struct {
	Ask ladderholder.Ask
}

// Room is a reservation.
type Room struct {
	Reservation laddermodel.Reservation
}

// Full says that there is no room.
type Full struct {
	Reason     string
	RetryAfter time.Duration
}

// Release tells a holder of tasks that need no room any more. It is answered by
// [Done].
type Release struct {
	Ends []ladderholder.End
}

// Forward hands a keyed request to its home. It is answered by [Answered].
type Forward struct {
	Request laddermodel.Request
}

// Answered is the final answer to a forwarded request.
type Answered struct {
	Answer laddermodel.Answer
}

// Fetch asks for the receiver's configuration and list of VMs, for a start while
// the platform is out. It is answered by [Push].
type Fetch struct{}

// Push carries a configuration. As a question it is answered by [Done]. As an
// answer it carries the list of VMs as well.
type Push struct {
	Version ladderconfig.Version
	Listing laddermodel.Listing
}

// Move hands the home of a rack to its successor. It is answered by [Done].
type Move struct {
	Handover ladderclaim.Handover
	Records  []ladderkey.Record
}

// Ends asks for the ends of jobs' tasks. It is answered by [Ended].
type Ends struct {
	// Incarnation and After name the last end that the asker knows.
	Incarnation string
	After       uint64
}

// Ended lists ends of jobs' tasks, and the workers that the sender holds.
type Ended struct {
	Incarnation string
	Ends        []ladderholder.Finished
	Held        []string
}

// Running asks which tasks of jobs run on the receiver's workers. It is answered
// by [Runs].
type Running struct{}

// Runs names the worker of each running task of a job.
type Runs struct {
	Incarnation string
	Workers     map[string]string
	Held        []string
}

// Notice tells the queue's leader of new or cancelled jobs. It is answered by
// [Done].
type Notice struct {
	Jobs []string
}

// Look asks the queue's leader for a job. It is answered by [Seen].
type Look struct {
	Job string
}

// Seen is what the leader says of a job.
type Seen struct {
	Known   bool
	State   string
	Reason  string
	Running int
	Ended   int
}

// Done answers a question that needs no other answer.
type Done struct{}

// Fault answers a question that could not be served.
type Fault struct {
	Reason string
}

// Accepted tells the leader of a job that the store holds. It is answered by
// [Done], or by [NotLeading].
type Accepted struct {
	Job string
	// Body is the job's stored form.
	Body []byte
}

// Cancelled tells the leader of a cancellation that the store holds. It is answered
// by [StateIs], or by [NotLeading].
type Cancelled struct {
	Job string
}

// StateOf asks the leader for a job's state. It is answered by [StateIs], or by
// [NotLeading].
type StateOf struct {
	Job string
}

// StateIs is a job's state.
type StateIs struct {
	Known bool
	State string
}

// Count asks the leader for the length of a queue. It is answered by [Counted], or
// by [NotLeading].
type Count struct {
	Queue string
}

// Counted is how many jobs of a queue have not begun.
type Counted struct {
	Pending int
}

// NotLeading says that the receiver does not lead.
type NotLeading struct{}

// Consult asks a VM to put a question to the advice service. It is answered by
// [Consulted].
type Consult struct {
	Step    ladderflow.StepRef
	Workers []string
}

// Consulted is an answer of the advice service.
type Consulted struct {
	Tickets []ladderflow.Ticket
	Valid   time.Duration
	// Refused means that the service has too long a line of the VM's questions.
	Refused bool
}

// Carry asks a VM to make a call that the sender can't make itself. It is answered
// by [Carried].
type Carry struct {
	To   netip.AddrPort
	Call platform.Call
	// Within bounds the call.
	Within time.Duration
}

// Carried is what became of a call.
type Carried struct {
	Reply platform.Reply
	// Unsent means that the call did not reach its receiver, Failed that its fate
	// is not known.
	Unsent bool
	Failed bool
}

// Tell asks the leader for a text: why a job is where it is or, without a job, how the
// fleet is. It is answered by [Told], or by [NotLeading].
type Tell struct {
	Job string
	// JSON asks for a machine's form.
	JSON bool
}

// Told is a text for an operator.
type Told struct {
	Known bool
	Text  string
}
