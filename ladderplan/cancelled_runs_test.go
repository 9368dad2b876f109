package ladderplan

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderflow"
	"lacewingladder/ladderlog"
)

// TestLastRunOfCancelledJobIsLogged cancels a job whose runs this leader, or the one before, has started.
// One line must tell when the last of them is gone.
func TestLastRunOfCancelledJobIsLogged(t *testing.T) {
	const message = "last run of a cancelled job is gone"
	for name, takeover := range map[string]bool{"the same leader": false, "the next leader": true} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			h.submit("a", stepOf(2))
			starts := h.startAll()
			require.Len(t, starts, 2)
			running := []ladderflow.ActiveRun{{Run: starts[0].Run}, {Run: starts[1].Run}}
			if takeover {
				h = h.nextLeader([]*ladderflow.Job{h.planner.jobs["a"].spec}, nil, 1)
			}
			var out strings.Builder
			h.planner.log = ladderlog.New(&out, "info").Component("plan")
			h.planner.Cancel(h.now, "a")
			h.poll("w0", ladderflow.StatusReport{Running: running})
			require.Len(t, h.plan().Stops, 2)
			h.advance(200 * time.Millisecond)
			ended := []ladderflow.EndedRun{{Sequence: 1, Run: starts[0].Run, Reason: ladderflow.EndStopped}}
			h.poll("w0", ladderflow.StatusReport{Ended: ended, Running: running[1:]})
			require.NotContains(t, out.String(), message)
			h.advance(100 * time.Millisecond)
			ended = append(ended, ladderflow.EndedRun{Sequence: 2, Run: starts[1].Run, Reason: ladderflow.EndStopped})
			h.poll("w0", ladderflow.StatusReport{Ended: ended})
			h.poll("w0", ladderflow.StatusReport{Ended: ended})
			require.Equal(t, 1, strings.Count(out.String(), message))
			line := out.String()[strings.Index(out.String(), message):]
			for _, part := range []string{"job=a", "runs=2", "how=stopped", "after=300ms"} {
				require.Contains(t, line, part)
			}
		})
	}
}

// TestResumesFrom checks what the log shows of the checkpoint that a start carries.
func TestResumesFrom(t *testing.T) {
	h := newHarness(t, 1)
	h.submit("a", stepOf(1))
	s := h.startAll()[0]
	require.Equal(t, "nothing", h.planner.ResumesFrom("w0", s.Run))
	h.poll("w0", ladderflow.StatusReport{Ended: []ladderflow.EndedRun{{
		Sequence: 1, Run: s.Run, Reason: ladderflow.EndStopped, Checkpoint: "00000bb87a21d94b",
	}}})
	require.Equal(t, "unknown", h.planner.ResumesFrom("w0", s.Run))
	s = h.startSoon()[0]
	require.Equal(t, "00000bb8 of run 1", h.planner.ResumesFrom("w0", s.Run))
}
