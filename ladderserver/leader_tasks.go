package ladderserver

import (
	"context"
	"errors"
	"sync"
	"time"

	"lacewingladder/ladderattempt"
	"lacewingladder/ladderclaim"
	"lacewingladder/ladderdispatch"
	"lacewingladder/ladderholder"
	"lacewingladder/ladderjob"
	"lacewingladder/laddermessage"
	"lacewingladder/laddermodel"
	"lacewingladder/ladderplacement"
	"lacewingladder/ladderqueue"
)

const (
	// taskShare is how long a job's task may stay unaccepted by its worker.
	taskAcceptTimeout = time.Second
	// preemptTime bounds the calls that make one batch task give way.
	preemptTimeout = time.Second
	// maxStops bounds the tasks that are revoked at once.
	maxConcurrentRevokes = 64
)

// startTasks plans and starts tasks.
func (l *leader) startTasks(ctx context.Context, t *term) {
	c := l.server.config.current()
	now := l.server.clock.Now()
	var free laddermodel.Size
	for _, d := range l.server.dispatch.Digests(now) {
		free = free.Add(d.Free)
	}
	l.mu.Lock()
	batches := l.queue.Plan(now, c, free)
	l.mu.Unlock()
	for _, b := range batches {
		l.server.background.Go(func() { l.startBatch(ctx, t, b) })
	}
}

// startBatch reserves room for all tasks of a batch and starts them, or none.
func (l *leader) startBatch(ctx context.Context, t *term, b ladderqueue.Batch) {
	rooms, err := l.reserveAll(ctx, b)
	if err == nil && !l.termValid(t) {
		err = errors.New("this VM leads no more")
	}
	if err != nil {
		l.log.Info("batch waits", "job", b.Job.ID, "tasks", len(b.Tasks), "reason", err)
		l.releaseAll(rooms)
		l.returnToQueue(b.Tasks)
		return
	}
	var wait sync.WaitGroup
	begun := make([]bool, len(b.Tasks))
	for i, room := range rooms {
		wait.Go(func() { begun[i] = l.startTask(ctx, b.Job, room) })
	}
	wait.Wait()
	for i := range begun {
		if b.Gang && !begun[i] {
			l.stopGang(ctx, b, rooms, begun)
			return
		}
	}
}

// reserveAll reserves room for all tasks of a batch in a fixed order of racks. On
// an error it returns what was reserved so far.
func (l *leader) reserveAll(ctx context.Context, b ladderqueue.Batch) ([]laddermodel.Reservation, error) {
	var rooms []laddermodel.Reservation
	racks := l.racks(b)
	for _, task := range b.Tasks {
		for len(racks) > 0 {
			room, err := l.reserve(ctx, b.Job, task, racks[0])
			if err == nil {
				rooms = append(rooms, room)
				break
			}
			racks = racks[1:]
		}
		if len(racks) == 0 {
			return rooms, errors.New("no rack has room")
		}
	}
	return rooms, nil
}

// racks returns the racks to try for a batch. Single tasks go to the fullest rack
// that has room; gangs go to the freest, so that they spread over few.
func (l *leader) racks(b ladderqueue.Batch) []ladderplacement.Digest {
	var racks []ladderplacement.Digest
	for _, d := range l.server.dispatch.Digests(l.server.clock.Now()) {
		if !b.Job.Size.Fits(d.Widest) {
			continue
		}
		if b.Gang {
			racks = append(racks, d)
		} else {
			racks = append([]ladderplacement.Digest{d}, racks...)
		}
	}
	return racks
}

// reserve asks a rack's holder for room for one task.
func (l *leader) reserve(
	ctx context.Context, job ladderjob.Job, task string, d ladderplacement.Digest,
) (laddermodel.Reservation, error) {
	ask := ladderholder.Ask{
		Task: task, Source: job.ID, Kind: job.Kind, Size: job.Size,
		Policy: l.server.config.current().Limits.Policy, Rack: d.Rack,
	}
	if d.Holder == l.server.settings.Name {
		return l.server.holder.Reserve(l.server.clock.Now(), ask)
	}
	return l.server.peers.Reserve(ctx, d.Holder, ask)
}

// startTask starts one task. It returns false when the task does not run.
func (l *leader) startTask(ctx context.Context, job ladderjob.Job, room laddermodel.Reservation) bool {
	reply := l.server.workers.Start(ctx, room, laddermodel.Task{
		ID: room.Task, Member: job.Member, Class: job.Team, Kind: job.Kind, Size: job.Size,
		Lease: l.server.config.current().Limits.Tasklease, Estimate: job.Estimate, Body: []byte(job.Body),
	}, taskAcceptTimeout, taskAcceptTimeout)
	l.log.Info("task sent", "task", room.Task, "worker", room.Worker.Name, "rack", room.Worker.Rack,
		"accepted", reply.Kind == ladderdispatch.Answered, "reason", reply.Reason)
	switch reply.Kind {
	case ladderdispatch.Answered:
	case ladderdispatch.Refused, ladderdispatch.Failed:
		l.releaseReservation(room, ladderholder.End{Fenced: reply.Fenced, Leaving: reply.Leaving})
		l.returnToQueue([]string{room.Task})
		return false
	case ladderdispatch.Silent:
		if l.revoke(ctx, room.Worker, room.Grant.Boot, room.Task) {
			l.releaseReservation(room, ladderholder.End{})
			l.returnToQueue([]string{room.Task})
			return false
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue.Started(l.server.clock.Now(), room.Task, room.Worker.Name)
	return true
}

// stopGang stops the tasks of a gang of which one did not begin.
func (l *leader) stopGang(ctx context.Context, b ladderqueue.Batch, rooms []laddermodel.Reservation, begun []bool) {
	l.log.Info("gang undone", "job", b.Job.ID)
	for i, room := range rooms {
		if begun[i] && l.revoke(ctx, room.Worker, room.Grant.Boot, room.Task) {
			l.recordEnd(room.Task, ladderqueue.End{Stopped: true})
		}
	}
}

// revoke makes sure that a task does not run. It returns false when the worker
// did not say so.
func (l *leader) revoke(ctx context.Context, w laddermodel.Worker, boot uint64, task string) bool {
	state, _ := l.server.workers.Revoke(ctx, w, boot, task)
	return state == ladderattempt.Never || state == ladderattempt.Stopped
}

// revokeTasks revokes the tasks of cancelled jobs, a bounded number at once.
func (l *leader) revokeTasks(ctx context.Context, stops []ladderqueue.Stop) {
	slots := make(chan struct{}, maxConcurrentRevokes)
	for _, s := range stops {
		l.mu.Lock()
		w, ok := l.workers[s.Worker]
		l.mu.Unlock()
		if !ok {
			continue
		}
		l.server.background.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			if l.revoke(ctx, w, 0, s.Task) {
				l.recordEnd(s.Task, ladderqueue.End{Stopped: true})
			}
		})
	}
}

