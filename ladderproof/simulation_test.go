package ladderproof

import (
	"context"
	"fmt"
	"net/netip"
	"runtime"
	"sync"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"lacewingladder/ladderclaim"
	"lacewingladder/ladderclock"
	"lacewingladder/ladderconfig"
	"lacewingladder/ladderdispatch"
	"lacewingladder/ladderholder"
	"lacewingladder/laddermodel"
	"lacewingladder/ladderstand"
)

const (
	// vmCount, rackCount and workersPerRack are the size of the simulated deployment.
	vmCount        = 3
	rackCount      = 2
	workersPerRack = 3
	// shortAdvance and longAdvance are the longest times by which one action advances
	// the clock. One action in 25 uses longAdvance.
	shortAdvance = 100 * time.Millisecond
	longAdvance  = 4 * time.Second
	// warmUpTime is how long a simulation runs without faults before the actions begin.
	warmUpTime = 20 * time.Second
	// takeoverRounds times takeoverStep is longer than a lease.
	takeoverRounds = 8
	takeoverStep   = 500 * time.Millisecond
)

// configDocument is the configuration of the simulated deployment.
const configDocument = `
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

// discardLog is a logger that discards everything.
type discardLog struct{}

func (discardLog) Info(any, ...any) {}

// driftClock runs slightly faster or slower than the simulation's clock.
type driftClock struct {
	reference *ladderclock.Manual
	start     time.Time
	// driftPerMille is added to the rate of the reference clock.
	driftPerMille int
}

// Now implements ladderclock.Clock.
func (c *driftClock) Now() time.Time {
	passed := c.reference.Now().Sub(c.start)
	return c.start.Add(passed + passed*time.Duration(c.driftPerMille)/1000)
}

// After implements ladderclock.Clock. It uses the synctest bubble's fake clock, which does not
// advance during a simulation, so the channel delivers nothing before the simulation ends.
// Two routines therefore never wake up at the same time.
func (*driftClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// vm is one entry VM.
type vm struct {
	name   string
	clock  *driftClock
	holder *ladderholder.Holder
	// dispatcher handles the requests of the current incarnation.
	dispatcher  *ladderdispatch.Dispatcher
	incarnation int
	paused      bool
	// claimCallsLost is true while none of the VM's claim calls reaches a worker.
	claimCallsLost bool
	// wantedRacks holds the racks that the VM is meant to hold, from its own point of view.
	wantedRacks map[string]bool
}

// worker is one worker. The field standIn is its current incarnation, and boot its number.
type worker struct {
	spec    laddermodel.Worker
	standIn *ladderstand.Worker
	boot    uint64
	// earlierRecords are the records of earlier incarnations, and earlierOvercommits the
	// number of starts that exceeded the worker's size in them.
	earlierRecords     []ladderstand.Record
	earlierOvercommits int
}

// simulation is the simulated deployment. It runs one routine at a time and draws which one
// runs next.
type simulation struct {
	t       *rapid.T
	clock   *ladderclock.Manual
	vms     []*vm
	workers []*worker
	config  *ladderconfig.Config
	// mu guards parked, the routines that wait to be stepped.
	mu     sync.Mutex
	parked []*routine
	// ctx is canceled at the end of the simulation, so that no routine waits forever.
	ctx       context.Context
	cancel    context.CancelFunc
	exchanges []exchange
	// steps counts the checks, and seq the requests, whose IDs contain it.
	steps int
	seq   int
	// lossless is true while no message is lost.
	lossless bool
}

// exchange is a caller's request. Once done is true, it also holds the answer and the time
// at which the answer arrived.
type exchange struct {
	key     string
	request string
	class   string
	answer  laddermodel.Answer
	done    bool
	at      time.Time
}

// newSimulation returns a simulation whose VMs have claimed the racks.
func newSimulation(t *rapid.T) *simulation {
	config, err := ladderconfig.Parse("document", []byte(configDocument))
	if err != nil {
		t.Fatal(err)
	}
	sim := &simulation{
		t: t, clock: ladderclock.NewManual(time.Unix(1_000_000, 0)), config: config,
	}
	sim.ctx, sim.cancel = context.WithCancel(context.Background())
	for i := range rackCount * workersPerRack {
		spec := laddermodel.Worker{
			Name: fmt.Sprintf("w%d", i), Region: "r", Zone: "z", Rack: fmt.Sprintf("r%d", i/workersPerRack+1),
			Size:    laddermodel.Size{Slots: 1},
			Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i+1)),
		}
		w := &worker{spec: spec}
		sim.bootWorker(w)
		sim.workers = append(sim.workers, w)
	}
	for i := range vmCount {
		v := &vm{name: fmt.Sprintf("v%d", i), clock: sim.newClock()}
		sim.vms = append(sim.vms, v)
		sim.bootVM(v)
	}
	sim.warmUp()
	return sim
}

// warmUp lets the VMs claim the racks without faults, until each rack has a home: the VM
// that holds claims on more than half of the rack's workers.
func (sim *simulation) warmUp() {
	sim.lossless = true
	for i := range rackCount {
		sim.vms[i].wantedRacks[fmt.Sprintf("r%d", i+1)] = true
	}
	for end := sim.clock.Now().Add(warmUpTime); sim.clock.Now().Before(end); {
		for _, v := range sim.vms {
			sim.tick(v)
		}
		synctest.Wait()
		for len(sim.parked) > 0 {
			sim.step(0)
		}
		sim.clock.Advance(shortAdvance)
	}
	sim.lossless = false
}

// newClock returns a clock with a drawn drift, within half of what the claims allow for.
func (sim *simulation) newClock() *driftClock {
	half := ladderclaim.DriftPerMille / 2
	return &driftClock{
		reference: sim.clock, start: sim.clock.Now(), driftPerMille: rapid.IntRange(-half, half).Draw(sim.t, "drift"),
	}
}

// bootWorker starts or restarts a worker's process, without tasks and without any state of
// the previous incarnation.
func (sim *simulation) bootWorker(w *worker) {
	if w.standIn != nil {
		w.earlierRecords = append(w.earlierRecords, w.standIn.Records()...)
		w.earlierOvercommits += w.standIn.OverCapacity()
	}
	w.boot++
	w.standIn = ladderstand.NewWorker(sim.newClock(), ladderstand.Spec{
		Name: w.spec.Name, Zone: "z", Rack: w.spec.Rack, Size: w.spec.Size, Boot: w.boot,
		Lag: time.Duration(rapid.IntRange(0, 1000).Draw(sim.t, "lag")) * time.Millisecond,
	})
}

// bootVM starts or restarts an entry VM's process without any state of the previous
// incarnation.
func (sim *simulation) bootVM(v *vm) {
	v.incarnation++
	v.holder = ladderholder.New(v.name, fmt.Sprint(v.incarnation), sim.config.Limits.ClaimLease, uint64(v.incarnation), discardLog{})
	v.dispatcher = ladderdispatch.New(ladderdispatch.Options{
		Name: v.name, Region: "r", Zone: "z", Clock: v.clock, Holder: v.holder,
		Peers: &peerTransport{sim: sim, from: v}, Workers: &workerTransport{sim: sim, from: v}, Log: discardLog{},
	})
	v.wantedRacks = map[string]bool{}
	var specs []laddermodel.Worker
	for _, w := range sim.workers {
		specs = append(specs, w.spec)
	}
	v.holder.SetWorkers(v.clock.Now(), specs)
	v.holder.SetConfig(sim.config)
	v.dispatcher.SetConfig(sim.config)
}

// routine is a goroutine that runs only when the simulation steps it. It belongs to one VM,
// or to none if vm is nil.
type routine struct {
	sim         *simulation
	vm          *vm
	incarnation int
	// resume receives true to continue the parked routine, or false to end it.
	resume chan bool
	// begin is the function to run. It is nil once the routine has begun.
	begin func(r *routine)
}

// dead reports whether the VM has restarted since the routine was created.
func (r *routine) dead() bool { return r.vm != nil && r.vm.incarnation != r.incarnation }

// spawn creates a routine, which begins when it is first stepped.
func (sim *simulation) spawn(v *vm, f func(r *routine)) {
	r := &routine{sim: sim, vm: v, resume: make(chan bool), begin: f}
	if v != nil {
		r.incarnation = v.incarnation
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.parked = append(sim.parked, r)
}

// park waits until the simulation steps the routine again. If the routine's VM has
// restarted meanwhile, or the simulation has ended, the routine ends here.
func (r *routine) park() {
	sim := r.sim
	sim.mu.Lock()
	sim.parked = append(sim.parked, r)
	sim.mu.Unlock()
	if !<-r.resume {
		runtime.Goexit()
	}
}

// step resumes one parked routine and waits until it parks again or ends.
func (sim *simulation) step(i int) {
	r := sim.parked[i]
	sim.parked = append(sim.parked[:i], sim.parked[i+1:]...)
	r.wake(!r.dead())
	synctest.Wait()
}

// wake begins or resumes a routine if alive, and ends it otherwise.
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
func (sim *simulation) close() {
	sim.cancel()
	synctest.Wait()
	for len(sim.parked) > 0 {
		r := sim.parked[0]
		sim.parked = sim.parked[1:]
		r.wake(false)
		synctest.Wait()
	}
}

// routineKey is the context key of the routine that makes a call.
type routineKey struct{}

// current returns the routine that makes a call.
func current(ctx context.Context) *routine { return ctx.Value(routineKey{}).(*routine) }

// tick runs one iteration of a VM's control loop: it sends the VM's claim calls, and passes
// it the digests of the racks' free capacity from all VMs that are not paused.
func (sim *simulation) tick(v *vm) {
	now := v.clock.Now()
	wanted := func(rack string) bool { return v.wantedRacks[rack] }
	free := func(string) bool { return true }
	for _, call := range v.holder.Tick(now, wanted, free) {
		outcome := sim.drawDelivery()
		if v.claimCallsLost {
			outcome = lost
		}
		sim.spawn(v, func(r *routine) {
			r.park()
			w := (&workerTransport{sim: sim}).find(call.Worker.Name)
			if outcome == lost {
				v.holder.CallFailed(v.clock.Now(), call)
				return
			}
			a := sim.claim(w, call)
			r.park()
			if outcome == replyLost {
				v.holder.CallFailed(v.clock.Now(), call)
				return
			}
			v.holder.Observe(v.clock.Now(), call, a)
		})
	}
	for _, o := range sim.vms {
		if !o.paused {
			v.dispatcher.UpdateDigests(now, o.holder.Digests(o.clock.Now()))
		}
	}
}

// claim delivers a claim call to a worker and returns the worker's answer.
func (sim *simulation) claim(w *worker, call ladderclaim.Call) ladderclaim.Answer {
	var s ladderstand.ClaimState
	if call.Verb == ladderclaim.Release {
		s = w.standIn.Release(call.Holder)
	} else {
		s = w.standIn.Claim(call.Holder, call.Lease, call.Since, call.Version)
	}
	a := ladderclaim.Answer{
		Granted: s.Granted, Holder: s.Holder, Epoch: s.Epoch, Boot: w.boot, Uptime: s.Uptime, Until: s.Until,
		Remaining: s.Remaining, Leaving: s.Leaving,
		Report: ladderclaim.Report{
			Epoch: s.Report.Epoch, At: s.Report.At, Version: s.Report.Version, Unchanged: s.Report.Unchanged,
		},
	}
	for _, t := range s.Report.Running {
		a.Report.Running = append(a.Report.Running, ladderclaim.Running{Task: t.Task, Kind: t.Kind, Size: t.Size})
	}
	return a
}

// takeover makes one VM unresponsive for longer than a lease, so that another one takes over
// its racks. The first VM is paused, or all its claim calls are lost. A pause ends with the
// takeover, but claim calls stay lost until the action heal. The VM's parked routines may
// continue after the takeover.
func (sim *simulation) takeover(from, to *vm, pause bool) {
	from.paused, from.claimCallsLost = pause, !pause
	for rack := range from.wantedRacks {
		to.wantedRacks[rack] = true
	}
	lossless := sim.lossless
	sim.lossless = true
	for range takeoverRounds {
		sim.clock.Advance(takeoverStep)
		sim.tick(to)
		for range 8 * workersPerRack * rackCount {
			if i := sim.firstParked(to); i >= 0 {
				sim.step(i)
			}
		}
	}
	sim.lossless = lossless
	from.paused = false
}

// firstParked returns the index of a VM's first parked routine, or -1.
func (sim *simulation) firstParked(v *vm) int {
	for i, r := range sim.parked {
		if r.vm == v {
			return i
		}
	}
	return -1
}

// request sends a caller's request through a VM.
func (sim *simulation) request(v *vm, key, class string) {
	sim.seq++
	n := len(sim.exchanges)
	id := fmt.Sprintf("q%d", sim.seq)
	sim.exchanges = append(sim.exchanges, exchange{key: key, request: id, class: class})
	sim.spawn(v, func(r *routine) {
		a := v.dispatcher.Do(context.WithValue(sim.ctx, routineKey{}, r), laddermodel.Request{
			ID: id, Key: key, Member: "m", Class: class, Deadline: 5 * time.Second,
		})
		sim.exchanges[n].answer, sim.exchanges[n].done, sim.exchanges[n].at = a, true, sim.clock.Now()
	})
}

// activeVMs returns the VMs that are not paused.
func (sim *simulation) activeVMs() []*vm {
	var active []*vm
	for _, v := range sim.vms {
		if !v.paused {
			active = append(active, v)
		}
	}
	return active
}

// runnableRoutines returns the indexes of the parked routines that can be stepped: those
// without a VM, those whose VM is not paused, and those that are to end because their VM
// has restarted.
func (sim *simulation) runnableRoutines() []int {
	var indexes []int
	for i, r := range sim.parked {
		if r.vm == nil || !r.vm.paused || r.dead() {
			indexes = append(indexes, i)
		}
	}
	return indexes
}
