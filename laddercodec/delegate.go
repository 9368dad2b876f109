package laddercodec

import (
	"fmt"
	"net/netip"
	"time"

	"lacewingladder/ladderflow"
	"lacewingladder/laddermessage"
)

// The kinds of the messages between the leader and its delegates. The values are part of
// the format.
const (
	kindErrands kind = iota + 96
	kindInquire
	kindReport
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

// chargeWire encodes a [laddermessage.Assignment].
type chargeWire struct {
	_       struct{} `cbor:",toarray"`
	Worker  string
	Address netip.AddrPort
	Noted   int64
	Born    int64
}

// startErrandWire encodes a [laddermessage.DelegatedStart]. The fencing token is that of the
// whole message.
type startErrandWire struct {
	_       struct{} `cbor:",toarray"`
	Worker  string
	Address netip.AddrPort
	Run     runWire
	Payload string
	Saved   string
	Ticket  string
	Until   int64
}

// orderErrandWire encodes a [laddermessage.DelegatedStop] or [laddermessage.DelegatedSpeedLimit]. Percent
// is only used for the latter.
type orderErrandWire struct {
	_       struct{} `cbor:",toarray"`
	Worker  string
	Address netip.AddrPort
	Run     runWire
	Percent int
}

// errandsWire encodes [laddermessage.Delegation].
type errandsWire struct {
	_         struct{} `cbor:",toarray"`
	Fence     int64
	Valid     int64
	Void      int64
	Hold      int64
	Within    int64
	Charges   []chargeWire
	Dismissed []string
	Starts    []startErrandWire
	Stops     []orderErrandWire
	Paces     []orderErrandWire
}

// inquireWire encodes a [laddermessage.DelegatePoll].
type inquireWire struct {
	_     struct{} `cbor:",toarray"`
	Fence int64
	After int64
	Valid int64
	Wait  int64
}

// liveWire encodes a [ladderflow.ActiveRun].
type liveWire struct {
	_       struct{} `cbor:",toarray"`
	Run     runWire
	Saved   string
	Percent int
	Tail    int64
	Used    int
}

// endedRunWire encodes a [ladderflow.EndedRun].
type endedRunWire struct {
	_      struct{} `cbor:",toarray"`
	Number int64
	Run    runWire
	How    string
	Saved  string
}

// lookReportWire encodes a [laddermessage.PollResult].
type lookReportWire struct {
	_       struct{} `cbor:",toarray"`
	Worker  string
	Sent    int64
	Outcome int
	Born    int64
	Clock   int64
	Running []liveWire
	Ended   []endedRunWire
}

// orderReportWire encodes a [laddermessage.OrderResult].
type orderReportWire struct {
	_       struct{} `cbor:",toarray"`
	Worker  string
	Run     runWire
	Stop    bool
	Refusal string
	Unsent  bool
	Unknown bool
	Took    int64
}

// reportWire encodes a [laddermessage.DelegateReport].
type reportWire struct {
	_       struct{} `cbor:",toarray"`
	Session string
	Number  int64
	Heard   int64
	Clock   int64
	Looks   []lookReportWire
	Results []orderReportWire
}

// toDelegateWire converts a message between the leader and a delegate to its wire type. It
// returns false for other messages.
func toDelegateWire(m laddermessage.Message) (kind, any, bool) {
	switch m := m.(type) {
	case laddermessage.Delegation:
		return kindErrands, fromErrands(m), true
	case laddermessage.DelegatePoll:
		return kindInquire, inquireWire{Fence: m.Fence, After: m.After, Valid: int64(m.RenewUntil), Wait: int64(m.Wait)}, true
	case laddermessage.DelegateReport:
		return kindReport, fromReport(m), true
	}
	return 0, nil, false
}

// decodeDelegate decodes the body of a message between the leader and a delegate.
func decodeDelegate(k kind, body []byte) (laddermessage.Message, error) {
	switch k {
	case kindErrands:
		return decode(body, errandsWire.message)
	case kindInquire:
		return decode(body, func(w inquireWire) (laddermessage.DelegatePoll, error) {
			return laddermessage.DelegatePoll{
				Fence: w.Fence, After: w.After, RenewUntil: time.Duration(w.Valid), Wait: time.Duration(w.Wait),
			}, nil
		})
	case kindReport:
		return decode(body, reportWire.message)
	default:
		return nil, fmt.Errorf("a message of kind %d is unknown", k)
	}
}

// fromErrands converts a message to its wire type.
func fromErrands(m laddermessage.Delegation) errandsWire {
	w := errandsWire{
		Fence: m.Fence, Valid: int64(m.RenewUntil), Void: int64(m.SendBefore), Hold: int64(m.LeaseDuration), Within: int64(m.OrderTimeout),
		Dismissed: m.Unassigned,
	}
	for _, c := range m.Assigned {
		w.Charges = append(w.Charges, chargeWire{Worker: c.Worker, Address: c.Address, Noted: c.Acknowledged, Born: c.Incarnation})
	}
	for _, s := range m.Starts {
		w.Starts = append(w.Starts, startErrandWire{
			Worker: s.Worker, Address: s.Address, Run: fromRun(s.Start.Run), Payload: s.Start.Payload,
			Saved: s.Start.Checkpoint, Ticket: s.Start.Ticket, Until: int64(s.Start.LeaseUntil),
		})
	}
	for _, s := range m.Stops {
		w.Stops = append(w.Stops, orderErrandWire{Worker: s.Worker, Address: s.Address, Run: fromRun(s.Run)})
	}
	for _, p := range m.SpeedLimits {
		w.Paces = append(w.Paces, orderErrandWire{
			Worker: p.Worker, Address: p.Address, Run: fromRun(p.Run), Percent: p.Percent,
		})
	}
	return w
}

// message converts the wire type to a message.
func (w errandsWire) message() (laddermessage.Delegation, error) {
	m := laddermessage.Delegation{
		Fence: w.Fence, RenewUntil: time.Duration(w.Valid), SendBefore: time.Duration(w.Void), LeaseDuration: time.Duration(w.Hold),
		OrderTimeout: time.Duration(w.Within), Unassigned: w.Dismissed,
	}
	for _, c := range w.Charges {
		m.Assigned = append(m.Assigned, laddermessage.Assignment{
			Worker: c.Worker, Address: c.Address, Acknowledged: c.Noted, Incarnation: c.Born,
		})
	}
	for _, s := range w.Starts {
		m.Starts = append(m.Starts, laddermessage.DelegatedStart{
			Worker: s.Worker, Address: s.Address, Start: ladderflow.Start{
				Run: s.Run.run(), Payload: s.Payload, Checkpoint: s.Saved, Ticket: s.Ticket,
				LeaseUntil: time.Duration(s.Until), Fence: w.Fence,
			},
		})
	}
	for _, s := range w.Stops {
		m.Stops = append(m.Stops, laddermessage.DelegatedStop{Worker: s.Worker, Address: s.Address, Run: s.Run.run()})
	}
	for _, p := range w.Paces {
		m.SpeedLimits = append(m.SpeedLimits, laddermessage.DelegatedSpeedLimit{
			Worker: p.Worker, Address: p.Address, Run: p.Run.run(), Percent: p.Percent,
		})
	}
	return m, nil
}

// fromReport converts a message to its wire type.
func fromReport(m laddermessage.DelegateReport) reportWire {
	w := reportWire{Session: m.Session, Number: m.Number, Heard: int64(m.ReceivedAt), Clock: int64(m.RepliedAt)}
	for _, l := range m.Polls {
		report := lookReportWire{
			Worker: l.Worker, Sent: int64(l.SentAt), Outcome: int(l.Outcome), Born: l.Status.Incarnation, Clock: int64(l.Status.Clock),
		}
		for _, r := range l.Status.Running {
			report.Running = append(report.Running, liveWire{
				Run: fromRun(r.Run), Saved: r.Checkpoint, Percent: r.Percent, Tail: int64(r.TailLatency), Used: r.ProcessorUsed,
			})
		}
		for _, e := range l.Status.Ended {
			report.Ended = append(report.Ended, endedRunWire{Number: e.Sequence, Run: fromRun(e.Run), How: string(e.Reason), Saved: e.Checkpoint})
		}
		w.Looks = append(w.Looks, report)
	}
	for _, r := range m.Results {
		w.Results = append(w.Results, orderReportWire{
			Worker: r.Worker, Run: fromRun(r.Run), Stop: r.Stop, Refusal: string(r.Refusal),
			Unsent: r.Unsent, Unknown: r.Unknown, Took: int64(r.Duration),
		})
	}
	return w
}

// message converts the wire type to a message.
func (w reportWire) message() (laddermessage.DelegateReport, error) {
	m := laddermessage.DelegateReport{
		Session: w.Session, Number: w.Number, ReceivedAt: time.Duration(w.Heard), RepliedAt: time.Duration(w.Clock),
	}
	for _, l := range w.Looks {
		report := laddermessage.PollResult{
			Worker: l.Worker, SentAt: time.Duration(l.Sent), Outcome: laddermessage.PollOutcome(l.Outcome),
			Status: ladderflow.StatusReport{Incarnation: l.Born, Clock: time.Duration(l.Clock)},
		}
		for _, r := range l.Running {
			report.Status.Running = append(report.Status.Running, ladderflow.ActiveRun{
				Run: r.Run.run(), Checkpoint: r.Saved, Percent: r.Percent, TailLatency: time.Duration(r.Tail), ProcessorUsed: r.Used,
			})
		}
		for _, e := range l.Ended {
			report.Status.Ended = append(report.Status.Ended, ladderflow.EndedRun{
				Sequence: e.Number, Run: e.Run.run(), Reason: ladderflow.EndReason(e.How), Checkpoint: e.Saved,
			})
		}
		m.Polls = append(m.Polls, report)
	}
	for _, r := range w.Results {
		m.Results = append(m.Results, laddermessage.OrderResult{
			Worker: r.Worker, Run: r.Run.run(), Stop: r.Stop, Refusal: ladderflow.Refusal(r.Refusal),
			Unsent: r.Unsent, Unknown: r.Unknown, Duration: time.Duration(r.Took),
		})
	}
	return m, nil
}
