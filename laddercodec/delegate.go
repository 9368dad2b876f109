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

// chargeWire encodes a [laddermessage.Charge].
type chargeWire struct {
	_       struct{} `cbor:",toarray"`
	Worker  string
	Address netip.AddrPort
	Noted   int64
	Born    int64
}

// startErrandWire encodes a [laddermessage.StartErrand]. The fencing token is that of the
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

// orderErrandWire encodes a [laddermessage.StopErrand] or [laddermessage.PaceErrand]. Percent
// is only used for the latter.
type orderErrandWire struct {
	_       struct{} `cbor:",toarray"`
	Worker  string
	Address netip.AddrPort
	Run     runWire
	Percent int
}

// errandsWire encodes [laddermessage.Errands].
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

// inquireWire encodes a [laddermessage.Inquire].
type inquireWire struct {
	_     struct{} `cbor:",toarray"`
	Fence int64
	After int64
	Valid int64
	Wait  int64
}

// liveWire encodes a [ladderflow.LiveRun].
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

// lookReportWire encodes a [laddermessage.LookReport].
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

// orderReportWire encodes a [laddermessage.OrderReport].
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

// reportWire encodes a [laddermessage.Report].
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
	case laddermessage.Errands:
		return kindErrands, fromErrands(m), true
	case laddermessage.Inquire:
		return kindInquire, inquireWire{Fence: m.Fence, After: m.After, Valid: int64(m.Valid), Wait: int64(m.Wait)}, true
	case laddermessage.Report:
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
		return decode(body, func(w inquireWire) (laddermessage.Inquire, error) {
			return laddermessage.Inquire{
				Fence: w.Fence, After: w.After, Valid: time.Duration(w.Valid), Wait: time.Duration(w.Wait),
			}, nil
		})
	case kindReport:
		return decode(body, reportWire.message)
	default:
		return nil, fmt.Errorf("a message of kind %d is unknown", k)
	}
}

// fromErrands converts a message to its wire type.
func fromErrands(m laddermessage.Errands) errandsWire {
	w := errandsWire{
		Fence: m.Fence, Valid: int64(m.Valid), Void: int64(m.Void), Hold: int64(m.Hold), Within: int64(m.Within),
		Dismissed: m.Dismissed,
	}
	for _, c := range m.Charges {
		w.Charges = append(w.Charges, chargeWire{Worker: c.Worker, Address: c.Address, Noted: c.Noted, Born: c.Born})
	}
	for _, s := range m.Starts {
		w.Starts = append(w.Starts, startErrandWire{
			Worker: s.Worker, Address: s.Address, Run: fromRun(s.Start.Run), Payload: s.Start.Payload,
			Saved: s.Start.Saved, Ticket: s.Start.Ticket, Until: int64(s.Start.Until),
		})
	}
	for _, s := range m.Stops {
		w.Stops = append(w.Stops, orderErrandWire{Worker: s.Worker, Address: s.Address, Run: fromRun(s.Run)})
	}
	for _, p := range m.Paces {
		w.Paces = append(w.Paces, orderErrandWire{
			Worker: p.Worker, Address: p.Address, Run: fromRun(p.Run), Percent: p.Percent,
		})
	}
	return w
}

// message converts the wire type to a message.
func (w errandsWire) message() (laddermessage.Errands, error) {
	m := laddermessage.Errands{
		Fence: w.Fence, Valid: time.Duration(w.Valid), Void: time.Duration(w.Void), Hold: time.Duration(w.Hold),
		Within: time.Duration(w.Within), Dismissed: w.Dismissed,
	}
	for _, c := range w.Charges {
		m.Charges = append(m.Charges, laddermessage.Charge{
			Worker: c.Worker, Address: c.Address, Noted: c.Noted, Born: c.Born,
		})
	}
	for _, s := range w.Starts {
		m.Starts = append(m.Starts, laddermessage.StartErrand{
			Worker: s.Worker, Address: s.Address, Start: ladderflow.Start{
				Run: s.Run.run(), Payload: s.Payload, Saved: s.Saved, Ticket: s.Ticket,
				Until: time.Duration(s.Until), Fence: w.Fence,
			},
		})
	}
	for _, s := range w.Stops {
		m.Stops = append(m.Stops, laddermessage.StopErrand{Worker: s.Worker, Address: s.Address, Run: s.Run.run()})
	}
	for _, p := range w.Paces {
		m.Paces = append(m.Paces, laddermessage.PaceErrand{
			Worker: p.Worker, Address: p.Address, Run: p.Run.run(), Percent: p.Percent,
		})
	}
	return m, nil
}

// fromReport converts a message to its wire type.
func fromReport(m laddermessage.Report) reportWire {
	w := reportWire{Session: m.Session, Number: m.Number, Heard: int64(m.Heard), Clock: int64(m.Clock)}
	for _, l := range m.Looks {
		report := lookReportWire{
			Worker: l.Worker, Sent: int64(l.Sent), Outcome: int(l.Outcome), Born: l.Look.Born, Clock: int64(l.Look.Clock),
		}
		for _, r := range l.Look.Running {
			report.Running = append(report.Running, liveWire{
				Run: fromRun(r.Run), Saved: r.Saved, Percent: r.Percent, Tail: int64(r.Tail), Used: r.Used,
			})
		}
		for _, e := range l.Look.Ended {
			report.Ended = append(report.Ended, endedRunWire{Number: e.Number, Run: fromRun(e.Run), How: string(e.How), Saved: e.Saved})
		}
		w.Looks = append(w.Looks, report)
	}
	for _, r := range m.Results {
		w.Results = append(w.Results, orderReportWire{
			Worker: r.Worker, Run: fromRun(r.Run), Stop: r.Stop, Refusal: string(r.Refusal),
			Unsent: r.Unsent, Unknown: r.Unknown, Took: int64(r.Took),
		})
	}
	return w
}

// message converts the wire type to a message.
func (w reportWire) message() (laddermessage.Report, error) {
	m := laddermessage.Report{
		Session: w.Session, Number: w.Number, Heard: time.Duration(w.Heard), Clock: time.Duration(w.Clock),
	}
	for _, l := range w.Looks {
		report := laddermessage.LookReport{
			Worker: l.Worker, Sent: time.Duration(l.Sent), Outcome: laddermessage.LookOutcome(l.Outcome),
			Look: ladderflow.Look{Born: l.Born, Clock: time.Duration(l.Clock)},
		}
		for _, r := range l.Running {
			report.Look.Running = append(report.Look.Running, ladderflow.LiveRun{
				Run: r.Run.run(), Saved: r.Saved, Percent: r.Percent, Tail: time.Duration(r.Tail), Used: r.Used,
			})
		}
		for _, e := range l.Ended {
			report.Look.Ended = append(report.Look.Ended, ladderflow.EndedRun{
				Number: e.Number, Run: e.Run.run(), How: ladderflow.How(e.How), Saved: e.Saved,
			})
		}
		m.Looks = append(m.Looks, report)
	}
	for _, r := range w.Results {
		m.Results = append(m.Results, laddermessage.OrderReport{
			Worker: r.Worker, Run: r.Run.run(), Stop: r.Stop, Refusal: ladderflow.Refusal(r.Refusal),
			Unsent: r.Unsent, Unknown: r.Unknown, Took: time.Duration(r.Took),
		})
	}
	return m, nil
}
