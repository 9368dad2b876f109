package ladderplan

import (
	"slices"
	"time"

	"lacewingladder/ladderflow"
)

// job is a job with the state of its rounds.
type job struct {
	spec *ladderflow.Job
	// state is final once the job has ended; saved is what the store holds of it.
	state ladderflow.State
	saved ladderflow.State
	// unsaved holds the workers of good ends that the store may not hold yet.
	unsaved []*worker
	// inherited is true for a job that an earlier leader may have known.
	inherited bool
	// begun is true once a task was ordered to start, the first time at started.
	begun   bool
	started time.Time
	rounds  map[int]*round
	// closed holds the rounds that have ended well, and next is the first round
	// that has not been opened.
	closed map[int]bool
	next   int
	ended  time.Time
	// lengths holds how long a task of each step should run, and chain the longest chain of
	// work from each step to the end. Both are as of when a step was last opened.
	lengths []time.Duration
	chain   []time.Duration
}

// safe reports whether the ends that the store may not hold yet are sure to be listed by
// their workers until it does. A worker that leaves takes its list with it.
func (j *job) safe() bool {
	return !slices.ContainsFunc(j.unsaved, func(w *worker) bool { return !w.leaves.IsZero() || !w.listed })
}

func (j *job) live() bool { return !j.state.Final() }

// round is one repetition of a job's steps.
type round struct {
	job   *job
	index int
	// due is when the round's work counts from.
	due   time.Time
	steps []*step
	left  int
}

// step is the state of one step in one round.
type step struct {
	round *round
	spec  *ladderflow.Step
	index int
	tasks []*task
	done  int
	// open is true once all earlier steps that count have ended well.
	open bool
	// waiting is how many tasks have no run and have not ended.
	waiting int
	// gang holds the state of all members together.
	gang gang
	// tickets say where the step may run.
	tickets tickets
	// on counts the step's runs on each worker.
	on map[*worker]int
	// preempted is when other tasks last made room for the step.
	preempted time.Time
	// since is when the step first waited.
	since time.Time
}

// gang is what the members of a gang share.
type gang struct {
	run int
	// failed holds the numbers of the runs that have failed.
	failed []int
	// shunned holds the workers on which a member failed.
	shunned map[string]bool
	saved   string
	// recount is when a gang that was too large for the workers is next compared with them.
	recount time.Time
}

func (s *step) ref() ladderflow.StepRef {
	return ladderflow.StepRef{Job: s.round.job.spec.ID, Round: s.round.index, Step: s.index}
}

// length returns how long a task of the step should run.
func (s *step) length() time.Duration { return s.round.job.lengths[s.index] }

func (s *step) finished() bool { return s.done == len(s.tasks) }

// task is the state of one task.
type task struct {
	step  *step
	index int
	done  bool
	// number is the highest number of a run, and closed the highest of a run that
	// has ended or can't be under way.
	number int
	closed int
	// failed holds the numbers of the runs that have failed. Their ends may be
	// listed more than once, and in any order.
	failed []int
	// shunned holds the workers on which it failed; others are tried first.
	shunned map[string]bool
	saved   string
	runs    []*run
}

func (t *task) name() ladderflow.Task {
	r := t.step.round
	return ladderflow.Task{Job: r.job.spec.ID, Round: r.index, Step: t.step.index, Index: t.index}
}

// idle reports whether the task has no run that may be under way.
func (t *task) idle() bool { return !t.done && len(t.runs) == 0 }

// phase is what is known of a run.
type phase int

const (
	// sent means that the order's answer has not come.
	sent phase = iota
	// unsure means that no answer will come.
	unsure
	// live means that the worker has the run.
	live
	// stopping means that the run was ordered to stop.
	stopping
)

// run is one run of a task on a worker, or a run that a worker lists and nobody wants.
type run struct {
	task   *task
	name   ladderflow.Run
	worker *worker
	phase  phase
	size   ladderflow.Size
	// settled is when the start's answer came; answered tells whether it was good.
	settled  time.Time
	answered bool
	began    time.Time
	// stopSent and stopped are when the last stop was ordered and answered.
	stopSent time.Time
	stopped  time.Time
	// percent is the last progress, and moved when it last grew.
	percent int
	moved   time.Time
	pace    int
	tail    time.Duration
	// paced is when the pace was last changed.
	paced time.Time
}

