package laddercodec

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"time"

	"lacewingladder/ladderflow"
	"lacewingladder/laddermessage"
	"lacewingladder/platform"
)

// maxDelta is the maximum size in bytes of an encoded [ladderflow.FleetDelta] before it is
// compressed.
const maxDelta = 16 << 20

// fleetOfferWire encodes a [laddermessage.FleetOffer].
type fleetOfferWire struct {
	_        struct{} `cbor:",toarray"`
	From     string
	Revision int64
}

// fleetStateWire encodes a [laddermessage.FleetState].
type fleetStateWire struct {
	_             struct{} `cbor:",toarray"`
	Revision      int64
	FleetRevision int64
	Base          int64
	Delta         []byte
	Items         []operatorItemWire
}

// operatorItemWire encodes an item of the store.
type operatorItemWire struct {
	_        struct{} `cbor:",toarray"`
	Key      string
	Value    []byte
	Revision int64
}

// deltaWire encodes a [ladderflow.FleetDelta].
type deltaWire struct {
	_        struct{} `cbor:",toarray"`
	Version  int64
	Removed  []string
	Changed  []queueWire
	Services []serviceWire
	Limits   [4]int64 // Bytes of headers and bodies, nanoseconds of headers and idle connections.
	Teams    teamsWire
}

// teamsWire encodes the teams of a [ladderflow.FleetDelta].
type teamsWire struct {
	_            struct{} `cbor:",toarray"`
	KeysRequired bool
	KeepsTeams   bool
	Teams        []teamWire
}

// teamWire encodes a [ladderflow.Team]. Quota holds the amounts of processor, memory and accelerators, in the
// units of [ladderflow.Size].
type teamWire struct {
	_      struct{} `cbor:",toarray"`
	Name   string
	Keys   [][]byte
	Weight float64
	Quota  [3]int
}

// queueWire encodes a [ladderflow.Queue]. Durations are in nanoseconds.
type queueWire struct {
	_               struct{} `cbor:",toarray"`
	Name            string
	Host            string
	Prefix          string
	Service         string
	RequestTimeout  int64
	Priority        int
	MaxFailures     int
	ObjectiveFactor float64
	BaseObjective   int64
	Advice          []int64 // Base time, time per worker and ticket lifetime, or empty.
	Public          bool
}

// serviceWire encodes a [ladderflow.Service].
type serviceWire struct {
	_                struct{} `cbor:",toarray"`
	Name             string
	EnforcesCapacity bool
	PoweredOff       bool
}

// EncodeDelta returns the encoded and compressed form of a difference.
func EncodeDelta(d ladderflow.FleetDelta) ([]byte, error) {
	w := deltaWire{
		Version: d.Version, Removed: d.Removed,
		Limits: [4]int64{
			int64(d.Limits.MaxHeaderBytes), int64(d.Limits.MaxBodyBytes), int64(d.Limits.HeaderTimeout), int64(d.Limits.IdleTimeout),
		},
		Teams: teamsWire{KeysRequired: d.KeysRequired, KeepsTeams: d.KeepsTeams, Teams: mapAll(d.Teams, fromTeam)},
	}
	for i := range d.Changed {
		w.Changed = append(w.Changed, fromQueue(&d.Changed[i]))
	}
	for _, s := range d.Services {
		w.Services = append(w.Services, serviceWire{Name: s.Name, EnforcesCapacity: s.EnforcesCapacity, PoweredOff: s.PoweredOff})
	}
	var out bytes.Buffer
	compressor := must(flate.NewWriter(&out, flate.BestSpeed))
	if err := encoder.NewEncoder(compressor).Encode(w); err != nil {
		return nil, fmt.Errorf("encode a difference of configurations: %w", err)
	}
	if err := compressor.Close(); err != nil {
		return nil, fmt.Errorf("compress a difference of configurations: %w", err)
	}
	return out.Bytes(), nil
}

