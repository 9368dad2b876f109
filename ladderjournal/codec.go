package ladderjournal

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lacewingladder/ladderflow"
	"lacewingladder/ladderplan"
)

// maxElements is the maximum number of elements in an array or map of a stored value.
const maxElements = 131_072

// decoder decodes stored values, with maxElements as the limit.
var decoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: maxElements}.DecMode()
	if err != nil {
		panic(err) // The options above are valid.
	}
	return m
}()

// jobWire is the stored form of a job. Times are in milliseconds. The stored forms in
// this file are CBOR arrays, so the order and the types of their fields must not change.
type jobWire struct {
	_        struct{} `cbor:",toarray"`
	Queue    string
	Service  string
	Payload  string
	Steps    []stepWire
	Rounds   int
	FirstDue int64
	Interval int64
	Accepted int64
	Rules    *rulesWire
	Team     string
}

// jobWireWithoutTeam is the stored form of a job without a team. It was the form of all jobs before teams were
// stored.
type jobWireWithoutTeam struct {
	_        struct{} `cbor:",toarray"`
	Queue    string
	Service  string
	Payload  string
	Steps    []stepWire
	Rounds   int
	FirstDue int64
	Interval int64
	Accepted int64
	Rules    *rulesWire
}

// jobWireWithoutRules is the stored form of a job from before its rules were stored.
type jobWireWithoutRules struct {
	_        struct{} `cbor:",toarray"`
	Queue    string
	Service  string
	Payload  string
	Steps    []stepWire
	Rounds   int
	FirstDue int64
	Interval int64
	Accepted int64
}

// cborArrayOfEight is the first byte of a stored jobWireWithoutRules, and cborArrayOfNine that of a stored
// jobWireWithoutTeam.
const (
	cborArrayOfEight = 0x88
	cborArrayOfNine  = 0x89
)

// UnmarshalCBOR decodes all stored forms of a job.
func (w *jobWire) UnmarshalCBOR(data []byte) error {
	if len(data) > 0 && data[0] == cborArrayOfEight {
		var o jobWireWithoutRules
		if err := decoder.Unmarshal(data, &o); err != nil {
			return err
		}
		*w = jobWire{
			Queue: o.Queue, Service: o.Service, Payload: o.Payload, Steps: o.Steps, Rounds: o.Rounds,
			FirstDue: o.FirstDue, Interval: o.Interval, Accepted: o.Accepted,
		}
		return nil
	}
	if len(data) > 0 && data[0] == cborArrayOfNine {
		var o jobWireWithoutTeam
		if err := decoder.Unmarshal(data, &o); err != nil {
			return err
		}
		*w = jobWire{
			Queue: o.Queue, Service: o.Service, Payload: o.Payload, Steps: o.Steps, Rounds: o.Rounds,
			FirstDue: o.FirstDue, Interval: o.Interval, Accepted: o.Accepted, Rules: o.Rules,
		}
		return nil
	}
	type plain jobWire // It has no methods, so that its decoding does not come back here.
	return decoder.Unmarshal(data, (*plain)(w))
}

// rulesWire is the stored form of [ladderflow.Job.Rules]. BaseObjective is in milliseconds.
type rulesWire struct {
	_               struct{} `cbor:",toarray"`
	Priority        int
	MaxFailures     int
	ObjectiveFactor float64
	BaseObjective   int64
	// Advice holds the times of [ladderflow.AdviceConfig] in microseconds, or is empty.
	Advice []int64
}

func encodeRules(q *ladderflow.Queue) *rulesWire {
	if q == nil {
		return nil
	}
	w := &rulesWire{
		Priority: q.Priority, MaxFailures: q.MaxFailures, ObjectiveFactor: q.ObjectiveFactor, BaseObjective: q.BaseObjective.Milliseconds(),
	}
	if a := q.Advice; a != nil {
		w.Advice = []int64{a.BaseTime.Microseconds(), a.TimePerWorker.Microseconds(), a.TicketLifetime.Microseconds()}
	}
	return w
}

func (w *rulesWire) decode(queue, service string) *ladderflow.Queue {
	if w == nil {
		return nil
	}
	q := &ladderflow.Queue{
		Name: queue, Service: service, Priority: w.Priority, MaxFailures: w.MaxFailures, ObjectiveFactor: w.ObjectiveFactor,
		BaseObjective: millis(w.BaseObjective),
	}
	if a := w.Advice; len(a) == 3 {
		q.Advice = &ladderflow.AdviceConfig{BaseTime: micros(a[0]), TimePerWorker: micros(a[1]), TicketLifetime: micros(a[2])}
	}
	return q
}

func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// stepWire is the stored form of a step. Durations are in milliseconds. Need holds the
// amounts of processor, memory and accelerators, in the units of [ladderflow.Size].
type stepWire struct {
	_              struct{} `cbor:",toarray"`
	Tasks          int
	Need           [3]int
	Estimate       int64
	DependsOn      []int
	Flags          uint8
	WorkerLabel    string
	PreferredRack  string
	MaxPerWorker   int
	Image          string
	LatencyTarget  int64
	MaxUnavailable int
}

