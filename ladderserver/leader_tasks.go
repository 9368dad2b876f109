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
	// taskAcceptTimeout bounds the time until a worker accepts a task of a job.
	taskAcceptTimeout = time.Second
	// preemptTimeout bounds the calls that preempt one batch task.
	preemptTimeout = time.Second
	// maxConcurrentRevokes bounds the number of tasks that are revoked at a time.
	maxConcurrentRevokes = 64
)

// startTasks plans which tasks to start now, and starts them in the background.
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

// startBatch starts the tasks of a batch. It starts none if it cannot reserve
// capacity for all, and stops the others of a gang if one does not start.
func (l *leader) startBatch(ctx context.Context, t *term, b ladderqueue.Batch) {
	reservations, err := l.reserveAll(ctx, b)
	if err == nil && !l.termValid(t) {
		err = errors.New("this VM leads no more")
	}
	if err != nil {
		l.log.Info("batch returned to the queue", "job", b.Job.ID, "tasks", len(b.Tasks), "reason", err)
		l.releaseAll(reservations)
		l.returnToQueue(b.Tasks)
		return
	}
	var wait sync.WaitGroup
	started := make([]bool, len(b.Tasks))
	for i, reservation := range reservations {
		wait.Go(func() { started[i] = l.startTask(ctx, b.Job, reservation) })
	}
	wait.Wait()
	for i := range started {
		if b.Gang && !started[i] {
			l.stopGang(ctx, b, reservations, started)
			return
		}
	}
}

// reserveAll reserves capacity for all tasks of a batch. It fills one rack after
// another. On an error it returns the reservations that it made before.
func (l *leader) reserveAll(ctx context.Context, b ladderqueue.Batch) ([]laddermodel.Reservation, error) {
	var reservations []laddermodel.Reservation
	racks := l.racks(b)
	for _, task := range b.Tasks {
		for len(racks) > 0 {
			reservation, err := l.reserve(ctx, b.Job, task, racks[0])
			if err == nil {
				reservations = append(reservations, reservation)
				break
			}
			racks = racks[1:]
		}
		if len(racks) == 0 {
			return reservations, errors.New("no rack has room")
		}
	}
	return reservations, nil
}

