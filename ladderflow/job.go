package ladderflow

import (
	"fmt"
	"time"

	"lacewingladder/ladderfinding"
)

// MaxPayloadBytes is the maximum size of a job's payload, in bytes.
const MaxPayloadBytes = 4000

const (
	// MaxTasks is the maximum number of tasks in a job. It keeps a job, and the progress
	// of all its tasks, small enough for one value of the store.
	MaxTasks = 20_000
	// MaxAmount is the largest amount of a resource, in the units of [Size], so that sums of
	// amounts can't overflow.
	MaxAmount = 1 << 40
	// maxRounds is the maximum number of rounds of a job, and maxSchedule the longest time from
	// its first round to its last one.
	maxRounds   = 100_000
	maxSchedule = 10 * 365 * 24 * time.Hour
)

// Job is a job as a caller submitted it.
type Job struct {
	// ID consists of 16 hexadecimal digits, which the caller chooses.
	ID string
	// Queue is the queue to which the job was submitted. Service is the pool of
	// workers that the queue used at that time.
	Queue   string
	Service string
	// Team is the team whose key the caller had, or empty if the job was submitted without a key or is of
	// an earlier build. It lasts as long as the job.
	Team string
	// Rules is the queue as it was configured when the job was accepted. They hold for the job while the
	// configuration does not have the queue. Rules is nil for a job that an earlier build has stored. Only
	// the service, the priority, the number of failures, the objective and the advice are stored.
	Rules *Queue
	// Payload is passed unchanged to each task.
	Payload string
	Steps   []Step
	// Rounds is the number of scheduled rounds. Zero means that the steps run once,
	// immediately.
	Rounds int
	// FirstDue is the time at which the first round is due. Interval is the time between
	// rounds.
	FirstDue time.Time
	Interval time.Duration
	// Accepted is the time at which the job was accepted, by the clock of the entry
	// VM that accepted it.
	Accepted time.Time
	// Revision is the store's revision in which the job was stored, or zero if it is not known. It is not part of
	// the stored form.
	Revision int64
}

// HasSchedule reports whether the job's rounds follow a schedule.
func (j *Job) HasSchedule() bool { return j.Rounds > 0 }

// Due returns the time at which the given round of a scheduled job is due. Rounds
// are numbered from 0.
func (j *Job) Due(round int) time.Time { return j.FirstDue.Add(time.Duration(round) * j.Interval) }

// Size is a quantity of a worker's resources.
type Size struct {
	// Processor is in thousandths of a core.
	Processor int
	// Memory is in MiB.
	Memory int
	// Accelerators is the number of accelerator devices.
	Accelerators int
}

// Fits reports whether a task of size s fits into the free capacity.
func (s Size) Fits(free Size) bool {
	return s.Processor <= free.Processor && s.Memory <= free.Memory && s.Accelerators <= free.Accelerators
}

// Plus returns the sum of two sizes.
func (s Size) Plus(o Size) Size {
	return Size{s.Processor + o.Processor, s.Memory + o.Memory, s.Accelerators + o.Accelerators}
}

// Minus returns the difference of two sizes.
func (s Size) Minus(o Size) Size {
	return Size{s.Processor - o.Processor, s.Memory - o.Memory, s.Accelerators - o.Accelerators}
}

// FitCount returns how many tasks of size s fit into the free capacity together, up to
// limit. A resource that s does not need is ignored, even if its free capacity is
// negative.
func (s Size) FitCount(free Size, limit int) int {
	n := limit
	for _, needAndFree := range [][2]int{
		{s.Processor, free.Processor}, {s.Memory, free.Memory}, {s.Accelerators, free.Accelerators},
	} {
		switch {
		case needAndFree[1] < 0 && needAndFree[0] > 0:
			return 0
		case needAndFree[0] > 0:
			n = min(n, needAndFree[1]/needAndFree[0])
		}
	}
	return max(n, 0)
}

// String returns the size as PROCESSORm/MEMORYMiB/ACCELERATORSa, for logs.
func (s Size) String() string {
	return fmt.Sprintf("%dm/%dMiB/%da", s.Processor, s.Memory, s.Accelerators)
}