// The bits of stepWire.Flags. They are part of the stored form.
const (
	flagCheckpointable = 1 << iota
	flagGang
	flagPreferSameRack
	flagSpeculative
	flagLongRunning
	flagBestEffort
)

// stepFlag pairs a bit of stepWire.Flags with the field of a step that it encodes.
type stepFlag struct {
	bit   uint8
	field *bool
}

// stepFlags returns all flags with pointers to the fields of a step.
func stepFlags(s *ladderflow.Step) []stepFlag {
	return []stepFlag{
		{flagCheckpointable, &s.Checkpointable},
		{flagGang, &s.Gang},
		{flagPreferSameRack, &s.PreferSameRack},
		{flagSpeculative, &s.Speculative},
		{flagLongRunning, &s.LongRunning},
		{flagBestEffort, &s.BestEffort},
	}
}

// EncodeJob returns the stored form of a job, without its id.
func EncodeJob(j *ladderflow.Job) ([]byte, error) {
	w := jobWire{
		Queue: j.Queue, Service: j.Service, Payload: j.Payload, Rounds: j.Rounds, FirstDue: j.FirstDue.UnixMilli(),
		Interval: j.Interval.Milliseconds(), Accepted: j.Accepted.UnixMilli(), Rules: encodeRules(j.Rules), Team: j.Team,
	}
	for i := range j.Steps {
		s := &j.Steps[i]
		x := stepWire{
			Tasks: s.Tasks, Need: [3]int{s.Need.Processor, s.Need.Memory, s.Need.Accelerators},
			Estimate: s.Estimate.Milliseconds(), DependsOn: s.DependsOn, WorkerLabel: s.WorkerLabel, PreferredRack: s.PreferredRack,
			MaxPerWorker: s.MaxPerWorker, Image: s.Image, LatencyTarget: s.LatencyTarget.Milliseconds(), MaxUnavailable: s.MaxUnavailable,
		}
		for _, f := range stepFlags(s) {
			if *f.field {
				x.Flags |= f.bit
			}
		}
		w.Steps = append(w.Steps, x)
	}
	if w.Team == "" {
		// Builds from before teams were stored read this form only.
		return cbor.Marshal(jobWireWithoutTeam{
			Queue: w.Queue, Service: w.Service, Payload: w.Payload, Steps: w.Steps, Rounds: w.Rounds,
			FirstDue: w.FirstDue, Interval: w.Interval, Accepted: w.Accepted, Rules: w.Rules,
		})
	}
	return cbor.Marshal(w)
}

// DecodeJob decodes the stored form of the job with the given id.
func DecodeJob(id string, data []byte) (*ladderflow.Job, error) {
	var w jobWire
	if err := decoder.Unmarshal(data, &w); err != nil {
		return nil, fmt.Errorf("job %s: %w", id, err)
	}
	j := &ladderflow.Job{
		ID: id, Queue: w.Queue, Service: w.Service, Payload: w.Payload, Rounds: w.Rounds,
		FirstDue: time.UnixMilli(w.FirstDue), Interval: millis(w.Interval), Accepted: time.UnixMilli(w.Accepted),
		Rules: w.Rules.decode(w.Queue, w.Service), Team: w.Team,
	}
	for _, x := range w.Steps {
		s := ladderflow.Step{
			Tasks: x.Tasks, Need: ladderflow.Size{Processor: x.Need[0], Memory: x.Need[1], Accelerators: x.Need[2]},
			Estimate: millis(x.Estimate), DependsOn: x.DependsOn, WorkerLabel: x.WorkerLabel, PreferredRack: x.PreferredRack,
			MaxPerWorker: x.MaxPerWorker, Image: x.Image, LatencyTarget: millis(x.LatencyTarget), MaxUnavailable: x.MaxUnavailable,
		}
		for _, f := range stepFlags(&s) {
			*f.field = x.Flags&f.bit != 0
		}
		j.Steps = append(j.Steps, s)
	}
	return j, nil
}

// recordWire is the stored form of a [ladderplan.Record].
type recordWire struct {
	_               struct{} `cbor:",toarray"`
	State           string
	Rounds          []roundWire
	CompletedRounds []int
}

// roundWire is the stored form of a [ladderplan.RoundRecord].
type roundWire struct {
	_     struct{} `cbor:",toarray"`
	Index int
	Steps []stepRecordWire
}

// stepRecordWire is the stored form of a [ladderplan.StepRecord].
type stepRecordWire struct {
	_          struct{} `cbor:",toarray"`
	Done       bool
	Tasks      []taskWire
	Failed     []int
	Checkpoint string
}

// taskWire is the stored form of a [ladderplan.TaskRecord].
type taskWire struct {
	_             struct{} `cbor:",toarray"`
	Index         int
	Done          bool
	LastRun       int
	LastClosedRun int
	Failed        []int
	Checkpoint    string
	Crashes       int
	Suspicions    int
}

