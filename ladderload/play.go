package ladderload

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingladder/ladderflow"
	"lacewingladder/ladderlog"
	"lacewingladder/ladderplan"
)

const (
	// orderTime is how long a start takes to its worker and its answer back, and
	// lookTime how long an end takes to the leader.
	orderTime = 4 * time.Millisecond
	lookTime  = 3 * time.Millisecond
	// lookWait is the time between two looks at a worker on which nothing ends.
	lookWait = time.Second
	// saveTime is how long progress takes to the store.
	saveTime = 40 * time.Millisecond
	// holdTime is the length of a worker's lease.
	holdTime = 5 * time.Second
	service  = "pool"
)

// event is something that happens at a time.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// worker is a modelled worker.
type worker struct {
	spec    ladderflow.Worker
	speed   float64
	running map[ladderflow.Run]time.Duration
	ended   []ladderflow.EndedRun
	number  int64
	looking bool
}

// listed returns what runs on the worker, in an order that repeats.
func (w *worker) listed() []ladderflow.Run {
	return slices.SortedFunc(maps.Keys(w.running), func(a, b ladderflow.Run) int {
		return cmp.Or(cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Step, b.Task.Step),
			cmp.Compare(a.Task.Index, b.Task.Index), cmp.Compare(a.Number, b.Number))
	})
}

// play is the state of one play.
type play struct {
	load *Load
	// arrivals draws the jobs of each queue, apart from all that the planner decides,
	// so that every rule meets the same load; fates draws which runs fail.
	arrivals map[string]*rand.Rand
	seed     uint64
	planner  *ladderplan.Planner
	start    time.Time
	now      time.Duration
	queue    events
	seq      int
	workers  map[string]*worker
	jobs     map[string]*job
	// lines is until when each VM's line of questions is taken.
	lines   map[string]time.Duration
	planned bool
	saving  bool
	used    float64
	result  *Result
}

// Play plays a load under a seed and a rule for the order of steps.
func Play(l *Load, seed uint64, order ladderplan.Order) *Result {
	p := &play{
		load: l, arrivals: map[string]*rand.Rand{}, seed: seed, start: time.UnixMilli(0), workers: map[string]*worker{},
		jobs: map[string]*job{}, lines: map[string]time.Duration{}, result: newResult(l, seed, order),
	}
	p.planner = ladderplan.New(ladderplan.Options{
		Fence: 1, Hold: holdTime, Longest: holdTime, Elected: p.start, StopTime: time.Second,
		Remembered: time.Hour, Remote: 2, Log: ladderlog.Discard().Part("plan"), Order: order,
	})
	p.planner.SetFleet(fleet(l))
	p.addWorkers()
	for i := range l.Queues {
		name := l.Queues[i].Name
		p.arrivals[name] = rand.New(rand.NewPCG(seed, xxhash.Sum64String(name)))
		p.arrive(&l.Queues[i], 0)
	}
	end := l.Length + l.Rest
	for len(p.queue) > 0 && p.queue[0].at <= end {
		e := heap.Pop(&p.queue).(event)
		p.now = e.at
		e.do()
	}
	p.finish()
	return p.result
}

func (p *play) time() time.Time { return p.start.Add(p.now) }

// after lets something happen after a while.
func (p *play) after(d time.Duration, do func()) {
	p.seq++
	heap.Push(&p.queue, event{at: p.now + d, seq: p.seq, do: do})
}

func fleet(l *Load) *ladderflow.Fleet {
	f := &ladderflow.Fleet{Version: 1, Services: map[string]ladderflow.Service{service: {Name: service}}}
	for _, q := range l.Queues {
		f.Queues = append(f.Queues, ladderflow.Queue{
			Name: q.Name, Service: service, Priority: q.Priority, Attempts: q.Attempts, Stretch: q.Stretch,
			Goal: q.Goal, Advice: q.Advice,
		})
	}
	return f
}

func (p *play) addWorkers() {
	var list []ladderflow.Worker
	roster := map[string]bool{}
	for i := range p.load.Workers.Count {
		w := &worker{
			spec: ladderflow.Worker{
				ID: fmt.Sprintf("w%03d", i), Service: service, Capacity: p.load.Workers.Size,
				Labels: []string{fmt.Sprintf("r%d", i/max(1, p.load.Workers.Rack))},
			},
			speed: 1, running: map[ladderflow.Run]time.Duration{},
		}
		if s := p.load.Workers.Speeds; len(s) > 0 {
			w.speed = s[i%len(s)]
		}
		p.workers[w.spec.ID] = w
		roster[w.spec.ID] = true
		list = append(list, w.spec)
	}
	p.planner.SetRoster(roster)
	p.planner.SetWorkers(p.time(), list)
	for _, w := range list {
		p.look(p.workers[w.ID])
	}
	var vms []string
	for i := range max(1, p.load.VMs) {
		vms = append(vms, fmt.Sprintf("e%d", i))
	}
	p.planner.SetVMs(vms)
}

// look lets a worker answer a look.
func (p *play) look(w *worker) {
	w.looking = false
	next, _ := p.planner.Look(p.time(), w.spec.ID)
	for len(w.ended) > 0 && w.ended[0].Number <= next.Noted {
		w.ended = w.ended[1:]
	}
	l := ladderflow.Look{Born: 1, Clock: p.now, Ended: w.ended}
	for _, name := range w.listed() {
		began := w.running[name]
		whole := p.jobs[name.Task.Job].work(name.Task, w.speed)
		percent := 100 * float64(p.now-began) / float64(max(whole, 1))
		l.Running = append(l.Running, ladderflow.LiveRun{Run: name, Percent: int(min(percent, 99))})
	}
	p.planner.Looked(p.time(), w.spec.ID, p.time(), l)
	p.wake()
	p.after(lookWait, func() { p.look(w) })
}

