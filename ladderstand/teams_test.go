package ladderstand

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderclock"
	"lacewingladder/ladderflow"
)

// TestTeamsFindStartsAboveQuota plays starts on two workers and checks which are found.
func TestTeamsFindStartsAboveQuota(t *testing.T) {
	cores := func(n int) *ladderflow.FleetConfig {
		return &ladderflow.FleetConfig{Teams: []ladderflow.Team{{Name: "a", Quota: ladderflow.Size{Processor: n}}, {Name: "b"}}}
	}
	type world struct {
		*Teams
		clock   *ladderclock.Manual
		workers [2]*PlatformWorker
		number  int
	}
	start := func(w *world, team string) ladderflow.Run {
		w.number++
		run := ladderflow.Run{Task: ladderflow.Task{Job: team}, Number: w.number}
		w.start(w.workers[w.number%2], run, w.clock.Now().Add(time.Second))
		return run
	}
	for name, c := range map[string]struct {
		play  func(*world)
		found int
	}{
		"the quota and one task more": {func(w *world) { start(w, "a"); start(w, "a"); start(w, "a") }, 0},
		"two tasks more":              {func(w *world) { start(w, "a"); start(w, "a"); start(w, "a"); start(w, "a") }, 1},
		"a team without a quota":      {func(w *world) { start(w, "b"); start(w, "b"); start(w, "b"); start(w, "b") }, 0},
		"no team":                     {func(w *world) { start(w, ""); start(w, ""); start(w, ""); start(w, "") }, 0},
		"a run has ended": {func(w *world) {
			r := start(w, "a")
			start(w, "a")
			start(w, "a")
			w.end(w.workers[1], r)
			start(w, "a")
		}, 0},
		"a lease has expired": {func(w *world) {
			start(w, "a")
			start(w, "a")
			start(w, "a")
			w.clock.Advance(1100 * time.Millisecond)
			start(w, "a")
		}, 0},
		"a lease was extended": {func(w *world) {
			start(w, "a")
			start(w, "a")
			start(w, "a")
			for _, p := range w.workers {
				w.extendLease(p, w.clock.Now().Add(2*time.Second))
			}
			w.clock.Advance(1100 * time.Millisecond)
			start(w, "a")
		}, 1},
		"the quota was lowered a moment ago": {func(w *world) { w.SetFleet(cores(1)); start(w, "a"); start(w, "a"); start(w, "a") }, 0},
		"the quota was lowered long ago": {func(w *world) {
			w.SetFleet(cores(1))
			w.clock.Advance(4100 * time.Millisecond)
			start(w, "a")
			start(w, "a")
			start(w, "a")
		}, 1},
		"the quota was raised": {func(w *world) {
			w.SetFleet(cores(3))
			start(w, "a")
			start(w, "a")
			start(w, "a")
			start(w, "a")
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			found := 0
			w := &world{clock: ladderclock.NewManual(time.UnixMilli(1_000_000)), workers: [2]*PlatformWorker{{}, {}}}
			w.Teams = NewTeams(w.clock, 4*time.Second, func(task ladderflow.Task) (string, ladderflow.Size) {
				return task.Job, ladderflow.Size{Processor: 1}
			}, func(ladderflow.Run, string) { found++ })
			w.SetFleet(cores(2))
			c.play(w)
			require.Equal(t, c.found, found)
		})
	}
}

// TestCallerKeysJudgeAnswers checks which answers are found to be wrong. Times are milliseconds; a configuration is applied
// within 4,000.
func TestCallerKeysJudgeAnswers(t *testing.T) {
	at := time.UnixMilli
	for name, c := range map[string]struct {
		key    string
		sent   int64
		status int
		want   string
	}{
		"unknown, served":               {"never", 9000, http.StatusOK, "no configuration had"},
		"unknown, refused":              {"never", 9000, http.StatusUnauthorized, ""},
		"there, served":                 {"kept", 9000, http.StatusOK, ""},
		"there, refused":                {"kept", 9000, http.StatusUnauthorized, "after its key was added"},
		"there, refused for load":       {"kept", 9000, http.StatusTooManyRequests, ""},
		"just added, refused":           {"new", 9000, http.StatusUnauthorized, ""},
		"added long ago, refused":       {"new", 10100, http.StatusUnauthorized, "after its key was added"},
		"just withdrawn, served":        {"gone", 9000, http.StatusOK, ""},
		"withdrawn long ago, served":    {"gone", 10100, http.StatusOK, "after its key was withdrawn"},
		"withdrawn long ago, refused":   {"gone", 10100, http.StatusUnauthorized, ""},
		"added again, served":           {"back", 19000, http.StatusOK, ""},
		"added again, refused at once":  {"back", 13000, http.StatusUnauthorized, ""},
		"added again, refused for long": {"back", 19000, http.StatusUnauthorized, "after its key was added"},
	} {
		t.Run(name, func(t *testing.T) {
			k := NewCallerKeys(4 * time.Second)
			k.Set(at(1000), "kept", "gone", "back")
			k.Set(at(6000), "kept", "new")
			k.Set(at(12000), "kept", "new", "back")
			err := k.Judge(c.key, at(c.sent), at(c.sent+100), c.status)
			if c.want == "" {
				require.NoError(t, err)
				return
			}
			require.ErrorContains(t, err, c.want)
		})
	}
}
