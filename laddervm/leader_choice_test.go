package laddervm

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestElectionDelay checks that the VMs with the largest processors contend first.
func TestElectionDelay(t *testing.T) {
	for name, c := range map[string]struct {
		own, largest int
		want         time.Duration
	}{
		"equal":      {own: 400, largest: 400},
		"largest":    {own: 800, largest: 800},
		"half":       {own: 400, largest: 800, want: electionDelayStep},
		"a quarter":  {own: 200, largest: 800, want: 3 * electionDelayStep},
		"very small": {own: 10, largest: 4000, want: maxElectionDelay},
		"unknown":    {own: 0, largest: 800},
		"no peers":   {own: 400, largest: largestProcessor(400, nil)},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.want, electionDelay(c.own, c.largest))
		})
	}
}

// TestShouldHandOver checks that the leadership is handed over only to a VM with a much
// larger processor, and not repeatedly within a short time.
func TestShouldHandOver(t *testing.T) {
	for name, c := range map[string]struct {
		own                int
		led, sincePrevious time.Duration
		want               bool
	}{
		"much smaller":         {own: 192, led: handoverAfter, sincePrevious: time.Hour, want: true},
		"large enough":         {own: 600, led: handoverAfter, sincePrevious: time.Hour},
		"just elected":         {own: 192, led: handoverAfter - 1, sincePrevious: time.Hour},
		"another led recently": {own: 192, led: handoverAfter, sincePrevious: handoverInterval - 1},
		"processor unknown":    {own: 0, led: handoverAfter, sincePrevious: time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			others := []peer{{processor: 400}, {processor: 800}}
			require.Equal(t, c.want, shouldHandOver(c.own, largestProcessor(c.own, others), c.led, c.sincePrevious))
		})
	}
}