func (l *leader) recordEnd(task string, e ladderqueue.End) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue.Ended(task, e)
}

func (l *leader) returnToQueue(tasks []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.server.clock.Now()
	for _, task := range tasks {
		l.queue.Returned(now, task)
	}
}

// releaseAll gives reservations back that will not be used.
func (l *leader) releaseAll(rooms []laddermodel.Reservation) {
	for _, r := range rooms {
		l.releaseReservation(r, ladderholder.End{})
	}
}

// releaseReservation tells the holder that one reservation is over.
func (l *leader) releaseReservation(r laddermodel.Reservation, e ladderholder.End) {
	e.Worker, e.Task = r.Worker.Name, r.Task
	if r.Holder == l.server.settings.Name {
		l.server.holder.Release(l.server.clock.Now(), e)
		return
	}
	l.server.peers.Release(r.Holder, e)
}

// pollEnds asks all VMs which tasks have ended, and looks for lost ones.
func (l *leader) pollEnds(ctx context.Context, t *term) {
	now := l.server.clock.Now()
	names := []string{l.server.settings.Name}
	l.server.runOnControlAndWait(ctx, func() { names = append(names, l.server.members.Live(now)...) })
	l.mu.Lock()
	uncertain := l.queue.Uncertain() > 0
	l.mu.Unlock()
	for _, name := range names {
		// What runs is asked before what ended: a task that ends in between is
		// then in one of the two answers.
		var runs laddermessage.Runs
		counted := false
		if uncertain {
			runs, counted = l.query(ctx, name, laddermessage.Running{}).(laddermessage.Runs)
			l.recordRuns(now, runs)
		}
		ended, ok := l.query(ctx, name, t.endsRead[name]).(laddermessage.Ended)
		if !ok {
			continue
		}
		l.recordEnds(now, t, name, ended)
		if counted && runs.Incarnation == ended.Incarnation {
			for _, w := range runs.Held {
				t.lastCounted[w] = now
			}
		}
	}
	l.settleLost(now, t)
}

// query sends a question to a VM, which may be this one.
func (l *leader) query(ctx context.Context, name string, m laddermessage.Message) laddermessage.Message {
	asking, cancel := context.WithTimeout(ctx, peerQueryTimeout)
	defer cancel()
	if name == l.server.settings.Name {
		answer, _ := l.server.Handle(asking, m)
		return answer
	}
	answer, err := l.server.peers.call(asking, name, m)
	if err != nil {
		return nil
	}
	return answer
}

func (l *leader) recordEnds(now time.Time, t *term, name string, m laddermessage.Ended) {
	last := t.endsRead[name]
	if last.Incarnation != m.Incarnation {
		last = laddermessage.Ends{Incarnation: m.Incarnation}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range m.Ends {
		last.After = max(last.After, e.Seq)
		l.queue.Ended(e.Task, ladderqueue.End{Failed: e.Failed, Stopped: e.Stopped || !e.Known})
	}
	t.endsRead[name] = last
	for _, w := range m.Held {
		t.lastHeld[w] = now
	}
}

func (l *leader) recordRuns(now time.Time, m laddermessage.Runs) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for task, worker := range m.Workers {
		l.queue.Found(now, task, worker)
	}
}

// settleLost ends tasks on workers that the platform lists no more and that nobody
// held for longer than a task's lease. For a new leader it settles the tasks that
// run nowhere, once the tasks of every worker were counted.
func (l *leader) settleLost(now time.Time, t *term) {
	limits := l.server.config.current().Limits
	l.mu.Lock()
	defer l.mu.Unlock()
	for worker, tasks := range l.queue.RunningOn() {
		if _, ok := t.lastHeld[worker]; !ok {
			t.lastHeld[worker] = now
		}
		_, listed := l.workers[worker]
		if listed || now.Sub(t.lastHeld[worker]) < ladderclaim.Widen(limits.Tasklease) {
			continue
		}
		for _, task := range tasks {
			l.log.Info("task lost", "task", task, "worker", worker)
			l.queue.Ended(task, ladderqueue.End{Stopped: true})
		}
	}
	if l.queue.Uncertain() == 0 || now.Sub(t.began) < 2*ladderclaim.Widen(limits.Lease) {
		return
	}
	for worker := range l.workers {
		if now.Sub(t.lastCounted[worker]) > 2*endsPollInterval {
			return
		}
	}
	l.queue.Missing()
}
