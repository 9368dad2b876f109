package ladderproof

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"runtime"
	"sync"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"lacewingladder/ladderattempt"
	"lacewingladder/ladderclaim"
	"lacewingladder/ladderclock"
	"lacewingladder/ladderconfig"
	"lacewingladder/ladderdispatch"
	"lacewingladder/ladderholder"
	"lacewingladder/laddermodel"
	"lacewingladder/ladderstand"
)

const (
	// vms, racks and perRack are the size of the cell.
	vms     = 3
	racks   = 2
	perRack = 3
	// shortStep and longStep are the longest times that pass in one step, usually
	// and now and then.
	shortStep = 100 * time.Millisecond
	longStep  = 4 * time.Second
	// warmTime is how long a world runs without faults before its test begins.
	warmTime = 20 * time.Second
	// takeoverRounds of takeoverStep are longer than a lease.
	takeoverRounds = 8
	takeoverStep   = 500 * time.Millisecond
)

// document is the configuration of the cell.
const document = `
defaults:
  limits: {lease: 3s, horizon: 12s, retries: 100%}
  zones:
    - name: z
      region: r
      racks:
        - {name: r1, seats: 3}
        - {name: r2, seats: 3}
  members:
    m: {}
  classes:
    check: {member: m, size: {slots: 1}, deadline: 5s, estimate: 5s}
    book: {member: m, size: {slots: 1}, deadline: 5s, estimate: 5s, once: true}
`

// quiet is a log that writes nothing.
type quiet struct{}

func (quiet) Info(any, ...any) {}

// driftClock runs at its own rate beside the world's clock.
type driftClock struct {
	world *ladderclock.Manual
	start time.Time
	// rate is in thousandths above or below the world's.
	rate int
}

func (c *driftClock) Now() time.Time {
	passed := c.world.Now().Sub(c.start)
	return c.start.Add(passed + passed*time.Duration(c.rate)/1000)
}

// After rings in the bubble's time, which stands still while a world runs, so that
// no two routines wake at once: who waits for time waits to the world's end.
func (*driftClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// vm is one entry VM.
type vm struct {
	name   string
	clock  *driftClock
	holder *ladderholder.Holder
	// dispatch carries the requests of this incarnation.
	dispatch    *ladderdispatch.Dispatcher
	incarnation int
	paused      bool
	// cut is true while none of its calls about claims arrives.
	cut bool
	// wants holds the racks that this VM believes it should hold.
	wants map[string]bool
}

// worker is one worker with the process that runs now.
type worker struct {
	model laddermodel.Worker
	stand *ladderstand.Worker
	boot  uint64
	// past are the records of earlier runs of its process.
	past []ladderstand.Record
	over int
}

// world is the cell under the interleaver.
type world struct {
	t       *rapid.T
	clock   *ladderclock.Manual
	vms     []*vm
	workers []*worker
	config  *ladderconfig.Config
	// parked holds the routines that wait for the interleaver.
	mu     sync.Mutex
	parked []*routine
	// ctx ends with the world, for routines that wait for others.
	ctx    context.Context
	cancel context.CancelFunc
	asked  []asked
	// keys counts the exchanges of each key.
	keys  map[string]int
	steps int
	seq   int
	// calm is true while no message is lost.
	calm bool
}

// asked is one exchange of a caller.
type asked struct {
	key     string
	request string
	class   string
	answer  laddermodel.Answer
	done    bool
	at      time.Time
}

func newWorld(t *rapid.T) *world {
	config, err := ladderconfig.Parse("document", []byte(document))
	if err != nil {
		t.Fatal(err)
	}
	w := &world{
		t: t, clock: ladderclock.NewManual(time.Unix(1_000_000, 0)), config: config, keys: map[string]int{},
	}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	for i := range racks * perRack {
		model := laddermodel.Worker{
			Name: fmt.Sprintf("w%d", i), Region: "r", Zone: "z", Rack: fmt.Sprintf("r%d", i/perRack+1),
			Size:    laddermodel.Size{Slots: 1},
			Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i+1)),
		}
		x := &worker{model: model}
		w.boot(x)
		w.workers = append(w.workers, x)
	}
	for i := range vms {
		v := &vm{name: fmt.Sprintf("v%d", i), clock: w.newClock()}
		w.vms = append(w.vms, v)
		w.bootVM(v)
	}
	w.warm()
	return w
}

