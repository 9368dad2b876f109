package ladderflow

import (
	"fmt"
	"time"

	"lacewingladder/ladderfinding"
)

// MaxPayload bounds what a job passes to its tasks, in bytes.
const MaxPayload = 4000

// maxTasks bounds the tasks of one job, so that a job fits into one value of the
// store together with its progress.
const maxTasks = 20_000

// Job is a job as a caller submitted it.
type Job struct {
	// ID is chosen by the caller: 16 hexadecimal digits.
	ID string
	// Queue names the queue through which the job came, and Service the workers
	// that ran the queue's tasks at that time.
	Queue   string
	Service string
	// Payload is passed to each task.
	Payload string
	Steps   []Step
	// Rounds is how often the steps run at set times. Zero means once, at once.
	Rounds int
	// First is when the first round is due, and Every the time between rounds.
	First time.Time
	Every time.Duration
	// Accepted is when the job was accepted, on the clock of the VM that took it.
	Accepted time.Time
}

// Timed reports whether the job's rounds are due at set times.
func (j *Job) Timed() bool { return j.Rounds > 0 }

// Due returns when a round is due.
func (j *Job) Due(round int) time.Time { return j.First.Add(time.Duration(round) * j.Every) }

// Size is an amount of a worker's resources.
type Size struct {
	// Processor is in thousandths of a core.
	Processor int
	// Memory is in MiB.
	Memory       int
	Accelerators int
}

// Fits reports whether s is at most room in every part.
func (s Size) Fits(room Size) bool {
	return s.Processor <= room.Processor && s.Memory <= room.Memory && s.Accelerators <= room.Accelerators
}

// Plus returns the sum of two sizes.
func (s Size) Plus(o Size) Size {
	return Size{s.Processor + o.Processor, s.Memory + o.Memory, s.Accelerators + o.Accelerators}
}

// Minus returns the difference of two sizes.
func (s Size) Minus(o Size) Size {
	return Size{s.Processor - o.Processor, s.Memory - o.Memory, s.Accelerators - o.Accelerators}
}

// Times returns how often s fits into room, at most limit.
func (s Size) Times(room Size, limit int) int {
	n := limit
	for _, p := range [][2]int{
		{s.Processor, room.Processor}, {s.Memory, room.Memory}, {s.Accelerators, room.Accelerators},
	} {
		switch {
		case p[1] < 0 && p[0] > 0:
			return 0
		case p[0] > 0:
			n = min(n, p[1]/p[0])
		}
	}
	return max(n, 0)
}

// String returns a size for logs.
func (s Size) String() string {
	return fmt.Sprintf("%dm/%dMiB/%da", s.Processor, s.Memory, s.Accelerators)
}

// Step is a set of tasks that are alike.
type Step struct {
	// Tasks is the number of tasks, and Need what each takes of its worker.
	Tasks int
	Need  Size
	// Estimate is the caller's rough idea of a task's run time.
	Estimate time.Duration
	// After holds the numbers of the earlier steps that must have ended well.
	After []int
	// Checkpoints is true when a task can be stopped and resumed.
	Checkpoints bool
	// Gang means that the tasks work only together, and end together.
	Gang bool
	// OneRack asks for one rack for all tasks; others make them slower.
	OneRack bool
	// Label, if set, must be among the worker's labels.
	Label string
	// Rack, if set, is where the step's data lies; tasks elsewhere are slower.
	Rack string
	// Spread, if above zero, bounds the step's tasks on one worker.
	Spread int
	// Copies means that copies of a task may run at once; the first end counts.
	Copies bool
	// Lasting tasks run until the job is cancelled and restart however they end.
	Lasting bool
	// Image names what the tasks run; tasks of one image behave alike.
	Image string
	// Target bounds the tail of a lasting task's response times; zero is none.
	Target time.Duration
	// Filler tasks take processor time that others leave unused, and so are not
	// counted against a worker's processors.
	Filler bool
	// MayMiss is how many lasting tasks may be away at once by the scheduler's doing.
	MayMiss int
}

// Charge returns what a task of the step is counted as on a worker.
func (s *Step) Charge() Size {
	c := s.Need
	if s.Filler {
		c.Processor = 0
	}
	return c
}

// Check returns what is wrong with a job, each with its place in the body.
func (j *Job) Check(file string) *ladderfinding.List {
	var list ladderfinding.List
	fault := func(format string, args ...any) {
		list.Add(ladderfinding.Place{File: file}, format, args...)
	}
	if len(j.Payload) > MaxPayload {
		fault("the payload has %d bytes; at most %d are taken", len(j.Payload), MaxPayload)
	}
	if len(j.Steps) == 0 {
		fault("the job has no steps")
	}
	if j.Rounds < 0 || j.Every < 0 {
		fault("the number of rounds and the time between them must not be negative")
	}
	total := 0
	for i := range j.Steps {
		s := &j.Steps[i]
		total += max(s.Tasks, 0)
		checkStep(i, s, fault)
	}
	if total > maxTasks {
		fault("the job has %d tasks; at most %d are taken", total, maxTasks)
	}
	return &list
}

func checkStep(i int, s *Step, fault func(string, ...any)) {
	if s.Tasks <= 0 {
		fault("step %d has %d tasks; it needs at least one", i, s.Tasks)
	}
	if s.Need.Processor < 0 || s.Need.Memory < 0 || s.Need.Accelerators < 0 || s.Estimate < 0 || s.Spread < 0 || s.MayMiss < 0 {
		fault("step %d has a negative size", i)
	}
	for _, a := range s.After {
		if a < 0 || a >= i {
			fault("step %d comes after step %d, which is not an earlier step", i, a)
		}
	}
}

// Task names a task of a job.
type Task struct {
	Job   string
	Round int
	Step  int
	Index int
}

// StepRef names a step of one round of a job.
type StepRef struct {
	Job   string
	Round int
	Step  int
}

// State is where a job stands.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Done      State = "done"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether a state is an end.
func (s State) Final() bool { return s == Done || s == Failed || s == Cancelled }

// ValidID reports whether an id has the form that callers must choose.
func ValidID(id string) bool {
	if len(id) != 16 {
		return false
	}
	for _, c := range id {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}
