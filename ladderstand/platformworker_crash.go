package ladderstand

import (
	"net/http"
	"time"

	"lacewingladder/ladderflow"
)

// CrashSpec says which runs crash their worker.
type CrashSpec struct {
	// After returns whether a run crashes the worker, and how long after its start.
	After func(ladderflow.Run) (time.Duration, bool)
	// Downtime is the time from a crash to the start of the next incarnation, which renews the
	// worker's entry in Store.
	Downtime time.Duration
	Store    *Store
}

// SetCrashes makes some of the runs that start from now on crash the worker.
func (p *PlatformWorker) SetCrashes(c CrashSpec) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crashes = c
}

// SetUptime sets how long ago the present incarnation started, and so the worker's own clock.
func (p *PlatformWorker) SetUptime(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.startedAt = p.clock.Now().Add(-d)
}

// Crash ends the worker with all its runs and the ends that it lists. Connections are closed without
// a response until the next incarnation starts after downtime, which renews the entry in the store.
func (p *PlatformWorker) Crash(s *Store, downtime time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crash(s, downtime)
}

// CrashSilently is like Crash, but the worker answers nothing until the next incarnation starts, which
// carries out the calls that have arrived on new connections meanwhile, whether or not their callers still wait.
func (p *PlatformWorker) CrashSilently(s *Store, downtime time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.down {
		p.silent, p.restarted = true, make(chan struct{})
		p.crash(s, downtime)
	}
}

// crash is Crash for callers that hold p.mu.
func (p *PlatformWorker) crash(s *Store, downtime time.Duration) {
	if p.down {
		return
	}
	for _, e := range p.current.ended {
		if e.Reason == ladderflow.EndDone {
			p.done[e.Run.Task]--
		}
	}
	p.restart()
	p.down = true
	close(p.runEnded)
	p.runEnded = make(chan struct{})
	time.AfterFunc(downtime, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.restart()
		p.down = false
		if p.silent {
			p.silent = false
			close(p.restarted)
		}
		// The entry could be formatted before, so it can be now.
		_ = p.register(s)
	})
}

// restart begins a new incarnation without runs. The caller must hold p.mu.
func (p *PlatformWorker) restart() {
	for run, active := range p.current.running {
		active.timer.Stop()
		p.teams.end(p, run)
		if p.gangs.has(run) {
			p.gangs.end(run, ladderflow.EndFailed, active.startedAt, p.clock.Now())
		}
	}
	p.startedAt = p.clock.Now()
	p.current = incarnation{
		number: max(p.startedAt.UnixMilli(), p.current.number+1), running: map[ladderflow.Run]*activeRun{},
		refusedUpTo: map[ladderflow.Task]int{},
	}
	p.spec.Incarnation = p.current.number
}

// scheduleCrash lets a run crash the worker later, if it is one that does. The caller must hold p.mu.
func (p *PlatformWorker) scheduleCrash(run ladderflow.Run, active *activeRun) {
	c := p.crashes
	if c.After == nil {
		return
	}
	after, ok := c.After(run)
	if !ok {
		return
	}
	time.AfterFunc(after, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.current.running[run] == active {
			p.crash(c.Store, c.Downtime)
		}
	})
}

// awaitRestart waits until a silent worker has restarted.
func (p *PlatformWorker) awaitRestart() {
	p.mu.Lock()
	silent, restarted := p.silent, p.restarted
	p.mu.Unlock()
	if silent {
		<-restarted
	}
}

// checkConnection closes the connection of a request if the worker is down, or if an earlier incarnation has
// carried out calls on it.
func (p *PlatformWorker) checkConnection(request *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	incarnation, used := p.connections[request.RemoteAddr]
	if p.down || used && incarnation != p.current.number {
		delete(p.connections, request.RemoteAddr)
		panic(http.ErrAbortHandler)
	}
	p.connections[request.RemoteAddr] = p.current.number
}
