package laddercodec

import (
	"net/netip"
	"time"

	"lacewingladder/ladderflow"
	"lacewingladder/laddermessage"
)

// The kinds of the messages between the leader and its delegates. The values are part of
// the format.
const (
	kindDelegation kind = iota + 96
	kindDelegatePoll
	kindDelegateReport
)

// The wire types of this file are encoded as CBOR arrays. Durations are in nanoseconds.

// runWire identifies a run of a task.
type runWire struct {
	_      struct{} `cbor:",toarray"`
	Job    string
	Round  int
	Step   int
	Index  int
	Number int
}

// fromRun converts a run to its wire type.
func fromRun(r ladderflow.Run) runWire {
	return runWire{Job: r.Task.Job, Round: r.Task.Round, Step: r.Task.Step, Index: r.Task.Index, Number: r.Number}
}

// run converts the wire type to a run.
func (w runWire) run() ladderflow.Run {
	return ladderflow.Run{
		Task: ladderflow.Task{Job: w.Job, Round: w.Round, Step: w.Step, Index: w.Index}, Number: w.Number,
	}
}

// assignmentWire encodes a [laddermessage.Assignment].
type assignmentWire struct {
	_            struct{} `cbor:",toarray"`
	Worker       string
	Address      netip.AddrPort
	Acknowledged int64
	Incarnation  int64
}

// delegatedStartWire encodes a [laddermessage.DelegatedStart] without the start's fencing
// token, which is the same as that of the whole [delegationWire].
type delegatedStartWire struct {
	_          struct{} `cbor:",toarray"`
	Worker     string
	Address    netip.AddrPort
	Run        runWire
	Payload    string
	Checkpoint string
	Ticket     string
	LeaseUntil int64
	// Incarnation is as in [ladderflow.Start]. Builds without it reject the message.
	Incarnation int64
}

// delegatedOrderWire encodes a [laddermessage.DelegatedStop] or
// [laddermessage.DelegatedSpeedLimit]. Percent is only used for the latter.
type delegatedOrderWire struct {
	_       struct{} `cbor:",toarray"`
	Worker  string
	Address netip.AddrPort
	Run     runWire
	Percent int
}

// delegationWire encodes a [laddermessage.Delegation].
type delegationWire struct {
	_             struct{} `cbor:",toarray"`
	Fence         int64
	RenewUntil    int64
	SendBefore    int64
	LeaseDuration int64
	OrderTimeout  int64
	Assigned      []assignmentWire
	Unassigned    []string
	Starts        []delegatedStartWire
	Stops         []delegatedOrderWire
	SpeedLimits   []delegatedOrderWire
}

// delegatePollWire encodes a [laddermessage.DelegatePoll].
type delegatePollWire struct {
	_          struct{} `cbor:",toarray"`
	Fence      int64
	After      int64
	RenewUntil int64
	Wait       int64
}

// activeRunWire encodes a [ladderflow.ActiveRun].
type activeRunWire struct {
	_             struct{} `cbor:",toarray"`
	Run           runWire
	Checkpoint    string
	Percent       int
	TailLatency   int64
	ProcessorUsed int
}

// endedRunWire encodes a [ladderflow.EndedRun].
type endedRunWire struct {
	_          struct{} `cbor:",toarray"`
	Sequence   int64
	Run        runWire
	Reason     string
	Checkpoint string
}

// pollResultWire encodes a [laddermessage.PollResult].
type pollResultWire struct {
	_           struct{} `cbor:",toarray"`
	Worker      string
	SentAt      int64
	Outcome     int
	Incarnation int64
	Clock       int64
	Running     []activeRunWire
	Ended       []endedRunWire
}

// orderResultWire encodes a [laddermessage.OrderResult].
type orderResultWire struct {
	_        struct{} `cbor:",toarray"`
	Worker   string
	Run      runWire
	Stop     bool
	Refusal  string
	Unsent   bool
	Unknown  bool
	Duration int64
}

