package ladderproof

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderflow"
	"lacewingladder/ladderplan"
)

// history is a simulation whose steps are given one by one, with one job of one task. A former leader
// knows the job and has started nothing. It has polled all workers, and so has the newest leader.
type history struct {
	*flowSimulation
	former *flowLeader
	job    *ladderflow.Job
	task   ladderflow.Task
}

func newHistory(t checker) *history {
	steps, starts := 0, 0
	h := &history{flowSimulation: newFlowSimulation(t, 0, &steps, &starts)}
	h.job = &ladderflow.Job{
		ID: fmt.Sprintf("%016x", 0), Queue: flowQueue, Service: "s", Accepted: h.now,
		Steps: []ladderflow.Step{{Tasks: 1, Need: ladderflow.Size{Processor: 1000, Memory: 100}, Estimate: time.Second}},
	}
	h.task = ladderflow.Task{Job: h.job.ID}
	h.former = h.newest()
	h.pollAll(h.former)
	h.plan(h.former)
	h.accept(h.job)
	h.former.planner.AddJob(h.now, h.job, false)
	h.elect()
	h.pollAll(h.newest())
	return h
}

// start lets a leader plan, and delivers its orders.
func (h *history) start(l *flowLeader) {
	before := len(h.orders)
	h.advance(time.Millisecond)
	h.plan(l)
	for _, o := range h.orders[before:] {
		h.deliver(o, true)
	}
	h.check()
}

// work lets the newest leader work until its predecessor is no longer confident of its leadership.
func (h *history) work() {
	for h.former.confidence(h.now) == ladderplan.LeadershipConfirmed {
		h.steady(h.newest())
	}
}

// endOn ends a run of the task.
func (h *history) endOn(worker, number int, reason ladderflow.EndReason) {
	r := ladderflow.Run{Task: h.task, Number: number}
	h.workers[worker].end(r, reason)
	h.recordEnd(r, reason)
}

// TestFormerLeaderStartsNothingOnRestartedWorker restarts a worker under its ID, so that it knows no
// fencing token, just before it gets a start of a former leader whose leadership is still probable.
func TestFormerLeaderStartsNothingOnRestartedWorker(t *testing.T) {
	for name, play := range map[string]func(*history){
		"after the end was acknowledged": func(h *history) {
			h.start(h.newest())
			h.endOn(0, 1, ladderflow.EndDone)
			h.work()
			h.crash(h.workers[0])
		},
		"while the task runs elsewhere": func(h *history) {
			h.start(h.newest())
			h.former.planner.PollFailed("w0", false)
			h.work()
			h.crash(h.workers[1])
		},
		"after two restarts, while a later run is elsewhere": func(h *history) {
			h.start(h.newest())
			h.work()
			h.crash(h.workers[0])
			h.pollAll(h.newest())
			h.newest().planner.PollFailed("w0", false)
			h.start(h.newest())
			h.crash(h.workers[0])
		},
		"after its first start was lost": func(h *history) {
			h.former.planner.PollFailed("w0", false)
			h.plan(h.former)
			h.settle(h.orders[0], ladderplan.Result{Unsent: true})
			h.orders = nil
			h.start(h.newest())
			h.work()
			h.crash(h.workers[1])
		},
		"after the job was shown as failed": func(h *history) {
			h.start(h.newest())
			h.endOn(0, 1, ladderflow.EndFailed)
			h.steady(h.newest())
			h.endOn(1, 2, ladderflow.EndFailed)
			h.work()
			h.crash(h.workers[0])
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHistory(t)
			play(h)
			h.start(h.former)
		})
	}
}

