package laddervm

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderclock"
)

// setProgress is a progress clock that the test sets.
type setProgress struct{ total time.Duration }

func (p *setProgress) Total() time.Duration { return p.total }

func (p *setProgress) Tick(ctx context.Context) bool {
	<-ctx.Done()
	return false
}

// TestCallIsLateByTheLeadersOwnTime checks when a call to one of four delegates is given up.
func TestCallIsLateByTheLeadersOwnTime(t *testing.T) {
	const timeout = 500 * time.Millisecond
	for name, c := range map[string]struct {
		elapsed, progress time.Duration
		// answered holds when the calls began that the other delegates have answered.
		answered []time.Duration
		late     bool
	}{
		"punctual leader, in time":                        {elapsed: timeout - 1, progress: timeout - 1},
		"punctual leader, too late":                       {elapsed: timeout, progress: timeout, late: true},
		"punctual leader, all are silent":                 {elapsed: timeout, progress: timeout, late: true},
		"late leader":                                     {elapsed: 4 * timeout, progress: timeout / 4},
		"late leader, others answer":                      {elapsed: 4 * timeout, progress: timeout / 4, answered: []time.Duration{timeout, timeout, timeout}},
		"late leader, others answer, leases become short": {elapsed: 6 * timeout, progress: timeout / 4, answered: []time.Duration{timeout, timeout, 0}, late: true},
		"late leader, few answer, leases become short":    {elapsed: 6 * timeout, progress: timeout / 4, answered: []time.Duration{timeout, 0, 0}},
		"late leader, others answered earlier calls":      {elapsed: 6 * timeout, progress: timeout / 4, answered: []time.Duration{0, 0, 0}},
		"late leader, all are silent for a minute":        {elapsed: time.Minute, progress: timeout - 1},
		"late leader, all are silent for longer":          {elapsed: time.Minute, progress: timeout, late: true},
	} {
		t.Run(name, func(t *testing.T) {
			clock, progress := ladderclock.NewManual(time.Unix(1000, 0)), &setProgress{}
			d := newDelegateCalls(clock, maxWorkerLease)
			d.progress = progress
			silent := &delegateClient{ctx: t.Context()}
			d.add(t.Context(), silent)
			for range 3 {
				d.add(t.Context(), &delegateClient{ctx: t.Context()})
			}
			ctx, call := d.begin(silent, timeout)
			began := clock.Now()
			i := 0
			for other := range d.answered {
				if other != silent && i < len(c.answered) {
					d.answered[other] = began.Add(c.answered[i])
					i++
				}
			}
			clock.Advance(c.elapsed)
			progress.total = c.progress
			d.cancelLate()
			require.Equal(t, c.late, ctx.Err() != nil)
			if c.late {
				require.ErrorIs(t, context.Cause(ctx), context.DeadlineExceeded)
			}
			took := d.end(call, false)
			require.Equal(t, callTime{total: c.elapsed, delay: c.elapsed - c.progress}, took)
			require.Empty(t, d.calls)
		})
	}
}

// TestSilentDelegateIsGivenUpBeforeLeasesExpire checks the bound on the time for which a late leader keeps a
// delegate that alone is silent: its workers were last polled PollWait and PollTimeoutSlack before, at most.
func TestSilentDelegateIsGivenUpBeforeLeasesExpire(t *testing.T) {
	d := newDelegateCalls(ladderclock.System{}, maxWorkerLease)
	require.Greater(t, d.maxSilence, delegatePollWait+delegatePollSlack)
	require.Less(t, d.maxSilence, maxWorkerLease-2*time.Second)
}

// TestNewDelegateHasNotAnswered lets a late leader take on another delegate while one does not answer. That the
// other has begun is no sign that the leader reads answers.
func TestNewDelegateHasNotAnswered(t *testing.T) {
	const timeout = 500 * time.Millisecond
	clock := ladderclock.NewManual(time.Unix(1000, 0))
	d := newDelegateCalls(clock, maxWorkerLease)
	d.progress = &setProgress{}
	silent, other := &delegateClient{ctx: t.Context()}, &delegateClient{ctx: t.Context()}
	d.add(t.Context(), silent)
	ctx, _ := d.begin(silent, timeout)
	clock.Advance(timeout)
	d.add(t.Context(), other)
	clock.Advance(d.maxSilence)
	d.cancelLate()
	require.NoError(t, ctx.Err())

	_, answered := d.begin(other, timeout)
	d.end(answered, true)
	d.cancelLate()
	require.Error(t, ctx.Err())
}
