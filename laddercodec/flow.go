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
	kindJobAccepted kind = iota + 64
	kindJobCancelled
	kindJobStateQuery
	kindJobState
	kindQueueLengthQuery
	kindQueueLength
	kindNotLeader
	kindAdviceQuery
	kindAdviceReply
	kindRelayCall
	kindRelayReply
	kindOperatorQuery
	kindOperatorReply
	kindFleetOffer
	kindFleetFetch
	kindFleetState
	kindStoreStatusQuery
	kindStoreStatus
)

// The wire types of this file are encoded as CBOR arrays. Durations are in nanoseconds.

// jobAcceptedWire encodes a [laddermessage.JobAccepted].
type jobAcceptedWire struct {
	_        struct{} `cbor:",toarray"`
	Job      string
	Body     []byte
	Revision int64
}

// jobAcceptedWireWithoutRevision is the encoding from before revisions were sent.
type jobAcceptedWireWithoutRevision struct {
	_    struct{} `cbor:",toarray"`
	Job  string
	Body []byte
}

// UnmarshalCBOR decodes both encodings.
func (w *jobAcceptedWire) UnmarshalCBOR(data []byte) error {
	if len(data) > 0 && data[0] == cborArrayOfTwo {
		var o jobAcceptedWireWithoutRevision
		if err := decoder.Unmarshal(data, &o); err != nil {
			return err
		}
		*w = jobAcceptedWire{Job: o.Job, Body: o.Body}
		return nil
	}
	type plain jobAcceptedWire // It has no methods, so that its decoding does not come back here.
	return decoder.Unmarshal(data, (*plain)(w))
}

// jobStateWire encodes a [laddermessage.JobState], or a [laddermessage.OperatorReply] with
// its text as State.
type jobStateWire struct {
	_     struct{} `cbor:",toarray"`
	Found bool
	State string
}

// teamJobStateWire encodes a [laddermessage.JobState] of a job that has a team.
type teamJobStateWire struct {
	_     struct{} `cbor:",toarray"`
	Found bool
	State string
	Team  string
	Queue string
}

// cborArrayOfTwo is the first byte of an encoded jobStateWire or jobAcceptedWireWithoutRevision.
const cborArrayOfTwo = 0x82

// toJobState decodes both forms of a job's state.
func toJobState(body []byte) (laddermessage.Message, error) {
	if len(body) > 0 && body[0] == cborArrayOfTwo {
		return decode(body, func(w jobStateWire) (laddermessage.JobState, error) {
			return laddermessage.JobState{Found: w.Found, State: w.State}, nil
		})
	}
	return decode(body, func(w teamJobStateWire) (laddermessage.JobState, error) {
		return laddermessage.JobState{Found: w.Found, State: w.State, Team: w.Team, Queue: w.Queue}, nil
	})
}

// operatorQueryWire encodes a [laddermessage.OperatorQuery].
type operatorQueryWire struct {
	_    struct{} `cbor:",toarray"`
	Job  string
	JSON bool
}

// adviceQueryWire encodes a [laddermessage.AdviceQuery].
type adviceQueryWire struct {
	_       struct{} `cbor:",toarray"`
	Job     string
	Round   int
	Step    int
	Workers []string
}

// adviceReplyWire encodes a [laddermessage.AdviceReply].
type adviceReplyWire struct {
	_              struct{}    `cbor:",toarray"`
	Tickets        [][2]string // Pairs of worker and ticket.
	TicketLifetime int64
	Refused        bool
}

// relayCallWire encodes a [laddermessage.RelayCall]. The fields Operation and Wait of the
// call are not encoded.
type relayCallWire struct {
	_        struct{} `cbor:",toarray"`
	To       string
	Method   string
	Path     string
	Instance string
	Holder   string
	Fence    int64
	Body     []byte
	Timeout  int64
	// Incarnation is as in [platform.Call]. Builds without it reject the message: they would carry the
	// call to any incarnation.
	Incarnation int64
}

// relayReplyWire encodes a [laddermessage.RelayReply].
type relayReplyWire struct {
	_      struct{} `cbor:",toarray"`
	Status int
	Body   []byte
	Unsent bool
	Failed bool
}

// storeStatusWire encodes a [laddermessage.StoreStatus].
type storeStatusWire struct {
	_           struct{} `cbor:",toarray"`
	Unavailable bool
	Leader      int64
}