// TestFormerLeaderRestartsNoTaskThatTheNextOneKeepsRunning cuts a former leader off from a worker, whose lease the
// next leader renews, and the next leader from another one.
func TestFormerLeaderRestartsNoTaskThatTheNextOneKeepsRunning(t *testing.T) {
	steps, starts := 0, 0
	h := &history{flowSimulation: newFlowSimulation(t, 0, &steps, &starts)}
	h.job = &ladderflow.Job{
		ID: fmt.Sprintf("%016x", 0), Queue: flowQueue, Service: "s", Accepted: h.now,
		Steps: []ladderflow.Step{{Tasks: 1, Need: ladderflow.Size{Processor: 1000, Memory: 100}, Estimate: time.Second}},
	}
	h.former = h.newest()
	h.pollAll(h.former)
	h.advance(flowMaxWorkerLease) // The leases that an earlier leader may have granted have expired.
	h.pollAll(h.former)
	h.accept(h.job)
	h.former.planner.AddJob(h.now, h.job, false)
	h.start(h.former)
	kept, unreached := h.workers[0], h.workers[1]
	require.NotEmpty(t, kept.running)
	h.former.planner.PollFailed(kept.id, false)
	for range 4 {
		h.advance(time.Second)
		h.poll(h.former, unreached)
	}
	h.elect()
	for h.former.confidence(h.now) != ladderplan.LeadershipNone {
		h.advance(100 * time.Millisecond)
		h.pollOthers(h.newest(), unreached)
		h.poll(h.former, unreached)
		h.start(h.former)
	}
}

// startAfterCrash lets the former leader see that a worker has restarted, store the crash under the task, and start the
// task on the new incarnation.
func (h *history) startAfterCrash(w *flowWorker) {
	for range 10 {
		h.advance(100 * time.Millisecond)
		h.former.planner.SetWorkers(h.now, h.listedWorkers())
		h.poll(h.former, w)
		h.commit(h.former, 0)
		if h.start(h.former); len(w.running) > 0 {
			return
		}
	}
	h.t.Fatalf("the task does not start on the new incarnation")
}

// TestOrderForEarlierIncarnationGivesNoLongLease restarts a worker while a start is on its way to it, whose lease was
// computed from the clock of the incarnation before. The worker is then cut off, and the next leader, which has not
// polled it, waits for a lease of the usual length before it starts the task elsewhere. A lease of the greatest length
// that a worker grants would outlast that wait, and the task would run twice.
func TestOrderForEarlierIncarnationGivesNoLongLease(t *testing.T) {
	for name, play := range map[string]func(h *history, restarted *flowWorker){
		"its start arrives": func(h *history, restarted *flowWorker) {
			h.plan(h.former)
			h.crash(restarted)
			h.deliver(h.orders[len(h.orders)-1], false)
			// The leader sees the restart and starts the task on the new incarnation, if it does not run there.
			h.settle(h.orders[len(h.orders)-1], ladderplan.Result{Unknown: true})
			h.startAfterCrash(restarted)
		},
		"its poll arrives": func(h *history, restarted *flowWorker) {
			h.start(h.former)
			h.crash(restarted)
			h.poll(h.former, restarted)
			h.startAfterCrash(restarted)
		},
		"the poll of a delegate arrives": func(h *history, restarted *flowWorker) {
			h.delegateRenewal(h.former, restarted, time.Second)
			h.delegatePoll(h.assignment(h.former, restarted), 0)
			h.start(h.former)
			h.crash(restarted)
			h.delegatePoll(h.assignment(h.former, restarted), 0)
			h.startAfterCrash(restarted)
		},
	} {
		t.Run(name, func(t *testing.T) {
			steps, starts := 0, 0
			h := &history{flowSimulation: newFlowSimulation(t, 0, &steps, &starts)}
			h.job = &ladderflow.Job{
				ID: fmt.Sprintf("%016x", 0), Queue: flowQueue, Service: "s", Accepted: h.now,
				Steps: []ladderflow.Step{{Tasks: 1, Need: ladderflow.Size{Processor: 1000, Memory: 100}, Estimate: time.Second}},
			}
			h.former = h.newest()
			restarted := h.workers[0]
			for range 20 {
				h.advance(time.Second)
				h.poll(h.former, restarted)
			}
			h.accept(h.job)
			h.former.planner.AddJob(h.now, h.job, false)
			play(h, restarted)
			h.elect()
			for range 120 {
				h.advance(100 * time.Millisecond)
				h.pollOthers(h.newest(), restarted)
				h.check()
			}
			require.Positive(t, len(h.workers[1].running)+len(h.workers[2].running), "the next leader has not started the task")
		})
	}
}
