package ladderplan

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"lacewingladder/ladderflow"
)

// Explanation describes the state of a job and what it waits for.
type Explanation struct {
	Job   string
	Queue string
	State ladderflow.State
	// Age is the time since the job was accepted.
	Age time.Duration
	// Aim is the job's objective: the time within which it should end.
	Aim time.Duration
	// Stored is true if the store holds the job's state as the leader knows it.
	Stored bool
	// Team describes the job's team, or is nil if the job has none.
	Team  *JobTeam
	Steps []StepExplanation
}

// StepExplanation describes the state of one step of a job.
type StepExplanation struct {
	Round, Step                   int
	Tasks, Done, Running, Waiting int
	Need                          ladderflow.Size
	// Why describes what the waiting tasks wait for.
	Why string
	// Allowed and Denied count the workers by the answers of the advice service.
	Allowed, Denied int
	// Runs describes the runs in progress, and Failed names the runs that have failed.
	Runs   []string
	Failed []string
}

// Explain describes a job. It returns false if the job is unknown.
func (p *Planner) Explain(now time.Time, id string) (Explanation, bool) {
	j, ok := p.jobs[id]
	if !ok {
		return Explanation{}, false
	}
	e := Explanation{
		Job: id, Queue: j.spec.Queue, State: j.state, Age: now.Sub(j.spec.Accepted), Aim: p.objective(j),
		Stored: j.storedState == j.state, Team: p.jobTeam(now, j),
	}
	if j.active() && j.started {
		e.State = ladderflow.Running
	}
	for _, r := range j.rounds {
		for _, s := range r.steps {
			e.Steps = append(e.Steps, p.explainStep(now, s))
		}
	}
	slices.SortFunc(e.Steps, func(a, b StepExplanation) int {
		return cmp.Or(cmp.Compare(a.Round, b.Round), cmp.Compare(a.Step, b.Step))
	})
	return e, true
}

func (p *Planner) explainStep(now time.Time, s *step) StepExplanation {
	e := StepExplanation{
		Round: s.round.index, Step: s.index, Tasks: len(s.tasks), Done: s.done, Waiting: s.waiting,
		Need: s.spec.Need, Allowed: len(s.tickets.rows), Denied: s.tickets.denied,
	}
	for _, t := range s.tasks {
		for _, x := range t.runs {
			e.Running++
			e.Runs = append(e.Runs, fmt.Sprintf("task %d run %d on %s: %s, %d%%, for %v",
				t.index, x.name.Number, x.worker.spec.ID, x.phase, max(x.percent, 0), now.Sub(x.startedAt).Round(time.Millisecond)))
		}
		for _, n := range t.failedRuns {
			e.Failed = append(e.Failed, fmt.Sprintf("task %d run %d", t.index, n))
		}
	}
	for _, n := range s.gang.failedRuns {
		e.Failed = append(e.Failed, fmt.Sprintf("gang run %d", n))
	}
	e.Why = p.why(now, s)
	if s.spec.Gang && s.ready && s.waiting > 0 {
		sp := p.stepPlacement(now, s)
		e.Why += "; last plan: " + sp.waitReason().String()
	}
	return e
}

// why describes what the waiting tasks of a step wait for.
func (p *Planner) why(now time.Time, s *step) string {
	if s.waiting == 0 {
		return ""
	}
	if !s.ready {
		return fmt.Sprintf("waits for the end of steps %v", s.spec.DependsOn)
	}
	if p.mayRunUnseen(s.round.job) {
		return fmt.Sprintf("an earlier leader may have started it on %d workers that were not seen yet", len(p.unseenWorkers))
	}
	if text := p.quotaWhy(s); text != "" {
		return text
	}
	sp := p.stepPlacement(now, s)
	usable, withTickets, slots := 0, 0, 0
	p.refreshPools(now)
	for _, w := range sp.pool() {
		if sp.usable(w) {
			usable++
		}
	}
	for w := range sp.startable() {
		if sp.usable(w) {
			withTickets++
			slots += sp.freeSlots(w)
		}
	}
	switch {
	case usable == 0:
		return "no worker takes such tasks now"
	case s.tickets.outstanding > 0:
		return fmt.Sprintf("asks for advice; %d of %d workers hold a ticket", withTickets, usable)
	case withTickets == 0:
		return fmt.Sprintf("none of %d workers holds a ticket", usable)
	case s.spec.Gang && slots < len(s.tasks):
		return fmt.Sprintf("the gang needs room for %d; %d workers with tickets have room for %d", len(s.tasks), withTickets, slots)
	case slots == 0:
		return fmt.Sprintf("%d workers with tickets have no room", withTickets)
	}
	return "its turn comes at the next plan"
}

