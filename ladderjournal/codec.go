package ladderjournal

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lacewingladder/ladderflow"
	"lacewingladder/ladderplan"
)

// maxElements bounds what a stored value may hold.
const maxElements = 131_072

var decoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: maxElements}.DecMode()
	if err != nil {
		panic(err) // The options above are valid.
	}
	return m
}()

type jobWire struct {
	_        struct{} `cbor:",toarray"`
	Queue    string
	Service  string
	Payload  string
	Steps    []stepWire
	Rounds   int
	First    int64
	Every    int64
	Accepted int64
}

type stepWire struct {
	_        struct{} `cbor:",toarray"`
	Tasks    int
	Need     [3]int
	Estimate int64
	After    []int
	Flags    uint8
	Label    string
	Rack     string
	Spread   int
	Image    string
	Target   int64
	MayMiss  int
}

// The bits of a step's flags. They are part of the stored form.
const (
	flagCheckpoints = 1 << iota
	flagGang
	flagOneRack
	flagCopies
	flagLasting
	flagFiller
)

type flag struct {
	bit uint8
	on  *bool
}

// flags returns the bit of each property of a step.
func flags(s *ladderflow.Step) []flag {
	return []flag{
		{flagCheckpoints, &s.Checkpoints},
		{flagGang, &s.Gang},
		{flagOneRack, &s.OneRack},
		{flagCopies, &s.Copies},
		{flagLasting, &s.Lasting},
		{flagFiller, &s.Filler},
	}
}

// EncodeJob returns a job's stored form.
func EncodeJob(j *ladderflow.Job) ([]byte, error) {
	w := jobWire{
		Queue: j.Queue, Service: j.Service, Payload: j.Payload, Rounds: j.Rounds, First: j.First.UnixMilli(),
		Every: j.Every.Milliseconds(), Accepted: j.Accepted.UnixMilli(),
	}
	for i := range j.Steps {
		s := &j.Steps[i]
		x := stepWire{
			Tasks: s.Tasks, Need: [3]int{s.Need.Processor, s.Need.Memory, s.Need.Accelerators},
			Estimate: s.Estimate.Milliseconds(), After: s.After, Label: s.Label, Rack: s.Rack, Spread: s.Spread,
			Image: s.Image, Target: s.Target.Milliseconds(), MayMiss: s.MayMiss,
		}
		for _, f := range flags(s) {
			if *f.on {
				x.Flags |= f.bit
			}
		}
		w.Steps = append(w.Steps, x)
	}
	return cbor.Marshal(w)
}

// DecodeJob returns the job of a stored form.
func DecodeJob(id string, data []byte) (*ladderflow.Job, error) {
	var w jobWire
	if err := decoder.Unmarshal(data, &w); err != nil {
		return nil, fmt.Errorf("job %s: %w", id, err)
	}
	j := &ladderflow.Job{
		ID: id, Queue: w.Queue, Service: w.Service, Payload: w.Payload, Rounds: w.Rounds,
		First: time.UnixMilli(w.First), Every: millis(w.Every), Accepted: time.UnixMilli(w.Accepted),
	}
	for _, x := range w.Steps {
		s := ladderflow.Step{
			Tasks: x.Tasks, Need: ladderflow.Size{Processor: x.Need[0], Memory: x.Need[1], Accelerators: x.Need[2]},
			Estimate: millis(x.Estimate), After: x.After, Label: x.Label, Rack: x.Rack, Spread: x.Spread,
			Image: x.Image, Target: millis(x.Target), MayMiss: x.MayMiss,
		}
		for _, f := range flags(&s) {
			*f.on = x.Flags&f.bit != 0
		}
		j.Steps = append(j.Steps, s)
	}
	return j, nil
}

type recordWire struct {
	_      struct{} `cbor:",toarray"`
	State  string
	Rounds []roundWire
	Closed []int
}

