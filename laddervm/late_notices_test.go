package laddervm

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderclock"
	"lacewingladder/ladderflow"
	"lacewingladder/ladderjournal"
	"lacewingladder/ladderlog"
	"lacewingladder/laddermessage"
	"lacewingladder/platform"
)

// testNotices returns notices for a leader, which is the one with the given revision. The leader accepts
// those for which accept returns true.
func testNotices(leader *atomic.Int64, accept func(laddermessage.Message) bool) *lateNotices {
	clock := ladderclock.System{}
	return &lateNotices{
		clock: clock, log: ladderlog.Discard().RateLimited("vm", clock), added: make(chan struct{}, 1), leader: leader.Load,
		retention: func() time.Duration { return time.Hour },
		send:      func(_ context.Context, m laddermessage.Message) bool { return accept(m) },
	}
}

// TestLateNotices checks when a change is told to a leader that appears after a while, and that nobody is
// asked more often than needed.
func TestLateNotices(t *testing.T) {
	for name, c := range map[string]struct {
		// appears is when there is a leader, and accepts when it accepts notices.
		appears, accepts time.Duration
		// told is when the leader must have accepted the notice, if it must, and attempts how often it may be asked.
		told     time.Duration
		attempts int64
		// retention is how long jobs are retained, if not for long.
		retention time.Duration
	}{
		"there is a leader":                      {told: time.Millisecond, attempts: 1},
		"it appears after a second":              {appears: time.Second, told: time.Second + retryInterval, attempts: 1},
		"it reads the store for two":             {appears: time.Second, accepts: 3 * time.Second, told: 3*time.Second + maxLateNoticePause + retryInterval, attempts: 6},
		"it appears after the period":            {appears: 2 * lateNoticePeriod},
		"it appears when the job may be deleted": {appears: 11 * time.Second, retention: 10 * time.Second},
		"it accepts nothing":                     {accepts: time.Hour, attempts: 20},
		"it appears long after the call":         {appears: lateNoticePeriod / 2, told: lateNoticePeriod/2 + retryInterval, attempts: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				var leader, attempts atomic.Int64
				var told atomic.Pointer[time.Duration]
				n := testNotices(&leader, func(laddermessage.Message) bool {
					attempts.Add(1)
					passed := time.Since(began)
					if passed < c.accepts {
						return false
					}
					told.Store(&passed)
					return true
				})
				if c.retention > 0 {
					n.retention = func() time.Duration { return c.retention }
				}
				ctx, cancel := context.WithCancel(t.Context())
				go n.run(ctx)
				time.AfterFunc(c.appears, func() { leader.Store(5) })
				time.Sleep(time.Nanosecond)
				n.add(laddermessage.JobCancelled{Job: "a"})
				time.Sleep(3 * lateNoticePeriod)
				cancel()
				synctest.Wait()
				require.LessOrEqual(t, attempts.Load(), c.attempts)
				require.Empty(t, n.held)
				if c.told == 0 {
					require.Nil(t, told.Load())
					return
				}
				require.NotNil(t, told.Load(), "no leader was notified")
				require.LessOrEqual(t, *told.Load(), c.told)
			})
		})
	}
}

// TestLateNoticesAreBounded adds more notices than are held while there is no leader. The newest must be
// told, also behind one that the leader does not accept.
func TestLateNoticesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var leader atomic.Int64
		var told []string
		n := testNotices(&leader, func(m laddermessage.Message) bool {
			id := m.(laddermessage.JobCancelled).Job
			if id == "10" {
				return false
			}
			told = append(told, id)
			return true
		})
		ctx, cancel := context.WithCancel(t.Context())
		go n.run(ctx)
		for i := range maxLateNotices + 10 {
			n.add(laddermessage.JobCancelled{Job: fmt.Sprint(i)})
			time.Sleep(time.Microsecond)
		}
		require.Len(t, n.held, maxLateNotices)
		leader.Store(5)
		time.Sleep(time.Second)
		cancel()
		synctest.Wait()
		require.Len(t, told, maxLateNotices-1)
		require.Equal(t, "11", told[0])
		require.Len(t, n.held, 1)
	})
}