// worker is a worker with its room.
type worker struct {
	spec ladderflow.Worker
	// listed is true while the platform's store names the worker.
	listed bool
	// fenced is true once the worker answered under this leader's fence.
	fenced bool
	born   int64
	// lived is when the worker's present life was first seen.
	lived time.Time
	// clock is the worker's clock at the time heard, and until the highest time
	// that was sent as the end of its lease.
	clock time.Duration
	heard time.Time
	until time.Duration
	// failing is true since the last look that was not answered.
	failing bool
	// seen is the highest end that was taken in, and noted the highest that the
	// store holds.
	seen  int64
	noted int64
	free  ladderflow.Size
	runs  map[ladderflow.Run]*run
	// order holds the runs as they came, and ends when each should end, first what ends
	// first, as of the placement endsTurn.
	order    []*run
	ends     []runEnd
	endsTurn int64
	// turn is the last placement at which the worker took new tasks.
	turn int64
	// avoid is until when the worker takes no new task, and strikes counts what
	// spoke against it lately.
	avoid   time.Time
	strikes int
	// trial is true at a plan while the worker takes one task at a time.
	trial  bool
	blamed map[string]bool
	// leaves is when a draining worker may be gone.
	leaves time.Time
	// going is until when a worker counts as ordered down.
	going time.Time
}

func newWorker(spec ladderflow.Worker) *worker {
	return &worker{spec: spec, free: spec.Capacity, runs: map[ladderflow.Run]*run{}, blamed: map[string]bool{}}
}

// rack returns the label that names the worker's rack, which workers list last.
func (w *worker) rack() string {
	if len(w.spec.Labels) == 0 {
		return ""
	}
	return w.spec.Labels[len(w.spec.Labels)-1]
}

func (w *worker) has(label string) bool { return label == "" || slices.Contains(w.spec.Labels, label) }

// add puts a run on a worker and charges its room.
func (w *worker) add(r *run) {
	r.worker = w
	w.runs[r.name] = r
	w.order = append(w.order, r)
	w.endsTurn = 0
	w.free = w.free.Minus(r.size)
	if t := r.task; t != nil {
		if t.idle() {
			t.step.waiting--
		}
		t.runs = append(t.runs, r)
		t.step.on[w]++
		t.number = max(t.number, r.name.Number)
	}
}

// remove takes a run off its worker and gives its room back.
func (w *worker) remove(r *run) {
	if w.runs[r.name] != r {
		return
	}
	delete(w.runs, r.name)
	w.order = slices.DeleteFunc(w.order, func(o *run) bool { return o == r })
	w.endsTurn = 0
	w.free = w.free.Plus(r.size)
	t := r.task
	if t == nil {
		return
	}
	t.runs = slices.DeleteFunc(t.runs, func(o *run) bool { return o == r })
	t.closed = max(t.closed, r.name.Number)
	if t.step.on[w]--; t.step.on[w] <= 0 {
		delete(t.step.on, w)
	}
	if t.idle() {
		t.step.waiting++
	}
}

// newJob builds the state of a job. Rounds are opened as they fall due.
func newJob(spec *ladderflow.Job) *job {
	j := &job{spec: spec, state: ladderflow.Queued, rounds: map[int]*round{}, closed: map[int]bool{}}
	j.lengths = make([]time.Duration, len(spec.Steps))
	j.chain = make([]time.Duration, len(spec.Steps))
	return j
}

// measure works out how long the job's tasks should run by what is known now.
func (j *job) measure(known lengths) {
	clear(j.chain)
	for i := len(j.spec.Steps) - 1; i >= 0; i-- {
		j.lengths[i] = known.expect(j.spec.Queue, j.spec.Steps[i].Estimate)
		j.chain[i] += j.lengths[i]
		for _, a := range j.spec.Steps[i].After {
			j.chain[a] = max(j.chain[a], j.chain[i])
		}
	}
}

// longest returns the longest chain of estimated work of the job.
func (j *job) longest() time.Duration {
	if len(j.chain) == 0 {
		return 0
	}
	return slices.Max(j.chain)
}

// open adds a round's state.
func (j *job) open(index int, due time.Time) *round {
	r := &round{job: j, index: index, due: due, left: len(j.spec.Steps)}
	for i := range j.spec.Steps {
		s := &step{round: r, spec: &j.spec.Steps[i], index: i, on: map[*worker]int{}}
		s.waiting = s.spec.Tasks
		s.tasks = make([]*task, s.spec.Tasks)
		for k := range s.tasks {
			s.tasks[k] = &task{step: s, index: k}
		}
		r.steps = append(r.steps, s)
	}
	j.rounds[index] = r
	return r
}

// find returns a task of a job, or nil.
func (j *job) find(t ladderflow.Task) *task {
	r, ok := j.rounds[t.Round]
	if !ok || t.Step < 0 || t.Step >= len(r.steps) {
		return nil
	}
	s := r.steps[t.Step]
	if t.Index < 0 || t.Index >= len(s.tasks) {
		return nil
	}
	return s.tasks[t.Index]
}
