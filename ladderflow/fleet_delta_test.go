package ladderflow

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestDeltaLeadsToNewVersion checks that a difference, applied to the version from which it
// leads, results in the other version, up to the order of queues.
func TestDeltaLeadsToNewVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old, want := drawFleet(t, "old"), drawFleet(t, "new")
		d, ok := want.Diff(old)
		if !ok {
			return
		}
		for name, got := range map[string]*FleetConfig{"difference": d.Apply(old), "whole": want.Whole().Apply(nil)} {
			require.Equal(t, want.Version, got.Version, name)
			require.Equal(t, want.Services, got.Services, name)
			require.Equal(t, want.Limits, got.Limits, name)
			require.Equal(t, want.KeysRequired, got.KeysRequired, name)
			require.Equal(t, want.Teams, got.Teams, name)
			require.ElementsMatch(t, want.Queues, got.Queues, name)
		}
		for _, q := range d.Changed {
			previous, ok := old.Queue(q.Name)
			require.False(t, ok && q.equal(previous), "%s did not change", q.Name)
		}
	})
}