// DecodeDelta returns the difference that data encodes.
func DecodeDelta(data []byte) (ladderflow.FleetDelta, error) {
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxDelta+1))
	if err != nil {
		return ladderflow.FleetDelta{}, fmt.Errorf("decompress a difference of configurations: %w", err)
	}
	if len(plain) > maxDelta {
		return ladderflow.FleetDelta{}, fmt.Errorf("a difference of configurations has more than %d bytes", maxDelta)
	}
	var w deltaWire
	if err := decoder.Unmarshal(plain, &w); err != nil {
		return ladderflow.FleetDelta{}, fmt.Errorf("decode a difference of configurations: %w", err)
	}
	d := ladderflow.FleetDelta{
		Version: w.Version, Removed: w.Removed, Changed: mapAll(w.Changed, toQueue),
		Services: make(map[string]ladderflow.Service, len(w.Services)),
		Limits: ladderflow.Limits{
			MaxHeaderBytes: int(w.Limits[0]), MaxBodyBytes: int(w.Limits[1]),
			HeaderTimeout: time.Duration(w.Limits[2]), IdleTimeout: time.Duration(w.Limits[3]),
		},
		KeysRequired: w.Teams.KeysRequired, KeepsTeams: w.Teams.KeepsTeams, Teams: mapAll(w.Teams.Teams, toTeam),
	}
	for _, s := range w.Services {
		d.Services[s.Name] = ladderflow.Service{Name: s.Name, EnforcesCapacity: s.EnforcesCapacity, PoweredOff: s.PoweredOff}
	}
	return d, nil
}

func fromQueue(q *ladderflow.Queue) queueWire {
	w := queueWire{
		Name: q.Name, Host: q.Host, Prefix: q.Prefix, Service: q.Service, RequestTimeout: int64(q.RequestTimeout),
		Priority: q.Priority, MaxFailures: q.MaxFailures, ObjectiveFactor: q.ObjectiveFactor, BaseObjective: int64(q.BaseObjective),
		Public: q.Public,
	}
	if a := q.Advice; a != nil {
		w.Advice = []int64{int64(a.BaseTime), int64(a.TimePerWorker), int64(a.TicketLifetime)}
	}
	return w
}

func toQueue(w queueWire) ladderflow.Queue {
	q := ladderflow.Queue{
		Name: w.Name, Host: w.Host, Prefix: w.Prefix, Service: w.Service, RequestTimeout: time.Duration(w.RequestTimeout),
		Priority: w.Priority, MaxFailures: w.MaxFailures, ObjectiveFactor: w.ObjectiveFactor, BaseObjective: time.Duration(w.BaseObjective),
		Public: w.Public,
	}
	if len(w.Advice) == 3 {
		q.Advice = &ladderflow.AdviceConfig{
			BaseTime: time.Duration(w.Advice[0]), TimePerWorker: time.Duration(w.Advice[1]), TicketLifetime: time.Duration(w.Advice[2]),
		}
	}
	return q
}

func fromTeam(t ladderflow.Team) teamWire {
	return teamWire{
		Name: t.Name, Weight: t.Weight, Quota: [3]int{t.Quota.Processor, t.Quota.Memory, t.Quota.Accelerators},
		Keys: mapAll(t.Keys, func(h ladderflow.KeyHash) []byte { return h[:] }),
	}
}

// toTeam converts a team's wire type. A key of another length than a hash matches no caller's key.
func toTeam(w teamWire) ladderflow.Team {
	t := ladderflow.Team{
		Name: w.Name, Weight: w.Weight,
		Quota: ladderflow.Size{Processor: w.Quota[0], Memory: w.Quota[1], Accelerators: w.Quota[2]},
	}
	for _, k := range w.Keys {
		if len(k) == len(ladderflow.KeyHash{}) {
			t.Keys = append(t.Keys, ladderflow.KeyHash(k))
		}
	}
	return t
}

// toFleetWire converts a message about the operators' keys to its wire type. It returns false
// for other messages.
func toFleetWire(m laddermessage.Message) (kind, any, bool) {
	switch m := m.(type) {
	case laddermessage.FleetOffer:
		return kindFleetOffer, fleetOfferWire{From: m.From, Revision: m.Revision}, true
	case laddermessage.FleetFetch:
		return kindFleetFetch, m.Have, true
	case laddermessage.FleetState:
		return kindFleetState, fleetStateWire{
			Revision: m.Revision, FleetRevision: m.FleetRevision, Base: m.Base, Delta: m.Delta,
			Items: mapAll(m.Items, func(i platform.Item) operatorItemWire {
				return operatorItemWire{Key: i.Key, Value: i.Value, Revision: i.ModRevision}
			}),
		}, true
	}
	return 0, nil, false
}

// toFleetState converts the wire type to a message.
func toFleetState(w fleetStateWire) (laddermessage.FleetState, error) {
	return laddermessage.FleetState{
		Revision: w.Revision, FleetRevision: w.FleetRevision, Base: w.Base, Delta: w.Delta,
		Items: mapAll(w.Items, func(i operatorItemWire) platform.Item {
			return platform.Item{Key: i.Key, Value: i.Value, ModRevision: i.Revision}
		}),
	}, nil
}