// delegateReportWire encodes a [laddermessage.DelegateReport].
type delegateReportWire struct {
	_          struct{} `cbor:",toarray"`
	Session    string
	Number     int64
	ReceivedAt int64
	RepliedAt  int64
	Polls      []pollResultWire
	Results    []orderResultWire
}

// toDelegateWire converts a message between the leader and a delegate to its wire type. It
// returns false for other messages.
func toDelegateWire(m laddermessage.Message) (kind, any, bool) {
	switch m := m.(type) {
	case laddermessage.Delegation:
		return kindDelegation, fromDelegation(m), true
	case laddermessage.DelegatePoll:
		return kindDelegatePoll, delegatePollWire{
			Fence: m.Fence, After: m.After, RenewUntil: int64(m.RenewUntil), Wait: int64(m.Wait),
		}, true
	case laddermessage.DelegateReport:
		return kindDelegateReport, fromDelegateReport(m), true
	}
	return 0, nil, false
}

// decodeDelegate decodes the body of a message between the leader and a delegate.
func decodeDelegate(k kind, body []byte) (laddermessage.Message, error) {
	switch k {
	case kindDelegation:
		return decode(body, delegationWire.message)
	case kindDelegatePoll:
		return decode(body, func(w delegatePollWire) (laddermessage.DelegatePoll, error) {
			return laddermessage.DelegatePoll{
				Fence: w.Fence, After: w.After, RenewUntil: time.Duration(w.RenewUntil), Wait: time.Duration(w.Wait),
			}, nil
		})
	case kindDelegateReport:
		return decode(body, delegateReportWire.message)
	default:
		return decodeIntake(k, body)
	}
}

// fromDelegation converts a message to its wire type.
func fromDelegation(m laddermessage.Delegation) delegationWire {
	w := delegationWire{
		Fence: m.Fence, RenewUntil: int64(m.RenewUntil), SendBefore: int64(m.SendBefore),
		LeaseDuration: int64(m.LeaseDuration), OrderTimeout: int64(m.OrderTimeout), Unassigned: m.Unassigned,
	}
	for _, a := range m.Assigned {
		w.Assigned = append(w.Assigned, assignmentWire{
			Worker: a.Worker, Address: a.Address, Acknowledged: a.Acknowledged, Incarnation: a.Incarnation,
		})
	}
	for _, s := range m.Starts {
		w.Starts = append(w.Starts, delegatedStartWire{
			Worker: s.Worker, Address: s.Address, Run: fromRun(s.Start.Run), Payload: s.Start.Payload,
			Checkpoint: s.Start.Checkpoint, Ticket: s.Start.Ticket, LeaseUntil: int64(s.Start.LeaseUntil),
			Incarnation: s.Start.Incarnation,
		})
	}
	for _, s := range m.Stops {
		w.Stops = append(w.Stops, delegatedOrderWire{Worker: s.Worker, Address: s.Address, Run: fromRun(s.Run)})
	}
	for _, l := range m.SpeedLimits {
		w.SpeedLimits = append(w.SpeedLimits, delegatedOrderWire{
			Worker: l.Worker, Address: l.Address, Run: fromRun(l.Run), Percent: l.Percent,
		})
	}
	return w
}

// message converts the wire type to a message.
func (w delegationWire) message() (laddermessage.Delegation, error) {
	m := laddermessage.Delegation{
		Fence: w.Fence, RenewUntil: time.Duration(w.RenewUntil), SendBefore: time.Duration(w.SendBefore),
		LeaseDuration: time.Duration(w.LeaseDuration), OrderTimeout: time.Duration(w.OrderTimeout), Unassigned: w.Unassigned,
	}
	for _, a := range w.Assigned {
		m.Assigned = append(m.Assigned, laddermessage.Assignment{
			Worker: a.Worker, Address: a.Address, Acknowledged: a.Acknowledged, Incarnation: a.Incarnation,
		})
	}
	for _, s := range w.Starts {
		m.Starts = append(m.Starts, laddermessage.DelegatedStart{
			Worker: s.Worker, Address: s.Address, Start: ladderflow.Start{
				Run: s.Run.run(), Payload: s.Payload, Checkpoint: s.Checkpoint, Ticket: s.Ticket,
				Incarnation: s.Incarnation, LeaseUntil: time.Duration(s.LeaseUntil), Fence: w.Fence,
			},
		})
	}
	for _, s := range w.Stops {
		m.Stops = append(m.Stops, laddermessage.DelegatedStop{Worker: s.Worker, Address: s.Address, Run: s.Run.run()})
	}
	for _, l := range w.SpeedLimits {
		m.SpeedLimits = append(m.SpeedLimits, laddermessage.DelegatedSpeedLimit{
			Worker: l.Worker, Address: l.Address, Run: l.Run.run(), Percent: l.Percent,
		})
	}
	return m, nil
}

