package ladderworker

import (
	"net/http"
	"strconv"
	"time"

	"lacewingladder/ladderclaim"
	"lacewingladder/laddermodel"
)

// The headers of a start and of its answer.
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
	// HeaderLength is the length of an answer in bytes, as its maker counted it.
	HeaderLength = "Length"
	// HeaderRefusal says why a start was refused.
	HeaderRefusal = "Refusal"
)

// The reasons of a refusal.
const (
	RefusalFenced  = "fenced"
	RefusalLeaving = "leaving"
	RefusalRevoked = "revoked"
	RefusalKnown   = "known"
)

// ClaimQuery is the body of POST /claim. Durations are nanoseconds.
type ClaimQuery struct {
	Holder  string `json:"holder"`
	Release bool   `json:"release,omitempty"`
	Lease   int64  `json:"lease"`
	Since   int64  `json:"since,omitempty"`
	Version uint64 `json:"version,omitempty"`
}

// ClaimReply is the answer to POST /claim.
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

// ReportReply is the report inside a [ClaimReply].
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
	// Observed is the memory in use, in bytes.
	Observed int64 `json:"observed,omitempty"`
}

// EndedReply is one ended task of a [ReportReply].
type EndedReply struct {
	Task    string `json:"task"`
	Failed  bool   `json:"failed,omitempty"`
	Stopped bool   `json:"stopped,omitempty"`
}

// RevokeReply is the answer to DELETE /tasks.
type RevokeReply struct {
	// State is never, stopped, ended or restarted.
	State  string `json:"state"`
	Failed bool   `json:"failed,omitempty"`
	Length int    `json:"length"`
	Body   []byte `json:"body,omitempty"`
}

// toClaimQuery maps a claim's call to its wire form.
func toClaimQuery(c ladderclaim.Call) ClaimQuery {
	return ClaimQuery{
		Holder: c.Holder, Release: c.Verb == ladderclaim.Release, Lease: int64(c.Lease), Since: int64(c.Since),
		Version: c.Version,
	}
}

// fromClaimReply maps the wire form of an answer to a claim.
func fromClaimReply(r ClaimReply) ladderclaim.Answer {
	a := ladderclaim.Answer{
		Granted: r.Granted, Holder: r.Holder, Epoch: r.Epoch, Boot: r.Boot,
		Age: time.Duration(r.Age), Until: time.Duration(r.Until), Left: time.Duration(r.Left),
		Leaving: r.Leaving,
		Report: ladderclaim.Report{
			Epoch: r.Report.Epoch, At: time.Duration(r.Report.At), Version: r.Report.Version, Same: r.Report.Same,
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

// setStartHeaders writes a task and its grant into a start's headers.
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
