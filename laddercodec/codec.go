package laddercodec

import (
	"fmt"
	"reflect"

	"github.com/fxamacker/cbor/v2"

	"lacewingladder/laddermessage"
)

// The limits on messages that Decode accepts.
const (
	// maxElements is the maximum number of elements of an array and of pairs in a map.
	maxElements = 131_072
	// maxNesting is the maximum depth of nested arrays and maps.
	maxNesting = 8
)

// kind identifies the type of a message. It is the first byte of the encoded message.
type kind byte

// The kinds of the messages between all entry VMs. The values are part of the format. The
// other kinds are in flow.go and delegate.go.
const (
	kindBeat kind = iota + 1
	kindReserve
	kindRoom
	kindFull
	kindRelease
	kindForward
	kindAnswered
	kindFetch
	kindPush
	kindMove
	kindEnds
	kindEnded
	kindRunning
	kindRuns
	kindNotice
	kindLook
	kindSeen
	kindDone
	kindFault
)

var (
	encoder = must(cbor.CoreDetEncOptions().EncMode())
	decoder = must(cbor.DecOptions{
		MaxArrayElements: maxElements, MaxMapPairs: maxElements, MaxNestedLevels: maxNesting,
		DupMapKey: cbor.DupMapKeyEnforcedAPF,
	}.DecMode())
)

// Encode returns the encoded form of a message.
func Encode(m laddermessage.Message) ([]byte, error) {
	k, wire, err := toWire(m)
	if err != nil {
		return nil, err
	}
	data, err := encoder.Marshal(wire)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", m, err)
	}
	return append([]byte{byte(k)}, data...), nil
}

// toWire converts a message to its wire type.
func toWire(m laddermessage.Message) (kind, any, error) {
	switch m := m.(type) {
	case laddermessage.Heartbeat:
		return kindBeat, fromBeat(m), nil
	case laddermessage.Reserve:
		return kindReserve, fromAsk(m.Request), nil
	case laddermessage.Reserved:
		return kindRoom, fromRoom(m.Reservation), nil
	case laddermessage.NoCapacity:
		return kindFull, fullWire{Reason: m.Reason, RetryAfter: int64(m.RetryAfter)}, nil
	case laddermessage.Release:
		return kindRelease, mapAll(m.Ends, fromEnd), nil
	case laddermessage.Forward:
		return kindForward, fromRequest(m.Request), nil
	case laddermessage.ForwardReply:
		return kindAnswered, fromAnswer(m.Answer), nil
	case laddermessage.FetchConfig:
		return kindFetch, struct{}{}, nil
	case laddermessage.ConfigUpdate:
		return kindPush, fromPush(m), nil
	case laddermessage.HandoverHome:
		return kindMove, fromMove(m), nil
	case laddermessage.EndedTasksQuery:
		return kindEnds, endsWire{Incarnation: m.Incarnation, After: m.After}, nil
	case laddermessage.EndedTasks:
		return kindEnded, fromEnded(m), nil
	case laddermessage.RunningTasksQuery:
		return kindRunning, struct{}{}, nil
	case laddermessage.RunningTasks:
		return kindRuns, runsWire{Incarnation: m.Incarnation, Workers: m.Workers, Held: m.HeldWorkers}, nil
	case laddermessage.JobsChanged:
		return kindNotice, m.Jobs, nil
	case laddermessage.JobStatusQuery:
		return kindLook, m.Job, nil
	case laddermessage.JobStatus:
		return kindSeen, fromSeen(m), nil
	case laddermessage.Ack:
		return kindDone, struct{}{}, nil
	case laddermessage.ErrorReply:
		return kindFault, m.Reason, nil
	}
	if k, wire, ok := toFlowWire(m); ok {
		return k, wire, nil
	}
	if k, wire, ok := toDelegateWire(m); ok {
		return k, wire, nil
	}
	return 0, nil, fmt.Errorf("%s is not a message between entry VMs", reflect.TypeOf(m))
}

// Decode returns the message that data encodes.
func Decode(data []byte) (laddermessage.Message, error) {
	if len(data) < 2 {
		return nil, fmt.Errorf("a message of %d bytes is too short", len(data))
	}
	k, body := kind(data[0]), data[1:]
	switch k {
	case kindBeat:
		return decode(body, toBeat)
	case kindReserve:
		return decode(body, func(w askWire) (laddermessage.Reserve, error) {
			return laddermessage.Reserve{Request: toAsk(w)}, nil
		})
	case kindRoom:
		return decode(body, toRoom)
	case kindFull:
		return decode(body, toFull)
	case kindRelease:
		return decode(body, func(w []endWire) (laddermessage.Release, error) {
			return laddermessage.Release{Ends: mapAll(w, toEnd)}, nil
		})
	case kindForward:
		return decode(body, func(w requestWire) (laddermessage.Forward, error) {
			return laddermessage.Forward{Request: toRequest(w)}, nil
		})
	case kindAnswered:
		return decode(body, func(w answerWire) (laddermessage.ForwardReply, error) {
			return laddermessage.ForwardReply{Answer: toAnswer(w)}, nil
		})
	case kindFetch:
		return laddermessage.FetchConfig{}, nil
	case kindPush:
		return decode(body, toPush)
	case kindMove:
		return decode(body, toMove)
	case kindEnds:
		return decode(body, func(w endsWire) (laddermessage.EndedTasksQuery, error) {
			return laddermessage.EndedTasksQuery{Incarnation: w.Incarnation, After: w.After}, nil
		})
	case kindEnded:
		return decode(body, toEnded)
	case kindRunning:
		return laddermessage.RunningTasksQuery{}, nil
	case kindRuns:
		return decode(body, func(w runsWire) (laddermessage.RunningTasks, error) {
			return laddermessage.RunningTasks{Incarnation: w.Incarnation, Workers: w.Workers, HeldWorkers: w.Held}, nil
		})
	case kindNotice:
		return decode(body, func(w []string) (laddermessage.JobsChanged, error) {
			return laddermessage.JobsChanged{Jobs: w}, nil
		})
	case kindLook:
		return decode(body, func(w string) (laddermessage.JobStatusQuery, error) {
			return laddermessage.JobStatusQuery{Job: w}, nil
		})
	case kindSeen:
		return decode(body, toSeen)
	case kindDone:
		return laddermessage.Ack{}, nil
	case kindFault:
		return decode(body, func(w string) (laddermessage.ErrorReply, error) {
			return laddermessage.ErrorReply{Reason: w}, nil
		})
	default:
		return decodeFlow(k, body)
	}
}

// decode decodes a value of wire type W and converts it to a message with to.
func decode[W, M any](data []byte, to func(W) (M, error)) (laddermessage.Message, error) {
	var wire W
	if err := decoder.Unmarshal(data, &wire); err != nil {
		return nil, fmt.Errorf("decode %T: %w", wire, err)
	}
	m, err := to(wire)
	if err != nil {
		return nil, err
	}
	return m, nil
}

// mapAll applies f to each element of in. It returns nil for an empty slice.
func mapAll[A, B any](in []A, f func(A) B) []B {
	if len(in) == 0 {
		return nil
	}
	out := make([]B, len(in))
	for i, a := range in {
		out[i] = f(a)
	}
	return out
}

// must returns v and panics if err is not nil.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}
