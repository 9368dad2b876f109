package ladderflow

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestHugeJobIsRejected checks jobs whose sums overflow, or that no VM could hold.
func TestHugeJobIsRejected(t *testing.T) {
	step := Step{Tasks: 1, Need: Size{Processor: 1000, Memory: 100}, Estimate: time.Second}
	with := func(change func(*Step)) Step {
		s := step
		change(&s)
		return s
	}
	for name, c := range map[string]struct {
		job  Job
		want string
	}{
		"usual":     {Job{Steps: []Step{step}}, ""},
		"scheduled": {Job{Steps: []Step{step}, Rounds: 365, Interval: 24 * time.Hour}, ""},
		"counts whose sum overflows": {Job{Steps: []Step{
			with(func(s *Step) { s.Tasks = math.MaxInt/2 + 1 }), with(func(s *Step) { s.Tasks = math.MaxInt/2 + 1 }),
		}}, "too many tasks"},
		"processor":   {Job{Steps: []Step{with(func(s *Step) { s.Need.Processor = math.MaxInt })}}, "step 0 needs"},
		"memory":      {Job{Steps: []Step{with(func(s *Step) { s.Need.Memory = math.MaxInt })}}, "step 0 needs"},
		"accelerator": {Job{Steps: []Step{with(func(s *Step) { s.Need.Accelerators = math.MaxInt })}}, "step 0 needs"},
		"rounds":      {Job{Steps: []Step{step}, Rounds: math.MaxInt}, "rounds"},
		"a schedule whose length overflows": {
			Job{Steps: []Step{step}, Rounds: 1000, Interval: 365 * 24 * time.Hour}, "rounds",
		},
	} {
		t.Run(name, func(t *testing.T) {
			err := c.job.Check("body").Err()
			if c.want == "" {
				require.NoError(t, err)
				return
			}
			require.ErrorContains(t, err, c.want)
		})
	}
}