// warm lets the VMs claim the racks, without faults, until their homes are sure.
func (w *world) warm() {
	w.calm = true
	for i := range racks {
		w.vms[i].wants[fmt.Sprintf("r%d", i+1)] = true
	}
	for end := w.clock.Now().Add(warmTime); w.clock.Now().Before(end); {
		for _, v := range w.vms {
			w.tick(v)
		}
		synctest.Wait()
		for len(w.parked) > 0 {
			w.step(0)
		}
		w.clock.Advance(shortStep)
	}
	w.calm = false
}

func (w *world) newClock() *driftClock {
	half := ladderclaim.DriftPerMille / 2
	return &driftClock{
		world: w.clock, start: w.clock.Now(), rate: rapid.IntRange(-half, half).Draw(w.t, "drift"),
	}
}

// boot starts a worker's process, with nothing running and nothing remembered.
func (w *world) boot(x *worker) {
	if x.stand != nil {
		x.past = append(x.past, x.stand.Records()...)
		x.over += x.stand.Over()
	}
	x.boot++
	x.stand = ladderstand.NewWorker(w.newClock(), ladderstand.Spec{
		Name: x.model.Name, Zone: "z", Rack: x.model.Rack, Size: x.model.Size, Boot: x.boot,
		Lag: time.Duration(rapid.IntRange(0, 1000).Draw(w.t, "lag")) * time.Millisecond,
	})
}

// bootVM starts an entry VM's process, which knows nothing.
func (w *world) bootVM(v *vm) {
	v.incarnation++
	v.holder = ladderholder.New(v.name, fmt.Sprint(v.incarnation), w.config.Limits.Lease, uint64(v.incarnation), quiet{})
	v.dispatch = ladderdispatch.New(ladderdispatch.Options{
		Name: v.name, Region: "r", Zone: "z", Clock: v.clock, Room: v.holder,
		Peers: &peers{world: w, from: v}, Workers: &workers{world: w, from: v}, Log: quiet{},
	})
	v.wants = map[string]bool{}
	var models []laddermodel.Worker
	for _, x := range w.workers {
		models = append(models, x.model)
	}
	v.holder.SetWorkers(v.clock.Now(), models)
	v.holder.SetConfig(w.config)
	v.dispatch.SetConfig(w.config)
}

// routine is a course of events of one VM that the interleaver steps through.
type routine struct {
	world  *world
	vm     *vm
	born   int
	resume chan bool
	// begin is the routine's work until it is first stepped.
	begin func(r *routine)
}

// dead reports whether the VM's process that ran the routine is gone.
func (r *routine) dead() bool { return r.vm != nil && r.vm.incarnation != r.born }

