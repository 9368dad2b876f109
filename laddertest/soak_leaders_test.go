package laddertest

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderflow"
	"lacewingladder/ladderstand"
)

const (
	// soakGangTimeout is gangTimeoutMs of the VMs' settings.
	soakGangTimeout = 3 * time.Second
	// soakCalm is how long the cluster is without faults before leaders are shut down.
	soakCalm = 3 * time.Second
	// soakLeaders is the number of leaders that are shut down, one after the other, and soakBesides how many
	// of four shutdowns come with that of another VM.
	soakLeaders = 4
	soakBesides = 2
	// soakBurst is the number of callers meanwhile.
	soakBurst = 16
	// soakMoreWorkers is the number of workers that are added before. The leader alone can't poll so many, so it has
	// delegates, which are shut down as well. A VM may have soakWorkerDescriptors and soakWorkerGoroutines more for each of them.
	soakMoreWorkers       = 108
	soakWorkerDescriptors = 3
	soakWorkerGoroutines  = 6
	// soakMaxLatency is the longest time that a worker takes to carry out a start.
	soakMaxLatency = 100 * time.Millisecond
	// soakLongPayload is the payload of tasks that take soakLongRun, which is longer than a cancelled job may run.
	soakLongPayload = "long"
	soakLongRun     = 12 * time.Second
)

// recordGangs records the gangs of a job, before it is submitted.
func (s *soak) recordGangs(id, steps string) {
	var list []struct {
		Count int  `json:"count"`
		Gang  bool `json:"gang"`
	}
	require.NoError(s.t, json.Unmarshal([]byte(steps), &list))
	for i, step := range list {
		if step.Gang {
			s.gangs.Store(ladderflow.StepRef{Job: id, Step: i}, step.Count)
		}
	}
}

// gangMembers returns how many members the gang of a task has, or 0 if the task belongs to none.
func (s *soak) gangMembers(t ladderflow.Task) int {
	n, ok := s.gangs.Load(ladderflow.StepRef{Job: t.Job, Round: t.Round, Step: t.Step})
	if !ok {
		return 0
	}
	return n.(int)
}

// endsAlone is called by the workers for each run that has waited in vain for the other members of its gang. It
// breaks a promise unless a fault other than a shutdown was near, or the job is being cancelled.
func (s *soak) endsAlone(run ladderflow.Run, since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.alone++
	j := s.byID[run.Task.Job]
	if s.calmSince.IsZero() || since.Before(s.calmSince) || j != nil && j.cancelAsked {
		s.aloneExcused++
		return
	}
	s.breakPromise(run.Task.Job, "run %v has waited for its gang since %v and ends alone", run, since.Format("15:04:05.000"))
}

// watchCancelled checks that no run outlives the cancellation of its job for longer than it may.
func (s *soak) watchCancelled(*rand.Rand) {
	time.Sleep(20 * time.Millisecond)
	for i, w := range s.workers {
		for _, run := range w.Running() {
			s.checkCancelled(i, run)
		}
	}
}

// checkCancelled checks a run on a worker.
func (s *soak) checkCancelled(worker int, run ladderflow.Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.byID[run.Task.Job]
	if j == nil || j.cancelled.IsZero() || s.calmSince.IsZero() || j.cancelled.Before(s.calmSince) || s.overdue[run] {
		return
	}
	if passed := time.Since(j.cancelled); passed > soakVisible+soakStopTimeout {
		s.overdue[run] = true
		s.breakPromise(j.id, "run %v is on worker %d %v after %s was cancelled", run, worker, passed, j.path)
	}
}

// shutLeadersDown shuts leaders down while gangs start and callers cancel jobs soon after they have submitted them.
// There are no other faults.
func (s *soak) shutLeadersDown() {
	s.awaitReady()
	s.mu.Lock()
	s.calmSince = time.Now().Add(soakCalm)
	s.mu.Unlock()
	s.stop = make(chan struct{})
	s.addWorkers(soakMoreWorkers)
	s.stand = ladderstand.NewGangs(soakGangTimeout, s.gangMembers, s.endsAlone)
	for _, w := range s.workers {
		w.SetGangs(s.stand)
		w.SetStartLatency(s.startLatency)
	}
	time.Sleep(soakCalm)
	for i := range uint64(soakBurst) {
		s.do(200+i, s.submitAndCancel)
	}
	s.do(300, s.watchRuns)
	s.do(301, s.watchCancelled)
	r := rand.New(rand.NewPCG(s.seed, 302))
	for range soakLeaders {
		s.pause(time.Duration(300+r.IntN(1200)) * time.Millisecond)
		s.shutDown(s.leader())
		if r.IntN(4) < soakBesides {
			s.pause(time.Duration(r.IntN(300)) * time.Millisecond)
			s.shutDown(s.any(r))
		}
	}
	// A run that the last leader has left behind is found within this time.
	s.pause(soakVisible + soakStopTimeout + time.Second)
	close(s.stop)
	s.wait.Wait()
	s.t.Logf("%d jobs accepted while leaders were shut down; the longest wait for a gang was %v", len(s.jobs)-s.awaited, s.stand.LongestWait())
}

// startLatency returns how long a worker takes to carry out the start of a task.
func (s *soak) startLatency(task string) time.Duration {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, s.seed, task)
	return time.Duration(h.Sum64() % uint64(soakMaxLatency))
}

// shutDown shuts a VM down, unless it or too many others are down, and has it run again.
func (s *soak) shutDown(v *flowVM) {
	s.mu.Lock()
	free := v != nil && len(s.down) < soakDown && !s.down[v]
	if free {
		s.down[v] = true
	}
	s.mu.Unlock()
	if free {
		s.wait.Go(func() { s.disturbVM(v, 3, 0) })
	}
}

// submitAndCancel submits a gang, or a job that runs for long. It cancels the long one soon, and some gangs.
func (s *soak) submitAndCancel(r *rand.Rand) {
	time.Sleep(time.Duration(5+r.IntN(40)) * time.Millisecond)
	steps := fmt.Sprintf(`[{"count":%d,"cpu":%d,"memMb":100,"estimateMs":200,"gang":true}]`, 2+r.IntN(5), 500+r.IntN(1500))
	payload, cancel := "cut", r.IntN(6) == 0
	if r.IntN(5) == 0 {
		payload, steps, cancel = soakLongPayload, `[{"count":2,"cpu":200,"memMb":10,"estimateMs":12000}]`, true
	}
	j := s.submitSteps(r, []string{"/fit/", "/regrade/"}[r.IntN(2)], "", payload, steps)
	if j == nil || !cancel {
		return
	}
	s.pause(time.Duration(r.IntN(600)) * time.Millisecond)
	for !s.cancel(s.any(r), j) {
		select {
		case <-s.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}
