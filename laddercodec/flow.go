package laddercodec

import (
	"net/netip"
	"time"

	"lacewingladder/ladderflow"
	"lacewingladder/laddermessage"
	"lacewingladder/platform"
)

// The kinds of the messages about jobs that consist of steps. The values are part of the
// format.
const (
	kindAccepted kind = iota + 64
	kindCancelled
	kindStateOf
	kindStateIs
	kindCount
	kindCounted
	kindNotLeading
	kindConsult
	kindConsulted
	kindCarry
	kindCarried
	kindTell
	kindTold
)

// The wire types of this file are encoded as CBOR arrays. Durations are in nanoseconds.

// acceptedWire encodes a [laddermessage.JobAccepted].
type acceptedWire struct {
	_    struct{} `cbor:",toarray"`
	Job  string
	Body []byte
}

// stateWire encodes a [laddermessage.JobState], or a [laddermessage.OperatorReply] with its text as
// State.
type stateWire struct {
	_     struct{} `cbor:",toarray"`
	Known bool
	State string
}

// tellWire encodes a [laddermessage.OperatorQuery].
type tellWire struct {
	_    struct{} `cbor:",toarray"`
	Job  string
	JSON bool
}

// consultWire encodes a [laddermessage.AdviceQuery].
type consultWire struct {
	_       struct{} `cbor:",toarray"`
	Job     string
	Round   int
	Step    int
	Workers []string
}

// consultedWire encodes a [laddermessage.AdviceReply].
type consultedWire struct {
	_       struct{}    `cbor:",toarray"`
	Tickets [][2]string // Pairs of worker and ticket.
	Valid   int64
	Refused bool
}

// carryWire encodes a [laddermessage.RelayCall]. The fields Kind and Wait of the call are not
// encoded.
type carryWire struct {
	_        struct{} `cbor:",toarray"`
	To       string
	Method   string
	Path     string
	Instance string
	Holder   string
	Fence    int64
	Body     []byte
	Within   int64
}

// carriedWire encodes a [laddermessage.RelayReply].
type carriedWire struct {
	_      struct{} `cbor:",toarray"`
	Status int
	Body   []byte
	Unsent bool
	Failed bool
}

// toFlowWire converts a message about jobs that consist of steps to its wire type. It
// returns false for other messages.
func toFlowWire(m laddermessage.Message) (kind, any, bool) {
	switch m := m.(type) {
	case laddermessage.JobAccepted:
		return kindAccepted, acceptedWire{Job: m.Job, Body: m.Body}, true
	case laddermessage.JobCancelled:
		return kindCancelled, m.Job, true
	case laddermessage.JobStateQuery:
		return kindStateOf, m.Job, true
	case laddermessage.JobState:
		return kindStateIs, stateWire{Known: m.Found, State: m.State}, true
	case laddermessage.QueueLengthQuery:
		return kindCount, m.Queue, true
	case laddermessage.QueueLength:
		return kindCounted, m.Pending, true
	case laddermessage.NotLeader:
		return kindNotLeading, struct{}{}, true
	case laddermessage.OperatorQuery:
		return kindTell, tellWire{Job: m.Job, JSON: m.JSON}, true
	case laddermessage.OperatorReply:
		return kindTold, stateWire{Known: m.Found, State: m.Text}, true
	case laddermessage.AdviceQuery:
		return kindConsult, consultWire{Job: m.Step.Job, Round: m.Step.Round, Step: m.Step.Step, Workers: m.Workers}, true
	case laddermessage.AdviceReply:
		w := consultedWire{Valid: int64(m.Valid), Refused: m.Refused}
		for _, t := range m.Tickets {
			w.Tickets = append(w.Tickets, [2]string{t.Worker, t.Text})
		}
		return kindConsulted, w, true
	case laddermessage.RelayCall:
		return kindCarry, carryWire{
			To: m.To.String(), Method: m.Call.Method, Path: m.Call.Path, Instance: m.Call.Instance,
			Holder: m.Call.Holder, Fence: m.Call.Fence, Body: m.Call.Body, Within: int64(m.Timeout),
		}, true
	case laddermessage.RelayReply:
		return kindCarried, carriedWire{Status: m.Reply.Status, Body: m.Reply.Body, Unsent: m.Unsent, Failed: m.Failed}, true
	}
	return 0, nil, false
}

