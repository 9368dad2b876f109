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
	kindHeartbeat kind = iota + 1
	kindReserve
	kindReserved
	kindNoCapacity
	kindRelease
	kindForward
	kindForwardReply
	kindFetchConfig
	kindConfigUpdate
	kindHandoverHome
	kindEndedTasksQuery
	kindEndedTasks
	kindRunningTasksQuery
	kindRunningTasks
	kindJobsChanged
	kindJobStatusQuery
	kindJobStatus
	kindAck
	kindErrorReply
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
		return kindHeartbeat, fromHeartbeat(m), nil
	case laddermessage.Reserve:
		return kindReserve, fromCapacityRequest(m.Request), nil
	case laddermessage.Reserved:
		return kindReserved, fromReserved(m.Reservation), nil
	case laddermessage.NoCapacity:
		return kindNoCapacity, noCapacityWire{Reason: m.Reason, RetryAfter: int64(m.RetryAfter)}, nil
	case laddermessage.Release:
		return kindRelease, mapAll(m.Ends, fromTaskEnd), nil
	case laddermessage.Forward:
		return kindForward, fromRequest(m.Request), nil
	case laddermessage.ForwardReply:
		return kindForwardReply, fromAnswer(m.Answer), nil
	case laddermessage.FetchConfig:
		return kindFetchConfig, struct{}{}, nil
	case laddermessage.ConfigUpdate:
		return kindConfigUpdate, fromConfigUpdate(m), nil
	case laddermessage.HandoverHome:
		return kindHandoverHome, fromHandoverHome(m), nil
	case laddermessage.EndedTasksQuery:
		return kindEndedTasksQuery, endedTasksQueryWire{Incarnation: m.Incarnation, After: m.After}, nil
	case laddermessage.EndedTasks:
		return kindEndedTasks, fromEndedTasks(m), nil
	case laddermessage.RunningTasksQuery:
		return kindRunningTasksQuery, struct{}{}, nil
	case laddermessage.RunningTasks:
		return kindRunningTasks, runningTasksWire{
			Incarnation: m.Incarnation, Workers: m.Workers, HeldWorkers: m.HeldWorkers,
		}, nil
	case laddermessage.JobsChanged:
		return kindJobsChanged, m.Jobs, nil
	case laddermessage.JobStatusQuery:
		return kindJobStatusQuery, m.Job, nil
	case laddermessage.JobStatus:
		return kindJobStatus, fromJobStatus(m), nil
	case laddermessage.Ack:
		return kindAck, struct{}{}, nil
	case laddermessage.ErrorReply:
		return kindErrorReply, m.Reason, nil
	}
	if k, wire, ok := toFlowWire(m); ok {
		return k, wire, nil
	}
	if k, wire, ok := toIntakeWire(m); ok {
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
	case kindHeartbeat:
		return decode(body, toHeartbeat)
	case kindReserve:
		return decode(body, func(w capacityRequestWire) (laddermessage.Reserve, error) {
			return laddermessage.Reserve{Request: toCapacityRequest(w)}, nil
		})
	case kindReserved:
		return decode(body, toReserved)
	case kindNoCapacity:
		return decode(body, toNoCapacity)
	case kindRelease:
		return decode(body, func(w []taskEndWire) (laddermessage.Release, error) {
			return laddermessage.Release{Ends: mapAll(w, toTaskEnd)}, nil
		})
	case kindForward:
		return decode(body, func(w requestWire) (laddermessage.Forward, error) {
			return laddermessage.Forward{Request: toRequest(w)}, nil
		})
	case kindForwardReply:
		return decode(body, func(w answerWire) (laddermessage.ForwardReply, error) {
			return laddermessage.ForwardReply{Answer: toAnswer(w)}, nil
		})
	case kindFetchConfig:
		return laddermessage.FetchConfig{}, nil
	case kindConfigUpdate:
		return decode(body, toConfigUpdate)
	case kindHandoverHome:
		return decode(body, toHandoverHome)
	case kindEndedTasksQuery:
		return decode(body, func(w endedTasksQueryWire) (laddermessage.EndedTasksQuery, error) {
			return laddermessage.EndedTasksQuery{Incarnation: w.Incarnation, After: w.After}, nil
		})
	case kindEndedTasks:
		return decode(body, toEndedTasks)
	case kindRunningTasksQuery:
		return laddermessage.RunningTasksQuery{}, nil
	case kindRunningTasks:
		return decode(body, func(w runningTasksWire) (laddermessage.RunningTasks, error) {
			return laddermessage.RunningTasks{Incarnation: w.Incarnation, Workers: w.Workers, HeldWorkers: w.HeldWorkers}, nil
		})
	case kindJobsChanged:
		return decode(body, func(w []string) (laddermessage.JobsChanged, error) {
			return laddermessage.JobsChanged{Jobs: w}, nil
		})
	case kindJobStatusQuery:
		return decode(body, func(w string) (laddermessage.JobStatusQuery, error) {
			return laddermessage.JobStatusQuery{Job: w}, nil
		})
	case kindJobStatus:
		return decode(body, toJobStatus)
	case kindAck:
		return laddermessage.Ack{}, nil
	case kindErrorReply:
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