// wake lets the planner decide, and sends out what it orders.
func (p *play) wake() {
	if p.planned {
		return
	}
	p.planned = true
	p.after(time.Millisecond, func() {
		p.planned = false
		o := p.planner.Plan(p.time(), p.time(), ladderplan.Sure)
		for _, s := range o.Starts {
			p.after(orderTime/2, func() { p.begin(s) })
		}
		for _, s := range o.Stops {
			p.after(orderTime/2, func() { p.stop(s) })
		}
		for _, a := range o.Asks {
			p.ask(a)
		}
		p.save()
	})
}

func (p *play) save() {
	if p.saving {
		return
	}
	p.saving = true
	b := p.planner.Unsaved()
	p.after(saveTime, func() {
		p.saving = false
		p.planner.Saved(b)
	})
}

// begin starts a run on its worker.
func (p *play) begin(s ladderplan.StartOrder) {
	w, j := p.workers[s.Worker.ID], p.jobs[s.Run.Task.Job]
	w.running[s.Run] = p.now
	j.begin(p.now)
	p.after(orderTime/2, func() { p.planner.Started(p.time(), s.Worker.ID, s.Run, ladderplan.Result{}); p.wake() })
	takes := j.work(s.Run.Task, w.speed)
	how := ladderflow.EndDone
	fate := rand.New(rand.NewPCG(p.seed, xxhash.Sum64String(fmt.Sprint(s.Run))))
	if fate.Float64() < j.queue.Fails {
		how = ladderflow.EndFailed
		takes = time.Duration(fate.Float64() * float64(takes))
	}
	p.after(takes, func() { p.end(w, s.Run, how) })
}

func (p *play) stop(s ladderplan.StopOrder) {
	p.end(p.workers[s.Worker.ID], s.Run, ladderflow.EndStopped)
	p.planner.Stopped(p.time(), s.Worker.ID, s.Run, ladderplan.Result{})
}

// end lets a run end, and its worker tell the leader.
func (p *play) end(w *worker, name ladderflow.Run, how ladderflow.How) {
	began, ok := w.running[name]
	if !ok {
		return
	}
	delete(w.running, name)
	j := p.jobs[name.Task.Job]
	if how == ladderflow.EndDone {
		p.used += float64(j.spec.Steps[name.Task.Step].Need.Processor) * (p.now - began).Seconds()
	}
	w.number++
	w.ended = append(w.ended, ladderflow.EndedRun{Number: w.number, Run: name, How: how})
	if w.looking {
		return
	}
	w.looking = true
	p.after(lookTime, func() {
		w.looking = false
		l := ladderflow.Look{Born: 1, Clock: p.now, Ended: w.ended}
		for _, name := range w.listed() {
			l.Running = append(l.Running, ladderflow.LiveRun{Run: name, Percent: 50})
		}
		p.planner.Looked(p.time(), w.spec.ID, p.time(), l)
		for _, e := range l.Ended {
			p.ended(p.jobs[e.Run.Task.Job])
		}
		p.wake()
	})
}

// ended takes in that a job may have come to its end.
func (p *play) ended(j *job) {
	if j.ended == 0 && p.planner.Ended(j.spec.ID) {
		j.ended = p.now
		j.failed = p.planner.View(p.time().Add(time.Hour), j.spec.ID).State == ladderflow.Failed
	}
}

// ask puts a question into a VM's line.
func (p *play) ask(a ladderplan.Ask) {
	p.lines[a.VM] = max(p.lines[a.VM], p.now) + a.Cost
	p.after(p.lines[a.VM]-p.now+lookTime, func() {
		j := p.jobs[a.Step.Job]
		var tickets []ladderflow.Ticket
		for _, id := range a.Workers {
			if j.allows(a.Step, id) {
				tickets = append(tickets, ladderflow.Ticket{Worker: id, Text: id})
			}
		}
		p.planner.Advised(p.time(), a, tickets, j.queue.Advice.Valid, false)
		p.wake()
	})
}

// arrive lets the next job of a queue come.
func (p *play) arrive(q *Queue, n int) {
	rate := q.Rate
	for _, b := range p.load.Bursts {
		if b.Queue == q.Name && p.now >= b.At && p.now < b.At+b.For {
			rate *= b.Times
		}
	}
	gap := time.Duration(p.arrivals[q.Name].ExpFloat64() / max(rate, 1e-9) * float64(time.Second))
	if p.now+gap > p.load.Length {
		return
	}
	p.after(gap, func() {
		j := p.draw(q, n)
		p.jobs[j.spec.ID] = j
		p.planner.AddJob(p.time(), j.spec, false)
		p.wake()
		p.arrive(q, n+1)
	})
}

// drawFrom returns a value of a distribution.
func drawFrom(random *rand.Rand, s Spread) float64 {
	v := s.Mean
	if s.Spread > 0 {
		v *= math.Exp(s.Spread*random.NormFloat64() - s.Spread*s.Spread/2)
	}
	if s.Most > 0 {
		v = min(v, s.Most)
	}
	return v
}