// decodeFlow decodes the body of a message about jobs that consist of steps. It passes other
// kinds to [decodeDelegate].
func decodeFlow(k kind, body []byte) (laddermessage.Message, error) {
	switch k {
	case kindAccepted:
		return decode(body, func(w acceptedWire) (laddermessage.JobAccepted, error) {
			return laddermessage.JobAccepted{Job: w.Job, Body: w.Body}, nil
		})
	case kindCancelled:
		return decode(body, func(w string) (laddermessage.JobCancelled, error) {
			return laddermessage.JobCancelled{Job: w}, nil
		})
	case kindStateOf:
		return decode(body, func(w string) (laddermessage.JobStateQuery, error) {
			return laddermessage.JobStateQuery{Job: w}, nil
		})
	case kindStateIs:
		return decode(body, func(w stateWire) (laddermessage.JobState, error) {
			return laddermessage.JobState{Found: w.Known, State: w.State}, nil
		})
	case kindCount:
		return decode(body, func(w string) (laddermessage.QueueLengthQuery, error) {
			return laddermessage.QueueLengthQuery{Queue: w}, nil
		})
	case kindCounted:
		return decode(body, func(w int) (laddermessage.QueueLength, error) {
			return laddermessage.QueueLength{Pending: w}, nil
		})
	case kindNotLeading:
		return laddermessage.NotLeader{}, nil
	case kindConsult:
		return decode(body, func(w consultWire) (laddermessage.AdviceQuery, error) {
			return laddermessage.AdviceQuery{
				Step: ladderflow.StepRef{Job: w.Job, Round: w.Round, Step: w.Step}, Workers: w.Workers,
			}, nil
		})
	case kindTell:
		return decode(body, func(w tellWire) (laddermessage.OperatorQuery, error) {
			return laddermessage.OperatorQuery{Job: w.Job, JSON: w.JSON}, nil
		})
	case kindTold:
		return decode(body, func(w stateWire) (laddermessage.OperatorReply, error) {
			return laddermessage.OperatorReply{Found: w.Known, Text: w.State}, nil
		})
	case kindConsulted:
		return decode(body, toConsulted)
	case kindCarry:
		return decode(body, toCarry)
	case kindCarried:
		return decode(body, func(w carriedWire) (laddermessage.RelayReply, error) {
			return laddermessage.RelayReply{
				Reply: platform.Reply{Status: w.Status, Body: w.Body}, Unsent: w.Unsent, Failed: w.Failed,
			}, nil
		})
	default:
		return decodeDelegate(k, body)
	}
}

// toConsulted converts the wire type to a message.
func toConsulted(w consultedWire) (laddermessage.AdviceReply, error) {
	m := laddermessage.AdviceReply{Valid: time.Duration(w.Valid), Refused: w.Refused}
	for _, t := range w.Tickets {
		m.Tickets = append(m.Tickets, ladderflow.Ticket{Worker: t[0], Text: t[1]})
	}
	return m, nil
}

// toCarry converts the wire type to a message.
func toCarry(w carryWire) (laddermessage.RelayCall, error) {
	to, err := netip.ParseAddrPort(w.To)
	return laddermessage.RelayCall{
		To: to, Timeout: time.Duration(w.Within),
		Call: platform.Call{
			Method: w.Method, Path: w.Path, Instance: w.Instance, Holder: w.Holder, Fence: w.Fence, Body: w.Body,
		},
	}, err
}