// TestLateCancellationsComeFirst checks that new jobs that nobody has heard of do not delay cancellations.
func TestLateCancellationsComeFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var leader atomic.Int64
		var told []string
		n := testNotices(&leader, func(m laddermessage.Message) bool {
			told = append(told, changeName(m))
			return true
		})
		ctx, cancel := context.WithCancel(t.Context())
		go n.run(ctx)
		for _, id := range []string{"a", "b"} {
			n.add(laddermessage.JobAccepted{Job: id})
			n.add(laddermessage.JobCancelled{Job: id})
		}
		leader.Store(5)
		time.Sleep(time.Second)
		cancel()
		synctest.Wait()
		require.Equal(t, []string{"job a cancelled", "job b cancelled", "job a accepted", "job b accepted"}, told)
	})
}

// TestCancellationWithoutLeaderIsToldToTheNext checks that a VM whose notification has failed notifies the
// leader that appears later, once.
func TestCancellationWithoutLeaderIsToldToTheNext(t *testing.T) {
	v := newTestVM(t, "e1")
	v.bounds.Store(&platform.Bounds{MaxWorkerLease: 10 * time.Second, JobRetention: time.Minute})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go v.late.run(ctx)
	v.notifyLeader(laddermessage.JobCancelled{Job: "a"})
	term := newTestTerm(t, v)
	term.do(func() { term.applyContents(&ladderjournal.Contents{Jobs: testJobs()}, nil, nil) })
	v.registry.setLeader(leader{name: "e1", incarnation: v.registry.incarnation, revision: 5})
	require.Eventually(t, func() bool { return term.stateOf("a") == ladderflow.Cancelled }, 10*time.Second, 10*time.Millisecond,
		"the leader was not told of the cancellation")
}

// TestCancellationIsKeptWhileTheStoreIsRead notifies a leader of a cancellation before it has read the
// store, which began before the cancellation was stored. The caller must not be told a state that is not
// known, and the cancellation must be in force as soon as the job is known.
func TestCancellationIsKeptWhileTheStoreIsRead(t *testing.T) {
	v := newTestVM(t, "e1")
	term := newTestTerm(t, v)
	for range 2 {
		reply, err := term.handleMessage(t.Context(), laddermessage.JobCancelled{Job: "a"})
		require.NoError(t, err)
		require.Equal(t, laddermessage.NotLeader{}, reply)
	}
	term.do(func() { term.applyContents(&ladderjournal.Contents{Jobs: testJobs()}, nil, nil) })
	require.Equal(t, ladderflow.Cancelled, term.stateOf("a"))
	require.Equal(t, ladderflow.Queued, term.stateOf("b"))
	reply, err := term.handleMessage(t.Context(), laddermessage.JobCancelled{Job: "a"})
	require.NoError(t, err)
	require.Equal(t, laddermessage.JobState{Found: true, State: string(ladderflow.Cancelled)}, reply)
}

// newTestTerm returns a term of a VM whose control goroutine only handles what is queued.
func newTestTerm(t *testing.T, v *VM) *term {
	term := newTerm(t.Context(), v, &lease{vm: v, until: v.boot.SinceBoot() + time.Minute}, 5, time.Now())
	t.Cleanup(term.cancel)
	v.leadership.term.Store(term)
	go func() {
		for {
			select {
			case f := <-term.inbox:
				f()
			case <-term.ctx.Done():
				return
			}
		}
	}()
	return term
}

// stateOf returns the state of a job that the leader tells.
func (t *term) stateOf(id string) ladderflow.State {
	var state ladderflow.State
	t.call(context.Background(), func() { state = t.planner.View(time.Now(), id).State })
	return state
}

// testJobs returns the jobs a and b.
func testJobs() []*ladderflow.Job {
	var jobs []*ladderflow.Job
	for _, id := range []string{"a", "b"} {
		jobs = append(jobs, &ladderflow.Job{ID: id, Queue: "queue", Service: "service", Steps: []ladderflow.Step{{Tasks: 1}}})
	}
	return jobs
}