// spawn makes a routine, which begins when it is first stepped.
func (w *world) spawn(v *vm, f func(r *routine)) {
	r := &routine{world: w, vm: v, resume: make(chan bool), begin: f}
	if v != nil {
		r.born = v.incarnation
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.parked = append(w.parked, r)
}

// park hands control to the interleaver until it resumes the routine. When the
// routine's process has died meanwhile, the routine ends here.
func (r *routine) park() {
	w := r.world
	w.mu.Lock()
	w.parked = append(w.parked, r)
	w.mu.Unlock()
	if !<-r.resume {
		runtime.Goexit()
	}
}

// step resumes one parked routine.
func (w *world) step(i int) {
	r := w.parked[i]
	w.parked = append(w.parked[:i], w.parked[i+1:]...)
	r.wake(!r.dead())
	synctest.Wait()
}

// wake lets a routine go on, or end.
func (r *routine) wake(alive bool) {
	begin := r.begin
	r.begin = nil
	switch {
	case begin == nil:
		r.resume <- alive
	case alive:
		go begin(r)
	}
}

// close ends all routines.
func (w *world) close() {
	w.cancel()
	synctest.Wait()
	for len(w.parked) > 0 {
		r := w.parked[0]
		w.parked = w.parked[1:]
		r.wake(false)
		synctest.Wait()
	}
}

// routineKey is the context key of the routine that makes a call.
type routineKey struct{}

func current(ctx context.Context) *routine { return ctx.Value(routineKey{}).(*routine) }

// fate is what becomes of a message.
type fate int

const (
	delivered fate = iota
	lost
	answerLost
)

// fate draws what becomes of a message. Most messages arrive.
func (w *world) fate() fate {
	if w.calm {
		return delivered
	}
	switch n := rapid.IntRange(0, 19).Draw(w.t, "fate"); {
	case n < 2:
		return lost
	case n < 4:
		return answerLost
	}
	return delivered
}

var errLost = errors.New("no answer")

// peers carries messages between entry VMs.
type peers struct {
	world *world
	from  *vm
}

func (p *peers) find(name string) *vm {
	for _, v := range p.world.vms {
		if v.name == name {
			return v
		}
	}
	return nil
}

// Reserve implements ladderdispatch.Peers.
func (p *peers) Reserve(ctx context.Context, peer string, a ladderholder.Ask) (laddermodel.Reservation, error) {
	r := current(ctx)
	f := p.world.fate()
	r.park()
	to := p.find(peer)
	if f == lost || to.paused {
		return laddermodel.Reservation{}, errLost
	}
	room, err := to.holder.Reserve(to.clock.Now(), a)
	r.park()
	if f == answerLost {
		return laddermodel.Reservation{}, errLost
	}
	return room, err
}

// Release implements ladderdispatch.Peers.
func (p *peers) Release(peer string, e ladderholder.End) {
	f := p.world.fate()
	if f != delivered {
		return
	}
	p.world.spawn(nil, func(r *routine) {
		r.park()
		to := p.find(peer)
		to.holder.Release(to.clock.Now(), e)
	})
}

// Forward implements ladderdispatch.Peers.
func (p *peers) Forward(ctx context.Context, peer string, q laddermodel.Request) (laddermodel.Answer, error) {
	r := current(ctx)
	f := p.world.fate()
	r.park()
	to := p.find(peer)
	if f == lost || to.paused {
		return laddermodel.Answer{}, errLost
	}
	answers := make(chan laddermodel.Answer, 1)
	p.world.spawn(to, func(r *routine) {
		answers <- to.dispatch.Accept(context.WithValue(p.world.ctx, routineKey{}, r), q)
	})
	for range 40 {
		r.park()
		select {
		case a := <-answers:
			if f == answerLost {
				return laddermodel.Answer{}, errLost
			}
			return a, nil
		default:
		}
	}
	return laddermodel.Answer{}, errLost
}

// workers carries starts and revocations to workers.
type workers struct {
	world *world
	from  *vm
}

func (p *workers) find(name string) *worker {
	for _, x := range p.world.workers {
		if x.model.Name == name {
			return x
		}
	}
	return nil
}

// Start implements ladderdispatch.Workers.
func (p *workers) Start(ctx context.Context, room laddermodel.Reservation, t laddermodel.Task, _, _ time.Duration) ladderdispatch.Reply {
	r := current(ctx)
	f := p.world.fate()
	doubled := rapid.IntRange(0, 9).Draw(p.world.t, "doubled") == 0
	start := ladderstand.Start{
		Task: t.ID, Member: t.Member, Class: t.Class, Kind: t.Kind, Size: t.Size, Lease: t.Lease,
		Boot: room.Grant.Boot, Epoch: room.Grant.Epoch, Until: room.Grant.Until,
	}
	x := p.find(room.Worker.Name)
	deliver := func() ladderstand.Refusal {
		_, refused := x.stand.Start(start)
		return refused
	}
	if doubled {
		p.world.spawn(nil, func(r *routine) {
			r.park()
			if deliver() == ladderstand.Accepted {
				r.park()
				x.stand.End(t.ID, false, nil)
			}
		})
	}
	sentTo := x.boot
	r.park()
	if f == lost || x.boot != sentTo {
		// A connection breaks when the process at its end dies.
		return ladderdispatch.Reply{Kind: ladderdispatch.Silent}
	}
	switch deliver() {
	case ladderstand.Accepted:
	case ladderstand.RefuseFenced:
		return ladderdispatch.Reply{Kind: ladderdispatch.Refused, Fenced: true}
	case ladderstand.RefuseKnown:
		// The copy came first; the caller hears nothing of this one.
		return ladderdispatch.Reply{Kind: ladderdispatch.Silent}
	default:
		return ladderdispatch.Reply{Kind: ladderdispatch.Refused}
	}
	if f == answerLost {
		// The task runs on its own; nobody waits for it.
		p.world.spawn(nil, func(r *routine) {
			r.park()
			x.stand.End(t.ID, false, nil)
		})
		return ladderdispatch.Reply{Kind: ladderdispatch.Silent}
	}
	r.park()
	fails := rapid.IntRange(0, 9).Draw(p.world.t, "fails") == 0
	if !x.stand.End(t.ID, fails, nil) {
		return ladderdispatch.Reply{Kind: ladderdispatch.Silent}
	}
	if fails {
		return ladderdispatch.Reply{Kind: ladderdispatch.Failed}
	}
	return ladderdispatch.Reply{Kind: ladderdispatch.Answered}
}

// Revoke implements ladderdispatch.Workers.
func (p *workers) Revoke(ctx context.Context, m laddermodel.Worker, boot uint64, task string) (ladderattempt.State, ladderdispatch.Reply) {
	r := current(ctx)
	f := p.world.fate()
	r.park()
	if f == lost {
		return ladderattempt.Unreachable, ladderdispatch.Reply{}
	}
	state, e := p.find(m.Name).stand.Revoke(task, boot)
	r.park()
	if f == answerLost {
		return ladderattempt.Unreachable, ladderdispatch.Reply{}
	}
	switch state {
	case "never":
		return ladderattempt.Never, ladderdispatch.Reply{}
	case "stopped", "restarted":
		return ladderattempt.Stopped, ladderdispatch.Reply{}
	}
	if e.Failed {
		return ladderattempt.Ended, ladderdispatch.Reply{Kind: ladderdispatch.Failed}
	}
	return ladderattempt.Ended, ladderdispatch.Reply{Kind: ladderdispatch.Answered}
}

// tick lets a VM's control goroutine take a turn, and sends the calls it makes.
func (w *world) tick(v *vm) {
	now := v.clock.Now()
	wanted := func(rack string) bool { return v.wants[rack] }
	free := func(string) bool { return true }
	for _, call := range v.holder.Tick(now, wanted, free) {
		f := w.fate()
		if v.cut {
			f = lost
		}
		w.spawn(v, func(r *routine) {
			r.park()
			x := (&workers{world: w}).find(call.Worker.Name)
			if f == lost {
				v.holder.Failed(v.clock.Now(), call)
				return
			}
			a := w.claim(x, call)
			r.park()
			if f == answerLost {
				v.holder.Failed(v.clock.Now(), call)
				return
			}
			v.holder.Observe(v.clock.Now(), call, a)
		})
	}
	for _, o := range w.vms {
		if !o.paused {
			v.dispatch.Learn(now, o.holder.Digests(o.clock.Now()))
		}
	}
}

// claim delivers a call about a worker's claim.
func (w *world) claim(x *worker, call ladderclaim.Call) ladderclaim.Answer {
	var s ladderstand.ClaimState
	if call.Verb == ladderclaim.Release {
		s = x.stand.Release(call.Holder)
	} else {
		s = x.stand.Claim(call.Holder, call.Lease, call.Since, call.Version)
	}
	a := ladderclaim.Answer{
		Granted: s.Granted, Holder: s.Holder, Epoch: s.Epoch, Boot: x.boot, Age: s.Age, Until: s.Until,
		Left: s.Left, Leaving: s.Leaving,
		Report: ladderclaim.Report{
			Epoch: s.Report.Epoch, At: s.Report.At, Version: s.Report.Version, Same: s.Report.Same,
		},
	}
	for _, t := range s.Report.Running {
		a.Report.Running = append(a.Report.Running, ladderclaim.Running{Task: t.Task, Kind: t.Kind, Size: t.Size})
	}
	return a
}

// takeover lets one VM fall silent until another has taken its racks over. What
// the first had under way goes on afterwards.
func (w *world) takeover(from, to *vm, pause bool) {
	from.paused, from.cut = pause, !pause
	for rack := range from.wants {
		to.wants[rack] = true
	}
	calm := w.calm
	w.calm = true
	for range takeoverRounds {
		w.clock.Advance(takeoverStep)
		w.tick(to)
		for range 8 * perRack * racks {
			if i := w.firstOf(to); i >= 0 {
				w.step(i)
			}
		}
	}
	w.calm = calm
	from.paused = false
}

// firstOf returns the index of a VM's first routine, or -1.
func (w *world) firstOf(v *vm) int {
	for i, r := range w.parked {
		if r.vm == v {
			return i
		}
	}
	return -1
}

// request lets a caller send a request through a VM.
func (w *world) request(v *vm, key, class string) {
	w.seq++
	n := len(w.asked)
	id := fmt.Sprintf("q%d", w.seq)
	w.asked = append(w.asked, asked{key: key, request: id, class: class})
	w.spawn(v, func(r *routine) {
		a := v.dispatch.Do(context.WithValue(w.ctx, routineKey{}, r), laddermodel.Request{
			ID: id, Key: key, Member: "m", Class: class, Deadline: 5 * time.Second,
		})
		w.asked[n].answer, w.asked[n].done, w.asked[n].at = a, true, w.clock.Now()
	})
}

// usable returns the VMs that are not paused.
func (w *world) usable() []*vm {
	var up []*vm
	for _, v := range w.vms {
		if !v.paused {
			up = append(up, v)
		}
	}
	return up
}

// runnable returns the indexes of routines whose VM is not paused.
func (w *world) runnable() []int {
	var at []int
	for i, r := range w.parked {
		if r.vm == nil || !r.vm.paused || r.dead() {
			at = append(at, i)
		}
	}
	return at
}