// fromDelegateReport converts a message to its wire type.
func fromDelegateReport(m laddermessage.DelegateReport) delegateReportWire {
	w := delegateReportWire{
		Session: m.Session, Number: m.Number, ReceivedAt: int64(m.ReceivedAt), RepliedAt: int64(m.RepliedAt),
	}
	for _, p := range m.Polls {
		result := pollResultWire{
			Worker: p.Worker, SentAt: int64(p.SentAt), Outcome: int(p.Outcome),
			Incarnation: p.Status.Incarnation, Clock: int64(p.Status.Clock),
		}
		for _, r := range p.Status.Running {
			result.Running = append(result.Running, activeRunWire{
				Run: fromRun(r.Run), Checkpoint: r.Checkpoint, Percent: r.Percent,
				TailLatency: int64(r.TailLatency), ProcessorUsed: r.ProcessorUsed,
			})
		}
		for _, e := range p.Status.Ended {
			result.Ended = append(result.Ended, endedRunWire{
				Sequence: e.Sequence, Run: fromRun(e.Run), Reason: string(e.Reason), Checkpoint: e.Checkpoint,
			})
		}
		w.Polls = append(w.Polls, result)
	}
	for _, r := range m.Results {
		w.Results = append(w.Results, orderResultWire{
			Worker: r.Worker, Run: fromRun(r.Run), Stop: r.Stop, Refusal: string(r.Refusal),
			Unsent: r.Unsent, Unknown: r.Unknown, Duration: int64(r.Duration),
		})
	}
	return w
}

// message converts the wire type to a message.
func (w delegateReportWire) message() (laddermessage.DelegateReport, error) {
	m := laddermessage.DelegateReport{
		Session: w.Session, Number: w.Number, ReceivedAt: time.Duration(w.ReceivedAt), RepliedAt: time.Duration(w.RepliedAt),
	}
	for _, p := range w.Polls {
		result := laddermessage.PollResult{
			Worker: p.Worker, SentAt: time.Duration(p.SentAt), Outcome: laddermessage.PollOutcome(p.Outcome),
			Status: ladderflow.StatusReport{Incarnation: p.Incarnation, Clock: time.Duration(p.Clock)},
		}
		for _, r := range p.Running {
			result.Status.Running = append(result.Status.Running, ladderflow.ActiveRun{
				Run: r.Run.run(), Checkpoint: r.Checkpoint, Percent: r.Percent,
				TailLatency: time.Duration(r.TailLatency), ProcessorUsed: r.ProcessorUsed,
			})
		}
		for _, e := range p.Ended {
			result.Status.Ended = append(result.Status.Ended, ladderflow.EndedRun{
				Sequence: e.Sequence, Run: e.Run.run(), Reason: ladderflow.EndReason(e.Reason), Checkpoint: e.Checkpoint,
			})
		}
		m.Polls = append(m.Polls, result)
	}
	for _, r := range w.Results {
		m.Results = append(m.Results, laddermessage.OrderResult{
			Worker: r.Worker, Run: r.Run.run(), Stop: r.Stop, Refusal: ladderflow.Refusal(r.Refusal),
			Unsent: r.Unsent, Unknown: r.Unknown, Duration: time.Duration(r.Duration),
		})
	}
	return m, nil
}