// String returns the explanation as text.
func (e Explanation) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "job %s in queue %s: %s for %v, aim %v, stored %v\n", e.Job, e.Queue, e.State,
		e.Age.Round(time.Millisecond), e.Aim.Round(time.Millisecond), e.Stored)
	if e.Team != nil {
		fmt.Fprintf(&b, "  %v\n", e.Team)
	}
	for _, s := range e.Steps {
		fmt.Fprintf(&b, "  round %d step %d: %d tasks of %v, %d done, %d running, %d waiting; allowed on %d workers, denied on %d\n",
			s.Round, s.Step, s.Tasks, s.Need, s.Done, s.Running, s.Waiting, s.Allowed, s.Denied)
		if s.Why != "" {
			fmt.Fprintf(&b, "    waits: %s\n", s.Why)
		}
		for _, r := range s.Runs {
			fmt.Fprintf(&b, "    %s\n", r)
		}
		if len(s.Failed) > 0 {
			fmt.Fprintf(&b, "    failed: %s\n", strings.Join(s.Failed, ", "))
		}
	}
	return b.String()
}

// String returns the phase in one word.
func (p phase) String() string {
	return [...]string{phaseSent: "sent", phaseUnconfirmed: "unsure", phaseRunning: "running", phaseStopping: "stopping"}[p]
}

// Overview describes the state of the whole fleet.
type Overview struct {
	// Fence is the leader's fencing token.
	Fence int64
	// Certain is true once all runs that earlier leaders started are known or must have ended.
	Certain bool
	Queues  []QueueOverview
	// Teams is empty if the configuration has no teams.
	Teams   []TeamOverview
	Workers []WorkerOverview
}

// QueueOverview counts the jobs of a queue.
type QueueOverview struct {
	Name                          string
	Waiting, Running, Done, Ended int
}

// WorkerOverview describes the state of a worker.
type WorkerOverview struct {
	ID   string
	Zone string
	Runs int
	// Free is the free part of the worker's capacity, and Size the whole capacity.
	Free ladderflow.Size
	Size ladderflow.Size
	// Heard is the time since the last answered poll.
	Heard  time.Duration
	Status string
	// Holder is the VM that polls the worker. The caller of [Planner.Overview] sets it.
	Holder string
}

// Overview describes the state of the whole fleet.
func (p *Planner) Overview(now time.Time) Overview {
	o := Overview{Fence: p.options.Fence, Certain: p.earlierRunsKnown, Teams: p.teamOverviews(now)}
	byQueue := map[string]*QueueOverview{}
	for _, j := range p.jobs {
		q, ok := byQueue[j.spec.Queue]
		if !ok {
			q = &QueueOverview{Name: j.spec.Queue}
			byQueue[j.spec.Queue] = q
		}
		switch {
		case j.state == ladderflow.Done:
			q.Done++
		case !j.active():
			q.Ended++
		case j.started:
			q.Running++
		default:
			q.Waiting++
		}
	}
	for _, q := range byQueue {
		o.Queues = append(o.Queues, *q)
	}
	for _, w := range p.allWorkers() {
		o.Workers = append(o.Workers, WorkerOverview{
			ID: w.spec.ID, Zone: w.spec.Zone, Runs: len(w.runs), Free: w.free, Size: w.spec.Capacity,
			Heard: now.Sub(w.polledAt), Status: w.status(now, p.roster[w.spec.ID]),
		})
	}
	slices.SortFunc(o.Queues, func(a, b QueueOverview) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(o.Workers, func(a, b WorkerOverview) int { return strings.Compare(a.ID, b.ID) })
	return o
}

// status describes whether a worker accepts new tasks, and if not, why.
func (w *worker) status(now time.Time, rostered bool) string {
	switch {
	case !w.seenByLeader:
		return "not seen by this leader"
	case w.unresponsive:
		return "does not answer"
	case !w.listed:
		return "not listed"
	case !rostered:
		return "not in the roster yet"
	case !w.leavesAt.IsZero():
		return "leaving"
	case now.Before(w.excludedUntil):
		return "avoided"
	case w.onProbation(now):
		return "on trial"
	}
	return "ready"
}

// String returns the overview as a table.
func (o Overview) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "leader's fence %d, earlier runs known: %v\n", o.Fence, o.Certain)
	fmt.Fprintf(&b, "%-16s %8s %8s %8s %8s\n", "queue", "waiting", "running", "done", "ended")
	for _, q := range o.Queues {
		fmt.Fprintf(&b, "%-16s %8d %8d %8d %8d\n", q.Name, q.Waiting, q.Running, q.Done, q.Ended)
	}
	writeTeams(&b, o.Teams)
	fmt.Fprintf(&b, "%-16s %-14s %5s %-22s %-22s %9s %-20s %s\n", "worker", "zone", "runs", "free", "size", "heard", "holder", "status")
	for _, w := range o.Workers {
		fmt.Fprintf(&b, "%-16s %-14s %5d %-22v %-22v %9v %-20s %s\n", w.ID, w.Zone, w.Runs, w.Free, w.Size,
			w.Heard.Round(time.Millisecond), w.Holder, w.Status)
	}
	return b.String()
}