// racks returns the racks to try for a batch, in order. Single tasks try the fullest
// rack first; gangs try the rack with the most free slots first, so that their tasks
// need few racks.
func (l *leader) racks(b ladderqueue.Batch) []ladderplacement.Digest {
	var racks []ladderplacement.Digest
	for _, d := range l.server.dispatch.Digests(l.server.clock.Now()) {
		if !b.Job.Size.Fits(d.LargestFree) {
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

// reserve reserves capacity for one task with the holder of a rack.
func (l *leader) reserve(
	ctx context.Context, job ladderjob.Job, task string, d ladderplacement.Digest,
) (laddermodel.Reservation, error) {
	request := ladderholder.CapacityRequest{
		Task: task, Source: job.ID, Kind: job.Kind, Size: job.Size,
		Policy: l.server.config.current().Limits.JobPolicy, Rack: d.Rack,
	}
	if d.Holder == l.server.settings.Name {
		return l.server.holder.Reserve(l.server.clock.Now(), request)
	}
	return l.server.peers.Reserve(ctx, d.Holder, request)
}

// startTask sends one task to a worker. It returns false if the task certainly does
// not run, and true if it runs or its outcome is unknown.
func (l *leader) startTask(ctx context.Context, job ladderjob.Job, reservation laddermodel.Reservation) bool {
	reply := l.server.workers.Start(ctx, reservation, laddermodel.Task{
		ID: reservation.Task, Member: job.Member, Class: job.Team, Kind: job.Kind, Size: job.Size,
		Lease: l.server.config.current().Limits.TaskLease, Estimate: job.Estimate, Body: []byte(job.Body),
	}, taskAcceptTimeout, taskAcceptTimeout)
	l.log.Info("task sent", "task", reservation.Task, "worker", reservation.Worker.Name, "rack", reservation.Worker.Rack,
		"accepted", reply.Kind == ladderdispatch.Answered, "reason", reply.Reason)
	switch reply.Kind {
	case ladderdispatch.Answered:
	case ladderdispatch.Refused, ladderdispatch.Failed:
		l.releaseReservation(reservation, ladderholder.TaskEnd{Fenced: reply.Fenced, Leaving: reply.Leaving})
		l.returnToQueue([]string{reservation.Task})
		return false
	case ladderdispatch.NoReply:
		if l.revoke(ctx, reservation.Worker, reservation.Grant.Boot, reservation.Task) {
			l.releaseReservation(reservation, ladderholder.TaskEnd{})
			l.returnToQueue([]string{reservation.Task})
			return false
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue.Started(l.server.clock.Now(), reservation.Task, reservation.Worker.Name)
	return true
}

// stopGang stops the started tasks of a gang after another one failed to start.
func (l *leader) stopGang(
	ctx context.Context, b ladderqueue.Batch, reservations []laddermodel.Reservation, started []bool,
) {
	l.log.Info("gang start failed; stopping its other tasks", "job", b.Job.ID)
	for i, reservation := range reservations {
		if started[i] && l.revoke(ctx, reservation.Worker, reservation.Grant.Boot, reservation.Task) {
			l.recordEnd(reservation.Task, ladderqueue.TaskEnd{Stopped: true})
		}
	}
}

// revoke makes sure that a task does not run. It returns false if the worker did
// not confirm that or if the task had already ended.
func (l *leader) revoke(ctx context.Context, w laddermodel.Worker, boot uint64, task string) bool {
	state, _ := l.server.workers.Revoke(ctx, w, boot, task)
	return state == ladderattempt.NeverBegun || state == ladderattempt.Stopped
}

// revokeTasks revokes tasks of canceled jobs in the background, at most
// maxConcurrentRevokes at a time.
func (l *leader) revokeTasks(ctx context.Context, toStop []ladderqueue.RunningTask) {
	semaphore := make(chan struct{}, maxConcurrentRevokes)
	for _, s := range toStop {
		l.mu.Lock()
		w, ok := l.workers[s.Worker]
		l.mu.Unlock()
		if !ok {
			continue
		}
		l.server.background.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			if l.revoke(ctx, w, 0, s.Task) {
				l.recordEnd(s.Task, ladderqueue.TaskEnd{Stopped: true})
			}
		})
	}
}

func (l *leader) recordEnd(task string, e ladderqueue.TaskEnd) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue.Ended(task, e)
}

// returnToQueue marks tasks that did not start as waiting again.
func (l *leader) returnToQueue(tasks []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.server.clock.Now()
	for _, task := range tasks {
		l.queue.NotStarted(now, task)
	}
}

// releaseAll releases reservations that will not be used.
func (l *leader) releaseAll(reservations []laddermodel.Reservation) {
	for _, r := range reservations {
		l.releaseReservation(r, ladderholder.TaskEnd{})
	}
}

// releaseReservation reports to the holder that a reservation is no longer needed.
func (l *leader) releaseReservation(r laddermodel.Reservation, e ladderholder.TaskEnd) {
	e.Worker, e.Task = r.Worker.Name, r.Task
	if r.Holder == l.server.settings.Name {
		l.server.holder.Release(l.server.clock.Now(), e)
		return
	}
	l.server.peers.Release(r.Holder, e)
}

// pollEnds polls all live entry VMs for the ends of tasks, and then settles the
// tasks that were lost. While tasks are unconfirmed, it also polls for the running
// tasks.
func (l *leader) pollEnds(ctx context.Context, t *term) {
	now := l.server.clock.Now()
	names := []string{l.server.settings.Name}
	l.server.runOnControlAndWait(ctx, func() { names = append(names, l.server.members.Live(now)...) })
	l.mu.Lock()
	anyUnconfirmed := l.queue.Unconfirmed() > 0
	l.mu.Unlock()
	for _, name := range names {
		// The running tasks are polled first. A task that ends between the two polls
		// then appears in both replies; in the other order it would appear in neither.
		var running laddermessage.RunningTasks
		runningRead := false
		if anyUnconfirmed {
			running, runningRead = l.query(ctx, name, laddermessage.RunningTasksQuery{}).(laddermessage.RunningTasks)
			l.recordRunningTasks(now, running)
		}
		ended, ok := l.query(ctx, name, t.nextEndsQuery[name]).(laddermessage.EndedTasks)
		if !ok {
			continue
		}
		l.recordEnds(now, t, name, ended)
		if runningRead && running.Incarnation == ended.Incarnation {
			for _, w := range running.HeldWorkers {
				t.lastTasksRead[w] = now
			}
		}
	}
	l.settleLost(now, t)
}

// query sends a message to an entry VM, which may be this one, and returns the
// reply, or nil if there is none.
func (l *leader) query(ctx context.Context, name string, m laddermessage.Message) laddermessage.Message {
	callCtx, cancel := context.WithTimeout(ctx, peerQueryTimeout)
	defer cancel()
	if name == l.server.settings.Name {
		answer, _ := l.server.Handle(callCtx, m)
		return answer
	}
	answer, err := l.server.peers.call(callCtx, name, m)
	if err != nil {
		return nil
	}
	return answer
}

// recordEnds records the ends that an entry VM reported, and which workers it holds.
func (l *leader) recordEnds(now time.Time, t *term, name string, m laddermessage.EndedTasks) {
	next := t.nextEndsQuery[name]
	if next.Incarnation != m.Incarnation {
		next = laddermessage.EndedTasksQuery{Incarnation: m.Incarnation}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range m.Ends {
		next.After = max(next.After, e.Seq)
		l.queue.Ended(e.Task, ladderqueue.TaskEnd{Failed: e.Failed, Stopped: e.Stopped || !e.EndReported})
	}
	t.nextEndsQuery[name] = next
	for _, w := range m.HeldWorkers {
		t.lastHeld[w] = now
	}
}

// recordRunningTasks records the running tasks that an entry VM reported.
func (l *leader) recordRunningTasks(now time.Time, m laddermessage.RunningTasks) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for task, worker := range m.Workers {
		l.queue.ConfirmRunning(now, task, worker)
	}
}

// settleLost records the tasks of lost workers as stopped. A worker is lost if the
// platform no longer lists it and no entry VM has held it for longer than the lease
// of a task. On a new leader, settleLost also returns unconfirmed tasks to the queue
// once the running and ended tasks of every listed worker have been read: those that
// are still unconfirmed then run nowhere.
func (l *leader) settleLost(now time.Time, t *term) {
	limits := l.server.config.current().Limits
	l.mu.Lock()
	defer l.mu.Unlock()
	for worker, tasks := range l.queue.RunningByWorker() {
		if _, ok := t.lastHeld[worker]; !ok {
			t.lastHeld[worker] = now
		}
		_, listed := l.workers[worker]
		if listed || now.Sub(t.lastHeld[worker]) < ladderclaim.AddDrift(limits.TaskLease) {
			continue
		}
		for _, task := range tasks {
			l.log.Info("task lost with its worker", "task", task, "worker", worker)
			l.queue.Ended(task, ladderqueue.TaskEnd{Stopped: true})
		}
	}
	if l.queue.Unconfirmed() == 0 || now.Sub(t.began) < 2*ladderclaim.AddDrift(limits.ClaimLease) {
		return
	}
	for worker := range l.workers {
		if now.Sub(t.lastTasksRead[worker]) > 2*endsPollInterval {
			return
		}
	}
	l.queue.RestartUnconfirmed()
}
