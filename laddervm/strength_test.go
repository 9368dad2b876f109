package laddervm

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestWeakness lets the strongest VMs contend for the lead first.
func TestWeakness(t *testing.T) {
	for name, c := range map[string]struct {
		own, strongest int
		want           time.Duration
	}{
		"equal":       {own: 400, strongest: 400},
		"strongest":   {own: 800, strongest: 800},
		"half":        {own: 400, strongest: 800, want: weakWait},
		"a quarter":   {own: 200, strongest: 800, want: 3 * weakWait},
		"very weak":   {own: 10, strongest: 4000, want: maxWeakWait},
		"not told":    {own: 0, strongest: 800},
		"none listed": {own: 400, strongest: strongest(400, nil)},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.want, weakness(c.own, c.strongest))
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
		"weak":              {own: 192, led: settledLead, before: time.Hour, want: true},
		"strong enough":     {own: 600, led: settledLead, before: time.Hour},
		"has just begun":    {own: 192, led: settledLead - 1, before: time.Hour},
		"others led lately": {own: 192, led: settledLead, before: steadyTime - 1},
		"strength untold":   {own: 0, led: settledLead, before: time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			others := []peer{{strength: 400}, {strength: 800}}
			require.Equal(t, c.want, tooWeak(c.own, strongest(c.own, others), c.led, c.before))
		})
	}
}