// toFlowWire converts a message about jobs that consist of steps to its wire type. It
// returns false for other messages.
func toFlowWire(m laddermessage.Message) (kind, any, bool) {
	switch m := m.(type) {
	case laddermessage.JobAccepted:
		return kindJobAccepted, jobAcceptedWire{Job: m.Job, Body: m.Body, Revision: m.Revision}, true
	case laddermessage.JobCancelled:
		return kindJobCancelled, m.Job, true
	case laddermessage.JobStateQuery:
		return kindJobStateQuery, m.Job, true
	case laddermessage.JobState:
		if m.Team != "" {
			return kindJobState, teamJobStateWire{Found: m.Found, State: m.State, Team: m.Team, Queue: m.Queue}, true
		}
		return kindJobState, jobStateWire{Found: m.Found, State: m.State}, true
	case laddermessage.QueueLengthQuery:
		return kindQueueLengthQuery, m.Queue, true
	case laddermessage.QueueLength:
		return kindQueueLength, m.Pending, true
	case laddermessage.NotLeader:
		return kindNotLeader, struct{}{}, true
	case laddermessage.OperatorQuery:
		return kindOperatorQuery, operatorQueryWire{Job: m.Job, JSON: m.JSON}, true
	case laddermessage.OperatorReply:
		return kindOperatorReply, jobStateWire{Found: m.Found, State: m.Text}, true
	case laddermessage.AdviceQuery:
		return kindAdviceQuery, adviceQueryWire{
			Job: m.Step.Job, Round: m.Step.Round, Step: m.Step.Step, Workers: m.Workers,
		}, true
	case laddermessage.AdviceReply:
		w := adviceReplyWire{TicketLifetime: int64(m.TicketLifetime), Refused: m.Refused}
		for _, t := range m.Tickets {
			w.Tickets = append(w.Tickets, [2]string{t.Worker, t.Text})
		}
		return kindAdviceReply, w, true
	case laddermessage.RelayCall:
		return kindRelayCall, relayCallWire{
			To: m.To.String(), Method: m.Call.Method, Path: m.Call.Path, Instance: m.Call.Instance,
			Holder: m.Call.Holder, Fence: m.Call.Fence, Body: m.Call.Body, Timeout: int64(m.Timeout), Incarnation: m.Call.Incarnation,
		}, true
	case laddermessage.RelayReply:
		return kindRelayReply, relayReplyWire{
			Status: m.Reply.Status, Body: m.Reply.Body, Unsent: m.Unsent, Failed: m.Failed,
		}, true
	case laddermessage.StoreStatusQuery:
		return kindStoreStatusQuery, struct{}{}, true
	case laddermessage.StoreStatus:
		return kindStoreStatus, storeStatusWire{Unavailable: m.Unavailable, Leader: m.Leader}, true
	}
	return toFleetWire(m)
}

// decodeFlow decodes the body of a message about jobs that consist of steps. It passes other
// kinds to [decodeDelegate].
func decodeFlow(k kind, body []byte) (laddermessage.Message, error) {
	switch k {
	case kindJobAccepted:
		return decode(body, func(w jobAcceptedWire) (laddermessage.JobAccepted, error) {
			return laddermessage.JobAccepted{Job: w.Job, Body: w.Body, Revision: w.Revision}, nil
		})
	case kindJobCancelled:
		return decode(body, func(w string) (laddermessage.JobCancelled, error) {
			return laddermessage.JobCancelled{Job: w}, nil
		})
	case kindJobStateQuery:
		return decode(body, func(w string) (laddermessage.JobStateQuery, error) {
			return laddermessage.JobStateQuery{Job: w}, nil
		})
	case kindJobState:
		return toJobState(body)
	case kindQueueLengthQuery:
		return decode(body, func(w string) (laddermessage.QueueLengthQuery, error) {
			return laddermessage.QueueLengthQuery{Queue: w}, nil
		})
	case kindQueueLength:
		return decode(body, func(w int) (laddermessage.QueueLength, error) {
			return laddermessage.QueueLength{Pending: w}, nil
		})
	case kindNotLeader:
		return laddermessage.NotLeader{}, nil
	case kindAdviceQuery:
		return decode(body, func(w adviceQueryWire) (laddermessage.AdviceQuery, error) {
			return laddermessage.AdviceQuery{
				Step: ladderflow.StepRef{Job: w.Job, Round: w.Round, Step: w.Step}, Workers: w.Workers,
			}, nil
		})
	case kindOperatorQuery:
		return decode(body, func(w operatorQueryWire) (laddermessage.OperatorQuery, error) {
			return laddermessage.OperatorQuery{Job: w.Job, JSON: w.JSON}, nil
		})
	case kindOperatorReply:
		return decode(body, func(w jobStateWire) (laddermessage.OperatorReply, error) {
			return laddermessage.OperatorReply{Found: w.Found, Text: w.State}, nil
		})
	case kindAdviceReply:
		return decode(body, toAdviceReply)
	case kindRelayCall:
		return decode(body, toRelayCall)
	case kindRelayReply:
		return decode(body, func(w relayReplyWire) (laddermessage.RelayReply, error) {
			return laddermessage.RelayReply{
				Reply: platform.Reply{Status: w.Status, Body: w.Body}, Unsent: w.Unsent, Failed: w.Failed,
			}, nil
		})
	case kindFleetOffer:
		return decode(body, func(w fleetOfferWire) (laddermessage.FleetOffer, error) {
			return laddermessage.FleetOffer{From: w.From, Revision: w.Revision}, nil
		})
	case kindFleetFetch:
		return decode(body, func(w int64) (laddermessage.FleetFetch, error) { return laddermessage.FleetFetch{Have: w}, nil })
	case kindFleetState:
		return decode(body, toFleetState)
	case kindStoreStatusQuery:
		return laddermessage.StoreStatusQuery{}, nil
	case kindStoreStatus:
		return decode(body, func(w storeStatusWire) (laddermessage.StoreStatus, error) {
			return laddermessage.StoreStatus{Unavailable: w.Unavailable, Leader: w.Leader}, nil
		})
	default:
		return decodeDelegate(k, body)
	}
}

// toAdviceReply converts the wire type to a message.
func toAdviceReply(w adviceReplyWire) (laddermessage.AdviceReply, error) {
	m := laddermessage.AdviceReply{TicketLifetime: time.Duration(w.TicketLifetime), Refused: w.Refused}
	for _, t := range w.Tickets {
		m.Tickets = append(m.Tickets, ladderflow.Ticket{Worker: t[0], Text: t[1]})
	}
	return m, nil
}

// toRelayCall converts the wire type to a message.
func toRelayCall(w relayCallWire) (laddermessage.RelayCall, error) {
	to, err := netip.ParseAddrPort(w.To)
	return laddermessage.RelayCall{
		To: to, Timeout: time.Duration(w.Timeout),
		Call: platform.Call{
			Method: w.Method, Path: w.Path, Instance: w.Instance, Incarnation: w.Incarnation, Holder: w.Holder, Fence: w.Fence, Body: w.Body,
		},
	}, err
}
