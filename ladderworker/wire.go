package ladderworker

import (
	"net/http"
	"strconv"
	"time"

	"lacewingladder/ladderclaim"
	"lacewingladder/laddermodel"
)

// The HTTP headers of a start and of its answer.
const (
	HeaderTask         = "Task"
	HeaderMember       = "Member"
	HeaderClass        = "Class"
	HeaderKind         = "Kind"
	HeaderSlots        = "Slots"
	HeaderMillicores   = "Millicores"
	HeaderMemory       = "Memory"
	HeaderAccelerators = "Accelerators"
	HeaderLease        = "Lease"
	HeaderBoot         = "Boot"
	HeaderEpoch        = "Epoch"
	HeaderUntil        = "Until"
	// HeaderLength is the length in bytes of the answer's body, as the endpoint
	// counted it. It reveals a body that was cut off.
	HeaderLength = "Length"
	// HeaderRefusal is the reason why the worker refused a start.
	HeaderRefusal = "Refusal"
)

// The reasons for which a worker refuses a start: the grant is no longer valid, the
// worker is about to shut down, the task was revoked, or the worker has the task
// already.
const (
	RefusalFenced    = "fenced"
	RefusalLeaving   = "leaving"
	RefusalRevoked   = "revoked"
	RefusalDuplicate = "known"
)

// ClaimRequest is the body of POST /claim. Times and durations are in nanoseconds.
// Since and Version are the time and version of the last report that the holder
// received. The worker reports only ends after that time, and leaves out the running
// tasks if the version has not changed.
type ClaimRequest struct {
	Holder  string `json:"holder"`
	Release bool   `json:"release,omitempty"`
	Lease   int64  `json:"lease"`
	Since   int64  `json:"since,omitempty"`
	Version uint64 `json:"version,omitempty"`
}

// ClaimReply is the answer to POST /claim. Holder and Epoch belong to the present
// claim, Until is when it ends, and Left is the time until then. Age is the uptime of
// the worker, whose incarnation is Boot. Times are nanoseconds on the worker's clock.
type ClaimReply struct {
	Granted bool        `json:"granted"`
	Holder  string      `json:"holder,omitempty"`
	Epoch   uint64      `json:"epoch"`
	Boot    uint64      `json:"boot"`
	Age     int64       `json:"age"`
	Until   int64       `json:"until"`
	Left    int64       `json:"left"`
	Leaving bool        `json:"leaving,omitempty"`
	Report  ReportReply `json:"report"`
}

// ReportReply is the report of a worker's tasks in a [ClaimReply]. Same is true if
// the list of running tasks is left out because it has not changed. At is the time
// of the report, on the worker's clock.
type ReportReply struct {
	Epoch   uint64         `json:"epoch"`
	At      int64          `json:"at"`
	Version uint64         `json:"version"`
	Same    bool           `json:"same,omitempty"`
	Running []RunningReply `json:"running,omitempty"`
	Ended   []EndedReply   `json:"ended,omitempty"`
}

// RunningReply is one running task of a [ReportReply].
type RunningReply struct {
	Task         string `json:"task"`
	Kind         string `json:"kind"`
	Slots        int    `json:"slots"`
	Millicores   int    `json:"millicores,omitempty"`
	Memory       int64  `json:"memory,omitempty"`
	Accelerators int    `json:"accelerators,omitempty"`
	// Observed is the memory that the task uses, in bytes. Memory is what it declared
	// that it needs.
	Observed int64 `json:"observed,omitempty"`
}

// EndedReply is one ended task of a [ReportReply]. Failed is true if the task itself
// failed, and Stopped if it was stopped from outside.
type EndedReply struct {
	Task    string `json:"task"`
	Failed  bool   `json:"failed,omitempty"`
	Stopped bool   `json:"stopped,omitempty"`
}

// TaskStateReply is the answer to GET and DELETE /tasks, POST /checkpoint and
// POST /throttle.
type TaskStateReply struct {
	// State is "running", "never", "stopped", "ended" or "restarted". A task that has
	// never begun is in the state "never".
	State  string `json:"state"`
	Failed bool   `json:"failed,omitempty"`
	Length int    `json:"length"`
	Body   []byte `json:"body,omitempty"`
}

// toClaimRequest converts a claim call to its JSON form.
func toClaimRequest(c ladderclaim.Call) ClaimRequest {
	return ClaimRequest{
		Holder: c.Holder, Release: c.Verb == ladderclaim.Release, Lease: int64(c.Lease), Since: int64(c.Since),
		Version: c.Version,
	}
}

// fromClaimReply converts the JSON form of an answer to a claim call. A running
// task of an unknown kind counts as batch work.
func fromClaimReply(r ClaimReply) ladderclaim.Answer {
	a := ladderclaim.Answer{
		Granted: r.Granted, Holder: r.Holder, Epoch: r.Epoch, Boot: r.Boot,
		Uptime: time.Duration(r.Age), Until: time.Duration(r.Until), Remaining: time.Duration(r.Left),
		Leaving: r.Leaving,
		Report: ladderclaim.Report{
			Epoch: r.Report.Epoch, At: time.Duration(r.Report.At), Version: r.Report.Version, Unchanged: r.Report.Same,
		},
	}
	for _, t := range r.Report.Running {
		kind, err := laddermodel.ParseKind(t.Kind)
		if err != nil {
			kind = laddermodel.Batch
		}
		a.Report.Running = append(a.Report.Running, ladderclaim.Running{
			Task: t.Task, Kind: kind, Memory: t.Observed,
			Size: laddermodel.Size{
				Slots: t.Slots, Millicores: t.Millicores, Memory: t.Memory, Accelerators: t.Accelerators,
			},
		})
	}
	for _, e := range r.Report.Ended {
		a.Report.Ended = append(a.Report.Ended, ladderclaim.Ended{Task: e.Task, Failed: e.Failed, Stopped: e.Stopped})
	}
	return a
}

// setStartHeaders writes a task and its grant to the headers of a start.
func setStartHeaders(h http.Header, g laddermodel.Grant, t laddermodel.Task) {
	h.Set(HeaderTask, t.ID)
	h.Set(HeaderMember, t.Member)
	h.Set(HeaderClass, t.Class)
	h.Set(HeaderKind, t.Kind.String())
	h.Set(HeaderSlots, strconv.Itoa(t.Size.Slots))
	h.Set(HeaderMillicores, strconv.Itoa(t.Size.Millicores))
	h.Set(HeaderMemory, strconv.FormatInt(t.Size.Memory, 10))
	h.Set(HeaderAccelerators, strconv.Itoa(t.Size.Accelerators))
	h.Set(HeaderLease, t.Lease.String())
	h.Set(HeaderBoot, strconv.FormatUint(g.Boot, 10))
	h.Set(HeaderEpoch, strconv.FormatUint(g.Epoch, 10))
	h.Set(HeaderUntil, g.Until.String())
}