// Step is a set of identical tasks.
type Step struct {
	Tasks int
	// Need is the amount of resources that each task uses on its worker.
	Need Size
	// Estimate is the caller's rough estimate of a task's run time.
	Estimate time.Duration
	// DependsOn lists the earlier steps that must succeed before this one is ready, as
	// indexes into the job's steps.
	DependsOn []int
	// Checkpointable is true if a stopped task can resume from a checkpoint.
	Checkpointable bool
	// Gang means that the tasks must run at the same time and end together.
	Gang bool
	// PreferSameRack asks for all tasks to run in the same rack. They are slower if they run
	// in several racks.
	PreferSameRack bool
	// WorkerLabel, if set, is a label that a worker must have to run the tasks.
	WorkerLabel string
	// PreferredRack, if set, is the rack that holds the step's data. Tasks in other racks
	// are slower.
	PreferredRack string
	// MaxPerWorker, if above zero, is the maximum number of the step's tasks per worker.
	MaxPerWorker int
	// Speculative allows speculative execution: several runs of a task at the same time,
	// of which the first to end counts.
	Speculative bool
	// LongRunning means that the tasks are long-running: they run until the job is
	// canceled, and restart whenever they end, whatever the reason.
	LongRunning bool
	// Image names the program that the tasks run. Tasks with the same image behave
	// alike.
	Image string
	// LatencyTarget is the upper limit for the tail latency of a long-running task's
	// responses. Zero means that there is none.
	LatencyTarget time.Duration
	// BestEffort means that the tasks are best-effort: they use processor time that other
	// tasks leave idle, so they do not count against a worker's processor capacity.
	BestEffort bool
	// MaxUnavailable is the maximum number of the step's long-running tasks that the
	// scheduler may make unavailable at the same time.
	MaxUnavailable int
}

// Demand returns the amount of its worker's capacity that one task of the step occupies.
func (s *Step) Demand() Size {
	demand := s.Need
	if s.BestEffort {
		demand.Processor = 0
	}
	return demand
}

// Check validates the job and returns all findings. Each names the given file.
func (j *Job) Check(file string) *ladderfinding.List {
	var list ladderfinding.List
	addFinding := func(format string, args ...any) {
		list.Add(ladderfinding.Place{File: file}, format, args...)
	}
	if len(j.Payload) > MaxPayloadBytes {
		addFinding("the payload has %d bytes; at most %d are taken", len(j.Payload), MaxPayloadBytes)
	}
	if len(j.Steps) == 0 {
		addFinding("the job has no steps")
	}
	if j.Rounds < 0 || j.Interval < 0 {
		addFinding("the number of rounds and the time between them must not be negative")
	}
	if j.Rounds > maxRounds || j.Interval > 0 && j.Rounds > int(maxSchedule/j.Interval) {
		addFinding("the job has %d rounds, one each %v; at most %d within %v are taken", j.Rounds, j.Interval, maxRounds, maxSchedule)
	}
	total := 0
	for i := range j.Steps {
		s := &j.Steps[i]
		total += min(max(s.Tasks, 0), MaxTasks+1) // The sum of all counts could overflow.
		checkStep(i, s, addFinding)
	}
	if total > MaxTasks {
		addFinding("the job has too many tasks; at most %d are taken", MaxTasks)
	}
	return &list
}

// checkStep validates the step with the given index.
func checkStep(index int, s *Step, addFinding func(string, ...any)) {
	if s.Tasks <= 0 {
		addFinding("step %d has %d tasks; it needs at least one", index, s.Tasks)
	}
	if s.Need.Processor < 0 || s.Need.Memory < 0 || s.Need.Accelerators < 0 || s.Estimate < 0 || s.MaxPerWorker < 0 || s.MaxUnavailable < 0 {
		addFinding("step %d has a negative size", index)
	}
	if s.Need.Processor > MaxAmount || s.Need.Memory > MaxAmount || s.Need.Accelerators > MaxAmount {
		addFinding("step %d needs %v for each task; at most %d of a resource are taken", index, s.Need, MaxAmount)
	}
	for _, dependency := range s.DependsOn {
		if dependency < 0 || dependency >= index {
			addFinding("step %d comes after step %d, which is not an earlier step", index, dependency)
		}
	}
}

// Task identifies one task of a job.
type Task struct {
	Job   string
	Round int
	Step  int
	Index int
}

// StepRef identifies a step in one round of a job.
type StepRef struct {
	Job   string
	Round int
	Step  int
}

// State is the state of a job.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Done      State = "done"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether the job has ended, so that its state no longer changes.
func (s State) Final() bool { return s == Done || s == Failed || s == Cancelled }

// ValidID reports whether id consists of 16 hexadecimal digits, as a job's ID must.
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