// taskWireWithoutCrashes is the stored form of a task from before crashes were counted.
type taskWireWithoutCrashes struct {
	_             struct{} `cbor:",toarray"`
	Index         int
	Done          bool
	LastRun       int
	LastClosedRun int
	Failed        []int
	Checkpoint    string
}

// cborArrayOfSix is the first byte of a stored taskWireWithoutCrashes.
const cborArrayOfSix = 0x86

// UnmarshalCBOR decodes both stored forms of a task.
func (t *taskWire) UnmarshalCBOR(data []byte) error {
	if len(data) > 0 && data[0] == cborArrayOfSix {
		var o taskWireWithoutCrashes
		if err := decoder.Unmarshal(data, &o); err != nil {
			return err
		}
		*t = taskWire{
			Index: o.Index, Done: o.Done, LastRun: o.LastRun, LastClosedRun: o.LastClosedRun, Failed: o.Failed, Checkpoint: o.Checkpoint,
		}
		return nil
	}
	type plain taskWire // It has no methods, so that its decoding does not come back here.
	return decoder.Unmarshal(data, (*plain)(t))
}

// EncodeRecord returns the stored form of a job's progress.
func EncodeRecord(r ladderplan.Record) ([]byte, error) {
	w := recordWire{State: string(r.State), CompletedRounds: r.CompletedRounds}
	for _, x := range r.Rounds {
		rw := roundWire{Index: x.Index}
		for _, s := range x.Steps {
			sw := stepRecordWire{Done: s.Done, Failed: s.Failed, Checkpoint: s.Checkpoint}
			for _, t := range s.Tasks {
				sw.Tasks = append(sw.Tasks, taskWire{
					Index: t.Index, Done: t.Done, LastRun: t.LastRun, LastClosedRun: t.LastClosedRun, Failed: t.Failed, Checkpoint: t.Checkpoint,
					Crashes: t.Crashes, Suspicions: t.Suspicions,
				})
			}
			rw.Steps = append(rw.Steps, sw)
		}
		w.Rounds = append(w.Rounds, rw)
	}
	return cbor.Marshal(w)
}

// DecodeRecord decodes the stored form of the progress of the job with the given id.
func DecodeRecord(id string, data []byte) (ladderplan.Record, error) {
	var w recordWire
	if err := decoder.Unmarshal(data, &w); err != nil {
		return ladderplan.Record{}, fmt.Errorf("progress of job %s: %w", id, err)
	}
	r := ladderplan.Record{Job: id, State: ladderflow.State(w.State), CompletedRounds: w.CompletedRounds}
	for _, x := range w.Rounds {
		rr := ladderplan.RoundRecord{Index: x.Index}
		for _, s := range x.Steps {
			sr := ladderplan.StepRecord{Done: s.Done, Failed: s.Failed, Checkpoint: s.Checkpoint}
			for _, t := range s.Tasks {
				sr.Tasks = append(sr.Tasks, ladderplan.TaskRecord{
					Index: t.Index, Done: t.Done, LastRun: t.LastRun, LastClosedRun: t.LastClosedRun, Failed: t.Failed, Checkpoint: t.Checkpoint,
					Crashes: t.Crashes, Suspicions: t.Suspicions,
				})
			}
			rr.Steps = append(rr.Steps, sr)
		}
		r.Rounds = append(r.Rounds, rr)
	}
	return r, nil
}

// workerWire is the stored form of a worker in the roster. Capacity holds the amounts of
// processor, memory and accelerators, in the units of [ladderflow.Size].
type workerWire struct {
	_        struct{} `cbor:",toarray"`
	ID       string
	Address  string
	Service  string
	Zone     string
	Capacity [3]int
	Labels   []string
}

// encodeRoster returns the stored form of the roster.
func encodeRoster(workers []ladderflow.Worker) ([]byte, error) {
	wire := make([]workerWire, len(workers))
	for i, w := range workers {
		c := w.Capacity
		wire[i] = workerWire{
			ID: w.ID, Address: w.Address.String(), Service: w.Service, Zone: w.Zone,
			Capacity: [3]int{c.Processor, c.Memory, c.Accelerators}, Labels: w.Labels,
		}
	}
	return cbor.Marshal(wire)
}

// decodeRoster decodes the stored form of the roster.
func decodeRoster(data []byte) ([]ladderflow.Worker, error) {
	var wire []workerWire
	if err := decoder.Unmarshal(data, &wire); err != nil {
		return nil, fmt.Errorf("worker roster: %w", err)
	}
	var workers []ladderflow.Worker
	for _, w := range wire {
		address, err := netip.ParseAddrPort(w.Address)
		if err != nil {
			return nil, fmt.Errorf("worker roster: address of worker %s: %w", w.ID, err)
		}
		workers = append(workers, ladderflow.Worker{
			ID: w.ID, Address: address, Service: w.Service, Zone: w.Zone, Labels: w.Labels,
			Capacity: ladderflow.Size{Processor: w.Capacity[0], Memory: w.Capacity[1], Accelerators: w.Capacity[2]},
		})
	}
	return workers, nil
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
