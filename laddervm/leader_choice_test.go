package laddervm

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestWeakness lets the strongest VMs contend for the lead first.
func TestWeakness(t *testing.T) {
	for name, c := range map[string]struct {
		own, largest int
		want         time.Duration
	}{
		"equal":       {own: 400, largest: 400},
		"strongest":   {own: 800, largest: 800},
		"half":        {own: 400, largest: 800, want: electionDelayStep},
		"a quarter":   {own: 200, largest: 800, want: 3 * electionDelayStep},
		"very weak":   {own: 10, largest: 4000, want: maxElectionDelay},
		"not told":    {own: 0, largest: 800},
		"none listed": {own: 400, largest: largestProcessor(400, nil)},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.want, electionDelay(c.own, c.largest))
		})
	}
}

// TestTooWeak hands the lead over once, and only to a VM that is much stronger.
func TestTooWeak(t *testing.T) {
	for name, c := range map[string]struct {
		own         int
		led, before time.Duration
		want        bool
	}{
		"weak":              {own: 192, led: handoverAfter, before: time.Hour, want: true},
		"strong enough":     {own: 600, led: handoverAfter, before: time.Hour},
		"has just begun":    {own: 192, led: handoverAfter - 1, before: time.Hour},
		"others led lately": {own: 192, led: handoverAfter, before: handoverInterval - 1},
		"strength untold":   {own: 0, led: handoverAfter, before: time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			others := []peer{{processor: 400}, {processor: 800}}
			require.Equal(t, c.want, shouldHandOver(c.own, largestProcessor(c.own, others), c.led, c.before))
		})
	}
}