type roundWire struct {
	_     struct{} `cbor:",toarray"`
	Index int
	Steps []progressWire
}

type progressWire struct {
	_      struct{} `cbor:",toarray"`
	Done   bool
	Tasks  []taskWire
	Failed []int
	Saved  string
}

type taskWire struct {
	_      struct{} `cbor:",toarray"`
	Index  int
	Done   bool
	Number int
	Closed int
	Failed []int
	Saved  string
}

// EncodeRecord returns the stored form of a job's progress.
func EncodeRecord(r ladderplan.Record) ([]byte, error) {
	w := recordWire{State: string(r.State), Closed: r.Closed}
	for _, x := range r.Rounds {
		rw := roundWire{Index: x.Index}
		for _, s := range x.Steps {
			sw := progressWire{Done: s.Done, Failed: s.Failed, Saved: s.Saved}
			for _, t := range s.Tasks {
				sw.Tasks = append(sw.Tasks, taskWire{
					Index: t.Index, Done: t.Done, Number: t.Number, Closed: t.Closed, Failed: t.Failed, Saved: t.Saved,
				})
			}
			rw.Steps = append(rw.Steps, sw)
		}
		w.Rounds = append(w.Rounds, rw)
	}
	return cbor.Marshal(w)
}

// DecodeRecord returns the progress of a stored form.
func DecodeRecord(id string, data []byte) (ladderplan.Record, error) {
	var w recordWire
	if err := decoder.Unmarshal(data, &w); err != nil {
		return ladderplan.Record{}, fmt.Errorf("progress of job %s: %w", id, err)
	}
	r := ladderplan.Record{Job: id, State: ladderflow.State(w.State), Closed: w.Closed}
	for _, x := range w.Rounds {
		rr := ladderplan.RoundRecord{Index: x.Index}
		for _, s := range x.Steps {
			sr := ladderplan.StepRecord{Done: s.Done, Failed: s.Failed, Saved: s.Saved}
			for _, t := range s.Tasks {
				sr.Tasks = append(sr.Tasks, ladderplan.TaskRecord{
					Index: t.Index, Done: t.Done, Number: t.Number, Closed: t.Closed, Failed: t.Failed, Saved: t.Saved,
				})
			}
			rr.Steps = append(rr.Steps, sr)
		}
		r.Rounds = append(r.Rounds, rr)
	}
	return r, nil
}

type workerWire struct {
	_        struct{} `cbor:",toarray"`
	ID       string
	Address  string
	Service  string
	Zone     string
	Capacity [3]int
	Labels   []string
}

// encodeRoster returns the stored form of a list of workers.
func encodeRoster(list []ladderflow.Worker) ([]byte, error) {
	wire := make([]workerWire, len(list))
	for i, w := range list {
		c := w.Capacity
		wire[i] = workerWire{
			ID: w.ID, Address: w.Address.String(), Service: w.Service, Zone: w.Zone,
			Capacity: [3]int{c.Processor, c.Memory, c.Accelerators}, Labels: w.Labels,
		}
	}
	return cbor.Marshal(wire)
}

// decodeRoster returns the workers of a stored form.
func decodeRoster(data []byte) ([]ladderflow.Worker, error) {
	var wire []workerWire
	if err := decoder.Unmarshal(data, &wire); err != nil {
		return nil, fmt.Errorf("list of workers in use: %w", err)
	}
	var list []ladderflow.Worker
	for _, w := range wire {
		address, err := netip.ParseAddrPort(w.Address)
		if err != nil {
			return nil, fmt.Errorf("list of workers in use: %s: %w", w.ID, err)
		}
		list = append(list, ladderflow.Worker{
			ID: w.ID, Address: address, Service: w.Service, Zone: w.Zone, Labels: w.Labels,
			Capacity: ladderflow.Size{Processor: w.Capacity[0], Memory: w.Capacity[1], Accelerators: w.Capacity[2]},
		})
	}
	return list, nil
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
