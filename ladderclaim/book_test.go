package ladderclaim_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderclaim"
	"lacewingladder/laddermodel"
)

const lease = 3 * time.Second

var start = time.Unix(1000, 0)

func always(string) bool { return true }

func never(string) bool { return false }

// newBook returns a book with four workers in a rack of four seats.
func newBook() *ladderclaim.Book {
	b := ladderclaim.NewBook("a#1", lease)
	var workers []laddermodel.Worker
	for i := range 4 {
		workers = append(workers, laddermodel.Worker{Name: fmt.Sprintf("w%d", i), Rack: "r"})
	}
	b.SetWorkers(start, workers)
	b.SetSeats(map[string]int{"r": 4})
	return b
}

// grantedAnswer returns the answer of a worker that grants the claim under the
// given epoch and has been up for an hour.
func grantedAnswer(epoch uint64) ladderclaim.Answer {
	return ladderclaim.Answer{
		Granted: true, Holder: "a#1", Epoch: epoch, Boot: 1, Uptime: time.Hour, Until: time.Hour + lease,
		Report: ladderclaim.Report{Epoch: epoch, At: time.Hour},
	}
}

// claimWorkers makes the calls that are due. The first n workers grant the
// claim and report no tasks; the others do not answer.
func claimWorkers(b *ladderclaim.Book, now time.Time, n int, epoch uint64) {
	for i, call := range b.Tick(now, always, always) {
		if i >= n {
			b.CallFailed(now, call)
			continue
		}
		b.HandleAnswer(now, call, grantedAnswer(epoch))
		b.ReportApplied(call.Worker.Name, grantedAnswer(epoch).Report)
	}
}

func TestGrant(t *testing.T) {
	tests := map[string]struct {
		answer ladderclaim.Answer
		report bool
		after  time.Duration
		want   bool
	}{
		"held with a report":              {answer: grantedAnswer(1), report: true, want: true},
		"no report yet":                   {answer: grantedAnswer(1)},
		"held by another VM":              {answer: ladderclaim.Answer{Holder: "b#1", Epoch: 1, Boot: 1}, report: true},
		"just before the lease ends":      {answer: grantedAnswer(1), report: true, after: 2960 * time.Millisecond, want: true},
		"after the lease":                 {answer: grantedAnswer(1), report: true, after: 3 * time.Second},
		"within the bound on clock drift": {answer: grantedAnswer(1), report: true, after: 2975 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBook()
			call := b.Tick(start, always, always)[0]
			b.HandleAnswer(start.Add(50*time.Millisecond), call, tt.answer)
			if tt.report {
				b.ReportApplied(call.Worker.Name, tt.answer.Report)
			}
			_, ok := b.Grant(start.Add(tt.after), call.Worker.Name)
			require.Equal(t, tt.want, ok)
		})
	}
}

func TestLateAnswerDoesNotProlong(t *testing.T) {
	b := newBook()
	call := b.Tick(start, always, always)[0]
	b.HandleAnswer(start.Add(2900*time.Millisecond), call, grantedAnswer(1))
	b.ReportApplied("w0", grantedAnswer(1).Report)
	_, ok := b.Grant(start.Add(2990*time.Millisecond), "w0")
	require.False(t, ok, "the lease counts from the sending of the call, not from the answer")
}

func TestOlderAnswerIsStale(t *testing.T) {
	b := newBook()
	first := b.Tick(start, always, always)[0]
	later := start.Add(lease)
	second := b.Tick(later, always, always)[0]
	require.Equal(t, ladderclaim.NewEpoch, b.HandleAnswer(later, second, grantedAnswer(2)))
	require.Equal(t, ladderclaim.Stale, b.HandleAnswer(later, first, ladderclaim.Answer{Holder: "b#1", Epoch: 1, Boot: 1}))
	require.Equal(t, "a#1", b.Holder("w0"))
}

func TestReleaseOnlyWhenAllowed(t *testing.T) {
	b := newBook()
	claimWorkers(b, start, 4, 1)
	at := start.Add(lease / 2)
	for _, call := range b.Tick(at, never, never) {
		require.Equal(t, ladderclaim.Renew, call.Verb)
	}
	at = at.Add(lease)
	claimWorkers(b, at, 4, 1)
	at = at.Add(lease / 2)
	calls := b.Tick(at, never, always)
	require.Len(t, calls, 4)
	for _, call := range calls {
		require.Equal(t, ladderclaim.Release, call.Verb)
		_, ok := b.Grant(at, call.Worker.Name)
		require.False(t, ok, "no task is placed on a worker whose claim is being released")
	}
}

func TestHome(t *testing.T) {
	tests := map[string]struct {
		held int
		want bool
	}{
		"all seats":      {held: 4, want: true},
		"more than half": {held: 3, want: true},
		"half":           {held: 2},
		"none":           {},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBook()
			claimWorkers(b, start, tt.held, 1)
			_, ok := b.Home(start, "r")
			require.Equal(t, tt.want, ok)
		})
	}
}

func TestHomeNeedsWorkersUpForOneLease(t *testing.T) {
	b := newBook()
	for _, call := range b.Tick(start, always, always) {
		a := grantedAnswer(1)
		a.Uptime = lease - 1
		b.HandleAnswer(start, call, a)
	}
	_, ok := b.Home(start, "r")
	require.False(t, ok, "a restarted worker may have forgotten the claim of another VM")
}

func TestHomeSinceAfterExpiredClaims(t *testing.T) {
	tests := map[string]struct {
		epoch uint64
		since time.Time
	}{
		"continues if no other VM held the workers": {epoch: 1, since: start},
		"restarts if another VM held the workers":   {epoch: 3, since: start.Add(10 * time.Second)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBook()
			claimWorkers(b, start, 4, 1)
			_, ok := b.Home(start, "r")
			require.True(t, ok)
			later := start.Add(10 * time.Second)
			_, ok = b.Home(later, "r")
			require.False(t, ok, "the claims have expired")
			claimWorkers(b, later, 4, tt.epoch)
			h, ok := b.Home(later, "r")
			require.True(t, ok)
			require.Equal(t, tt.since, h.Since)
		})
	}
}

func TestHandover(t *testing.T) {
	tests := map[string]struct {
		epoch   uint64
		inherit bool
	}{
		"directly from the predecessor":  {epoch: 2, inherit: true},
		"with another holder in between": {epoch: 3},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			old := newBook()
			claimWorkers(old, start, 4, 1)
			_, ok := old.Home(start, "r")
			require.True(t, ok)
			later := start.Add(time.Second)
			h, ok := old.StartHandover(later, "r")
			require.True(t, ok)
			_, ok = old.Home(later, "r")
			require.False(t, ok, "a VM that handed the home over is no longer the home")
			b := newBook()
			b.AcceptHandover(later, h)
			claimWorkers(b, later, 4, tt.epoch)
			home, ok := b.Home(later, "r")
			require.True(t, ok)
			require.Equal(t, tt.inherit, home.Since.Equal(start))
		})
	}
}
